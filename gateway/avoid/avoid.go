// Package avoid holds the backend servers that have asked this daemon to send them no
// requests, because they are leaving or for a limited time. Unlike a poor rating in
// package health, this holds even if no other server is left.
package avoid

import (
	"sync"
	"time"

	"cassialatch.dev/gateway/catalog"
)

// unlistedTTL is how long a leaving server is remembered after it was last listed. Its
// entry may expire during an outage of the store and come back.
const unlistedTTL = 5 * time.Minute

// maxPause limits the time for which a server can ask for a pause.
const maxPause = time.Hour

// Table holds what servers have asked for. It is safe for concurrent use.
type Table struct {
	now func() time.Time

	mu      sync.Mutex
	leaving map[catalog.Incarnation]time.Time // when the server was last known to be listed
	paused  map[catalog.Incarnation]time.Time // end of the pause
}

// New returns an empty table.
func New(now func() time.Time) *Table {
	return &Table{
		now:     now,
		leaving: make(map[catalog.Incarnation]time.Time),
		paused:  make(map[catalog.Incarnation]time.Time),
	}
}

// RecordLeaving records that a server is leaving.
func (t *Table) RecordLeaving(s catalog.Incarnation) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.leaving[s] = t.now()
}

// RecordPause records that a server wants no requests for some time from now on.
func (t *Table) RecordPause(s catalog.Incarnation, d time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	until := t.now().Add(min(d, maxPause))
	if until.After(t.paused[s]) {
		t.paused[s] = until
	}
}

// Leaving reports whether a server is leaving.
func (t *Table) Leaving(s catalog.Incarnation) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	_, ok := t.leaving[s]
	return ok
}

// Pause returns how long a server still wants no requests; 0 if it accepts them.
func (t *Table) Pause(s catalog.Incarnation) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	until, ok := t.paused[s]
	if !ok {
		return 0
	}
	return max(until.Sub(t.now()), 0)
}

// Expire removes servers that have not been listed for unlistedTTL, and pauses that
// are over.
func (t *Table) Expire(listed func(s catalog.Incarnation) bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.now()
	for s, at := range t.leaving {
		switch {
		case listed(s):
			t.leaving[s] = now
		case now.Sub(at) >= unlistedTTL:
			delete(t.leaving, s)
		}
	}
	for s, until := range t.paused {
		if !now.Before(until) {
			delete(t.paused, s)
		}
	}
}
