package admission

import (
	"math/rand/v2"
	"time"
)

// meanTime is a moving average of a time.
type meanTime struct {
	mean    time.Duration
	samples int
}

// meanSmoothing is the weight of a new sample, 1/10.
const meanSmoothing = 10

func (m *meanTime) observe(d time.Duration) {
	m.samples++
	// The plain mean of the first samples, then exponential smoothing.
	m.mean += (d - m.mean) / time.Duration(min(m.samples, meanSmoothing))
}

// forecast compares the waits of a class with what was estimated. The estimate
// leaves out those that arrive later and go first.
type forecast struct {
	estimated, waited meanTime
}

// Bounds of the correction of an estimate.
const (
	minCorrection = 0.5
	maxCorrection = 4
)

// correct multiplies an estimate by the error of the former ones.
func (f *forecast) correct(estimate time.Duration) time.Duration {
	if f.estimated.mean <= 0 {
		return estimate
	}
	factor := float64(f.waited.mean) / float64(f.estimated.mean)
	return time.Duration(float64(estimate) * min(max(factor, minCorrection), maxCorrection))
}

// learn notes the wait of a request that was admitted or timed out.
func (f *forecast) learn(w *waiter, now time.Time) {
	if w.estimated > 0 {
		f.estimated.observe(w.estimated)
		f.waited.observe(now.Sub(w.arrived))
	}
}

// estimate is the expected wait of a queued request, corrected by the error of
// former estimates. It sets w.estimated. Queue.mu is held.
func (q *Queue) estimate(w *waiter) time.Duration {
	if w.item.Exclusive {
		return q.estimateExclusive()
	}
	ahead := q.estimateAhead(w)
	if w.estimated == 0 {
		w.estimated = ahead
	}
	return q.classes[w.rank].forecast.correct(ahead)
}

// estimateAhead is the time in which the requests ahead get their slots, from
// the rate at which the requests in flight have been observed to end. It is
// zero as long as nothing has ended. Queue.mu is held.
func (q *Queue) estimateAhead(w *waiter) time.Duration {
	all := q.releaseRate(0)
	class := q.classes[w.rank]
	if w.rank == rankShort {
		return waitFor(class.ahead(w)+1, all)
	}
	// Short work goes first. Its reserve frees no slot for other classes.
	wait := waitFor(q.classes[rankShort].queued(), all)
	ahead := class.ahead(w)
	if w.rank == rankLong {
		ahead += q.classes[rankChat].queued()
	}
	return wait + waitFor(ahead+1, q.releaseRate(q.opts.ShortReserve))
}

// estimateExclusive is the time that the requests in flight need to end.
func (q *Queue) estimateExclusive() time.Duration {
	var wait time.Duration
	for _, c := range q.classes {
		if c.inFlight > 0 {
			wait = max(wait, c.hold.mean)
		}
	}
	return wait
}

// releaseRate is the number of slots that come free each second, without
// those that short work holds in its reserve.
func (q *Queue) releaseRate(reserve int) float64 {
	rate := 0.0
	for r, c := range q.classes {
		n := c.inFlight
		if rank(r) == rankShort {
			n = max(0, n-reserve)
		}
		if c.hold.samples > 0 {
			rate += float64(n) / max(c.hold.mean, time.Microsecond).Seconds()
		}
	}
	return rate
}

// waitFor is the time in which n slots come free; zero for an unknown rate.
func waitFor(n int, perSecond float64) time.Duration {
	if perSecond <= 0 {
		return 0
	}
	return time.Duration(float64(n) / perSecond * float64(time.Second))
}

// retryAfter spreads the estimate by a quarter either way, so that callers
// that were refused together do not come back together.
func retryAfter(estimate time.Duration) time.Duration {
	estimate = min(max(estimate, minRetryAfter), maxRetryAfter)
	return estimate*3/4 + rand.N(estimate/2)
}
