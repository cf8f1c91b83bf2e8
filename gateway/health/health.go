// Package health rates backend servers by the outcome of the requests that
// were sent to them. A server that can't be reached or refuses work is in
// backoff for a while and should get no new work if another server is
// available; a server that fails requests gets a penalty that is added to its
// load.
package health

import (
	"sync"
	"time"
)

const (
	// initialBackoff is the backoff of a server that could not be reached
	// once. It doubles with each consecutive failure, up to maxBackoff.
	initialBackoff = 250 * time.Millisecond
	maxBackoff     = 2 * time.Second
	// failureWeight is the weight of the latest response in the failure rate,
	// an exponential moving average.
	failureWeight = 0.2
	// refusalBackoff is the backoff of a server that refused work because it
	// was full.
	refusalBackoff = 60 * time.Millisecond
	// penaltyPerFailure is the penalty for a failure rate of 1, in requests
	// in flight.
	penaltyPerFailure = 24
	// idleTTL is how long a server's state is stored after its last recorded
	// outcome.
	idleTTL = 30 * time.Second
)

// Table holds the health of each server by its ID. It is safe for concurrent
// use.
type Table struct {
	now func() time.Time

	mu      sync.Mutex
	servers map[string]*serverState
}

// serverState is the health of one server.
type serverState struct {
	backoffUntil time.Time
	consecutive  int       // failures to connect or respond since the last success
	failureRate  float64   // moving average of responses that failed, from 0 to 1
	lastUsed     time.Time // time of the last recorded outcome
}

// New returns a table in which all servers are healthy.
func New(now func() time.Time) *Table {
	return &Table{now: now, servers: make(map[string]*serverState)}
}

// find returns the state of a server, which it adds if there is none, and
// marks the server as used. t.mu is held.
func (t *Table) find(id string) *serverState {
	s, ok := t.servers[id]
	if !ok {
		s = &serverState{}
		t.servers[id] = s
	}
	s.lastUsed = t.now()
	return s
}

// Backoff returns how long a server gets no new work after it could not be reached, if
// that is after the given number of consecutive failures.
func Backoff(failures int) time.Duration {
	return min(initialBackoff<<min(failures, 5), maxBackoff)
}

// RecordUnreachable records that a server could not be reached or stopped
// responding. It starts a backoff.
func (t *Table) RecordUnreachable(id string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.find(id)
	backoff := Backoff(s.consecutive)
	s.consecutive++
	s.backoffUntil = t.now().Add(backoff)
	s.failureRate += failureWeight * (1 - s.failureRate)
}

// RecordFailure records a response that was a failure or was cut off.
func (t *Table) RecordFailure(id string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.find(id)
	s.failureRate += failureWeight * (1 - s.failureRate)
}

// RecordRefusal records that a server refused work. It starts a short
// backoff.
func (t *Table) RecordRefusal(id string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.find(id)
	if until := t.now().Add(refusalBackoff); until.After(s.backoffUntil) {
		s.backoffUntil = until
	}
}

// RecordSuccess records a complete response.
func (t *Table) RecordSuccess(id string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.find(id)
	s.consecutive = 0
	s.failureRate -= failureWeight * s.failureRate
}

// Penalty returns the penalty for a server's failures, in requests in flight,
// and whether the server is in backoff.
func (t *Table) Penalty(id string) (penalty float64, inBackoff bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s, ok := t.servers[id]
	if !ok {
		return 0, false
	}
	return s.failureRate * penaltyPerFailure, t.now().Before(s.backoffUntil)
}

// Expire removes servers without an outcome within idleTTL.
func (t *Table) Expire() {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.now()
	for id, s := range t.servers {
		if now.Sub(s.lastUsed) > idleTTL {
			delete(t.servers, id)
		}
	}
}
