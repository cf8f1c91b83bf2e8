// Package serverstate holds what this daemon and its peers have recently observed
// about backend servers: how long work takes there, and which servers refuse
// connections. A daemon of a large fleet receives a response from each server only
// once in many seconds, so daemons send each other what they observe, with its age,
// and relay what they have received.
//
// What peers report is used with a bound. The first report of a refused connection keeps a
// server in backoff for 250 ms, whatever the peer has seen before, and further ones for up
// to 1 s in all; then this daemon has to try the server itself. A response to a request
// that was sent after a refusal ends it at all daemons. If that is so soon after the
// refusal that the server can't have restarted, daemons do not see the same: for some
// seconds each goes by its own observations of that server.
package serverstate

import (
	"math"
	"sync"
	"time"
)

const (
	// paceTimeConstant is that of the exponential moving average of the pace.
	paceTimeConstant = time.Second
	// paceTTL is how long a pace is used after the response that it is based on.
	paceTTL = 5 * time.Second
	// minPace and maxPace limit the pace. What is further off is a wrong figure.
	minPace, maxPace = 0.25, 10
	// usualPaceRange is by how much a pace may differ from 1 and still count as 1, so
	// that calm fleets neither exchange paces nor place requests by them.
	usualPaceRange = 0.25

	// idleTTL is how long a server is remembered after the last observation.
	idleTTL = 30 * time.Second
	// maxServers is the number of servers from which reports on others are ignored.
	maxServers = 4096
	// minUrgentGap is the minimum time between two calls of OnUrgent.
	minUrgentGap = 100 * time.Millisecond
)

// State is what is known about a server.
type State struct {
	Pace    float64 // how long work takes there, relative to the usual time; 1 if not known
	Refused bool    // has refused a connection, and should get no new work for now
}

// Table holds the state of each server by the tag of its incarnation. It is safe for
// concurrent use.
type Table struct {
	now func() time.Time
	// OnUrgent, if not nil, is called when the peers should receive a report at once.
	// It must not block, and must be set before use.
	OnUrgent func()
	// OnRestart, if not nil, is called with the tags of servers of which peers report that
	// they refuse connections, or no longer do, so that they may have restarted. It
	// must be set before use.
	OnRestart func(tags []uint32)

	mu       sync.Mutex
	servers  map[uint32]*server
	urgentAt time.Time // of the latest call of OnUrgent
	newsTill time.Time // until which there may be something to report
}

// server is the state of one server.
type server struct {
	pace     pace
	refusal  refusal
	lastUsed time.Time // time of the latest observation
}

// pace is the moving average of the pace of a server.
type pace struct {
	value      float64
	at         time.Time // of the latest response that it is based on; zero: none
	deviatedAt time.Time // at, when the pace was last outside usualPaceRange
}

// New returns an empty table.
func New(now func() time.Time) *Table {
	return &Table{now: now, servers: make(map[uint32]*server)}
}

// find returns the state of a server, which it adds if there is none. t.mu is held.
func (t *Table) find(tag uint32, now time.Time) *server {
	s, ok := t.servers[tag]
	if !ok {
		s = &server{}
		t.servers[tag] = s
	}
	s.lastUsed = now
	return s
}

// RecordPace records how long work takes at a server, in percent of the usual time, as
// of a response that has just begun.
func (t *Table) RecordPace(tag uint32, percent int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.now()
	s := t.find(tag, now)
	s.pace.observe(percent, now)
	if s.pace.isNews(now) {
		t.extendNews(now)
	}
}

// RecordRefused records that a server has refused a connection of this daemon.
func (t *Table) RecordRefused(tag uint32) {
	t.mu.Lock()
	now := t.now()
	urgent := t.find(tag, now).refusal.refused(now) && t.urgent(now)
	t.extendNews(now)
	t.mu.Unlock()
	if urgent {
		t.OnUrgent()
	}
}

// RecordResponse records that a server has responded to a request that this daemon sent
// at the given time. A response to a request sent before a refusal does not end that.
func (t *Table) RecordResponse(tag uint32, sentAt time.Time) {
	t.mu.Lock()
	now := t.now()
	ended := t.find(tag, now).refusal.responded(sentAt, now)
	if ended {
		t.extendNews(now)
	}
	urgent := ended && t.urgent(now)
	t.mu.Unlock()
	if urgent {
		t.OnUrgent()
	}
}

// urgent reports whether OnUrgent is to be called now. t.mu is held.
func (t *Table) urgent(now time.Time) bool {
	if t.OnUrgent == nil || now.Sub(t.urgentAt) < minUrgentGap {
		return false
	}
	t.urgentAt = now
	return true
}

// extendNews records that something may have to be reported. t.mu is held.
func (t *Table) extendNews(now time.Time) { t.newsTill = now.Add(relayTime) }

// Lookup sets states[i] to the state of the server with tags[i].
func (t *Table) Lookup(tags []uint32, states []State) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.now()
	for i, tag := range tags {
		states[i] = State{Pace: 1}
		if s, ok := t.servers[tag]; ok {
			states[i] = State{Pace: s.pace.current(now), Refused: s.refusal.active(now)}
		}
	}
}

// Count returns the number of servers that take longer than usual, and of those that
// are in backoff because they refused connections.
func (t *Table) Count() (slow, refusing int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.now()
	for _, s := range t.servers {
		if s.pace.current(now) > 1 {
			slow++
		}
		if s.refusal.active(now) {
			refusing++
		}
	}
	return slow, refusing
}

// Expire removes servers without an observation within idleTTL.
func (t *Table) Expire() {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.now()
	for tag, s := range t.servers {
		if now.Sub(s.lastUsed) > idleTTL {
			delete(t.servers, tag)
		}
	}
}

// observe adds an observation made at the given time, which must not be before p.at.
func (p *pace) observe(percent int, at time.Time) {
	observed := min(max(float64(percent)/100, minPace), maxPace)
	if p.at.IsZero() || at.Sub(p.at) >= paceTTL {
		p.value = observed
	} else {
		weight := 1 - math.Exp(-float64(at.Sub(p.at))/float64(paceTimeConstant))
		p.value += weight * (observed - p.value)
	}
	p.at = at
	if p.deviates() {
		p.deviatedAt = at
	}
}

// deviates reports whether the pace is outside usualPaceRange.
func (p *pace) deviates() bool { return math.Abs(p.value-1) > usualPaceRange }

// current returns the pace to place requests by.
func (p *pace) current(now time.Time) float64 {
	if p.at.IsZero() || now.Sub(p.at) >= paceTTL || !p.deviates() {
		return 1
	}
	return p.value
}

// isNews reports whether peers should receive the pace: it deviates, or they may still
// use one that does.
func (p *pace) isNews(now time.Time) bool {
	return !p.at.IsZero() && now.Sub(p.at) < relayTime && !p.deviatedAt.IsZero() && p.at.Sub(p.deviatedAt) < paceTTL
}
