// Package warmup limits the requests to backend servers that have just started. Such a
// server is cold: it is slow, and crashes if all daemons together send it many more
// requests per second than its service allows.
//
// Each daemon decides alone. While a server is cold, the daemon divides time into slots,
// with a phase of its own that it draws at random, and sends at most one request in each.
// A slot lasts as long as the whole fleet, of which each daemon sends one request, takes
// to use up a part of the limit. So no daemon has to know what the others send.
package warmup

import (
	"sync"
	"sync/atomic"
	"time"

	"cassialatch.dev/gateway/catalog"
	"cassialatch.dev/gateway/route"
)

const (
	// limitShare is the part of the limit that the fleet uses. Since the phases are
	// random, in some seconds more daemons send than in others.
	limitShare = 0.75
	// sendWindow is the time from the start of a slot in which its request may be sent;
	// the rest of the slot remains unused. Otherwise all daemons whose slot has begun
	// could send at once when the demand shifts to the server, for example because others
	// fail, after a time in which they preferred other servers.
	sendWindow = 250 * time.Millisecond
	// startupTime is how long a daemon takes to learn the size of the fleet.
	startupTime = 3 * time.Second
	// startupFleet is the size of the fleet that is assumed until then. It is more than
	// that of the largest one, of 295 daemons.
	startupFleet = 300
	// fleetSizeTTL is how long the peak of the fleet's size is used. The size that the
	// peers report falls 30 s after the start of a partition, and when this daemon was
	// suspended. The two sides would then exceed the limit together. A fleet that has
	// shrunk only sends less to cold servers.
	fleetSizeTTL = time.Hour
	// fleetSizeInterval is the time between two readings of the fleet's size: it takes a
	// pass over all peers.
	fleetSizeInterval = 250 * time.Millisecond
	// minSlot and maxSlot limit the length of a slot where the limit is an odd number.
	minSlot = time.Millisecond
	maxSlot = time.Hour
)

// Limit is what a service allows for its cold servers. With the zero Limit, or if one
// field is 0, servers are never cold.
type Limit struct {
	PerSecond float64       // requests per second to one server, of all daemons
	Duration  time.Duration // how long a server is cold after its start
}

// LimitOf returns the limit of a service.
func LimitOf(s *route.Service) Limit {
	return Limit{PerSecond: s.ColdPerSecond, Duration: s.ColdStart}
}

// Applies reports whether servers can be cold.
func (l Limit) Applies() bool { return l.PerSecond > 0 && l.Duration > 0 }

// Table holds which servers are cold and when they may be sent a request. It is safe for
// concurrent use.
type Table struct {
	now       func() time.Time
	fleetSize func() int
	random    func() float64
	started   time.Time
	count     atomic.Int64 // number of entries of servers

	mu      sync.Mutex
	servers map[catalog.Incarnation]*server
	peak    int       // of the fleet's size
	peakAt  time.Time // when the peak was last reached
	readAt  time.Time // when the fleet's size was last read
}

// server is what is known about a server that is or was cold.
type server struct {
	limit         Limit
	published     time.Duration // latest value of Observe
	coldUntil     time.Time     // by that value
	suspectUntil  time.Time     // cold until then by what this daemon has seen
	slot          time.Time     // start of the first slot that is not used or missed
	duringStartup bool          // slot was drawn before the size of the fleet was known
}

// isCold reports whether the server counts as cold.
func (s *server) isCold(now time.Time) bool {
	return now.Before(s.coldUntil) || now.Before(s.suspectUntil)
}

// New returns an empty table. The daemon starts now; fleetSize returns the number of
// daemons that are known, including this one, and random a number from 0 up to 1.
func New(now func() time.Time, fleetSize func() int, random func() float64) *Table {
	return &Table{now: now, fleetSize: fleetSize, random: random, started: now(), servers: make(map[catalog.Incarnation]*server)}
}

// Observe records how much longer a server is cold by its published entry; 0: it is
// warm. A value that has not changed since the last call says nothing new. It may be
// rounded up, but is not believed beyond twice the duration of the limit.
func (t *Table) Observe(id catalog.Incarnation, limit Limit, remaining time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s, ok := t.servers[id]
	if !ok && (remaining <= 0 || !limit.Applies()) {
		return
	}
	now := t.now()
	if !ok {
		s = t.add(id)
	}
	s.limit = limit
	if s.published == remaining {
		return
	}
	if remaining > 0 {
		t.begin(s, now)
	}
	s.published = remaining
	s.coldUntil = now.Add(min(remaining, 2*limit.Duration))
}

