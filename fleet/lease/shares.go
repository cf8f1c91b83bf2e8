package lease

import (
	"sync"
	"time"
)

// driftMargin is the fraction by which a holder shortens its lease, so that it
// does not outlast the lender's record when the two clocks run at different
// rates.
const driftMargin = 0.05

// renewAfter is the fraction of a lease after which its holder renews it. The
// remaining time allows for the loss of several heartbeats.
const renewAfter = 1.0 / 3

// share is a lease of one lender's share, as recorded by its holder.
type share struct {
	heldSince time.Time // start of uninterrupted possession
	expires   time.Time
	renewAt   time.Time
	groupSize int
}

// Shares records the shares that this daemon holds. It is safe for concurrent
// use.
type Shares struct {
	now func() time.Time

	mu       sync.Mutex
	shares   map[string]map[string]share // by backend server, then lender
	lastRead time.Time                   // previous clock reading
}

// maxSuspension is how far the wall clock may advance beyond the monotonic clock
// between two readings before all shares are considered expired. The monotonic
// clock does not advance while a VM is suspended, so it would extend the leases
// by that time.
const maxSuspension = 100 * time.Millisecond

// readClockLocked returns the current time. It drops all shares if the VM was
// suspended since the previous reading. The caller holds s.mu.
func (s *Shares) readClockLocked() time.Time {
	now := s.now()
	if !s.lastRead.IsZero() && suspension(s.lastRead, now) > maxSuspension {
		clear(s.shares)
	}
	s.lastRead = now
	return now
}

// suspension returns how far the wall clock advanced beyond the monotonic clock
// between two readings.
func suspension(from, to time.Time) time.Duration {
	return to.Round(0).Sub(from.Round(0)) - to.Sub(from)
}

// NewShares returns a Shares without any share. A suspension of the VM is
// detected only if the readings of now carry monotonic time.
func NewShares(now func() time.Time) *Shares {
	return &Shares{now: now, shares: make(map[string]map[string]share)}
}

// RecordGrant records a lease granted by lender. The lease is measured from the
// time when the claim was sent, which precedes the start of the lender's
// measurement, so it expires at the holder first. groupSize is the number of
// lenders between which the limit is divided. The grant is ignored if the VM
// was suspended after the claim was sent.
func (s *Shares) RecordGrant(backend, lender string, claimSent time.Time, duration time.Duration, groupSize int) {
	if groupSize <= 0 {
		return
	}
	margin := time.Duration(float64(duration) * driftMargin)

	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.readClockLocked()
	if suspension(claimSent, now) > maxSuspension {
		return
	}
	byLender := s.shares[backend]
	if byLender == nil {
		byLender = make(map[string]share)
		s.shares[backend] = byLender
	}
	heldSince := now
	if held, ok := byLender[lender]; ok && now.Before(held.expires) {
		heldSince = held.heldSince // the lender cannot have leased it to another holder meanwhile
	}
	byLender[lender] = share{
		heldSince: heldSince,
		expires:   claimSent.Add(duration - margin),
		renewAt:   claimSent.Add(time.Duration(float64(duration) * renewAfter)),
		groupSize: groupSize,
	}
}

// ClaimDue reports whether a lender's share should be claimed: it is not held,
// or its lease is due for renewal.
func (s *Shares) ClaimDue(backend, lender string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	held, ok := s.shares[backend][lender]
	return !ok || !s.now().Before(held.renewAt)
}

// RecordRefusal deletes a lender's share because the lender no longer grants it.
func (s *Shares) RecordRefusal(backend, lender string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.shares[backend], lender)
}

// Fraction returns the fraction of a backend server's limit that this daemon
// holds. It reads the clock at each call, so that a process that was paused
// does not use a lease that expired meanwhile.
func (s *Shares) Fraction(backend string) Fraction {
	return s.FractionSince(backend, s.now())
}

// FractionSince is like Fraction but counts only shares held without
// interruption since the given time or earlier.
func (s *Shares) FractionSince(backend string, since time.Time) Fraction {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.readClockLocked()
	f := Fraction{}
	for _, sh := range s.shares[backend] {
		if now.Before(sh.expires) && !sh.heldSince.After(since) {
			f.Lenders++
			f.Value += 1 / float64(sh.groupSize)
			f.NewestSince = later(f.NewestSince, sh.heldSince)
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

// Drop deletes all shares of a backend server.
func (s *Shares) Drop(backend string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.shares, backend)
}

// Count returns the number of shares held now, over all backend servers.
func (s *Shares) Count() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.readClockLocked()
	n := 0
	for _, byLender := range s.shares {
		for _, sh := range byLender {
			if now.Before(sh.expires) {
				n++
			}
		}
	}
	return n
}

// Fraction is the fraction of a limit that a daemon holds.
type Fraction struct {
	Value       float64   // between 0 and 1
	Lenders     int       // number of lenders whose leases are valid
	NewestSince time.Time // start of the most recently acquired share; zero if none
}

// roundingSlack compensates for floating-point error in sums of shares: 9 × 1/9
// may come out below 1.
const roundingSlack = 1e-9

// HasMajority reports whether the fraction exceeds one half.
func (f Fraction) HasMajority() bool { return f.Value > 0.5+roundingSlack }

// AllowedOf returns how much of limit may be used: the held fraction of it,
// rounded down, but at least 1 if f is a majority, which only one daemon can
// hold.
func (f Fraction) AllowedOf(limit int) int {
	allowed := int(f.Value*float64(limit) + roundingSlack)
	if allowed == 0 && limit > 0 && f.HasMajority() {
		return 1
	}
	return allowed
}
