package lease

import (
	"sync"
	"time"
)

// driftMargin is the fraction of a lease that its holder gives up, so that
// clocks that run at different rates cannot stretch it.
const driftMargin = 0.05

// share is one lender's share as its holder counts it.
type share struct {
	until     time.Time
	gained    time.Time // since when it is held without a gap
	groupSize int
}

// Shares counts the shares that this daemon holds.
type Shares struct {
	now func() time.Time

	mu     sync.Mutex
	shares map[string]map[string]share // by backend server, then lender
}

// NewShares returns an empty Shares.
func NewShares(now func() time.Time) *Shares {
	return &Shares{now: now, shares: make(map[string]map[string]share)}
}

// Granted notes a grant. The lease is counted from the time at which the claim
// was sent, which is before the lender started to count it.
func (s *Shares) Granted(backend, lender string, claimSent time.Time, duration time.Duration, groupSize int) {
	if groupSize <= 0 {
		return
	}
	margin := time.Duration(float64(duration) * driftMargin)

	s.mu.Lock()
	defer s.mu.Unlock()
	of := s.shares[backend]
	if of == nil {
		of = make(map[string]share)
		s.shares[backend] = of
	}
	now := s.now()
	next := share{until: claimSent.Add(duration - margin), gained: now, groupSize: groupSize}
	if held, ok := of[lender]; ok && now.Before(held.until) {
		next.gained = held.gained
	}
	of[lender] = next
}

// Refused forgets a lender's share: the lender does not lend it any longer.
func (s *Shares) Refused(backend, lender string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.shares[backend], lender)
}

// Fraction returns the part of a backend server's limit that is held now,
// between 0 and 1. It reads the clock at each call, so that a process that
// was paused does not use a lease that ended meanwhile.
func (s *Shares) Fraction(backend string) Fraction {
	return s.fraction(backend, func(share) bool { return true })
}

// FractionSince is Fraction without the shares that were gained after a time.
// What an earlier holder admitted under a share is seen by whoever looks at
// the backend server after the share was gained, not before.
func (s *Shares) FractionSince(backend string, looked time.Time) Fraction {
	return s.fraction(backend, func(sh share) bool { return !sh.gained.After(looked) })
}

// fraction sums up the valid shares that count.
func (s *Shares) fraction(backend string, counts func(share) bool) Fraction {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	f := Fraction{}
	for _, sh := range s.shares[backend] {
		if now.Before(sh.until) && counts(sh) {
			f.Lenders++
			f.Part += 1 / float64(sh.groupSize)
		}
	}
	f.Part = min(f.Part, 1)
	return f
}

// Drop forgets all shares of a backend server.
func (s *Shares) Drop(backend string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.shares, backend)
}

// Held returns the backend servers of which shares are held.
func (s *Shares) Held() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	held := make([]string, 0, len(s.shares))
	for backend := range s.shares {
		held = append(held, backend)
	}
	return held
}

// Fraction is the part of a limit that a daemon holds.
type Fraction struct {
	Part    float64 // between 0 and 1
	Lenders int     // lenders whose leases are valid
}

// roundingSlack keeps a sum of shares such as 9 × 1/9 from rounding below 1.
const roundingSlack = 1e-9

// Majority reports whether more than half of the limit is held.
func (f Fraction) Majority() bool { return f.Part > 0.5+roundingSlack }

// Of returns how much of limit may be used: the held part, rounded down, and
// at least one with a majority, which only one daemon can have.
func (f Fraction) Of(limit int) int {
	allowed := int(f.Part*float64(limit) + roundingSlack)
	if allowed == 0 && limit > 0 && f.Majority() {
		return 1
	}
	return allowed
}
