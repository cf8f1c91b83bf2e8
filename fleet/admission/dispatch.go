package admission

import (
	"container/list"
	"sync"
	"time"

	"cassialatch.dev/outcome"
)

// Slot is the right to run one request on the backend server.
type Slot struct {
	queue     *Queue
	rank      rank
	exclusive bool
	admitted  time.Time
	waited    time.Duration
	once      sync.Once
}

// Waited is the time that the request spent in the queue.
func (s *Slot) Waited() time.Duration { return s.waited }

// Release gives the slot back. Calls after the first have no effect.
func (s *Slot) Release() { s.once.Do(func() { s.queue.release(s) }) }

func (q *Queue) release(s *Slot) {
	q.mu.Lock()
	defer q.mu.Unlock()
	c := q.classes[s.rank]
	c.inFlight--
	c.hold.observe(q.opts.Now().Sub(s.admitted))
	c.settle()
	q.inFlight--
	if s.exclusive {
		q.exclusive.running = false
	}
	q.dispatch()
}

// exclusiveQueue holds the requests that must run alone, in order of arrival.
type exclusiveQueue struct {
	waiting *list.List // of *waiter
	running bool
	others  int // requests admitted since the last one ran
	ran     bool
}

func newExclusiveQueue() exclusiveQueue { return exclusiveQueue{waiting: list.New()} }

func (e *exclusiveQueue) next() *waiter { return e.waiting.Front().Value.(*waiter) }

// blocks tells whether the first one holds all others back until the backend
// server is empty. After one has run, as many others as the limit allows go
// before the next, so that a series of them cannot shut the others out.
func (e *exclusiveQueue) blocks(limit, queued int) bool {
	if e.waiting.Len() == 0 {
		return false
	}
	return !e.ran || e.others >= limit || queued == 0
}

// The functions below are called with Queue.mu held.

func (q *Queue) queued() int {
	n := 0
	for _, c := range q.classes {
		n += c.queued()
	}
	return n
}

func (q *Queue) push(w *waiter) {
	if w.item.Exclusive {
		w.arrival = q.exclusive.waiting.PushBack(w)
		return
	}
	q.classes[w.rank].push(w)
}

func (q *Queue) remove(w *waiter, admitted bool) {
	if w.item.Exclusive {
		q.exclusive.waiting.Remove(w.arrival)
		return
	}
	q.classes[w.rank].remove(w, admitted)
}

func (q *Queue) drop(w *waiter, err *outcome.Error) {
	q.remove(w, false)
	w.refuse(err)
}

// dispatch admits all that the limits allow.
func (q *Queue) dispatch() {
	for q.dispatchOne() {
	}
}

// dispatchOne admits or refuses one request; false means that none can go.
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
	// The timer of a request may fire late, as after a pause of the process.
	if !w.expires.IsZero() && !now.Before(w.expires) {
		q.classes[w.rank].forecast.learn(w, now)
		q.drop(w, w.timeoutError().WithRetryAfter(retryAfter(q.estimate(w))))
		return true
	}
	q.admit(w, now)
	return true
}

// pick chooses the next request; the caller has checked that a slot is free.
func (q *Queue) pick(now time.Time, limit int) *waiter {
	if q.exclusive.blocks(limit, q.queued()) {
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

// belowFloor returns the class whose requests have aged while it holds less
// than its floor, nil when there is none.
func (q *Queue) belowFloor(now time.Time, shared int) *classQueue {
	floor := max(1, shared/floorDivisor)
	for _, c := range q.classes[rankChat:] {
		if c.inFlight < floor && c.aged(now) {
			return c
		}
	}
	return nil
}

func (q *Queue) admit(w *waiter, now time.Time) {
	q.classes[w.rank].forecast.learn(w, now)
	q.inFlight++
	q.peak = max(q.peak, q.inFlight)
	q.classes[w.rank].inFlight++ // before remove, or the class would look idle
	q.remove(w, true)
	if w.item.Exclusive {
		q.exclusive.running, q.exclusive.ran, q.exclusive.others = true, true, 0
	} else {
		q.exclusive.others++
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
