package router

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Figures of the delay before a hedge.
const (
	hedgeQuantile = 95.0                  // of the times to the first token
	minHedgeDelay = 50 * time.Millisecond // a hedge earlier than this saves nothing
	minSamples    = 32                    // below it no delay is known
	delayWindow   = 10 * time.Second      // after which a delay is computed anew
	delayWindows  = 3                     // that count together
	maxFirstToken = 10 * time.Minute
	digits        = 2
)

// kind is what the time to the first token depends on besides the load.
type kind struct {
	service string
	class   string
	stream  bool
}

// firstTokens derives the delay before a hedge from what this daemon observed.
// It is safe for concurrent use.
type firstTokens struct {
	now func() time.Time

	mu    sync.Mutex
	kinds map[kind]*observed
}

// observed are the times to the first token of one kind.
type observed struct {
	times   *hdrhistogram.WindowedHistogram
	window  time.Time // begin of the current window
	samples int       // in the current window
	delay   time.Duration
}

// add notes a time to the first token.
func (f *firstTokens) add(k kind, d time.Duration) {
	now := f.now()
	f.mu.Lock()
	defer f.mu.Unlock()
	o := f.kinds[k]
	if o == nil {
		o = &observed{
			times:  hdrhistogram.NewWindowed(delayWindows, 1, maxFirstToken.Microseconds(), digits),
			window: now,
		}
		f.kinds[k] = o
	}
	_ = o.times.Current.RecordValue(min(d, maxFirstToken).Microseconds()) // within range
	o.samples++
	switch {
	case now.Sub(o.window) >= delayWindow:
		o.refresh()
		o.times.Rotate()
		o.window, o.samples = now, 0
	case o.delay == 0 && o.samples%minSamples == 0:
		o.refresh()
	}
}

// refresh computes the delay anew.
func (o *observed) refresh() {
	merged := o.times.Merge()
	if merged.TotalCount() < minSamples {
		return
	}
	quantile := time.Duration(merged.ValueAtQuantile(hedgeQuantile)) * time.Microsecond
	o.delay = max(quantile, minHedgeDelay)
}

// delay returns how long a request waits for its first token before it is
// hedged; false when too little was observed.
func (f *firstTokens) delay(k kind) (time.Duration, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	o := f.kinds[k]
	if o == nil || o.delay == 0 {
		return 0, false
	}
	return o.delay, true
}
