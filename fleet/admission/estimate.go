package admission

import (
	"math/rand/v2"
	"time"
)

// movingAverage is an exponential moving average of durations.
type movingAverage struct {
	mean    time.Duration
	samples int
}

// smoothingSamples is the inverse of the weight of a new sample.
const smoothingSamples = 10

// observe adds a sample.
func (m *movingAverage) observe(d time.Duration) {
	m.samples++
	// The first samples are averaged arithmetically, later ones exponentially.
	m.mean += (d - m.mean) / time.Duration(min(m.samples, smoothingSamples))
}

// estimateError compares the observed waits of a class with the estimated ones. They
// differ because an estimate does not include requests that arrive later and are admitted
// earlier.
type estimateError struct {
	estimated, waited movingAverage
}

// Bounds of the correction factor of an estimate.
const (
	minCorrection = 0.5
	maxCorrection = 4
)

// correct multiplies an estimate by the ratio of the observed to the estimated waits.
func (f *estimateError) correct(estimate time.Duration) time.Duration {
	if f.estimated.mean <= 0 {
		return estimate
	}
	factor := float64(f.waited.mean) / float64(f.estimated.mean)
	return time.Duration(float64(estimate) * min(max(factor, minCorrection), maxCorrection))
}

// record adds the wait of a request that was admitted or timed out.
func (f *estimateError) record(w *waiter, now time.Time) {
	if w.estimated > 0 {
		f.estimated.observe(w.estimated)
		f.waited.observe(now.Sub(w.arrived))
	}
}

// estimate returns the expected wait of a queued request, corrected by the error of
// earlier estimates. It sets w.estimated if that is zero and w is not exclusive. The caller
// holds Queue.mu.
func (q *Queue) estimate(w *waiter) time.Duration {
	if w.item.Exclusive {
		return q.estimateExclusive()
	}
	ahead := q.estimateAhead(w)
	if w.estimated == 0 {
		w.estimated = ahead
	}
	return q.classes[w.rank].estimateError.correct(ahead)
}

// estimateAhead returns the expected time until w and all requests ahead of it have a
// slot. It is computed from the observed mean times for which requests hold their slots,
// and is zero until the first request in flight has ended. The caller holds Queue.mu.
func (q *Queue) estimateAhead(w *waiter) time.Duration {
	all := q.releaseRate(0)
	class := q.classes[w.rank]
	if w.rank == rankShort {
		return timeToRelease(class.ahead(w)+1, all)
	}
	// Class short goes first. Slots of its reserve do not become free for other classes.
	wait := timeToRelease(q.classes[rankShort].queued(), all)
	ahead := class.ahead(w)
	if w.rank == rankLong {
		ahead += q.classes[rankChat].queued()
	}
	return wait + timeToRelease(ahead+1, q.releaseRate(q.opts.ShortReserve))
}

// estimateExclusive returns the expected time until all requests in flight have ended:
// the highest mean hold time of the classes in flight.
func (q *Queue) estimateExclusive() time.Duration {
	var wait time.Duration
	for _, c := range q.classes {
		if c.inFlight > 0 {
			wait = max(wait, c.holdTime.mean)
		}
	}
	return wait
}

// releaseRate returns the expected number of slots released per second. It leaves out as
// many slots of class short as reserve says.
func (q *Queue) releaseRate(reserve int) float64 {
	rate := 0.0
	for r, c := range q.classes {
		n := c.inFlight
		if rank(r) == rankShort {
			n = max(0, n-reserve)
		}
		if c.holdTime.samples > 0 {
			rate += float64(n) / max(c.holdTime.mean, time.Microsecond).Seconds()
		}
	}
	return rate
}

// timeToRelease returns the time in which n slots are released, or zero if the rate is
// not known.
func timeToRelease(n int, perSecond float64) time.Duration {
	if perSecond <= 0 {
		return 0
	}
	return time.Duration(float64(n) / perSecond * float64(time.Second))
}

// retryAfter returns the retry delay for an estimated wait, with a jitter of 25 percent in
// both directions, so that callers refused at the same time do not retry at the same
// time.
func retryAfter(estimate time.Duration) time.Duration {
	estimate = min(max(estimate, minRetryAfter), maxRetryAfter)
	return estimate*3/4 + rand.N(estimate/2)
}
