// Package peers keeps the daemons in touch with each other by datagrams: who
// lives, who is leaving, how far each knows what the platform publishes, how
// many requests each has in flight, and which requests crash servers.
//
// Daemons find each other from seed addresses; each datagram names the daemons
// that its sender hears.
package peers

import (
	"cmp"
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
	// maxNamed bounds the daemons that one datagram names.
	maxNamed = 24
)

// Self describes this daemon.
type Self struct {
	IP       string
	Zone     string
	Seeds    []string // IP addresses
	Capacity float64  // cores
}

// Message is what daemons tell each other, encoded as an array.
type Message struct {
	_        struct{} `cbor:",toarray"`
	Zone     string
	Capacity float32 // cores
	Ready    bool
	Leaving  bool
	Settled  bool // knows what caches hold
	Reading  bool // its last poll of the store succeeded
	Revision int64
	Hash     uint64
	AgeMS    int64 // of its last confirmation, -1: none
	Alive    []string
	InFlight []Work
	Broken   []suspect.Count
	Warm     []warm.Entry
}

// Work is what the sender has in flight at a server.
type Work struct {
	_        struct{} `cbor:",toarray"`
	Server   uint32   // tag of the incarnation
	Requests int
	Tokens   int // of prompts that are still being computed
}

// Peer is another daemon.
type Peer struct {
	IP       string
	Zone     string
	Capacity float32 // cores
	Ready    bool
	Leaving  bool
	Reading  bool
	Settled  bool

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

// Interval returns the time between two datagrams to the same daemon. It grows
// with the fleet, so that each daemon sends about as many a second.
func (t *Table) Interval() time.Duration {
	const (
		perDatagram = 7 * time.Millisecond
		least       = 100 * time.Millisecond
		most        = 700 * time.Millisecond
	)
	t.mu.Lock()
	defer t.mu.Unlock()
	return min(max(least, time.Duration(len(t.peers))*perDatagram), most)
}

// gap returns the least time between two datagrams to the same daemon.
func (t *Table) gap() time.Duration {
	const perDatagram = time.Millisecond
	t.mu.Lock()
	defer t.mu.Unlock()
	return time.Duration(len(t.peers)) * perDatagram
}

// silence is the time after which a daemon counts as gone. t.mu is held.
func (t *Table) silence() time.Duration {
	const (
		least      = 700 * time.Millisecond
		perPeer    = 20 * time.Millisecond
		mostMissed = 2000 * time.Millisecond
	)
	return min(max(least, time.Duration(len(t.peers))*perPeer), mostMissed)
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

// Majority tells whether most of the daemons known of late are heard.
func (t *Table) Majority() bool {
	fleet := t.FleetSize()
	return 2*(len(t.Alive())+1) > fleet
}

// SetReading notes whether this daemon can read the store.
func (t *Table) SetReading(ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.reading = ok
}

// Rank returns this daemon's place among those that are heard and can read the
// store. The order mixes availability zones.
func (t *Table) Rank() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.reading {
		return 0 // tries on, so that it notices the store's return
	}
	mine := rankKey(t.self.IP)
	rank := 0
	for _, p := range t.alive() {
		if p.Reading && !p.Leaving && rankKey(p.IP) < mine {
			rank++
		}
	}
	return rank
}

func rankKey(ip string) uint64 { return xxhash.Sum64String(ip) }

// targets returns the daemons to send to and forgets those long silent.
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
		list = append(list, target{ip: ip, incarnation: p.incarnation, stamp: p.lastStamp})
	}
	return list
}

type target struct {
	ip          string
	incarnation uint64
	stamp       boottime.Instant
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
	p.Zone, p.Capacity = m.Zone, m.Capacity
	p.Ready, p.Leaving, p.Reading = m.Ready, m.Leaving, m.Reading
	p.Settled = m.Settled
	for _, other := range m.Alive {
		t.add(other)
	}
}

// names returns some of the daemons that are heard, to be told to others.
func (t *Table) names(offset int) []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	alive := t.alive()
	names := make([]string, 0, min(len(alive), maxNamed))
	for i := range min(len(alive), maxNamed) {
		names = append(names, alive[(offset+i)%len(alive)].IP)
	}
	return names
}
