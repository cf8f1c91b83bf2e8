package admission

import (
	"container/list"
	"context"
	"math"
	"sync"
	"time"

	"cassialatch.dev/outcome"
	"github.com/cockroachdb/errors"
)

// Queue admits requests to one backend server. It is safe for concurrent use and starts no
// goroutines.
type Queue struct {
	opts Options

	mu        sync.Mutex
	limit     int
	inFlight  int
	peak      int
	seq       uint64
	classes   [rankCount]*classQueue
	exclusive exclusiveQueue
	closed    *outcome.Error // refusal of all requests after Close; nil before
}

// New returns a Queue without any requests.
func New(o Options) *Queue {
	if o.AgeAfter <= 0 {
		o.AgeAfter = DefaultAgeAfter
	}
	if o.Now == nil {
		o.Now = time.Now
	}
	q := &Queue{opts: o, limit: o.Limit, exclusive: newExclusiveQueue()}
	for r := range q.classes {
		q.classes[r] = newClassQueue()
	}
	return q
}

// waiter is a request that was passed to Acquire. Queue.mu guards it until decided is
// closed; after that it does not change.
type waiter struct {
	item      Item
	rank      rank
	seq       uint64
	arrived   time.Time
	expiresAt time.Time // earlier of queue timeout and deadline; zero for neither
	agedAt    time.Time // when the request counts as aged

	estimated time.Duration // first estimate of the wait, uncorrected; zero if unknown

	flow    *flow
	element *list.Element // in flow.items
	arrival *list.Element // in classQueue.arrivals or exclusiveQueue.waiting

	decided chan struct{} // closed once slot or err is set
	slot    *Slot
	err     *outcome.Error
}

// virtualCost returns the virtual time charged to the workspace for the request.
func (w *waiter) virtualCost() float64 {
	return float64(max(w.item.Cost, 1)) / float64(max(w.item.Weight, 1))
}

// timeoutError returns the error for the bound on the wait that is reached first.
func (w *waiter) timeoutError() *outcome.Error {
	if w.expiresAt.Equal(w.item.Deadline) {
		return errDeadline
	}
	return errQueueTimeout
}

// Acquire waits for a slot. The caller must release the slot when the request has ended.
// A refusal is an *outcome.Error with outcome not-run. Acquire refuses a request at once
// if the estimated wait plus a margin exceeds the queue timeout or the deadline. It
// refuses a queued request when either of them has passed, ctx is done, or the queue is
// flushed or closed.
func (q *Queue) Acquire(ctx context.Context, item Item) (*Slot, error) {
	if ctx.Err() != nil {
		return nil, contextError(ctx)
	}
	w := q.enqueue(item)
	select {
	case <-w.decided:
		return w.result()
	default:
	}
	expired, stop := w.timer(q.opts.Now())
	defer stop()
	select {
	case <-w.decided:
	case <-expired:
		q.cancel(w, w.timeoutError())
	case <-ctx.Done():
		q.cancel(w, contextError(ctx))
	}
	return w.result()
}

// enqueue adds a request to the queue. It admits or refuses the request at once if
// possible.
func (q *Queue) enqueue(item Item) *waiter {
	now := q.opts.Now()
	w := &waiter{item: item, rank: rankOf(item.Class), arrived: now, decided: make(chan struct{})}
	w.expiresAt = expiry(now, item)
	w.agedAt = now.Add(q.ageAfter(item))

	q.mu.Lock()
	defer q.mu.Unlock()
	if q.closed != nil {
		w.refuse(q.closed)
		return w
	}
	q.seq++
	w.seq = q.seq
	q.push(w)
	q.dispatch()
	if w.waiting() {
		q.refuseByEstimate(w, now)
	}
	return w
}

// estimateMarginDivisor sets the margin added to an estimated wait to a quarter of the
// estimate. Waits scatter around their estimates, so without a margin half of the
// requests in a queue as long as the timeout would wait and still time out.
const estimateMarginDivisor = 4

