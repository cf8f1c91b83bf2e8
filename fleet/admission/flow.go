package admission

import (
	"cmp"
	"container/heap"
	"container/list"
	"slices"
	"time"
)

// classQueue holds the queued requests of one class. Requests of the same priority form a
// band. A band is served only when all bands of higher priority are empty; workspaces
// share a band by start-time fair queueing. Queue.mu guards all of the state.
type classQueue struct {
	bands         []*band    // highest priority first
	arrivals      *list.List // of *waiter, oldest first
	inFlight      int
	holdTime      movingAverage // time for which requests hold their slots
	estimateError estimateError
}

func newClassQueue() *classQueue { return &classQueue{arrivals: list.New()} }

// queued returns the number of queued requests.
func (c *classQueue) queued() int { return c.arrivals.Len() }

// push adds a request to the band of its priority.
func (c *classQueue) push(w *waiter) {
	w.arrival = c.arrivals.PushBack(w)
	c.band(w.item.Priority).push(w)
}

// next returns the request to admit next, or nil if the class has no queued requests.
func (c *classQueue) next() *waiter {
	for _, b := range c.bands {
		if len(b.active) > 0 {
			return b.active[0].head()
		}
	}
	return nil
}

// remove removes a queued request. Its virtual cost is charged to the workspace only if
// it was admitted.
func (c *classQueue) remove(w *waiter, admitted bool) {
	c.arrivals.Remove(w.arrival)
	w.flow.band.remove(w, admitted)
	c.resetIfIdle()
}

// resetIfIdle discards the virtual times of all workspaces if the class has no requests in
// flight or queued. This ends a busy period of the fair queue.
func (c *classQueue) resetIfIdle() {
	if c.inFlight == 0 && c.queued() == 0 {
		c.bands = nil
	}
}

// aged reports whether the oldest queued request has waited long enough for its class to
// get the floor.
func (c *classQueue) aged(now time.Time) bool {
	oldest := c.arrivals.Front()
	return oldest != nil && !now.Before(oldest.Value.(*waiter).agedAt)
}

// ahead returns the number of queued requests of the class that go before w.
func (c *classQueue) ahead(w *waiter) int {
	n := 0
	for _, b := range c.bands {
		if b == w.flow.band {
			return n + b.ahead(w)
		}
		n += b.queued
	}
	return n
}

// band returns the band of a priority and creates it if necessary.
func (c *classQueue) band(priority int) *band {
	i, found := slices.BinarySearchFunc(c.bands, priority, func(b *band, p int) int {
		return cmp.Compare(p, b.priority)
	})
	if !found {
		b := &band{priority: priority, byName: make(map[string]*flow)}
		c.bands = slices.Insert(c.bands, i, b)
	}
	return c.bands[i]
}

// band is a start-time fair queue with one flow per workspace. Its virtual time is the
// highest start tag of the requests admitted so far.
type band struct {
	priority    int
	queued      int
	virtualTime float64
	active      flowHeap         // flows with queued requests
	byName      map[string]*flow // active flows, and idle ones whose start tag is kept
}

// push adds a request to the flow of its workspace.
func (b *band) push(w *waiter) {
	f := b.byName[w.item.Workspace]
	if f == nil {
		f = &flow{name: w.item.Workspace, band: b, items: list.New()}
		b.byName[f.name] = f
	}
	w.flow = f
	w.element = f.items.PushBack(w)
	f.backlog += w.virtualCost()
	b.queued++
	if f.items.Len() == 1 {
		f.start = max(f.start, b.virtualTime)
		heap.Push(&b.active, f)
	}
}

// remove removes a queued request; see classQueue.remove.
func (b *band) remove(w *waiter, admitted bool) {
	f := w.flow
	f.items.Remove(w.element)
	f.backlog -= w.virtualCost()
	b.queued--
	if admitted {
		b.virtualTime = max(b.virtualTime, f.start)
		f.start += w.virtualCost()
	}
	if f.items.Len() > 0 {
		heap.Fix(&b.active, f.index)
		return
	}
	heap.Remove(&b.active, f.index)
	f.backlog = 0
	b.evictIdle()
}

// maxIdleFlows is the maximum number of flows per band that are kept without queued
// requests.
const maxIdleFlows = 1024

// evictIdle removes all flows without queued requests if there are more than maxIdleFlows.
// A workspace gains at most the virtual cost of its last request by this.
func (b *band) evictIdle() {
	if len(b.byName)-len(b.active) <= maxIdleFlows {
		return
	}
	for name, f := range b.byName {
		if f.items.Len() == 0 {
			delete(b.byName, name)
		}
	}
}

// ahead returns the number of queued requests of the band that have a start tag below that
// of w or are before w in its flow.
func (b *band) ahead(w *waiter) int {
	tag := w.flow.start + w.flow.backlog - w.virtualCost()
	n := w.flow.items.Len() - 1
	for _, f := range b.active {
		if f != w.flow {
			n += f.countBefore(tag)
		}
	}
	return n
}

// flow holds the queued requests of one workspace in a band, in order of arrival.
type flow struct {
	name    string
	band    *band
	items   *list.List // of *waiter
	start   float64    // start tag of the first item
	backlog float64    // sum of the virtual costs of the items
	index   int        // position in band.active
}

// head returns the first request. The flow must not be empty.
func (f *flow) head() *waiter { return f.items.Front().Value.(*waiter) }

// countBefore returns the number of requests with a start tag below tag.
func (f *flow) countBefore(tag float64) int {
	if f.start+f.backlog <= tag {
		return f.items.Len()
	}
	n, start := 0, f.start
	for e := f.items.Front(); e != nil && start < tag; e = e.Next() {
		start += e.Value.(*waiter).virtualCost()
		n++
	}
	return n
}

// flowHeap implements heap.Interface. It orders flows by start tag, lowest first, and
// flows with equal start tags by the arrival of their first request.
type flowHeap []*flow

func (h flowHeap) Len() int { return len(h) }

func (h flowHeap) Less(i, j int) bool {
	if h[i].start != h[j].start {
		return h[i].start < h[j].start
	}
	return h[i].head().seq < h[j].head().seq
}

func (h flowHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

func (h *flowHeap) Push(x any) {
	f := x.(*flow)
	f.index = len(*h)
	*h = append(*h, f)
}

func (h *flowHeap) Pop() any {
	last := len(*h) - 1
	f := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	return f
}
