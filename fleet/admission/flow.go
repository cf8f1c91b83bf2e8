package admission

import (
	"cmp"
	"container/heap"
	"container/list"
	"slices"
	"time"
)

// classQueue holds the waiting requests of one class. Priorities form bands,
// served strictly in turn; workspaces share a band by start-time fair queueing.
// All of its state is guarded by Queue.mu.
type classQueue struct {
	bands    []*band    // highest priority first
	arrivals *list.List // of *waiter, oldest first
	inFlight int
	hold     meanTime // for which requests hold a slot
	forecast forecast
}

func newClassQueue() *classQueue { return &classQueue{arrivals: list.New()} }

func (c *classQueue) queued() int { return c.arrivals.Len() }

func (c *classQueue) push(w *waiter) {
	w.arrival = c.arrivals.PushBack(w)
	c.band(w.item.Priority).push(w)
}

// next returns the request to admit next, nil when none waits.
func (c *classQueue) next() *waiter {
	for _, b := range c.bands {
		if len(b.flows) > 0 {
			return b.flows[0].head()
		}
	}
	return nil
}

// remove takes out a waiting request. The workspace pays for it only if it was
// admitted.
func (c *classQueue) remove(w *waiter, admitted bool) {
	c.arrivals.Remove(w.arrival)
	w.flow.band.remove(w, admitted)
	c.settle()
}

// settle forgets all debts between workspaces once the class is idle, which is
// the end of a busy period of the fair queue.
func (c *classQueue) settle() {
	if c.inFlight == 0 && c.queued() == 0 {
		c.bands = nil
	}
}

// aged tells whether the oldest waiting request counts for the floor.
func (c *classQueue) aged(now time.Time) bool {
	oldest := c.arrivals.Front()
	return oldest != nil && !now.Before(oldest.Value.(*waiter).ages)
}

// ahead counts the requests of the class that go before w.
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

// band is a start-time fair queue between workspaces. Its virtual time is the
// start tag of the request admitted last.
type band struct {
	priority int
	queued   int
	virtual  float64
	flows    flowHeap         // workspaces that wait
	byName   map[string]*flow // these, and others that still owe virtual time
}

func (b *band) push(w *waiter) {
	f := b.byName[w.item.Workspace]
	if f == nil {
		f = &flow{name: w.item.Workspace, band: b, items: list.New()}
		b.byName[f.name] = f
	}
	w.flow = f
	w.element = f.items.PushBack(w)
	f.backlog += w.charge()
	b.queued++
	if f.items.Len() == 1 {
		f.start = max(f.start, b.virtual)
		heap.Push(&b.flows, f)
	}
}

func (b *band) remove(w *waiter, admitted bool) {
	f := w.flow
	f.items.Remove(w.element)
	f.backlog -= w.charge()
	b.queued--
	if admitted {
		b.virtual = max(b.virtual, f.start)
		f.start += w.charge()
	}
	if f.items.Len() > 0 {
		heap.Fix(&b.flows, f.index)
		return
	}
	heap.Remove(&b.flows, f.index)
	f.backlog = 0
	b.forgetIdle()
}

// idleFlowsKept is the number of workspaces without waiting requests whose
// debt is remembered.
const idleFlowsKept = 1024

// forgetIdle drops all workspaces that do not wait once there are too many.
// Each of them owes at most its last request.
func (b *band) forgetIdle() {
	if len(b.byName)-len(b.flows) <= idleFlowsKept {
		return
	}
	for name, f := range b.byName {
		if f.items.Len() == 0 {
			delete(b.byName, name)
		}
	}
}

// ahead counts the requests of the band with a start tag below that of w.
func (b *band) ahead(w *waiter) int {
	tag := w.flow.start + w.flow.backlog - w.charge()
	n := w.flow.items.Len() - 1
	for _, f := range b.flows {
		if f != w.flow {
			n += f.countBefore(tag)
		}
	}
	return n
}

// flow is the queue of one workspace in a band.
type flow struct {
	name    string
	band    *band
	items   *list.List // of *waiter
	start   float64    // start tag of the first one
	backlog float64    // sum of the charges of items
	index   int        // in band.flows
}

func (f *flow) head() *waiter { return f.items.Front().Value.(*waiter) }

func (f *flow) countBefore(tag float64) int {
	if f.start+f.backlog <= tag {
		return f.items.Len()
	}
	n, start := 0, f.start
	for e := f.items.Front(); e != nil && start < tag; e = e.Next() {
		start += e.Value.(*waiter).charge()
		n++
	}
	return n
}

// flowHeap implements heap.Interface, lowest start tag first. Of equal ones
// the request that arrived first goes first.
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
