package router

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Parameters of the hedge delay.
const (
	hedgeQuantile     = 95.0                  // percentile of the times to first token that is the hedge delay
	minHedgeDelay     = 50 * time.Millisecond // an earlier hedge saves no time
	minSamples        = 32                    // number of samples below which the delay is unknown
	windowLength      = 10 * time.Second      // interval at which the delay is recomputed
	windowCount       = 3                     // windows whose samples count
	maxFirstToken     = 10 * time.Minute      // longer times are recorded as this
	significantDigits = 2                     // precision of the histograms
)

// requestKind groups requests whose times to first token are comparable. Within a
// kind, the time depends mainly on the load.
type requestKind struct {
	service string
	class   string
	stream  bool
}

// firstTokenTimes derives the hedge delay from the times to first token that this
// daemon has observed. It is safe for concurrent use.
type firstTokenTimes struct {
	now func() time.Time

	mu    sync.Mutex
	kinds map[requestKind]*kindStats
}

// kindStats holds the times to first token of one kind of request.
type kindStats struct {
	times       *hdrhistogram.WindowedHistogram
	windowStart time.Time     // start of the current window
	samples     int           // in the current window
	delay       time.Duration // hedge delay; zero while unknown
}

// add records a time to first token.
func (f *firstTokenTimes) add(k requestKind, d time.Duration) {
	now := f.now()
	f.mu.Lock()
	defer f.mu.Unlock()
	o := f.kinds[k]
	if o == nil {
		o = &kindStats{
			times:       hdrhistogram.NewWindowed(windowCount, 1, maxFirstToken.Microseconds(), significantDigits),
			windowStart: now,
		}
		f.kinds[k] = o
	}
	_ = o.times.Current.RecordValue(min(d, maxFirstToken).Microseconds()) // never out of range
	o.samples++
	switch {
	case now.Sub(o.windowStart) >= windowLength:
		o.updateDelay()
		o.times.Rotate()
		o.windowStart, o.samples = now, 0
	case o.delay == 0 && o.samples%minSamples == 0:
		o.updateDelay()
	}
}

// updateDelay recomputes the delay from the samples of all windows.
func (o *kindStats) updateDelay() {
	merged := o.times.Merge()
	if merged.TotalCount() < minSamples {
		return
	}
	quantile := time.Duration(merged.ValueAtQuantile(hedgeQuantile)) * time.Microsecond
	o.delay = max(quantile, minHedgeDelay)
}

// hedgeDelay returns the time that a request waits for its first token before it
// is hedged. It returns false if there are too few samples.
func (f *firstTokenTimes) hedgeDelay(k requestKind) (time.Duration, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	o := f.kinds[k]
	if o == nil || o.delay == 0 {
		return 0, false
	}
	return o.delay, true
}
