// Package avoid holds the backend servers that have asked this daemon to send them no
// requests. Unlike a poor rating in package health, this holds even if no other server
// is left.
package avoid

import (
	"sync"
	"time"

	"cassialatch.dev/gateway/catalog"
)

// unlistedTTL is how long a leaving server is remembered after it was last listed. Its
// entry may expire during an outage of the store and come back.
const unlistedTTL = 5 * time.Minute

// Table holds what servers have asked for. It is safe for concurrent use.
type Table struct {
	now func() time.Time

	mu      sync.Mutex
	leaving map[catalog.Incarnation]time.Time // when the server was last known to be listed
}

// New returns an empty table.
func New(now func() time.Time) *Table {
	return &Table{now: now, leaving: make(map[catalog.Incarnation]time.Time)}
}

// RecordLeaving records that a server is leaving.
func (t *Table) RecordLeaving(s catalog.Incarnation) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.leaving[s] = t.now()
}

// Leaving reports whether a server is leaving.
func (t *Table) Leaving(s catalog.Incarnation) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	_, ok := t.leaving[s]
	return ok
}

// Expire removes servers that have not been listed for unlistedTTL.
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
}
