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
	"slices"
	"strings"
	"sync"
	"time"

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
	rankKey       uint64           // position in the order of Rank
}

// Table holds the known daemons of the fleet, without this one. It is safe for
// concurrent use.
type Table struct {
	self    Self
	zone    ZoneTag // of this daemon
	clock   boottime.Clock
	catalog *catalog.Catalog

	mu             sync.Mutex
	peers          map[string]*Peer
	sorted         []*Peer  // the peers, by IP address
	reloadedSeeds  []string // IP addresses, of the latest reload
	storeReachable bool
	peakSize       int              // peak number of alive daemons, including this one
	peakSizeAt     boottime.Instant // when the peak was last reached
	sample         []*Peer          // memory of sampleTargets and relayedPeers, empty between calls
}

// NewTable returns a table that contains the seeds.
func NewTable(self Self, clock boottime.Clock, c *catalog.Catalog) *Table {
	t := &Table{self: self, zone: zoneTag(self.Zone), clock: clock, catalog: c, peers: make(map[string]*Peer), storeReachable: true}
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

// add is addAt for the current time. The caller must hold t.mu.
func (t *Table) add(ip string) *Peer { return t.addAt(ip, t.clock()) }

// addAt adds a daemon or refreshes the time at which it was last mentioned. It
// returns nil for this daemon. The caller must hold t.mu.
func (t *Table) addAt(ip string, now boottime.Instant) *Peer {
	if ip == t.self.IP {
		return nil
	}
	p, ok := t.peers[ip]
	if !ok {
		p = &Peer{IP: ip, rankKey: rankKey(ip)}
		t.peers[ip] = p
		i, _ := slices.BinarySearchFunc(t.sorted, ip, func(p *Peer, ip string) int { return strings.Compare(p.IP, ip) })
		t.sorted = slices.Insert(t.sorted, i, p)
	}
	p.lastMentioned = now
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

// LargeFleet reports whether the fleet is too large for each daemon to send to all
// others.
func (t *Table) LargeFleet() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.large()
}

// large implements LargeFleet. The caller must hold t.mu.
func (t *Table) large() bool { return len(t.peers) > maxFullMesh }

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

// recordRelayed records what a peer relays about other daemons. It returns the
// entries that are newer than what this daemon has.
func (t *Table) recordRelayed(relayed []RelayedPeer) []*RelayedPeer {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.clock()
	newer := make([]*RelayedPeer, 0, len(relayed))
	for i := range relayed {
		o := &relayed[i]
		if o.AgeMS < 0 {
			continue
		}
		p := t.addAt(o.IP, now)
		at := now.Add(-time.Duration(o.AgeMS) * time.Millisecond)
		if p == nil || at <= p.lastSeen {
			continue
		}
		p.lastSeen = at
		p.State, p.inFlight = o.State, o.InFlight
		newer = append(newer, o)
	}
	return newer
}

// relayedPeers returns up to maxRelayed random alive daemons to relay. In a small
// fleet, where all peers receive each other's messages directly, the entries omit
// the in-flight requests.
func (t *Table) relayedPeers() []RelayedPeer {
	t.mu.Lock()
	defer t.mu.Unlock()
	alive := slices.AppendSeq(t.sample[:0], t.alive())
	t.sample = alive[:0]
	chosen := sample(alive, min(len(alive), maxRelayed))
	now := t.clock()
	list := make([]RelayedPeer, len(chosen))
	for i, p := range chosen {
		list[i] = RelayedPeer{IP: p.IP, AgeMS: now.Sub(p.lastSeen).Milliseconds() + 1, State: p.State}
		if t.large() {
			list[i].InFlight = p.inFlight
		}
	}
	return list
}
