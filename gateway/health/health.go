// Package health learns from requests which backend servers fail or are slow,
// and keeps new work from them for a while.
package health

import (
	"sync"
	"time"
)

const (
	firstRest = 250 * time.Millisecond
	maxRest   = 2 * time.Second
	// failureWeight is the part of the newest answer in the rate of failures.
	failureWeight = 0.2
	// refusalRest is how long a server that was full gets no more work.
	refusalRest = 60 * time.Millisecond
	// penaltyPerFailure turns a rate of failures of 1 into requests in flight.
	penaltyPerFailure = 24
	forgetAfter       = 30 * time.Second
)

// Table is safe for concurrent use.
type Table struct {
	now func() time.Time

	mu      sync.Mutex
	servers map[string]*state
}

type state struct {
	restUntil time.Time
	row       int     // failures to connect or answer, in a row
	failures  float64 // rate of answers that failed
	used      time.Time
}

// New returns a table in which all servers are well.
func New(now func() time.Time) *Table {
	return &Table{now: now, servers: make(map[string]*state)}
}

func (t *Table) find(id string) *state {
	s, ok := t.servers[id]
	if !ok {
		s = &state{}
		t.servers[id] = s
	}
	s.used = t.now()
	return s
}

// RecordUnreachable notes that a server can't be reached or fell silent.
func (t *Table) RecordUnreachable(id string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.find(id)
	rest := min(firstRest<<min(s.row, 5), maxRest)
	s.row++
	s.restUntil = t.now().Add(rest)
	s.failures += failureWeight * (1 - s.failures)
}

// RecordFailure notes an answer that was a failure or broke off.
func (t *Table) RecordFailure(id string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.find(id)
	s.failures += failureWeight * (1 - s.failures)
}

// RecordRefusal notes that a server refused work.
func (t *Table) RecordRefusal(id string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.find(id)
	if until := t.now().Add(refusalRest); until.After(s.restUntil) {
		s.restUntil = until
	}
}

// RecordSuccess notes a whole answer.
func (t *Table) RecordSuccess(id string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.find(id)
	s.row = 0
	s.failures -= failureWeight * s.failures
}

// Penalty returns what a server's failures weigh, in requests in flight, and
// whether it rests and should get no work at all.
func (t *Table) Penalty(id string) (penalty float64, resting bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s, ok := t.servers[id]
	if !ok {
		return 0, false
	}
	return s.failures * penaltyPerFailure, t.now().Before(s.restUntil)
}

// Expire forgets servers that were not used for long.
func (t *Table) Expire() {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.now()
	for id, s := range t.servers {
		if now.Sub(s.used) > forgetAfter {
			delete(t.servers, id)
		}
	}
}
