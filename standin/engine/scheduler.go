package engine

import (
	"container/heap"
	"context"
	"sync"
	"time"
)

// waiter is a request that waits for a slot.
type waiter struct {
	priority int
	arrival  uint64
	ready    chan struct{} // closed when it has a slot
	index    int           // in the queue; -1: has left it
}

// waitQueue orders waiters by priority, then arrival.
type waitQueue []*waiter

func (q waitQueue) Len() int { return len(q) }
func (q waitQueue) Less(i, j int) bool {
	if q[i].priority != q[j].priority {
		return q[i].priority > q[j].priority
	}
	return q[i].arrival < q[j].arrival
}
func (q waitQueue) Swap(i, j int) {
	q[i], q[j] = q[j], q[i]
	q[i].index, q[j].index = i, j
}
func (q *waitQueue) Push(x any) {
	w := x.(*waiter)
	w.index = len(*q)
	*q = append(*q, w)
}
func (q *waitQueue) Pop() any {
	old := *q
	w := old[len(old)-1]
	*q = old[:len(old)-1]
	w.index = -1
	return w
}

// scheduler hands out the batch's slots.
type scheduler struct {
	slots    int
	onChange func(running, waiting int)

	mu       sync.Mutex
	running  int
	queue    waitQueue
	arrivals uint64
	peak     int // of running and waiting together
	began    time.Time
	since    time.Time // of the last change of running
	busy     time.Duration
}

func newScheduler(slots int, onChange func(running, waiting int)) *scheduler {
	now := time.Now()
	return &scheduler{slots: slots, onChange: onChange, began: now, since: now}
}

// acquire waits for a slot. The caller must call release after success.
func (s *scheduler) acquire(ctx context.Context, priority int) error {
	s.mu.Lock()
	s.arrivals++
	w := &waiter{priority: priority, arrival: s.arrivals, ready: make(chan struct{})}
	heap.Push(&s.queue, w)
	s.dispatch()
	s.mu.Unlock()
	select {
	case <-w.ready:
		return nil
	case <-ctx.Done():
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if w.index < 0 { // a slot came at the same moment
		s.setRunning(s.running - 1)
	} else {
		heap.Remove(&s.queue, w.index)
	}
	s.dispatch()
	return ctx.Err()
}

func (s *scheduler) release() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.setRunning(s.running - 1)
	s.dispatch()
}

// dispatch gives free slots to those who wait. The mutex is held.
func (s *scheduler) dispatch() {
	s.peak = max(s.peak, s.running+len(s.queue))
	for s.running < s.slots && len(s.queue) > 0 {
		w := heap.Pop(&s.queue).(*waiter)
		s.setRunning(s.running + 1)
		close(w.ready)
	}
	s.onChange(s.running, len(s.queue))
}

func (s *scheduler) setRunning(n int) {
	now := time.Now()
	s.busy += time.Duration(s.running) * now.Sub(s.since)
	s.since = now
	s.running = n
}

// batch returns how many requests run.
func (s *scheduler) batch() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.running
}

// occupancy is the scheduler's account of itself since the start.
type occupancy struct {
	running, waiting, peak int
	mean                   float64 // time average of running
}

func (s *scheduler) occupancy() occupancy {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.setRunning(s.running)
	o := occupancy{running: s.running, waiting: len(s.queue), peak: s.peak}
	if elapsed := s.since.Sub(s.began); elapsed > 0 {
		o.mean = float64(s.busy) / float64(elapsed)
	}
	return o
}
