// Package peers implements the gossip between the daemons of a fleet. Daemons
// exchange UDP datagrams, which show that the sender is alive and contain its
// revision of the published state, whether it is leaving, its in-flight requests
// by backend server, updates on cache contents, and what crashes backend servers.
// A daemon that receives a newer revision than its own fetches the state from the
// sender over HTTP.
//
// Daemons discover each other from seed addresses. In a small fleet each daemon
// sends to all others. In a large fleet each sends to a few random peers, which
// reply, and messages relay what their sender last received about other daemons,
// with its age. The traffic of a daemon therefore does not grow with the fleet.
//
// Delivery is best effort: a lost datagram is replaced by the next one.
package peers

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"cassialatch.dev/gateway/boottime"
	"cassialatch.dev/gateway/catalog"
)

const (
	// peerExpiry is the time after which a daemon that is neither seen nor
	// mentioned by others is removed from the table, unless it is a seed.
	peerExpiry = 20 * time.Second
	// fleetSizeTTL is how long the peak number of daemons determines FleetSize.
	fleetSizeTTL = 30 * time.Second
	// maxFullMesh is the maximum number of peers at which each daemon sends to all
	// others.
	maxFullMesh = 12
	// fanout is the number of peers to which a daemon of a large fleet sends in
	// one gossip round. Only crossZoneFanout of them are in other availability
	// zones if its own zone has enough peers, since cross-zone traffic costs more.
	fanout          = 3
	crossZoneFanout = 1
	// maxRelayed limits the number of relayed daemons in one datagram.
	maxRelayed = 12
)

// Self identifies this daemon and the seeds of its fleet.
type Self struct {
	IP    string
	Zone  string   // availability zone
	Seeds []string // IP addresses that every daemon has from its start
}

// IsSeed reports whether this daemon is one of the seeds.
func (s Self) IsSeed() bool { return slices.Contains(s.Seeds, s.IP) }

// Peer is another daemon of the fleet.
type Peer struct {
	IP string
	State

	inFlight      []InFlight // its in-flight requests
	incarnation   uint64
	lastSeen      boottime.Instant // when its latest state was received, directly or by a relaying daemon; 0: never
	lastMentioned boottime.Instant // when it was last added, relayed or seen
	lastSentAt    boottime.Instant // latest timestamp of its clock, echoed to it
}

// Table holds the known daemons of the fleet, without this one. It is safe for
// concurrent use.
type Table struct {
	self    Self
	clock   boottime.Clock
	catalog *catalog.Catalog

	mu             sync.Mutex
	peers          map[string]*Peer
	reloadedSeeds  []string // IP addresses, of the latest reload
	storeReachable bool
	peakSize       int              // peak number of alive daemons, including this one
	peakSizeAt     boottime.Instant // when the peak was last reached
}

// NewTable returns a table that contains the seeds.
func NewTable(self Self, clock boottime.Clock, c *catalog.Catalog) *Table {
	t := &Table{self: self, clock: clock, catalog: c, peers: make(map[string]*Peer), storeReachable: true}
	for _, ip := range self.Seeds {
		t.add(ip)
	}
	return t
}

// AddSeeds adds the seeds of reloaded settings. Like those of Self they stay in the
// table while they do not respond, until the next call.
func (t *Table) AddSeeds(ips []string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.reloadedSeeds = slices.Clone(ips)
	for _, ip := range ips {
		t.add(ip)
	}
}

// add adds a daemon or refreshes the time at which it was last mentioned. It
// returns nil for this daemon. The caller must hold t.mu.
func (t *Table) add(ip string) *Peer {
	if ip == t.self.IP {
		return nil
	}
	p, ok := t.peers[ip]
	if !ok {
		p = &Peer{IP: ip}
		t.peers[ip] = p
	}
	p.lastMentioned = t.clock()
	return p
}

// isSeed reports whether a daemon is a seed. The caller must hold t.mu.
func (t *Table) isSeed(ip string) bool {
	return slices.Contains(t.self.Seeds, ip) || slices.Contains(t.reloadedSeeds, ip)
}

// Interval returns the time between two gossip rounds.
func (t *Table) Interval() time.Duration {
	const small, large = 100 * time.Millisecond, 250 * time.Millisecond
	if t.LargeFleet() {
		return large
	}
	return small
}

// Isolated reports whether no other daemon is alive.
func (t *Table) Isolated() bool { return len(t.Alive()) == 0 }

