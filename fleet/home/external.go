package home

import (
	"sync"
	"time"
)

// sighting is what is known of work that other daemons admitted under shares
// that this daemon holds by now.
type sighting struct {
	at   time.Time // of the newest report; shares that came later are not covered
	work int       // an upper bound
}

// external bounds the work that others still have on a backend server under
// shares that this daemon holds. Such work only ends, as nobody else can admit
// under these shares, so the least count of all reports since the newest share
// came is a bound; once it is zero it stays so until another share comes.
type external struct {
	mu     sync.Mutex
	last   sighting
	newest time.Time // of the shares that the bound covers
}

// note takes a report of what others had in flight at a time; newest is when
// the newest share that the report covers came.
func (e *external) note(at, newest time.Time, work int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if at.Before(e.last.at) {
		return
	}
	if newest.Equal(e.newest) && !e.last.at.IsZero() {
		work = min(work, e.last.work)
	}
	e.newest = newest
	e.last = sighting{at: at, work: work}
}

// seen returns the newest sighting.
func (e *external) seen() sighting {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.last
}

// known reports whether there was any report.
func (e *external) known() bool { return !e.seen().at.IsZero() }

// forget drops what is known.
func (e *external) forget() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.last = sighting{}
	e.newest = time.Time{}
}
