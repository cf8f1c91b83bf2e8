package admission

import (
	"container/list"
	"sync"
	"time"

	"cassialatch.dev/outcome"
)

// Slot permits one request to run on the backend server. It is safe for concurrent use.
type Slot struct {
	queue     *Queue
	rank      rank
	exclusive bool
	admitted  time.Time
	waited    time.Duration
	once      sync.Once
}

// Waited returns the time that the request spent in the queue.
func (s *Slot) Waited() time.Duration { return s.waited }

// Release returns the slot to the queue. Calls after the first have no effect.
func (s *Slot) Release() { s.once.Do(func() { s.queue.release(s) }) }

// release updates the counts after a request has ended and dispatches queued requests.
func (q *Queue) release(s *Slot) {
	q.mu.Lock()
	defer q.mu.Unlock()
	c := q.classes[s.rank]
	c.inFlight--
	c.holdTime.observe(q.opts.Now().Sub(s.admitted))
	c.resetIfIdle()
	q.inFlight--
	if s.exclusive {
		q.exclusive.running = false
	}
	q.dispatch()
}

// exclusiveQueue holds the queued requests that must run alone, in order of arrival.
type exclusiveQueue struct {
	waiting        *list.List // of *waiter
	running        bool
	othersAdmitted int  // other requests admitted since the last exclusive one
	hasRun         bool // an exclusive request has been admitted before
}

func newExclusiveQueue() exclusiveQueue { return exclusiveQueue{waiting: list.New()} }

// next returns the first exclusive request. The queue must not be empty.
func (e *exclusiveQueue) next() *waiter { return e.waiting.Front().Value.(*waiter) }

// blocksOthers reports whether no other request is admitted until the backend server is
// empty and the first exclusive request has run. After an exclusive request, as many
// others as the limit allows are admitted before the next one, so that a series of
// exclusive requests does not starve the others.
func (e *exclusiveQueue) blocksOthers(limit, queued int) bool {
	if e.waiting.Len() == 0 {
		return false
	}
	return !e.hasRun || e.othersAdmitted >= limit || queued == 0
}

// The caller of each function below holds Queue.mu.

// queued returns the number of queued requests that are not exclusive.
func (q *Queue) queued() int {
	n := 0
	for _, c := range q.classes {
		n += c.queued()
	}
	return n
}

// push adds a request to the queue of its class or to the exclusive queue.
func (q *Queue) push(w *waiter) {
	if w.item.Exclusive {
		w.arrival = q.exclusive.waiting.PushBack(w)
		return
	}
	q.classes[w.rank].push(w)
}

// remove removes a queued request.
func (q *Queue) remove(w *waiter, admitted bool) {
	if w.item.Exclusive {
		q.exclusive.waiting.Remove(w.arrival)
		return
	}
	q.classes[w.rank].remove(w, admitted)
}

// drop removes a queued request and refuses it with err.
func (q *Queue) drop(w *waiter, err *outcome.Error) {
	q.remove(w, false)
	w.refuse(err)
}

// dispatch admits queued requests until a limit is reached.
func (q *Queue) dispatch() {
	for q.dispatchOne() {
	}
}

// dispatchOne admits or refuses one queued request. It returns false if no request can be
// admitted now.
func (q *Queue) dispatchOne() bool {
	if q.queued()+q.exclusive.waiting.Len() == 0 {
		return false
	}
	limit := q.limit
	if q.opts.CurrentLimit != nil {
		limit = min(limit, q.opts.CurrentLimit())
	}
	if q.inFlight >= limit || q.exclusive.running {
		return false
	}
	now := q.opts.Now()
	w := q.pick(now, limit)
	if w == nil {
		return false
	}
	// The timer of a request may fire late, for example after the process was paused.
	if !w.expiresAt.IsZero() && !now.Before(w.expiresAt) {
		q.classes[w.rank].estimateError.record(w, now)
		q.drop(w, w.timeoutError().WithRetryAfter(retryAfter(q.estimate(w))))
		return true
	}
	q.admit(w, now)
	return true
}

// pick returns the next request to admit, or nil if the free slots are not available to
// any queued request. The caller has checked that a slot is free.
func (q *Queue) pick(now time.Time, limit int) *waiter {
	if q.exclusive.blocksOthers(limit, q.queued()) {
		if q.inFlight > 0 {
			return nil
		}
		return q.exclusive.next()
	}
	shared := limit - min(q.opts.ShortReserve, limit-1)
	sharedFree := q.inFlight-q.classes[rankShort].inFlight < shared
	if sharedFree {
		if c := q.belowFloor(now, shared); c != nil {
			return c.next()
		}
	}
	for r, c := range q.classes {
		if c.queued() > 0 && (sharedFree || rank(r) == rankShort) {
			return c.next()
		}
	}
	return nil
}

// belowFloor returns the first class that has aged requests and holds fewer slots than
// its floor, or nil.
func (q *Queue) belowFloor(now time.Time, shared int) *classQueue {
	floor := max(1, shared/floorDivisor)
	for _, c := range q.classes[rankChat:] {
		if c.inFlight < floor && c.aged(now) {
			return c
		}
	}
	return nil
}

// admit gives a slot to a queued request.
func (q *Queue) admit(w *waiter, now time.Time) {
	q.classes[w.rank].estimateError.record(w, now)
	q.inFlight++
	q.peak = max(q.peak, q.inFlight)
	q.classes[w.rank].inFlight++ // before remove, which resets the class if it is idle
	q.remove(w, true)
	if w.item.Exclusive {
		q.exclusive.running, q.exclusive.hasRun, q.exclusive.othersAdmitted = true, true, 0
	} else {
		q.exclusive.othersAdmitted++
	}
	w.slot = &Slot{
		queue:     q,
		rank:      w.rank,
		exclusive: w.item.Exclusive,
		admitted:  now,
		waited:    now.Sub(w.arrived),
	}
	close(w.decided)
}
