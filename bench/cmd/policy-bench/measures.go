package main

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// figure is one numeric result of a measure.
type figure struct {
	name  string
	value float64
	unit  string
}

// measure runs one scenario and returns its figures, the main one first.
type measure func(ctx context.Context, t *trial) ([]figure, error)

// measures maps the names of measures to their functions.
var measures = map[string]measure{
	"cache":        measureCache,
	"evenness":     measureEvenness,
	"head-of-line": measureHeadOfLine,
	"stragglers":   measureStragglers,
	"crest":        measurePeak,
}

// Durations and load levels of the scenarios.
const (
	scenarioLength = 12 * time.Second
	phaseLength    = 5 * time.Second
	chatsPerEngine = 6 // users; keeps about half of the slots busy
	shortPerEngine = 1
	longPerEngine  = 12 // exceeds the slots of an engine
	samplePeriod   = 50 * time.Millisecond
	slowFactor     = 4
	slowEvery      = 5 // every n-th engine is slow
)

// measureCache runs chats of several turns while one engine loses its cache. It
// compares the reused tokens with those that an ideal placement could have reused.
func measureCache(ctx context.Context, t *trial) ([]figure, error) {
	ctx, cancel := context.WithTimeout(ctx, scenarioLength)
	defer cancel()
	stats := newCallerStats()
	wait := t.startClosedLoop(ctx, chatWorkload, chatsPerEngine*t.engines, 0, stats)
	t.crashOneEngine(ctx)
	wait()
	return []figure{
		{"reused of the oracle's tokens", 100 * float64(stats.cachedTokens) / float64(max(1, stats.cacheableTokens)), "%"},
		{"first token p95", quantileMs(stats.firstToken, 95), "ms"},
		{"not answered", 100 * float64(stats.sent-stats.responses) / float64(max(1, stats.sent)), "% of requests"},
	}, nil
}

// crashOneEngine crashes one random engine halfway through the scenario. Extrapolated
// to a minute, that is half of the engines of a fleet of ten, or a quarter of
// twenty.
func (t *trial) crashOneEngine(ctx context.Context) {
	random := rand.New(rand.NewPCG(t.seed, 0))
	select {
	case <-ctx.Done():
	case <-time.After(scenarioLength / 2):
		t.fleet.Engines[random.IntN(t.engines)].Crash()
	}
}

// measureEvenness samples the request counts of the engines in a steady state.
func measureEvenness(ctx context.Context, t *trial) ([]figure, error) {
	ctx, cancel := context.WithTimeout(ctx, scenarioLength)
	defer cancel()
	stats := newCallerStats()
	wait := t.startClosedLoop(ctx, chatWorkload, chatsPerEngine*t.engines, 0, stats)
	time.Sleep(3 * time.Second) // until the load is steady
	var ratios []float64
	sums := make([]float64, t.engines)
	for ctx.Err() == nil {
		if ratio, busy := t.sample(sums); busy {
			ratios = append(ratios, ratio)
		}
		time.Sleep(samplePeriod)
	}
	wait()
	slices.Sort(ratios)
	return []figure{
		{"peak over mean, median of samples", ratios[len(ratios)/2], ""},
		{"peak over mean of the engines' means", peakOverMean(sums), ""},
		{"first token p95", quantileMs(stats.firstToken, 95), "ms"},
	}, nil
}

// sample adds the current request count of each engine to sums. It returns the
// ratio of the largest count to the mean, and whether any engine is busy.
func (t *trial) sample(sums []float64) (ratio float64, busy bool) {
	counts := make([]float64, t.engines)
	total := 0.0
	for i, e := range t.fleet.Engines {
		s := e.Stats()
		counts[i] = float64(s.Running + s.Waiting)
		total += counts[i]
		sums[i] += counts[i]
	}
	return peakOverMean(counts), total > 0
}

// peakOverMean returns the ratio of the largest count to the mean, or 0 if all
// counts are 0.
func peakOverMean(counts []float64) float64 {
	total := 0.0
	for _, c := range counts {
		total += c
	}
	return slices.Max(counts) * float64(len(counts)) / max(total, 1)
}

