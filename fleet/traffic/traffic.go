// Package traffic counts a daemon's control traffic and keeps it within a
// budget of bytes a second.
//
// Connections wrapped by Meter.Conn are counted and charged both ways, with
// what TLS adds when the wrapped connection lies below it. Only control
// connections are to be wrapped: a connection that carries forwarded requests
// would spend the budget on callers' bytes.
//
// Optional items ask Meter.Allow before they are sent. Each kind leaves a part
// of the budget to the kinds that yield later, in the order of the table in
// kind.go, so that a shortage puts relayed load off first. Kinds that never
// yield are charged too, so the others make room for them; the total exceeds
// the budget only by what these, and peers that send to us, use up alone.
package traffic

import (
	"sync"
	"time"

	"golang.org/x/time/rate"

	"cassialatch.dev/wire/operatorapi"
)

const (
	// burstSeconds is how much unused budget is saved up.
	burstSeconds = 2
	// maxDebtSeconds bounds how long a burst of traffic that never yields, or
	// one large document, can hold up the other kinds.
	maxDebtSeconds = 10
	// rateWindow is the time over which Snapshot's rates are means.
	rateWindow = 10 * time.Second
)

// Meter counts and limits control traffic. It is safe for concurrent use.
type Meter struct {
	now func() time.Time

	mu      sync.Mutex
	budget  *rate.Limiter // nil: no limit
	maxDebt float64
	kinds   map[Kind]*account
}

// account is the traffic of one kind. Meter.mu guards it.
type account struct {
	rule
	sent, read uint64 // bytes since start
	deferred   uint64 // items since start
	prepaid    int    // bytes charged by Allow that were not yet seen on Conn
	window     time.Time
	inWindow   uint64 // bytes since window
	lastRate   float64
}

// NewMeter returns a Meter with a budget in bytes a second over all kinds and
// both ways. A budget of zero or less only counts.
func NewMeter(limitBytesPerSec int, now func() time.Time) *Meter {
	m := &Meter{now: now, kinds: make(map[Kind]*account, len(rules))}
	if limitBytesPerSec > 0 {
		m.budget = rate.NewLimiter(rate.Limit(limitBytesPerSec), limitBytesPerSec*burstSeconds)
		m.maxDebt = float64(limitBytesPerSec) * maxDebtSeconds
	}
	start := now()
	for _, r := range rules {
		m.kinds[r.kind] = &account{rule: r, window: start}
	}
	return m
}

// Allow tells whether an item of so many bytes may be sent now, and charges it.
// An item put off counts as deferred. An item larger than the budget's burst
// passes when the budget is untouched, and holds up those after it. Unknown
// kinds yield first.
func (m *Meter) Allow(kind Kind, bytes int) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	a := m.account(kind)
	if m.budget == nil || bytes <= 0 {
		return true
	}
	now := m.now()
	if a.rank != never && !m.affordable(a.rank, bytes, now) {
		a.deferred++
		return false
	}
	m.charge(bytes, now)
	carrier := m.kinds[a.carrier]
	carrier.prepaid = min(carrier.prepaid+bytes, m.budget.Burst())
	return true
}

// Snapshot returns the traffic of each kind, always in the same order. Items on
// peer connections have no bytes of their own.
func (m *Meter) Snapshot() []operatorapi.Traffic {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.now()
	all := make([]operatorapi.Traffic, 0, len(rules))
	for _, r := range rules {
		a := m.kinds[r.kind]
		all = append(all, operatorapi.Traffic{
			Kind:     string(a.kind),
			SentB:    a.sent,
			ReadB:    a.read,
			PerSec:   a.perSecond(now),
			Deferred: a.deferred,
		})
	}
	return all
}

// account returns the kind's account. m.mu is held.
func (m *Meter) account(kind Kind) *account {
	if a, ok := m.kinds[kind]; ok {
		return a
	}
	return m.kinds[KindRelay]
}

// affordable tells whether the budget covers the bytes and what the rank must
// leave to others. m.mu is held.
func (m *Meter) affordable(rank, bytes int, now time.Time) bool {
	burst := float64(m.budget.Burst())
	keep := reserve(rank, burst)
	need := min(float64(bytes), burst-keep)
	return m.budget.TokensAt(now) >= need+keep
}

// charge takes bytes from the budget, down to the largest debt. m.mu is held.
func (m *Meter) charge(bytes int, now time.Time) {
	room := int(m.budget.TokensAt(now) + m.maxDebt)
	for bytes = min(bytes, room); bytes > 0; {
		part := min(bytes, m.budget.Burst())
		m.budget.ReserveN(now, part) // a reservation may go below zero
		bytes -= part
	}
}

// count adds bytes seen on a connection, and charges those that Allow has not
// charged before.
func (m *Meter) count(kind Kind, sent, read int) {
	if sent <= 0 && read <= 0 {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	a := m.account(kind)
	now := m.now()
	a.sent += uint64(max(sent, 0))
	a.read += uint64(max(read, 0))
	a.add(uint64(max(sent, 0)+max(read, 0)), now)
	if m.budget == nil {
		return
	}
	covered := min(sent, a.prepaid)
	a.prepaid -= covered
	m.charge(sent-covered+read, now)
}

// add counts bytes for the rate. Meter.mu is held.
func (a *account) add(bytes uint64, now time.Time) {
	a.roll(now)
	a.inWindow += bytes
}

// roll starts a new window when the last one is over. Meter.mu is held.
func (a *account) roll(now time.Time) {
	elapsed := now.Sub(a.window)
	if elapsed < rateWindow {
		return
	}
	a.lastRate = float64(a.inWindow) / elapsed.Seconds()
	a.window, a.inWindow = now, 0
}

// perSecond returns the mean rate of the last whole window, or of the time so
// far in the first. Meter.mu is held.
func (a *account) perSecond(now time.Time) float64 {
	a.roll(now)
	if a.lastRate > 0 {
		return a.lastRate
	}
	elapsed := max(now.Sub(a.window), time.Second)
	return float64(a.inWindow) / elapsed.Seconds()
}
