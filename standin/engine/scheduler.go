package engine

import (
	"container/heap"
	"context"
	"sync"
	"time"
)

// waiter is a request in the queue for a slot.
type waiter struct {
	priority int
	arrival  uint64
	ready    chan struct{} // closed when the request gets a slot
	index    int           // in the queue; -1: removed
}

// waitQueue is a heap of waiters, ordered by descending priority, then by arrival.
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

// scheduler assigns the slots of the batch. It is safe for concurrent use.
// onChange is called with the mutex held.
type scheduler struct {
	slots    int
	onChange func(running, waiting int)

	mu         sync.Mutex
	running    int
	queue      waitQueue
	arrivals   uint64
	peak       int // maximum of running plus waiting
	start      time.Time
	lastChange time.Time     // time of the last change of running
	busyTime   time.Duration // sum over all slots, up to lastChange
}

func newScheduler(slots int, onChange func(running, waiting int)) *scheduler {
	now := time.Now()
	return &scheduler{slots: slots, onChange: onChange, start: now, lastChange: now}
}

// acquire waits for a slot. After success, the caller must call release.
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
	if w.index < 0 { // a slot was assigned concurrently
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

// dispatch assigns free slots to waiting requests. The caller must hold s.mu.
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
	s.busyTime += time.Duration(s.running) * now.Sub(s.lastChange)
	s.lastChange = now
	s.running = n
}

// batchSize returns the number of running requests.
func (s *scheduler) batchSize() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.running
}

// schedulerStats holds statistics since the start of the scheduler.
type schedulerStats struct {
	running, waiting, peak int
	mean                   float64 // time average of running
}

func (s *scheduler) stats() schedulerStats {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.setRunning(s.running)
	o := schedulerStats{running: s.running, waiting: len(s.queue), peak: s.peak}
	if elapsed := s.lastChange.Sub(s.start); elapsed > 0 {
		o.mean = float64(s.busyTime) / float64(elapsed)
	}
	return o
}
