package placement

import (
	"sync"
	"time"
)

// Bounds of what Times takes, and its smoothing: the weight of a new sample is
// 1/timesSmoothing once there are as many.
const (
	timesSmoothing   = 64
	minPrefillTokens = 32 // fewer tell more about the network than the engine
	minPrefill       = 10 * time.Microsecond
	maxPrefill       = 10 * time.Millisecond
	minService       = 10 * time.Millisecond
	maxService       = 10 * time.Minute
)

// average is a moving average.
type average struct {
	mean    float64
	samples int
}

// add takes one sample.
func (a *average) add(value float64) {
	a.samples++
	a.mean += (value - a.mean) / float64(min(a.samples, timesSmoothing))
}

// TimeEstimator learns from whole answers how long engines take. It is safe for
// concurrent use.
type TimeEstimator struct {
	mu      sync.Mutex
	service average // nanoseconds for which a request holds its slot
	prefill average // nanoseconds for each prompt token
}

// Observe takes an answer: the time that it took, the time to its first token,
// the mean time between tokens, and the prompt tokens that were not cached. A
// nil Times takes nothing.
func (t *TimeEstimator) Observe(service, first, perToken time.Duration, uncached int) {
	if t == nil {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.service.add(float64(min(max(service, minService), maxService)))
	if uncached >= minPrefillTokens {
		prefill := (first - perToken) / time.Duration(uncached)
		t.prefill.add(float64(min(max(prefill, minPrefill), maxPrefill)))
	}
}

// Estimates returns the means; a zero has not been learned yet.
func (t *TimeEstimator) Estimates() (service, prefillPerToken time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return time.Duration(t.service.mean), time.Duration(t.prefill.mean)
}