// measureHeadOfLine compares the latency of short requests on an idle fleet with
// their latency while long requests fill every engine.
func measureHeadOfLine(ctx context.Context, t *trial) ([]figure, error) {
	idle := t.runShortWorkload(ctx, phaseLength, 0)
	longCtx, stopLong := context.WithCancel(ctx)
	long := newCallerStats()
	wait := t.startClosedLoop(longCtx, longWorkload, longPerEngine*t.engines, 1000, long)
	time.Sleep(2 * time.Second)
	full := t.runShortWorkload(ctx, phaseLength, 2000)
	stopLong()
	wait()
	return []figure{
		{"short first token p95, full over idle", quantileMs(full.firstToken, 95) / quantileMs(idle.firstToken, 95), "times"},
		{"short first token p95, idle", quantileMs(idle.firstToken, 95), "ms"},
		{"short first token p95, full", quantileMs(full.firstToken, 95), "ms"},
		{"short first token p50, full", quantileMs(full.firstToken, 50), "ms"},
		{"short retries, full", 100 * float64(full.retries) / float64(max(1, full.sent)), "% of requests"},
		{"short not answered, full", 100 * float64(full.sent-full.responses) / float64(max(1, full.sent)), "% of requests"},
		{"long answers", float64(long.responses), "answers"},
	}, nil
}

// runShortWorkload runs the short workload for a given time. from is the index of
// its first user.
func (t *trial) runShortWorkload(ctx context.Context, length time.Duration, from int) *callerStats {
	ctx, cancel := context.WithTimeout(ctx, length)
	defer cancel()
	stats := newCallerStats()
	t.startClosedLoop(ctx, shortWorkload, shortPerEngine*t.engines, from, stats)()
	return stats
}

// measureStragglers compares the latency of short requests before and after some
// engines become slow.
func measureStragglers(ctx context.Context, t *trial) ([]figure, error) {
	before := t.runShortWorkload(ctx, phaseLength, 0)
	for i := 0; i < t.engines; i += slowEvery {
		t.fleet.Engines[i].SetSlowdown(slowFactor)
	}
	after := t.runShortWorkload(ctx, 2*phaseLength, 1000)
	return []figure{
		{"short p99, with over without", quantileMs(after.total, 99) / quantileMs(before.total, 99), "times"},
		{"short p99 without", quantileMs(before.total, 99), "ms"},
		{"short p99 with", quantileMs(after.total, 99), "ms"},
	}, nil
}

// Demand before and during the peak, as fractions of the capacity.
const (
	normalDemand = 0.3
	peakDemand   = 1.5
	peakLength   = 8 * time.Second
)

// measurePeak raises the demand fivefold within two seconds.
func measurePeak(ctx context.Context, t *trial) ([]figure, error) {
	capacity := t.capacity()
	beforePeak, peak := newCallerStats(), newCallerStats()
	t.startOpenLoop(ctx, capacity*normalDemand, 3*time.Second, 0, beforePeak)()
	waitRise := t.startOpenLoop(ctx, capacity*(normalDemand+peakDemand)/2, 2*time.Second, 100_000, peak)
	before, began := peak.responseCount(), time.Now()
	waitPeak := t.startOpenLoop(ctx, capacity*peakDemand, peakLength, 200_000, peak)
	goodput := float64(peak.responseCount()-before) / time.Since(began).Seconds()
	waitRise()
	waitPeak()
	return []figure{
		{"goodput of the capacity", 100 * goodput / capacity, "%"},
		{"retries of requests", 100 * float64(peak.retries) / float64(max(1, peak.sent)), "%"},
		{"answered", 100 * float64(peak.responses) / float64(max(1, peak.sent)), "% of requests"},
		{"requests sent", float64(peak.sent), "requests"},
		{"first token p95 before", quantileMs(beforePeak.firstToken, 95), "ms"},
	}, nil
}

// capacity returns the responses per second that all engines can give with full
// batches and only the system prompt cached.
func (t *trial) capacity() float64 {
	decode := float64(peakWorkload.maxTokens) * decodePerToken.Seconds() * (1 + batchGrowth*(slots-1))
	prefill := openingWords * prefillPerToken.Seconds()
	return float64(t.engines) * slots / (decode + prefill)
}

// startOpenLoop sends requests at a mean rate per second for a given time, without
// waiting for responses. The returned function waits for the last requests.
func (t *trial) startOpenLoop(ctx context.Context, rate float64, length time.Duration, from int, stats *callerStats) (wait func()) {
	random := rand.New(rand.NewPCG(t.seed, uint64(from)))
	end := time.Now().Add(length)
	var wg sync.WaitGroup
	for i := 0; time.Now().Before(end) && ctx.Err() == nil; i++ {
		u := t.newUser(peakWorkload, from+i)
		wg.Go(func() { u.chat(ctx, stats) })
		time.Sleep(time.Duration(random.ExpFloat64() / rate * float64(time.Second)))
	}
	return wg.Wait
}

// quantileMs returns the q-th percentile in milliseconds.
func quantileMs(h *hdrhistogram.Histogram, q float64) float64 {
	return time.Duration(h.ValueAtQuantile(q)).Seconds() * 1e3
}
