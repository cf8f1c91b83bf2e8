// Package retry implements a retry budget: it limits the attempts sent to
// backend servers beyond the first attempt of each request.
//
// The limit applies to each service and to all daemons together. In any window
// of the configured length, the retries don't exceed a ratio of the service's
// requests plus a fixed slack, of which each daemon uses an equal part.
package retry

import (
	"sync"
	"time"
)

const (
	// buckets is the number of buckets that a window is divided into.
	buckets = 20
	// safetyFactor scales the budget down, since a window may begin or end
	// within a bucket and requests are only counted by whole buckets.
	safetyFactor = 0.8
)

// Options are the limits on retries.
type Options struct {
	Ratio  float64       // retries allowed per request
	Slack  float64       // further retries per window, of all daemons together
	Window time.Duration // length of the window for both limits
}

// Budget is the retry budget of one daemon. It is safe for concurrent use.
type Budget struct {
	opts    Options
	daemons func() int // number of daemons that share the slack
	now     func() time.Time

	mu       sync.Mutex
	services map[string]*ring
}

// ring counts the requests and retries of a service in a ring of buckets.
type ring struct {
	slot     [buckets]int64 // time slot that each bucket was last used for
	requests [buckets]int
	retries  [buckets]int
}

// New returns a budget. The daemons function returns the number of daemons
// to divide the slack among: the largest number that was seen recently.
func New(o Options, daemons func() int, now func() time.Time) *Budget {
	return &Budget{opts: o, daemons: daemons, now: now, services: make(map[string]*ring)}
}

// RecordRequest counts a request to the service.
func (b *Budget) RecordRequest(service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	r, i := b.bucket(service)
	r.requests[i]++
}

// Allow reports whether the service's budget allows another retry, and counts the
// retry if it does.
func (b *Budget) Allow(service string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	r, i := b.bucket(service)
	requests, retries := r.sums(b.slot())
	share := b.opts.Slack / float64(max(b.daemons(), 1))
	if float64(retries+1) > safetyFactor*(b.opts.Ratio*float64(requests)+share) {
		return false
	}
	r.retries[i]++
	return true
}

// slot returns the current time slot. A slot is as long as a bucket.
func (b *Budget) slot() int64 {
	return b.now().UnixNano() / int64(b.opts.Window/buckets)
}

// bucket returns the ring of the service and the index of its current bucket,
// which it resets if the bucket was last used for an earlier slot. The caller
// holds b.mu.
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

// sums returns the requests and retries in the window that ends with the slot.
func (r *ring) sums(slot int64) (requests, retries int) {
	for i := range r.slot {
		if r.slot[i] > slot-buckets {
			requests += r.requests[i]
			retries += r.retries[i]
		}
	}
	return requests, retries
}
