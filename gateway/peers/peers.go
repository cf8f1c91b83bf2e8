// Package peers keeps the daemons in touch with each other by datagrams: who
// lives, who is leaving, how far each knows what the platform publishes, how
// many requests each has in flight, and which requests crash servers.
//
// Daemons find each other from seed addresses. In a small fleet each sends to
// all others. In a larger one each sends to a few at random, which answer, and
// messages pass on what their sender has heard of others, with its age; so what
// a daemon sends does not grow with the fleet.
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
	"cassialatch.dev/gateway/suspect"
	"cassialatch.dev/gateway/warm"
)

const (
	// forgetAfter is the silence after which a daemon is no longer contacted,
	// unless it is a seed.
	forgetAfter = 20 * time.Second
	// fleetMemory is how long the largest number of daemons is remembered.
	fleetMemory = 30 * time.Second
	// smallFleet is the number of peers up to which each is sent to directly.
	smallFleet = 12
	// fanout is the number of peers that a daemon of a larger fleet sends to at
	// a time, farFanout that of those among them in other availability zones,
	// where bytes cost more.
	fanout    = 3
	farFanout = 1
	// maxOthers bounds the third daemons that one datagram tells of.
	maxOthers = 12
)

// Self describes this daemon.
type Self struct {
	IP    string
	Zone  string   // availability zone
	Seeds []string // IP addresses
}

// IsSeed tells whether the daemon is one of those that all know from their start.
func (s Self) IsSeed() bool { return slices.Contains(s.Seeds, s.IP) }

// Message is what daemons tell each other, encoded as an array.
type Message struct {
	_               struct{} `cbor:",toarray"`
	Reply           bool     // asks for a message in return
	State           State
	Revision        int64
	Hash            uint64
	AgeMS           int64 // of its last confirmation, -1: none
	InFlight        []InFlight
	CrashCounts     []suspect.Count
	CacheUpdates    []warm.Entry
	Relayed         []RelayedPeer // some of the daemons that the sender knows to live
	RelayedInFlight bool          // Others have what is in flight
}

// State is what a daemon says of itself.
type State struct {
	_              struct{} `cbor:",toarray"`
	Ready          bool
	Leaving        bool
	CachesKnown    bool // knows what caches hold
	StoreReachable bool // its last poll of the store succeeded
	Zone           ZoneTag
}

// ZoneTag names an availability zone in short.
type ZoneTag uint16

func zoneTag(zone string) ZoneTag { return ZoneTag(xxhash.Sum64String(zone)) }

// RelayedPeer is what the sender has heard of a third daemon.
type RelayedPeer struct {
	_        struct{} `cbor:",toarray"`
	IP       string
	AgeMS    int64 // since the daemon said so
	State    State
	InFlight []InFlight
}

// InFlight is what the sender has in flight at a server.
type InFlight struct {
	_        struct{} `cbor:",toarray"`
	Server   uint32   // tag of the incarnation
	Requests int
	Tokens   int // of prompts that are still being computed
}

// Peer is another daemon.
type Peer struct {
	IP string
	State

	work        []InFlight // that it has in flight
	incarnation uint64
	heard       boottime.Instant // 0: never
	named       boottime.Instant // last named by another daemon
	lastStamp   boottime.Instant // of its clock, echoed to it
}

// Table knows the daemons. It is safe for concurrent use.
type Table struct {
	self    Self
	clock   boottime.Clock
	catalog *catalog.Catalog

	mu      sync.Mutex
	peers   map[string]*Peer
	reading bool
	largest int
	counted boottime.Instant
}

// NewTable returns a table that knows the seeds.
func NewTable(self Self, clock boottime.Clock, c *catalog.Catalog) *Table {
	t := &Table{self: self, clock: clock, catalog: c, peers: make(map[string]*Peer), reading: true}
	for _, ip := range self.Seeds {
		t.add(ip)
	}
	return t
}

// AddSeeds makes further daemons known.
func (t *Table) AddSeeds(ips []string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, ip := range ips {
		t.add(ip)
	}
}

// add makes a daemon known. t.mu is held.
func (t *Table) add(ip string) *Peer {
	if ip == t.self.IP {
		return nil
	}
	p, ok := t.peers[ip]
	if !ok {
		p = &Peer{IP: ip}
		t.peers[ip] = p
	}
	p.named = t.clock()
	return p
}

// Interval returns the time between two rounds of datagrams.
func (t *Table) Interval() time.Duration {
	const small, large = 100 * time.Millisecond, 250 * time.Millisecond
	if t.LargeFleet() {
		return large
	}
	return small
}

// Isolated tells whether no other daemon is heard.
func (t *Table) Isolated() bool { return len(t.Alive()) == 0 }

// newcomer tells whether a peer has started of late and has to learn what caches
// hold.
func (t *Table) newcomer() bool {
	return slices.ContainsFunc(t.Alive(), func(p Peer) bool { return !p.CachesKnown })
}

// LargeFleet tells whether the fleet is too large for each to send to all.
func (t *Table) LargeFleet() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.large()
}

// large needs t.mu.
func (t *Table) large() bool { return len(t.peers) > smallFleet }

