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

// Queue admits requests to one backend server. It is safe for concurrent use
// and runs no goroutine of its own.
type Queue struct {
	opts Options

	mu        sync.Mutex
	limit     int
	inFlight  int
	peak      int
	seq       uint64
	classes   [rankCount]*classQueue
	exclusive exclusiveQueue
	closed    *outcome.Error // nil while open
}

// New returns an open queue.
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

// waiter is one request in the queue. Queue.mu guards it until decided is
// closed; after that it does not change.
type waiter struct {
	item    Item
	rank    rank
	seq     uint64
	arrived time.Time
	expires time.Time // zero: never
	ages    time.Time // when it begins to count for the floor of its class

	estimated time.Duration // of the wait at arrival, uncorrected; zero: unknown

	flow    *flow
	element *list.Element // in flow.items
	arrival *list.Element // in classQueue.arrivals or exclusiveQueue.waiting

	decided chan struct{}
	slot    *Slot
	err     *outcome.Error
}

// charge is the virtual time that the workspace pays for the request.
func (w *waiter) charge() float64 {
	return float64(max(w.item.Cost, 1)) / float64(max(w.item.Weight, 1))
}

// timeoutError tells which of the two bounds on the wait came first.
func (w *waiter) timeoutError() *outcome.Error {
	if w.expires.Equal(w.item.Deadline) {
		return errDeadline
	}
	return errQueueTimeout
}

// Acquire waits for a slot. It fails with a *outcome.Error of outcome not-run:
// at arrival when the estimated wait and a margin exceed the queue timeout or
// the deadline, later when either of them has passed, ctx is done or the queue is
// closed.
func (q *Queue) Acquire(ctx context.Context, item Item) (*Slot, error) {
	if ctx.Err() != nil {
		return nil, contextError(ctx)
	}
	w := q.arrive(item)
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
		q.giveUp(w, w.timeoutError())
	case <-ctx.Done():
		q.giveUp(w, contextError(ctx))
	}
	return w.result()
}

// arrive queues the request and decides at once when it can.
func (q *Queue) arrive(item Item) *waiter {
	now := q.opts.Now()
	w := &waiter{item: item, rank: rankOf(item.Class), arrived: now, decided: make(chan struct{})}
	w.expires = expiry(now, item)
	w.ages = now.Add(q.ageAfter(item))

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
		q.refuseHopeless(w, now)
	}
	return w
}

// estimateMargin is the divisor of the margin, a quarter of the estimate. A
// queue that is kept as long as the timeout would let every second request
// wait in vain, since waits scatter about their estimate.
const estimateMargin = 4

// refuseHopeless refuses a new request whose estimated wait is too long. q.mu
// is held.
func (q *Queue) refuseHopeless(w *waiter, now time.Time) {
	if w.expires.IsZero() {
		return
	}
	estimate := q.estimate(w)
	if now.Add(estimate + estimate/estimateMargin).After(w.expires) {
		q.drop(w, w.timeoutError().WithRetryAfter(retryAfter(estimate)))
		q.dispatch()
	}
}

// ageAfter is shorter for a request that cannot wait for long, or the floor
// would come too late for it.
func (q *Queue) ageAfter(item Item) time.Duration {
	if item.QueueTimeout > 0 {
		return min(q.opts.AgeAfter, item.QueueTimeout/2)
	}
	return q.opts.AgeAfter
}

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

// giveUp takes the request out of the queue unless it was decided meanwhile.
func (q *Queue) giveUp(w *waiter, err *outcome.Error) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if !w.waiting() {
		return
	}
	if err.Code != outcome.CodeCallerGone {
		q.classes[w.rank].forecast.learn(w, q.opts.Now())
		err = err.WithRetryAfter(retryAfter(q.estimate(w)))
	}
	q.drop(w, err)
	q.dispatch() // the request may have held others back
}

// SetLimit changes the limit. Work in flight above it runs on.
func (q *Queue) SetLimit(limit int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.limit = limit
	q.dispatch()
}

// Dispatch admits what the limits now allow. Call it when the limit that
// Options.Admit returns has grown.
func (q *Queue) Dispatch() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.dispatch()
}

// Counts returns a snapshot.
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

// Close refuses all that wait and all that come later with err, whose outcome
// must be not-run. Work in flight runs on.
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

// Flush refuses all requests that wait and goes on.
func (q *Queue) Flush(err *outcome.Error) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.flush(err)
}

// flush refuses all requests that wait. q.mu is held.
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

func (w *waiter) waiting() bool { return w.slot == nil && w.err == nil }

func (w *waiter) refuse(err *outcome.Error) {
	w.err = err
	close(w.decided)
}

// result may be called once decided is closed.
func (w *waiter) result() (*Slot, error) {
	if w.err != nil {
		return nil, w.err
	}
	return w.slot, nil
}

// timer returns a channel that is ready when the wait has been too long.
func (w *waiter) timer(now time.Time) (expired <-chan time.Time, stop func() bool) {
	left := time.Duration(math.MaxInt64)
	if !w.expires.IsZero() {
		left = w.expires.Sub(now)
	}
	t := time.NewTimer(left)
	return t.C, t.Stop
}

func contextError(ctx context.Context) *outcome.Error {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return errDeadline.WithCause(ctx.Err())
	}
	return errCallerGone.WithCause(ctx.Err())
}