// Suspect records that a server may have restarted. It counts as cold for the duration
// of the limit, even if its entry says that it is warm: the entry may be older.
func (t *Table) Suspect(id catalog.Incarnation, limit Limit) {
	if !limit.Applies() {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.now()
	s, ok := t.servers[id]
	if !ok {
		s = t.add(id)
	}
	s.limit = limit
	t.begin(s, now)
	s.suspectUntil = now.Add(limit.Duration)
}

// add adds a server. The caller must hold t.mu.
func (t *Table) add(id catalog.Incarnation) *server {
	s := &server{}
	t.servers[id] = s
	t.count.Store(int64(len(t.servers)))
	return s
}

// begin draws the phase of the slots of a server that becomes cold. The caller must hold
// t.mu.
func (t *Table) begin(s *server, now time.Time) {
	if !s.isCold(now) {
		t.drawPhase(s, now)
	}
}

// drawPhase lets the first slot of a server begin at a random time within the length of
// a slot. The caller must hold t.mu.
func (t *Table) drawPhase(s *server, now time.Time) {
	s.slot = now.Add(time.Duration(t.random() * float64(t.slotLength(s.limit, now))))
	s.duringStartup = !t.knowsFleet(now)
}

// slotLength returns the time in which this daemon sends at most one request to a cold
// server. The caller must hold t.mu.
func (t *Table) slotLength(l Limit, now time.Time) time.Duration {
	t.readFleetSize(now)
	n := t.peak
	if !t.knowsFleet(now) {
		n = max(n, startupFleet)
	}
	seconds := float64(n) / (limitShare * l.PerSecond)
	seconds = min(max(seconds, minSlot.Seconds()), maxSlot.Seconds())
	return time.Duration(seconds * float64(time.Second))
}

// readFleetSize updates the peak of the fleet's size if it was not read recently. The
// caller must hold t.mu.
func (t *Table) readFleetSize(now time.Time) {
	if !t.readAt.IsZero() && now.Sub(t.readAt) < fleetSizeInterval {
		return
	}
	t.readAt = now
	if n := max(t.fleetSize(), 1); n >= t.peak || now.Sub(t.peakAt) > fleetSizeTTL {
		t.peak, t.peakAt = n, now
	}
}

// KnowsFleet reports whether the daemon has run long enough to know the size of the
// fleet. Until then a cold server should get requests only if there are no others.
func (t *Table) KnowsFleet() bool { return t.knowsFleet(t.now()) }

func (t *Table) knowsFleet(now time.Time) bool { return now.Sub(t.started) >= startupTime }

// Wait returns how long from now a server may be sent no request while it is cold, and
// whether it is cold. A server that is not cold need not be waited for.
func (t *Table) Wait(id catalog.Incarnation) (wait time.Duration, cold bool) {
	wait, coldFor := t.wait(id)
	return wait, coldFor > 0
}

// RetryAfter returns how long from now a server may be sent no request: until the next slot
// or until it is warm, whichever is earlier.
func (t *Table) RetryAfter(id catalog.Incarnation) (wait time.Duration, cold bool) {
	wait, coldFor := t.wait(id)
	return min(wait, coldFor), coldFor > 0
}

// wait returns how long from now a slot of a server begins, and how long the server is
// cold; both are 0 if it is not.
func (t *Table) wait(id catalog.Incarnation) (slot, coldFor time.Duration) {
	if t.count.Load() == 0 {
		return 0, 0
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	s, ok := t.servers[id]
	now := t.now()
	if !ok || !s.isCold(now) {
		return 0, 0
	}
	t.skipMissed(s, now)
	return max(s.slot.Sub(now), 0), max(s.coldUntil.Sub(now), s.suspectUntil.Sub(now))
}

// Take records that a request is about to be sent to a server. It returns false if none
// may be sent now, for example since another request has just used the slot, and whether
// the server is cold.
func (t *Table) Take(id catalog.Incarnation) (ok, cold bool) {
	if t.count.Load() == 0 {
		return true, false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	s, known := t.servers[id]
	now := t.now()
	if !known || !s.isCold(now) {
		return true, false
	}
	t.skipMissed(s, now)
	if s.slot.After(now) {
		return false, true
	}
	s.slot = s.slot.Add(t.slotLength(s.limit, now))
	return true, true
}

// skipMissed advances s.slot past the slots whose time to send is over. Requests that were
// not sent in them are not made up for. The caller must hold t.mu.
func (t *Table) skipMissed(s *server, now time.Time) {
	if s.duringStartup && t.knowsFleet(now) {
		t.drawPhase(s, now)
	}
	length := t.slotLength(s.limit, now)
	over := now.Sub(s.slot) - min(length, sendWindow)
	if over >= 0 {
		s.slot = s.slot.Add((over/length + 1) * length)
	}
}

// Cold returns the number of servers that count as cold.
func (t *Table) Cold() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	now, n := t.now(), 0
	for _, s := range t.servers {
		if s.isCold(now) {
			n++
		}
	}
	return n
}

// Expire removes servers that are no longer cold, except those that are listed and whose
// published value still says that they are. It also reads the size of the fleet, and must
// be called regularly for that.
func (t *Table) Expire(listed func(catalog.Incarnation) bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.now()
	t.readFleetSize(now)
	for id, s := range t.servers {
		if !s.isCold(now) && (s.published == 0 || !listed(id)) {
			delete(t.servers, id)
		}
	}
	t.count.Store(int64(len(t.servers)))
}
