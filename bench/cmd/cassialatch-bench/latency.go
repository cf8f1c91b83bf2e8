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

// Load of the latency and cost measurements.
const (
	loneCaller     = 1
	latencyCallers = 4
	costCallers    = 32
	shortTokens    = 1
	streamTokens   = 100
	warmUp         = 500 * time.Millisecond
)

// fastEngine returns an engine whose own time is small.
func fastEngine(decode time.Duration) engine.Config {
	c := engine.DefaultConfig()
	c.Slots = 512
	c.PrefillPerToken = 0
	c.DecodePerToken = decode
	c.BatchGrowth = 0
	return c
}

// path is a way from the caller to the engine.
type path struct {
	name    string
	address string
}

// pair is a fleet of two daemons before one engine.
type pair struct {
	fleet       *fleetproc.Fleet
	home, other *fleetproc.Daemon
	paths       []path
}

// startPair starts two daemons before one engine.
func startPair(ctx context.Context, b *bench, config engine.Config) (*pair, error) {
	f, err := fleetproc.Start(ctx, fleetproc.Options{
		Binary: b.binary, Dir: b.dir, Network: b.network, BaseDocument: base, Daemons: 2, Engines: 1, Zones: 1, EngineConfig: config,
	})
	p := &pair{fleet: f}
	if err != nil {
		return p, err
	}
	if p.home, p.other, err = f.HomeOf(ctx, f.Engines[0].ID); err != nil {
		return p, err
	}
	p.paths = []path{
		{"direct", f.Engines[0].Address},
		{"home only", p.home.CallerAddress},
		{"entry and home", p.other.CallerAddress},
	}
	return p, nil
}

// latencies are what callers saw on one path.
type latencies struct {
	first, gap *hdrhistogram.Histogram
	answers    atomic.Int64
	failed     atomic.Int64
	mu         sync.Mutex
}

// newLatencies returns empty latencies.
func newLatencies() *latencies {
	const lowest, highest, digits = 1, int64(time.Minute), 3
	return &latencies{first: hdrhistogram.New(lowest, highest, digits), gap: hdrhistogram.New(lowest, highest, digits)}
}

// note records one answer.
func (l *latencies) note(a answer) {
	l.answers.Add(1)
	l.mu.Lock()
	defer l.mu.Unlock()
	_ = l.first.RecordValue(int64(a.first)) // in range
	for _, gap := range a.gaps {
		_ = l.gap.RecordValue(int64(gap))
	}
}

// drive keeps callers busy on a path for a while.
func drive(ctx context.Context, h *http.Client, address string, callers, tokens int, length time.Duration) *latencies {
	l := newLatencies()
	end := time.Now().Add(length)
	var wg sync.WaitGroup
	for i := range callers {
		random := rand.New(rand.NewPCG(1, uint64(i)))
		wg.Go(func() {
			for time.Now().Before(end) && ctx.Err() == nil {
				a, err := ask(ctx, h, address, request(random, tokens))
				if err != nil {
					l.failed.Add(1)
					continue
				}
				l.note(a)
			}
		})
	}
	wg.Wait()
	return l
}

// request returns a chat that no other call sends.
func request(random *rand.Rand, tokens int) engineapi.ChatRequest {
	return engineapi.ChatRequest{
		Model: fleetproc.Model, MaxTokens: tokens, Stream: true,
		Messages: []engineapi.Message{{Role: "user", Content: text(random, 20)}},
	}
}

// measureLatency compares the paths in turn, several times over.
func measureLatency(ctx context.Context, b *bench) error {
	if err := b.latencyOf(ctx, "1 caller", loneCaller, shortTokens, 0); err != nil {
		return err
	}
	if err := b.latencyOf(ctx, "4 callers", latencyCallers, shortTokens, 0); err != nil {
		return err
	}
	return b.latencyOf(ctx, "stream", latencyCallers, streamTokens, 5*time.Millisecond)
}

// latencyOf measures one length of answer.
func (b *bench) latencyOf(ctx context.Context, name string, callers, tokens int, decode time.Duration) error {
	p, err := startPair(ctx, b, fastEngine(decode))
	defer p.fleet.Stop()
	if err != nil {
		return err
	}
	for _, path := range p.paths {
		drive(ctx, p.fleet.HTTP, path.address, callers, tokens, warmUp)
	}
	for _, path := range p.paths {
		l := drive(ctx, p.fleet.HTTP, path.address, callers, tokens, b.length)
		b.addQuantiles(name+" first token", path.name, l.first)
		if tokens > shortTokens {
			b.addQuantiles(name+" between tokens", path.name, l.gap)
		}
		b.add(name+" failed", path.name, float64(l.failed.Load()), "requests")
	}
	return nil
}

// addQuantiles reports p50, p95 and p99.
func (b *bench) addQuantiles(name, which string, h *hdrhistogram.Histogram) {
	for _, q := range []struct {
		name  string
		value float64
	}{{"p50", 50}, {"p95", 95}, {"p99", 99}} {
		b.add(name+" "+q.name, which, time.Duration(h.ValueAtQuantile(q.value)).Seconds()*1e3, "ms")
	}
}
