// Package load counts the work in flight on each backend server. The counts
// of this daemon are exact; those of its peers are as of their last messages.
package load

import (
	"sync"
	"time"
)

// peerTTL is how long a peer's counts are used after its last message.
const peerTTL = 2 * time.Second

// Work is the work in flight on a server.
type Work struct {
	Requests int
	Tokens   int // of prompts that are still being computed
}

func (w Work) add(o Work) Work {
	return Work{Requests: w.Requests + o.Requests, Tokens: w.Tokens + o.Tokens}
}

func (w Work) sub(o Work) Work {
	return Work{Requests: w.Requests - o.Requests, Tokens: w.Tokens - o.Tokens}
}

// Table holds the work in flight on each server, by the tag of the server's
// incarnation. It is safe for concurrent use.
type Table struct {
	now func() time.Time

	mu      sync.Mutex
	own     map[uint32]Work      // of this daemon
	peers   map[string]*peerWork // by IP address
	peerSum map[uint32]Work      // work of all peers
}

// peerWork is the work of one peer, as of its last message.
type peerWork struct {
	received time.Time
	work     map[uint32]Work
}

// New returns an empty table.
func New(now func() time.Time) *Table {
	return &Table{
		now:     now,
		own:     make(map[uint32]Work),
		peers:   make(map[string]*peerWork),
		peerSum: make(map[uint32]Work),
	}
}

// Begin counts a request that is about to be sent to a server. tokens is the
// size of the part of its prompt that the server has to compute.
func (t *Table) Begin(server uint32, tokens int) *Entry {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.own[server] = t.own[server].add(Work{Requests: 1, Tokens: tokens})
	return &Entry{table: t, server: server, tokens: tokens}
}

// Entry is one request in flight. Its methods must not be called
// concurrently.
type Entry struct {
	table  *Table
	server uint32
	tokens int // of the prompt that are still counted

	computed bool
}

// Computed records that the server has computed the prompt. It reports
// whether this is the first call.
func (e *Entry) Computed() bool {
	if e.computed {
		return false
	}
	e.computed = true
	e.table.subtract(e.server, Work{Tokens: e.tokens})
	e.tokens = 0
	return true
}

// End records that the request is no longer in flight. It must be called
// once.
func (e *Entry) End() {
	e.table.subtract(e.server, Work{Requests: 1, Tokens: e.tokens})
	e.tokens = 0
}

// subtract removes work from this daemon's counts of a server.
func (t *Table) subtract(server uint32, w Work) {
	t.mu.Lock()
	defer t.mu.Unlock()
	left := t.own[server].sub(w)
	if left.Requests <= 0 {
		delete(t.own, server)
		return
	}
	t.own[server] = left
}

// Own returns a copy of this daemon's counts.
func (t *Table) Own() map[uint32]Work {
	t.mu.Lock()
	defer t.mu.Unlock()
	own := make(map[uint32]Work, len(t.own))
	for server, w := range t.own {
		own[server] = w
	}
	return own
}

// SetPeer replaces the counts of a peer.
func (t *Table) SetPeer(peer string, work map[uint32]Work) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.dropPeer(peer)
	t.peers[peer] = &peerWork{received: t.now(), work: work}
	for server, w := range work {
		t.peerSum[server] = t.peerSum[server].add(w)
	}
}

// Expire removes the counts of peers whose last message is older than
// peerTTL.
func (t *Table) Expire() {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.now()
	for peer, p := range t.peers {
		if now.Sub(p.received) > peerTTL {
			t.dropPeer(peer)
		}
	}
}

// dropPeer removes a peer's counts. t.mu is held.
func (t *Table) dropPeer(peer string) {
	p, ok := t.peers[peer]
	if !ok {
		return
	}
	delete(t.peers, peer)
	for server, w := range p.work {
		left := t.peerSum[server].sub(w)
		if left == (Work{}) {
			delete(t.peerSum, server)
			continue
		}
		t.peerSum[server] = left
	}
}

// InFlight sets work[i] to the work that all daemons have in flight on
// servers[i].
func (t *Table) InFlight(servers []uint32, work []Work) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for i, s := range servers {
		work[i] = t.own[s].add(t.peerSum[s])
	}
}