// hasNewPeer reports whether an alive peer does not have the contents of the
// servers' caches yet.
func (t *Table) hasNewPeer() bool {
	return slices.ContainsFunc(t.Alive(), func(p Peer) bool { return !p.CachesKnown })
}

// LargeFleet reports whether the fleet is too large for each daemon to send to all
// others.
func (t *Table) LargeFleet() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.large()
}

// large implements LargeFleet. The caller must hold t.mu.
func (t *Table) large() bool { return len(t.peers) > maxFullMesh }

// aliveTimeout returns how long a daemon counts as alive after it was last seen.
// The caller must hold t.mu.
func (t *Table) aliveTimeout() time.Duration {
	const small, large = 700 * time.Millisecond, 2500 * time.Millisecond
	if t.large() {
		return large
	}
	return small
}

// Alive returns the daemons from which a state was received recently, directly or
// relayed, sorted by IP address. This daemon is not included.
func (t *Table) Alive() []Peer {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.alive()
}

// alive implements Alive. The caller must hold t.mu.
func (t *Table) alive() []Peer {
	now := t.clock()
	var alive []Peer
	for _, p := range t.peers {
		if p.lastSeen != 0 && now.Sub(p.lastSeen) < t.aliveTimeout() {
			alive = append(alive, *p)
		}
	}
	slices.SortFunc(alive, func(a, b Peer) int { return cmp.Compare(a.IP, b.IP) })
	return alive
}

// FleetSize returns the number of daemons in the fleet, including this one. It is
// the recent peak of the number of alive daemons, so that it does not drop during a
// short partition.
func (t *Table) FleetSize() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.clock()
	n := len(t.alive()) + 1
	if n >= t.peakSize || now.Sub(t.peakSizeAt) > fleetSizeTTL {
		t.peakSize, t.peakSizeAt = n, now
	}
	return t.peakSize
}

// HasMajority reports whether more than half of the fleet, including this daemon,
// is alive.
func (t *Table) HasMajority() bool {
	fleet := t.FleetSize()
	return 2*(len(t.Alive())+1) > fleet
}

// SetStoreReachable records whether this daemon can read the store.
func (t *Table) SetStoreReachable(ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.storeReachable = ok
}

// canReadStore reports whether this daemon can read the store.
func (t *Table) canReadStore() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.storeReachable
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
	for _, p := range t.alive() {
		if (p.StoreReachable || !t.storeReachable) && !p.Leaving && rankKey(p.IP) < own {
			rank++
		}
	}
	return rank
}

// rankKey returns the key by which Rank orders the daemons.
func rankKey(ip string) uint64 { return xxhash.Sum64String(ip) }

// recordMessage records a message received from a daemon. It returns false and
// records nothing if the message is older than the latest one.
func (t *Table) recordMessage(ip string, h header, m *Message) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	p := t.add(ip)
	if p == nil {
		return false
	}
	if p.incarnation == h.incarnation && h.sentAt < p.lastSentAt {
		return false // reordered in transit
	}
	p.incarnation, p.lastSentAt = h.incarnation, h.sentAt
	p.lastSeen = t.clock()
	p.State, p.inFlight = m.State, m.InFlight
	return true
}

// recordRelayed records what a peer relays about a third daemon. It returns false
// if that is not newer than what this daemon has.
func (t *Table) recordRelayed(o *RelayedPeer) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if o.AgeMS < 0 {
		return false
	}
	p := t.add(o.IP)
	at := t.clock().Add(-time.Duration(o.AgeMS) * time.Millisecond)
	if p == nil || at <= p.lastSeen {
		return false
	}
	p.lastSeen = at
	p.State, p.inFlight = o.State, o.InFlight
	return true
}

// relayedPeers returns up to maxRelayed random alive daemons to relay. In a small
// fleet, where all peers receive each other's messages directly, the entries omit
// the in-flight requests.
func (t *Table) relayedPeers() []RelayedPeer {
	t.mu.Lock()
	defer t.mu.Unlock()
	alive := t.alive()
	rand.Shuffle(len(alive), func(i, j int) { alive[i], alive[j] = alive[j], alive[i] })
	alive = alive[:min(len(alive), maxRelayed)]
	now := t.clock()
	list := make([]RelayedPeer, len(alive))
	for i, p := range alive {
		list[i] = RelayedPeer{IP: p.IP, AgeMS: now.Sub(p.lastSeen).Milliseconds() + 1, State: p.State}
		if t.large() {
			list[i].InFlight = p.inFlight
		}
	}
	return list
}