// refuseByEstimate refuses a new request if its estimated wait plus the margin exceeds its
// bound. The caller holds q.mu.
func (q *Queue) refuseByEstimate(w *waiter, now time.Time) {
	if w.expiresAt.IsZero() {
		return
	}
	estimate := q.estimate(w)
	if now.Add(estimate + estimate/estimateMarginDivisor).After(w.expiresAt) {
		q.drop(w, w.timeoutError().WithRetryAfter(retryAfter(estimate)))
		q.dispatch()
	}
}

// ageAfter returns the wait after which a request counts as aged. It is at most half the
// queue timeout, so that the floor applies before the request times out.
func (q *Queue) ageAfter(item Item) time.Duration {
	if item.QueueTimeout > 0 {
		return min(q.opts.AgeAfter, item.QueueTimeout/2)
	}
	return q.opts.AgeAfter
}

// expiry returns the earlier of queue timeout and deadline, or zero if neither is set.
func expiry(now time.Time, item Item) time.Time {
	if item.QueueTimeout <= 0 {
		return item.Deadline
	}
	timeout := now.Add(item.QueueTimeout)
	if !item.Deadline.IsZero() && item.Deadline.Before(timeout) {
		return item.Deadline
	}
	return timeout
}

// cancel removes a request from the queue and refuses it with err, unless it has been
// admitted or refused already.
func (q *Queue) cancel(w *waiter, err *outcome.Error) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if !w.waiting() {
		return
	}
	if err.Code != outcome.CodeCallerGone {
		q.classes[w.rank].estimateError.record(w, q.opts.Now())
		err = err.WithRetryAfter(retryAfter(q.estimate(w)))
	}
	q.drop(w, err)
	q.dispatch() // an exclusive request may have blocked others
}

// SetLimit changes the limit and admits requests accordingly. Requests in flight above a
// lower limit are not interrupted.
func (q *Queue) SetLimit(limit int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.limit = limit
	q.dispatch()
}

// Dispatch admits queued requests up to the limits. It must be called when the limit
// returned by Options.CurrentLimit has increased.
func (q *Queue) Dispatch() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.dispatch()
}

// Counts returns the current counts.
func (q *Queue) Counts() Counts {
	q.mu.Lock()
	defer q.mu.Unlock()
	return Counts{
		InFlight:     q.inFlight,
		Queued:       q.queued() + q.exclusive.waiting.Len(),
		InFlightLong: q.classes[rankLong].inFlight,
		PeakInFlight: q.peak,
	}
}

// Close refuses all queued and all later requests with err, whose outcome must be not-run.
// A nil err selects a default. Requests in flight are not interrupted. Calls after the
// first have no effect.
func (q *Queue) Close(err *outcome.Error) {
	if err == nil {
		err = errClosed
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.closed != nil {
		return
	}
	q.closed = err
	q.flush(err)
}

// Flush refuses all queued requests with err. The queue stays open.
func (q *Queue) Flush(err *outcome.Error) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.flush(err)
}

// flush refuses all queued requests. The caller holds q.mu.
func (q *Queue) flush(err *outcome.Error) {
	for q.exclusive.waiting.Len() > 0 {
		q.drop(q.exclusive.next(), err)
	}
	for _, c := range q.classes {
		for c.queued() > 0 {
			q.drop(c.next(), err)
		}
	}
}

// waiting reports whether the request is neither admitted nor refused.
func (w *waiter) waiting() bool { return w.slot == nil && w.err == nil }

// refuse sets the error that Acquire returns.
func (w *waiter) refuse(err *outcome.Error) {
	w.err = err
	close(w.decided)
}

// result returns the results of Acquire. It must not be called before decided is closed.
func (w *waiter) result() (*Slot, error) {
	if w.err != nil {
		return nil, w.err
	}
	return w.slot, nil
}

// timer returns a channel that receives a value when the request expires, and a function
// that stops the timer.
func (w *waiter) timer(now time.Time) (expired <-chan time.Time, stop func() bool) {
	left := time.Duration(math.MaxInt64)
	if !w.expiresAt.IsZero() {
		left = w.expiresAt.Sub(now)
	}
	t := time.NewTimer(left)
	return t.C, t.Stop
}

// contextError returns the error for a context that is done.
func contextError(ctx context.Context) *outcome.Error {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return errDeadline.WithCause(ctx.Err())
	}
	return errCallerGone.WithCause(ctx.Err())
}
