// Package load counts the requests in flight on each backend server: this
// daemon's exactly, those of its peers as they last told.
package load

import (
	"sync"
	"time"
)

// peerTTL is how long a peer's counts are used without news of it.
const peerTTL = 2 * time.Second

// Table is safe for concurrent use.
type Table struct {
	now func() time.Time

	mu    sync.Mutex
	own   map[string]int // by server ID
	peers map[string]*peerCounts
	sum   map[string]int // of the peers' counts
}

type peerCounts struct {
	heard  time.Time
	counts map[string]int
}

// New returns an empty table.
func New(now func() time.Time) *Table {
	return &Table{
		now:   now,
		own:   make(map[string]int),
		peers: make(map[string]*peerCounts),
		sum:   make(map[string]int),
	}
}

// Begin counts a request that is about to be sent.
func (t *Table) Begin(server string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.own[server]++
}

// End counts a request that is no longer in flight.
func (t *Table) End(server string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.own[server]--; t.own[server] <= 0 {
		delete(t.own, server)
	}
}

// Own returns a copy of this daemon's counts.
func (t *Table) Own() map[string]int {
	t.mu.Lock()
	defer t.mu.Unlock()
	own := make(map[string]int, len(t.own))
	for server, n := range t.own {
		own[server] = n
	}
	return own
}

// SetPeer replaces the counts of a peer.
func (t *Table) SetPeer(peer string, counts map[string]int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.drop(peer)
	t.peers[peer] = &peerCounts{heard: t.now(), counts: counts}
	for server, n := range counts {
		t.sum[server] += n
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
	for server, n := range p.counts {
		if t.sum[server] -= n; t.sum[server] <= 0 {
			delete(t.sum, server)
		}
	}
}

// InFlight returns the requests in flight on each of the servers, by all
// daemons together.
func (t *Table) InFlight(servers []string, counts []int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for i, s := range servers {
		counts[i] = t.own[s] + t.sum[s]
	}
}
