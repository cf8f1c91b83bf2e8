package main

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"cassialatch.dev/bench/internal/fleetproc"
	"cassialatch.dev/standin/engine"
	"cassialatch.dev/wire/engineapi"
)

// Load in the latency and cost measurements.
const (
	singleCaller   = 1
	latencyCallers = 4
	costCallers    = 32
	shortTokens    = 1   // tokens of a short response
	streamTokens   = 100 // tokens of a long response
	warmUp         = 500 * time.Millisecond
)

// fastEngine returns the configuration of an engine that adds little latency of
// its own.
func fastEngine(decode time.Duration) engine.Config {
	c := engine.DefaultConfig()
	c.Slots = 512
	c.PrefillPerToken = 0
	c.DecodePerToken = decode
	c.BatchGrowth = 0
	return c
}

// path is a route from the caller to the engine; address is its first hop.
type path struct {
	name    string
	address string
}

// pair is a fleet of two daemons and one engine. home is the home of the engine.
type pair struct {
	fleet       *fleetproc.Fleet
	home, entry *fleetproc.Daemon
	paths       []path
}

// startPair starts two daemons and one engine. The returned fleet must be stopped
// even if there is an error.
func startPair(ctx context.Context, b *bench, config engine.Config) (*pair, error) {
	f, err := fleetproc.Start(ctx, fleetproc.Options{
		Binary: b.binary, Dir: b.dir, Network: b.network, BaseDocument: baseDocument, Daemons: 2, Engines: 1, Zones: 1, EngineConfig: config,
	})
	p := &pair{fleet: f}
	if err != nil {
		return p, err
	}
	if p.home, p.entry, err = f.HomeOf(ctx, f.Engines[0].ID); err != nil {
		return p, err
	}
	p.paths = []path{
		{"direct", f.Engines[0].Address},
		{"home only", p.home.CallerAddress},
		{"entry and home", p.entry.CallerAddress},
	}
	return p, nil
}

// latencies aggregates what callers observe on one path. It is safe for concurrent
// use while callers run.
type latencies struct {
	firstToken, tokenGap *hdrhistogram.Histogram
	responses            atomic.Int64
	failed               atomic.Int64
	mu                   sync.Mutex
}

// newLatencies returns latencies without any record.
func newLatencies() *latencies {
	const lowest, highest, digits = 1, int64(time.Minute), 3
	return &latencies{firstToken: hdrhistogram.New(lowest, highest, digits), tokenGap: hdrhistogram.New(lowest, highest, digits)}
}

// record records one response.
func (l *latencies) record(resp response) {
	l.responses.Add(1)
	l.mu.Lock()
	defer l.mu.Unlock()
	_ = l.firstToken.RecordValue(int64(resp.firstToken)) // cannot fail: below the histogram's maximum
	for _, tokenGap := range resp.tokenGaps {
		_ = l.tokenGap.RecordValue(int64(tokenGap))
	}
}

// runCallers runs closed-loop callers against an address for a given time.
func runCallers(ctx context.Context, h *http.Client, address string, callers, tokens int, length time.Duration) *latencies {
	l := newLatencies()
	end := time.Now().Add(length)
	var wg sync.WaitGroup
	for i := range callers {
		random := rand.New(rand.NewPCG(1, uint64(i)))
		wg.Go(func() {
			for time.Now().Before(end) && ctx.Err() == nil {
				resp, err := sendChat(ctx, h, address, randomChat(random, tokens))
				if err != nil {
					l.failed.Add(1)
					continue
				}
				l.record(resp)
			}
		})
	}
	wg.Wait()
	return l
}

// randomChat returns a chat request whose prompt is random, so that it differs
// from all others.
func randomChat(random *rand.Rand, tokens int) engineapi.ChatRequest {
	return engineapi.ChatRequest{
		Model: fleetproc.Model, MaxTokens: tokens, Stream: true,
		Messages: []engineapi.Message{{Role: "user", Content: randomText(random, 20)}},
	}
}

// measureLatency compares the paths, one after the other, under several loads.
func measureLatency(ctx context.Context, b *bench) error {
	if err := b.measurePathLatencies(ctx, "1 caller", singleCaller, shortTokens, 0); err != nil {
		return err
	}
	if err := b.measurePathLatencies(ctx, "4 callers", latencyCallers, shortTokens, 0); err != nil {
		return err
	}
	return b.measurePathLatencies(ctx, "stream", latencyCallers, streamTokens, 5*time.Millisecond)
}

// measurePathLatencies measures all paths with responses of the given number of
// tokens.
func (b *bench) measurePathLatencies(ctx context.Context, name string, callers, tokens int, decode time.Duration) error {
	p, err := startPair(ctx, b, fastEngine(decode))
	defer p.fleet.Stop()
	if err != nil {
		return err
	}
	for _, path := range p.paths {
		runCallers(ctx, p.fleet.HTTP, path.address, callers, tokens, warmUp)
	}
	for _, path := range p.paths {
		l := runCallers(ctx, p.fleet.HTTP, path.address, callers, tokens, b.length)
		b.addQuantiles(name+" first token", path.name, l.firstToken)
		if tokens > shortTokens {
			b.addQuantiles(name+" between tokens", path.name, l.tokenGap)
		}
		b.add(name+" failed", path.name, float64(l.failed.Load()), "requests")
	}
	return nil
}

// addQuantiles adds the 50th, 95th and 99th percentile.
func (b *bench) addQuantiles(name, which string, h *hdrhistogram.Histogram) {
	for _, q := range []struct {
		name  string
		value float64
	}{{"p50", 50}, {"p95", 95}, {"p99", 99}} {
		b.add(name+" "+q.name, which, time.Duration(h.ValueAtQuantile(q.value)).Seconds()*1e3, "ms")
	}
}
