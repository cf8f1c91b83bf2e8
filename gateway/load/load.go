// Package load counts the work in flight on each backend server: this daemon's
// exactly, that of its peers as they last told.
package load

import (
	"sync"
	"time"
)

// peerTTL is how long a peer's counts are used without news of it.
const peerTTL = 2 * time.Second

// Work is what a server has in flight.
type Work struct {
	Requests int
	Tokens   int // of prompts that are still being computed
}

func (w Work) plus(o Work) Work {
	return Work{Requests: w.Requests + o.Requests, Tokens: w.Tokens + o.Tokens}
}

func (w Work) minus(o Work) Work {
	return Work{Requests: w.Requests - o.Requests, Tokens: w.Tokens - o.Tokens}
}

// Table is safe for concurrent use.
type Table struct {
	now func() time.Time

	mu    sync.Mutex
	own   map[uint32]Work // by the tag of the server's incarnation
	peers map[string]*peerWork
	sum   map[uint32]Work // of the peers' work
}

type peerWork struct {
	heard time.Time
	work  map[uint32]Work
}

// New returns an empty table.
func New(now func() time.Time) *Table {
	return &Table{
		now:   now,
		own:   make(map[uint32]Work),
		peers: make(map[string]*peerWork),
		sum:   make(map[uint32]Work),
	}
}

// Begin counts a request that is about to be sent, with the tokens of its
// prompt that the server has to compute.
func (t *Table) Begin(server uint32, tokens int) *Entry {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.own[server] = t.own[server].plus(Work{Requests: 1, Tokens: tokens})
	return &Entry{table: t, server: server, tokens: tokens}
}

// Entry is one request in flight.
type Entry struct {
	table  *Table
	server uint32
	tokens int // still counted

	computed bool
}

// Computed notes that the server has computed the prompt. It returns whether
// that is news.
func (e *Entry) Computed() bool {
	if e.computed {
		return false
	}
	e.computed = true
	e.table.subtract(e.server, Work{Tokens: e.tokens})
	e.tokens = 0
	return true
}

// End notes that the request is no longer in flight. It is called once.
func (e *Entry) End() {
	e.table.subtract(e.server, Work{Requests: 1, Tokens: e.tokens})
	e.tokens = 0
}

func (t *Table) subtract(server uint32, w Work) {
	t.mu.Lock()
	defer t.mu.Unlock()
	left := t.own[server].minus(w)
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
	t.drop(peer)
	t.peers[peer] = &peerWork{heard: t.now(), work: work}
	for server, w := range work {
		t.sum[server] = t.sum[server].plus(w)
	}
}

// Expire forgets the counts of peers that have fallen silent.
func (t *Table) Expire() {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.now()
	for peer, p := range t.peers {
		if now.Sub(p.heard) > peerTTL {
			t.drop(peer)
		}
	}
}

// drop removes a peer's counts from the sums. t.mu is held.
func (t *Table) drop(peer string) {
	p, ok := t.peers[peer]
	if !ok {
		return
	}
	delete(t.peers, peer)
	for server, w := range p.work {
		left := t.sum[server].minus(w)
		if left == (Work{}) {
			delete(t.sum, server)
			continue
		}
		t.sum[server] = left
	}
}

// InFlight sets what each of the servers has in flight from all daemons.
func (t *Table) InFlight(servers []uint32, work []Work) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for i, s := range servers {
		work[i] = t.own[s].plus(t.sum[s])
	}
}
