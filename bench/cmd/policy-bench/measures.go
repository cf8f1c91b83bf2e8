package main

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// figure is one result of a measure.
type figure struct {
	name  string
	value float64
	unit  string
}

// measure runs one scenario.
type measure func(ctx context.Context, t *trial) ([]figure, error)

// measures by name.
var measures = map[string]measure{
	"cache":        measureCache,
	"evenness":     measureEvenness,
	"head-of-line": measureHeadOfLine,
	"stragglers":   measureStragglers,
	"crest":        measureCrest,
}

// Lengths and loads of the scenarios.
const (
	scenarioLength = 12 * time.Second
	phaseLength    = 5 * time.Second
	chatsPerEngine = 6 // chat users; about half of the slots are busy
	shortPerEngine = 1
	longPerEngine  = 12 // more than the slots
	samplePeriod   = 50 * time.Millisecond
	slowFactor     = 4
	slowPart       = 5 // one engine of so many is slow
)

// measureCache lets chats return while an engine loses its cache, and compares
// the reused tokens with those that the best placement could have reused.
func measureCache(ctx context.Context, t *trial) ([]figure, error) {
	ctx, cancel := context.WithTimeout(ctx, scenarioLength)
	defer cancel()
	seen := newTally()
	wait := t.start(ctx, chatWork, chatsPerEngine*t.engines, 0, seen)
	t.churn(ctx)
	wait()
	return []figure{
		{"reused of the oracle's tokens", 100 * float64(seen.cached) / float64(max(1, seen.possible)), "%"},
		{"first token p95", quantile(seen.first, 95), "ms"},
		{"not answered", 100 * float64(seen.sent-seen.answered) / float64(max(1, seen.sent)), "% of requests"},
	}, nil
}

// churn crashes one engine in the middle of the scenario. At ten engines that
// is half of the engines a minute, at twenty a quarter.
func (t *trial) churn(ctx context.Context) {
	random := rand.New(rand.NewPCG(t.seed, 0))
	select {
	case <-ctx.Done():
	case <-time.After(scenarioLength / 2):
		t.fleet.Engines[random.IntN(t.engines)].Crash()
	}
}

// measureEvenness samples the engines' own counts in a steady state.
func measureEvenness(ctx context.Context, t *trial) ([]figure, error) {
	ctx, cancel := context.WithTimeout(ctx, scenarioLength)
	defer cancel()
	seen := newTally()
	wait := t.start(ctx, chatWork, chatsPerEngine*t.engines, 0, seen)
	time.Sleep(3 * time.Second) // until it is steady
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
		{"first token p95", quantile(seen.first, 95), "ms"},
	}, nil
}

// sample adds the present counts to sums and returns their peak over mean.
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

// peakOverMean returns the largest count over their mean.
func peakOverMean(counts []float64) float64 {
	total := 0.0
	for _, c := range counts {
		total += c
	}
	return slices.Max(counts) * float64(len(counts)) / max(total, 1)
}

// measureHeadOfLine compares short work on an idle fleet with short work while
// long work fills every engine.
func measureHeadOfLine(ctx context.Context, t *trial) ([]figure, error) {
	idle := t.shortOnly(ctx, phaseLength, 0)
	longCtx, stopLong := context.WithCancel(ctx)
	long := newTally()
	wait := t.start(longCtx, longWork, longPerEngine*t.engines, 1000, long)
	time.Sleep(2 * time.Second)
	full := t.shortOnly(ctx, phaseLength, 2000)
	stopLong()
	wait()
	return []figure{
		{"short first token p95, full over idle", quantile(full.first, 95) / quantile(idle.first, 95), "times"},
		{"short first token p95, idle", quantile(idle.first, 95), "ms"},
		{"short first token p95, full", quantile(full.first, 95), "ms"},
		{"short first token p50, full", quantile(full.first, 50), "ms"},
		{"short retries, full", 100 * float64(full.retry) / float64(max(1, full.sent)), "% of requests"},
		{"short not answered, full", 100 * float64(full.sent-full.answered) / float64(max(1, full.sent)), "% of requests"},
		{"long answers", float64(long.answered), "answers"},
	}, nil
}

