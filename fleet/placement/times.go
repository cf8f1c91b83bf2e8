package placement

import (
	"sync"
	"time"
)

// Parameters of TimeEstimator. Samples outside of the bounds are clamped.
const (
	// smoothingSamples is the number of samples after which a new one has the
	// fixed weight 1/smoothingSamples.
	smoothingSamples = 64
	minPrefillTokens = 32 // for fewer, network delay dominates the time to the first token
	minPrefill       = 10 * time.Microsecond
	maxPrefill       = 10 * time.Millisecond
	minService       = 10 * time.Millisecond
	maxService       = 10 * time.Minute
)

// movingAverage is the plain mean of the first smoothingSamples samples and an
// exponential moving average after that.
type movingAverage struct {
	mean    float64
	samples int
}

// add updates the average with one sample.
func (a *movingAverage) add(value float64) {
	a.samples++
	a.mean += (value - a.mean) / float64(min(a.samples, smoothingSamples))
}

// TimeEstimator estimates service and prefill times from complete responses. The
// zero value is ready to use. It is safe for concurrent use.
type TimeEstimator struct {
	mu      sync.Mutex
	service movingAverage // time for which a request occupies a slot, in nanoseconds
	prefill movingAverage // time per uncached prompt token, in nanoseconds
}

// Observe records one response: its service time, its time to first token, the mean
// time between tokens, and the number of prompt tokens that were not cached. On a
// nil TimeEstimator it does nothing.
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

// Estimates returns the mean service time and the mean prefill time per uncached
// token. A value is zero while there is no sample for it.
func (t *TimeEstimator) Estimates() (service, prefillPerToken time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return time.Duration(t.service.mean), time.Duration(t.prefill.mean)
}
