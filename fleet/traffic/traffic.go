// Package traffic meters a daemon's control traffic and keeps it within a budget
// of bytes per second.
//
// Meter.Conn wraps a connection so that its bytes are counted and charged in
// both directions. If the wrapped connection is below TLS, the count includes
// the overhead of TLS. Only control connections may be wrapped: on a connection
// that carries forwarded requests, the bytes of callers would spend the budget.
//
// Senders call Meter.Allow before they send an item. Each kind leaves a part of
// the budget to the kinds that are deferred later, in the order of the table in
// kind.go, so that relayed load reports are the first to be deferred when the
// budget runs short. Kinds that are never deferred are charged as well and
// reduce what is left for the others. The total exceeds the budget only by the
// traffic of these kinds and by what peers send to this daemon.
package traffic

import (
	"sync"
	"time"

	"golang.org/x/time/rate"

	"cassialatch.dev/wire/operatorapi"
)

const (
	// burstSeconds is the burst of the budget, in seconds of its rate.
	burstSeconds = 2
	// maxDebtSeconds bounds the debt of the budget, in seconds of its rate, and
	// thereby how long a burst of traffic that is never deferred, or one large
	// document, can block the other kinds.
	maxDebtSeconds = 10
	// rateWindow is the period over which Snapshot averages rates.
	rateWindow = 10 * time.Second
)

// Meter counts and limits control traffic. It is safe for concurrent use.
type Meter struct {
	now func() time.Time

	mu      sync.Mutex
	budget  *rate.Limiter // nil: no limit
	maxDebt float64       // bytes
	kinds   map[Kind]*kindStats
}

// kindStats holds the counters of one kind. Meter.mu guards it.
type kindStats struct {
	kindPolicy
	sent, read  uint64 // bytes since start
	deferred    uint64 // items since start
	prepaid     int    // bytes that Allow charged and that were not yet written to a Conn
	windowStart time.Time
	windowBytes uint64  // bytes since windowStart
	lastRate    float64 // bytes per second in the last whole window
}

// NewMeter returns a Meter whose budget, in bytes per second, covers all kinds
// in both directions. With a budget of zero or less the Meter only counts.
func NewMeter(limitBytesPerSec int, now func() time.Time) *Meter {
	m := &Meter{now: now, kinds: make(map[Kind]*kindStats, len(kindPolicies))}
	if limitBytesPerSec > 0 {
		m.budget = rate.NewLimiter(rate.Limit(limitBytesPerSec), limitBytesPerSec*burstSeconds)
		m.maxDebt = float64(limitBytesPerSec) * maxDebtSeconds
	}
	start := now()
	for _, p := range kindPolicies {
		m.kinds[p.kind] = &kindStats{kindPolicy: p, windowStart: start}
	}
	return m
}

// Allow reports whether an item of the given size in bytes may be sent now, and
// charges it to the budget if so. An item that may not be sent counts as
// deferred. An item larger than the burst is allowed while the budget is unused;
// the debt it causes blocks later items. Unknown kinds are treated as KindRelay,
// which is deferred first.
func (m *Meter) Allow(kind Kind, bytes int) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	s := m.stats(kind)
	if m.budget == nil || bytes <= 0 {
		return true
	}
	now := m.now()
	if s.rank != rankNeverDeferred && !m.hasBudget(s.rank, bytes, now) {
		s.deferred++
		return false
	}
	m.charge(bytes, now)
	carrier := m.kinds[s.carrier]
	carrier.prepaid = min(carrier.prepaid+bytes, m.budget.Burst())
	return true
}

// Snapshot returns the traffic of each kind, always in the same order. For items
// on peer connections the byte counts are zero, since KindPeer counts them.
func (m *Meter) Snapshot() []operatorapi.Traffic {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.now()
	snapshot := make([]operatorapi.Traffic, 0, len(kindPolicies))
	for _, p := range kindPolicies {
		s := m.kinds[p.kind]
		snapshot = append(snapshot, operatorapi.Traffic{
			Kind:           string(s.kind),
			SentBytes:      s.sent,
			ReadBytes:      s.read,
			BytesPerSecond: s.perSecond(now),
			Deferred:       s.deferred,
		})
	}
	return snapshot
}

// stats returns the counters of a kind, and those of KindRelay if the kind is
// unknown. The caller holds m.mu.
func (m *Meter) stats(kind Kind) *kindStats {
	if s, ok := m.kinds[kind]; ok {
		return s
	}
	return m.kinds[KindRelay]
}

// hasBudget reports whether the budget covers the bytes and the part that the
// rank leaves to other kinds. The caller holds m.mu.
func (m *Meter) hasBudget(rank, bytes int, now time.Time) bool {
	burst := float64(m.budget.Burst())
	reserved := reservedBytes(rank, burst)
	need := min(float64(bytes), burst-reserved)
	return m.budget.TokensAt(now) >= need+reserved
}

// charge takes bytes from the budget, down to a debt of m.maxDebt. The caller
// holds m.mu.
func (m *Meter) charge(bytes int, now time.Time) {
	available := int(m.budget.TokensAt(now) + m.maxDebt)
	for bytes = min(bytes, available); bytes > 0; {
		part := min(bytes, m.budget.Burst())
		m.budget.ReserveN(now, part) // a reservation may make the balance negative
		bytes -= part
	}
}

// count adds the bytes sent and read on a connection and charges those that Allow
// did not charge before.
func (m *Meter) count(kind Kind, sent, read int) {
	if sent <= 0 && read <= 0 {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	s := m.stats(kind)
	now := m.now()
	s.sent += uint64(max(sent, 0))
	s.read += uint64(max(read, 0))
	s.add(uint64(max(sent, 0)+max(read, 0)), now)
	if m.budget == nil {
		return
	}
	prepaid := min(sent, s.prepaid)
	s.prepaid -= prepaid
	m.charge(sent-prepaid+read, now)
}

// add counts bytes towards the rate. The caller holds Meter.mu.
func (s *kindStats) add(bytes uint64, now time.Time) {
	s.roll(now)
	s.windowBytes += bytes
}

// roll starts a new rate window if the current one is over. The caller holds
// Meter.mu.
func (s *kindStats) roll(now time.Time) {
	elapsed := now.Sub(s.windowStart)
	if elapsed < rateWindow {
		return
	}
	s.lastRate = float64(s.windowBytes) / elapsed.Seconds()
	s.windowStart, s.windowBytes = now, 0
}

// perSecond returns the mean rate of the last whole window in bytes per second.
// If that rate is zero or there is no such window yet, it returns the mean rate
// since the current window began. The caller holds Meter.mu.
func (s *kindStats) perSecond(now time.Time) float64 {
	s.roll(now)
	if s.lastRate > 0 {
		return s.lastRate
	}
	elapsed := max(now.Sub(s.windowStart), time.Second)
	return float64(s.windowBytes) / elapsed.Seconds()
}