// shortOnly puts short work on the fleet for a while.
func (t *trial) shortOnly(ctx context.Context, length time.Duration, from int) *tally {
	ctx, cancel := context.WithTimeout(ctx, length)
	defer cancel()
	seen := newTally()
	t.start(ctx, shortWork, shortPerEngine*t.engines, from, seen)()
	return seen
}

// measureStragglers compares short work with and without slow engines.
func measureStragglers(ctx context.Context, t *trial) ([]figure, error) {
	before := t.shortOnly(ctx, phaseLength, 0)
	for i := 0; i < t.engines; i += slowPart {
		t.fleet.Engines[i].SetSlowdown(slowFactor)
	}
	after := t.shortOnly(ctx, 2*phaseLength, 1000)
	return []figure{
		{"short p99, with over without", quantile(after.whole, 99) / quantile(before.whole, 99), "times"},
		{"short p99 without", quantile(before.whole, 99), "ms"},
		{"short p99 with", quantile(after.whole, 99), "ms"},
	}, nil
}

// Demand of the crest, as parts of what the engines can do.
const (
	demandBefore = 0.3
	demandCrest  = 1.5
	crestLength  = 8 * time.Second
)

// measureCrest raises the demand fivefold within two seconds.
func measureCrest(ctx context.Context, t *trial) ([]figure, error) {
	capacity := t.capacity()
	calm, crest := newTally(), newTally()
	t.openLoop(ctx, capacity*demandBefore, 3*time.Second, 0, calm)()
	waitRise := t.openLoop(ctx, capacity*(demandBefore+demandCrest)/2, 2*time.Second, 100_000, crest)
	before, began := crest.answers(), time.Now()
	waitCrest := t.openLoop(ctx, capacity*demandCrest, crestLength, 200_000, crest)
	goodput := float64(crest.answers()-before) / time.Since(began).Seconds()
	waitRise()
	waitCrest()
	return []figure{
		{"goodput of the capacity", 100 * goodput / capacity, "%"},
		{"retries of requests", 100 * float64(crest.retry) / float64(max(1, crest.sent)), "%"},
		{"answered", 100 * float64(crest.answered) / float64(max(1, crest.sent)), "% of requests"},
		{"requests sent", float64(crest.sent), "requests"},
		{"first token p95 before", quantile(calm.first, 95), "ms"},
	}, nil
}

// capacity returns the answers a second of all engines with full batches and
// nothing cached but the system prompt.
func (t *trial) capacity() float64 {
	decode := float64(crestWork.maxTokens) * decodePerToken.Seconds() * (1 + batchGrowth*(slots-1))
	prefill := openingWords * prefillPerToken.Seconds()
	return float64(t.engines) * slots / (decode + prefill)
}

// openLoop sends requests at a rate for a while, whatever becomes of them; the
// returned function waits for their ends.
func (t *trial) openLoop(ctx context.Context, rate float64, length time.Duration, from int, into *tally) (wait func()) {
	random := rand.New(rand.NewPCG(t.seed, uint64(from)))
	end := time.Now().Add(length)
	var wg sync.WaitGroup
	for i := 0; time.Now().Before(end) && ctx.Err() == nil; i++ {
		u := t.newUser(crestWork, from+i)
		wg.Go(func() { u.chat(ctx, into) })
		time.Sleep(time.Duration(random.ExpFloat64() / rate * float64(time.Second)))
	}
	return wg.Wait
}

// quantile returns a quantile in milliseconds.
func quantile(h *hdrhistogram.Histogram, q float64) float64 {
	return time.Duration(h.ValueAtQuantile(q)).Seconds() * 1e3
}
