package home

import (
	"sync"
	"time"
)

// observation is a bound on the requests in flight that other daemons admitted under
// shares that this daemon holds now.
type observation struct {
	at       time.Time // time of the newest report; it does not cover shares granted later
	requests int       // upper bound on the number of requests
}

// externalRequests bounds the requests that other daemons still have in flight on a backend
// server under shares that this daemon holds. No other daemon can admit requests under
// these shares, so the number of such requests never increases. Therefore the lowest count
// in all reports since the newest share was granted is an upper bound. Once it is zero, it
// remains zero until another share is granted. externalRequests is safe for concurrent use.
type externalRequests struct {
	mu     sync.Mutex
	last   observation
	newest time.Time // grant time of the newest share that the bound covers
}

// record adds a report of the requests of other daemons in flight at a time. newest is the
// grant time of the newest share that the report covers. Reports older than the latest one
// are ignored.
func (e *externalRequests) record(at, newest time.Time, requests int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if at.Before(e.last.at) {
		return
	}
	if newest.Equal(e.newest) && !e.last.at.IsZero() {
		requests = min(requests, e.last.requests)
	}
	e.newest = newest
	e.last = observation{at: at, requests: requests}
}

// latest returns the bound as of the newest report.
func (e *externalRequests) latest() observation {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.last
}

// known reports whether there has been a report since the last reset.
func (e *externalRequests) known() bool { return !e.latest().at.IsZero() }

// reset discards all reports.
func (e *externalRequests) reset() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.last = observation{}
	e.newest = time.Time{}
}
