// Package retry bounds what is sent to backend servers beyond the first
// attempt of each request. The bound holds for all daemons together and for
// each service, in any window: a ratio of the service's requests and a fixed
// slack, of which each daemon takes an equal part.
package retry

import (
	"sync"
	"time"
)

const (
	buckets = 20
	// safety leaves room for windows that cut buckets in two.
	safety = 0.8
)

// Options are the bounds.
type Options struct {
	Ratio  float64       // retries for each request
	Slack  float64       // retries of all daemons together in one window
	Window time.Duration // over which both are counted
}

// Budget is safe for concurrent use.
type Budget struct {
	opts  Options
	fleet func() int // daemons that share the slack
	now   func() time.Time

	mu       sync.Mutex
	services map[string]*ring
}

type ring struct {
	slot     [buckets]int64
	requests [buckets]int
	retries  [buckets]int
}

// New returns a budget. fleet tells the largest number of daemons known of
// late.
func New(o Options, fleet func() int, now func() time.Time) *Budget {
	return &Budget{opts: o, fleet: fleet, now: now, services: make(map[string]*ring)}
}

// RecordRequest counts a request for a service.
func (b *Budget) RecordRequest(service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	r, i := b.bucket(service)
	r.requests[i]++
}

// Allow counts a retry, unless the budget is spent.
func (b *Budget) Allow(service string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	r, i := b.bucket(service)
	requests, retries := r.sums(b.slot())
	share := b.opts.Slack / float64(max(b.fleet(), 1))
	if float64(retries+1) > safety*(b.opts.Ratio*float64(requests)+share) {
		return false
	}
	r.retries[i]++
	return true
}

func (b *Budget) slot() int64 {
	return b.now().UnixNano() / int64(b.opts.Window/buckets)
}

// bucket returns the current bucket of a service, emptied if it is an old one.
// b.mu is held.
func (b *Budget) bucket(service string) (*ring, int) {
	r, ok := b.services[service]
	if !ok {
		r = &ring{}
		b.services[service] = r
	}
	slot := b.slot()
	i := int(slot % buckets)
	if r.slot[i] != slot {
		r.slot[i], r.requests[i], r.retries[i] = slot, 0, 0
	}
	return r, i
}

// sums counts the window that ends with the slot.
func (r *ring) sums(slot int64) (requests, retries int) {
	for i := range r.slot {
		if r.slot[i] > slot-buckets {
			requests += r.requests[i]
			retries += r.retries[i]
		}
	}
	return requests, retries
}
