package peers

import (
	"iter"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Which daemons are alive is asked for several times in each message, poll and
// request. The functions in this file therefore pass over the table without
// copying it, except Alive.

// aliveTimeout returns how long a daemon counts as alive after it was last seen.
// The caller must hold t.mu.
func (t *Table) aliveTimeout() time.Duration {
	const small, large = 700 * time.Millisecond, 2500 * time.Millisecond
	if t.large() {
		return large
	}
	return small
}

// alive iterates over the daemons from which a state was received recently,
// directly or relayed, sorted by IP address. The caller must hold t.mu.
func (t *Table) alive() iter.Seq[*Peer] {
	return func(yield func(*Peer) bool) {
		now, timeout := t.clock(), t.aliveTimeout()
		for _, p := range t.sorted {
			if p.lastSeen != 0 && now.Sub(p.lastSeen) < timeout && !yield(p) {
				return
			}
		}
	}
}

// countAlive returns the number of alive daemons. The caller must hold t.mu.
func (t *Table) countAlive() int {
	n := 0
	for range t.alive() {
		n++
	}
	return n
}

// Alive returns the daemons from which a state was received recently, directly or
// relayed, sorted by IP address. This daemon is not included.
func (t *Table) Alive() []Peer {
	t.mu.Lock()
	defer t.mu.Unlock()
	list := make([]Peer, 0, len(t.sorted))
	for p := range t.alive() {
		list = append(list, *p)
	}
	return list
}

// CountAlive returns the number of daemons that Alive returns.
func (t *Table) CountAlive() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.countAlive()
}

// Isolated reports whether no other daemon is alive.
func (t *Table) Isolated() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	for range t.alive() {
		return false
	}
	return true
}

// hasNewPeer reports whether an alive peer does not have the contents of the
// servers' caches yet.
func (t *Table) hasNewPeer() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	for p := range t.alive() {
		if !p.CachesKnown {
			return true
		}
	}
	return false
}

// FleetSize returns the number of daemons in the fleet, including this one. It is
// the recent peak of the number of alive daemons, so that it does not drop during a
// short partition.
func (t *Table) FleetSize() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.fleetSize(t.countAlive())
}

// fleetSize implements FleetSize for the given number of alive daemons. The caller
// must hold t.mu.
func (t *Table) fleetSize(alive int) int {
	now, n := t.clock(), alive+1
	if n >= t.peakSize || now.Sub(t.peakSizeAt) > fleetSizeTTL {
		t.peakSize, t.peakSizeAt = n, now
	}
	return t.peakSize
}

// HasMajority reports whether more than half of the fleet, including this daemon,
// is alive.
func (t *Table) HasMajority() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	alive := t.countAlive()
	return 2*(alive+1) > t.fleetSize(alive)
}

// Rank returns this daemon's position, starting at 0, among the alive daemons that
// are not leaving and can read the store. If this daemon can't read the store
// itself, it is the position among all alive daemons that are not leaving. The
// order is by a hash of the IP address, which mixes availability zones.
func (t *Table) Rank() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	own := rankKey(t.self.IP)
	rank := 0
	for p := range t.alive() {
		if (p.StoreReachable || !t.storeReachable) && !p.Leaving && p.rankKey < own {
			rank++
		}
	}
	return rank
}

// rankKey returns the key by which Rank orders the daemons.
func rankKey(ip string) uint64 { return xxhash.Sum64String(ip) }
