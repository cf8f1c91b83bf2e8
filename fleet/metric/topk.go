package metric

import "container/heap"

const (
	// countersPerLabel is the number of workspaces that are counted for each
	// label. It sets the size of the sketch.
	countersPerLabel = 4
	// epochRequests is the number of requests between two rebalances.
	epochRequests = 1 << 14
	// promoteFactor is how many times busier a workspace must be than the least
	// busy labelled one to replace it. The hysteresis keeps labels from flapping.
	promoteFactor = 2
)

// topK selects the busiest workspaces, which have labels of their own. It counts
// requests with the space-saving algorithm (Metwally et al.), which finds
// frequent items in bounded memory. While labels are free, each new workspace
// gets one. After that, each epoch moves at most one label, from the least busy
// labelled workspace to one that is more than promoteFactor times as busy, and
// halves the counts.
//
// topK is not safe for concurrent use.
type topK struct {
	maxLabels  int
	capacity   int
	items      map[string]*item
	heap       itemHeap // least busy workspace without a label first
	labelCount int
	requests   int // since the last rebalance
}

// item is the count of one workspace.
type item struct {
	workspace string
	count     uint64
	maxError  uint64 // upper bound of the requests in count that are of other workspaces
	labelled  bool   // has a label of its own
	index     int    // in the heap
}

func newTopK(maxLabels int) *topK {
	capacity := maxLabels * countersPerLabel
	return &topK{maxLabels: maxLabels, capacity: capacity, items: make(map[string]*item, capacity)}
}

// labelChange names the workspaces that gain and lose a label; empty means none.
type labelChange struct {
	promoted string
	demoted  string
}

// record counts one request and returns the resulting change of labels.
func (k *topK) record(workspace string) labelChange {
	if k.maxLabels == 0 {
		return labelChange{}
	}
	it := k.count(workspace)
	if !it.labelled && k.labelCount < k.maxLabels {
		it.labelled = true
		k.labelCount++
		return labelChange{promoted: workspace}
	}
	k.requests++
	if k.requests < epochRequests {
		return labelChange{}
	}
	k.requests = 0
	c := k.rebalance()
	k.halve()
	return c
}

// count adds one to the workspace's count. A workspace that is not tracked
// replaces the least busy one without a label and takes over its count as
// maxError.
func (k *topK) count(workspace string) *item {
	it, ok := k.items[workspace]
	switch {
	case ok:
	case len(k.items) < k.capacity:
		it = &item{workspace: workspace}
		k.items[workspace] = it
		heap.Push(&k.heap, it)
	default:
		it = k.heap[0] // without a label: labelled items sort last
		delete(k.items, it.workspace)
		it.workspace, it.maxError = workspace, it.count
		k.items[workspace] = it
	}
	it.count++
	heap.Fix(&k.heap, it.index)
	return it
}

// rebalance moves one label if a workspace without one is busy enough.
func (k *topK) rebalance() labelChange {
	var leastBusy, challenger *item
	for _, it := range k.heap {
		switch {
		case it.labelled && (leastBusy == nil || it.count < leastBusy.count):
			leastBusy = it
		case !it.labelled && (challenger == nil || it.guaranteed() > challenger.guaranteed()):
			challenger = it
		}
	}
	if leastBusy == nil || challenger == nil || challenger.guaranteed() <= promoteFactor*leastBusy.count {
		return labelChange{}
	}
	leastBusy.labelled, challenger.labelled = false, true
	heap.Init(&k.heap)
	return labelChange{promoted: challenger.workspace, demoted: leastBusy.workspace}
}

// halve halves all counts, so that old requests weigh less with each epoch.
func (k *topK) halve() {
	for _, it := range k.heap {
		it.count /= 2
		it.maxError /= 2
	}
	heap.Init(&k.heap)
}

// guaranteed returns the lower bound of the workspace's own requests.
func (it *item) guaranteed() uint64 { return it.count - it.maxError }

// itemHeap is a min-heap of items by count. Items without a label sort before
// those with one.
type itemHeap []*item

func (h itemHeap) Len() int { return len(h) }
func (h itemHeap) Less(i, j int) bool {
	if h[i].labelled != h[j].labelled {
		return !h[i].labelled
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