// silence is the time after which a daemon counts as gone. t.mu is held.
func (t *Table) silence() time.Duration {
	const small, large = 700 * time.Millisecond, 2500 * time.Millisecond
	if t.large() {
		return large
	}
	return small
}

// Alive returns the daemons that are heard, without this one.
func (t *Table) Alive() []Peer {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.alive()
}

// alive needs t.mu.
func (t *Table) alive() []Peer {
	now := t.clock()
	var alive []Peer
	for _, p := range t.peers {
		if p.heard != 0 && now.Sub(p.heard) < t.silence() {
			alive = append(alive, *p)
		}
	}
	slices.SortFunc(alive, func(a, b Peer) int { return cmp.Compare(a.IP, b.IP) })
	return alive
}

// FleetSize returns the largest number of daemons heard of late, with this one.
func (t *Table) FleetSize() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.clock()
	n := len(t.alive()) + 1
	if n >= t.largest || now.Sub(t.counted) > fleetMemory {
		t.largest, t.counted = n, now
	}
	return t.largest
}

// HasMajority tells whether most of the daemons known of late are heard.
func (t *Table) HasMajority() bool {
	fleet := t.FleetSize()
	return 2*(len(t.Alive())+1) > fleet
}

// SetStoreReachable notes whether this daemon can read the store.
func (t *Table) SetStoreReachable(ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.reading = ok
}

func (t *Table) canRead() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.reading
}

// Rank returns this daemon's place among those that are heard and can read the
// store as well as it can. The order mixes availability zones.
func (t *Table) Rank() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	mine := rankKey(t.self.IP)
	rank := 0
	for _, p := range t.alive() {
		if (p.StoreReachable || !t.reading) && !p.Leaving && rankKey(p.IP) < mine {
			rank++
		}
	}
	return rank
}

func rankKey(ip string) uint64 { return xxhash.Sum64String(ip) }

// targets returns the daemons to send to now and forgets those long silent.
func (t *Table) targets() []target {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.clock()
	list := make([]target, 0, len(t.peers))
	for ip, p := range t.peers {
		if now.Sub(max(p.heard, p.named)) > forgetAfter && !slices.Contains(t.self.Seeds, ip) {
			delete(t.peers, ip)
			continue
		}
		list = append(list, target{ip: ip, incarnation: p.incarnation, stamp: p.lastStamp, far: p.Zone != zoneTag(t.self.Zone)})
	}
	if !t.large() {
		return list
	}
	return someOf(list)
}

// someOf picks peers to send to at random, near ones where it can.
func someOf(list []target) []target {
	rand.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	var near, far []target
	for _, to := range list {
		if to.far {
			far = append(far, to)
		} else {
			near = append(near, to)
		}
	}
	farCount := min(len(far), max(farFanout, fanout-len(near)))
	nearCount := min(len(near), fanout-farCount)
	return slices.Concat(near[:nearCount], far[:farCount])
}

// target returns what a datagram to a daemon echoes.
func (t *Table) target(ip string) target {
	t.mu.Lock()
	defer t.mu.Unlock()
	to := target{ip: ip}
	if p, ok := t.peers[ip]; ok {
		to.incarnation, to.stamp = p.incarnation, p.lastStamp
	}
	return to
}

type target struct {
	ip          string
	incarnation uint64
	stamp       boottime.Instant
	far         bool // in another availability zone, or one that isn't known yet
}

// heardFrom notes a datagram.
func (t *Table) heardFrom(ip string, h header, m *Message) {
	t.mu.Lock()
	defer t.mu.Unlock()
	p := t.add(ip)
	if p == nil {
		return
	}
	if p.incarnation == h.incarnation && h.stamp < p.lastStamp {
		return // overtaken by a later one
	}
	p.incarnation, p.lastStamp = h.incarnation, h.stamp
	p.heard = t.clock()
	p.State, p.work = m.State, m.InFlight
}

// heardOf notes what a peer passes on about a third daemon. It returns whether
// that is news.
func (t *Table) heardOf(o *RelayedPeer) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if o.AgeMS < 0 {
		return false
	}
	p := t.add(o.IP)
	at := t.clock().Add(-time.Duration(o.AgeMS) * time.Millisecond)
	if p == nil || at <= p.heard {
		return false
	}
	p.heard = at
	p.State, p.work = o.State, o.InFlight
	return true
}

// others returns some of the daemons that live, to be told of. Daemons that all
// peers hear by themselves are only named.
func (t *Table) others() []RelayedPeer {
	t.mu.Lock()
	defer t.mu.Unlock()
	alive := t.alive()
	rand.Shuffle(len(alive), func(i, j int) { alive[i], alive[j] = alive[j], alive[i] })
	alive = alive[:min(len(alive), maxOthers)]
	now := t.clock()
	list := make([]RelayedPeer, len(alive))
	for i, p := range alive {
		list[i] = RelayedPeer{IP: p.IP, AgeMS: now.Sub(p.heard).Milliseconds() + 1, State: p.State}
		if t.large() {
			list[i].InFlight = p.work
		}
	}
	return list
}
