package metric

import "container/heap"

const (
	// trackedPerSlot sizes the sketch: workspaces counted for each label.
	trackedPerSlot = 4
	// epochRequests is the number of requests between two reviews of the slots.
	epochRequests = 1 << 14
	// promoteFactor is how many times busier a workspace must be than the least
	// busy holder of a label to take it over. It keeps labels from flapping.
	promoteFactor = 2
)

// busiest chooses the workspaces that have a label of their own. It counts
// requests by the space-saving algorithm (Metwally et al.), which finds frequent
// workspaces in bounded memory. A free label goes to the next workspace seen.
// Once all are taken, each epoch moves at most one, from the least busy holder
// to a workspace that is promoteFactor times as busy, and halves the counts.
//
// It is not safe for concurrent use.
type busiest struct {
	slots    int
	capacity int
	items    map[string]*item
	order    itemHeap // the least busy on top
	holders  int
	seen     int // requests in this epoch
}

// item is the count of one workspace.
type item struct {
	workspace string
	count     uint64
	excess    uint64 // how much of count may belong to others
	holder    bool   // has a label
	index     int    // in the heap
}

func newBusiest(slots int) *busiest {
	capacity := slots * trackedPerSlot
	return &busiest{slots: slots, capacity: capacity, items: make(map[string]*item, capacity)}
}

// change tells which labels to add and to remove; empty means none.
type change struct {
	promoted string
	demoted  string
}

// record counts one request and returns the labels that change.
func (b *busiest) record(workspace string) change {
	if b.slots == 0 {
		return change{}
	}
	it := b.count(workspace)
	if !it.holder && b.holders < b.slots {
		it.holder = true
		b.holders++
		return change{promoted: workspace}
	}
	b.seen++
	if b.seen < epochRequests {
		return change{}
	}
	b.seen = 0
	c := b.review()
	b.halve()
	return c
}

// count adds one to the workspace's count. An untracked one takes the place of
// the least busy workspace without a label, and inherits its count as excess.
func (b *busiest) count(workspace string) *item {
	it, ok := b.items[workspace]
	switch {
	case ok:
	case len(b.items) < b.capacity:
		it = &item{workspace: workspace}
		b.items[workspace] = it
		heap.Push(&b.order, it)
	default:
		it = b.order[0] // not a holder: these sort last
		delete(b.items, it.workspace)
		it.workspace, it.excess = workspace, it.count
		b.items[workspace] = it
	}
	it.count++
	heap.Fix(&b.order, it.index)
	return it
}

// review moves one label if a workspace has earned it.
func (b *busiest) review() change {
	var weakest, strongest *item
	for _, it := range b.order {
		switch {
		case it.holder && (weakest == nil || it.count < weakest.count):
			weakest = it
		case !it.holder && (strongest == nil || it.sure() > strongest.sure()):
			strongest = it
		}
	}
	if weakest == nil || strongest == nil || strongest.sure() <= promoteFactor*weakest.count {
		return change{}
	}
	weakest.holder, strongest.holder = false, true
	heap.Init(&b.order)
	return change{promoted: strongest.workspace, demoted: weakest.workspace}
}

// halve lets old requests count less with each epoch.
func (b *busiest) halve() {
	for _, it := range b.order {
		it.count /= 2
		it.excess /= 2
	}
	heap.Init(&b.order)
}

// sure returns the requests that are certainly the workspace's own.
func (it *item) sure() uint64 { return it.count - it.excess }

// itemHeap orders items without a label by count, before those with one.
type itemHeap []*item

func (h itemHeap) Len() int { return len(h) }
func (h itemHeap) Less(i, j int) bool {
	if h[i].holder != h[j].holder {
		return !h[i].holder
	}
	return h[i].count < h[j].count
}
func (h itemHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

// Push implements heap.Interface.
func (h *itemHeap) Push(x any) {
	it := x.(*item)
	it.index = len(*h)
	*h = append(*h, it)
}

// Pop implements heap.Interface.
func (h *itemHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}
