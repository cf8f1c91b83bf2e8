package lease

import (
	"sync"
	"time"
)

// driftMargin is the fraction of a lease that its holder gives up, so that
// clocks that run at different rates cannot stretch it.
const driftMargin = 0.05

// renewAfter is the fraction of a lease after which its holder claims it anew.
// What is left covers several lost heartbeats.
const renewAfter = 1.0 / 3

// share is one lender's share as its holder counts it.
type share struct {
	since     time.Time // held without a gap
	until     time.Time
	renew     time.Time
	groupSize int
}

// Shares counts the shares that this daemon holds.
type Shares struct {
	now func() time.Time

	mu     sync.Mutex
	shares map[string]map[string]share // by backend server, then lender
	seen   time.Time                   // the latest reading of the clock
}

// maxSuspend is by how much the wall clock may run ahead of the monotonic one
// between two readings before all shares are taken as ended. The monotonic
// clock stands still while a VM is suspended.
const maxSuspend = 100 * time.Millisecond

// readLocked reads the clock and drops all shares if the VM was suspended since
// the last reading. The caller holds s.mu.
func (s *Shares) readLocked() time.Time {
	now := s.now()
	if !s.seen.IsZero() && suspended(s.seen, now) > maxSuspend {
		clear(s.shares)
	}
	s.seen = now
	return now
}

// suspended returns by how much the wall clock ran ahead of the monotonic one
// between two readings.
func suspended(from, to time.Time) time.Duration {
	return to.Round(0).Sub(from.Round(0)) - to.Sub(from)
}

// NewShares returns an empty Shares.
func NewShares(now func() time.Time) *Shares {
	return &Shares{now: now, shares: make(map[string]map[string]share)}
}

// RecordGrant notes a grant. The lease is counted from the time at which the claim
// was sent, which is before the lender started to count it.
func (s *Shares) RecordGrant(backend, lender string, claimSent time.Time, duration time.Duration, groupSize int) {
	if groupSize <= 0 {
		return
	}
	margin := time.Duration(float64(duration) * driftMargin)

	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.readLocked()
	if suspended(claimSent, now) > maxSuspend {
		return
	}
	of := s.shares[backend]
	if of == nil {
		of = make(map[string]share)
		s.shares[backend] = of
	}
	since := now
	if held, ok := of[lender]; ok && now.Before(held.until) {
		since = held.since // the lender lent it to nobody else meanwhile
	}
	of[lender] = share{
		since:     since,
		until:     claimSent.Add(duration - margin),
		renew:     claimSent.Add(time.Duration(float64(duration) * renewAfter)),
		groupSize: groupSize,
	}
}

// ClaimDue reports whether a lender's share is to be claimed: it is not held, or
// its lease has run for a while.
func (s *Shares) ClaimDue(backend, lender string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	held, ok := s.shares[backend][lender]
	return !ok || !s.now().Before(held.renew)
}

// RecordRefusal forgets a lender's share: the lender does not lend it any longer.
func (s *Shares) RecordRefusal(backend, lender string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.shares[backend], lender)
}

// Fraction returns the part of a backend server's limit that is held now,
// between 0 and 1. It reads the clock at each call, so that a process that
// was paused does not use a lease that ended meanwhile.
func (s *Shares) Fraction(backend string) Fraction {
	return s.FractionSince(backend, s.now())
}

// FractionSince is Fraction over those shares only that have been held without
// a gap since settled or longer.
func (s *Shares) FractionSince(backend string, settled time.Time) Fraction {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.readLocked()
	f := Fraction{}
	for _, sh := range s.shares[backend] {
		if now.Before(sh.until) && !sh.since.After(settled) {
			f.Lenders++
			f.Value += 1 / float64(sh.groupSize)
			f.NewestSince = later(f.NewestSince, sh.since)
		}
	}
	f.Value = min(f.Value, 1)
	return f
}

// later returns the later of two times.
func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// Drop forgets all shares of a backend server.
func (s *Shares) Drop(backend string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.shares, backend)
}

// Count returns how many shares are held now.
func (s *Shares) Count() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.readLocked()
	n := 0
	for _, of := range s.shares {
		for _, sh := range of {
			if now.Before(sh.until) {
				n++
			}
		}
	}
	return n
}

// Fraction is the part of a limit that a daemon holds.
type Fraction struct {
	Value       float64   // between 0 and 1
	Lenders     int       // lenders whose leases are valid
	NewestSince time.Time // when the newest of these shares came; zero: none
}

// roundingSlack keeps a sum of shares such as 9 × 1/9 from rounding below 1.
const roundingSlack = 1e-9

// HasMajority reports whether more than half of the limit is held.
func (f Fraction) HasMajority() bool { return f.Value > 0.5+roundingSlack }

// AllowedOf returns how much of limit may be used: the held part, rounded down, and
// at least one with a majority, which only one daemon can have.
func (f Fraction) AllowedOf(limit int) int {
	allowed := int(f.Value*float64(limit) + roundingSlack)
	if allowed == 0 && limit > 0 && f.HasMajority() {
		return 1
	}
	return allowed
}
