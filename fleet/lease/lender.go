// Package lease divides a backend server's load limit into shares and grants
// them to daemons by time-limited leases. Each daemon of a group lends one
// share. A share is counted by at most one daemon at a time, so several
// daemons that each consider themselves the home of a backend server never
// admit more than its limit in total. The lenders need no consensus: each
// decides alone about its own share.
//
// Lender implements the granting side, Shares the holding side. Both are safe
// for concurrent use.
package lease

import (
	"sync"
	"time"
)

// Holder identifies the daemon incarnation that holds the lease of a share.
type Holder struct {
	ID          string
	Incarnation uint64
}

// Decision is a lender's reply to a claim.
type Decision struct {
	Granted  bool
	Duration time.Duration // of the lease, if granted
	Holder   Holder        // current holder, if the claim was refused because of it
}

// activeLease is a granted lease. expires carries a monotonic clock reading.
type activeLease struct {
	holder  Holder
	expires time.Time
}

// Lender grants leases of this daemon's share of each backend server's limit.
// It is safe for concurrent use.
type Lender struct {
	duration time.Duration
	now      func() time.Time
	readyAt  time.Time // no lease is granted before this time

	mu     sync.Mutex
	leases map[string]activeLease // by backend server
}

// NewLender returns a Lender that grants leases of the given duration. It
// refuses all claims until one duration has passed, because an earlier
// incarnation may have granted leases of the same shares just before it
// stopped.
func NewLender(duration time.Duration, now func() time.Time) *Lender {
	return &Lender{
		duration: duration,
		now:      now,
		readyAt:  now().Add(duration),
		leases:   make(map[string]activeLease),
	}
}

// Ready reports whether the initial wait has passed, so that claims can be
// granted.
func (l *Lender) Ready() bool { return !l.now().Before(l.readyAt) }

// Grant leases the share of backend to holder, or renews the holder's lease. It
// refuses if the lender is not ready or another holder has an unexpired lease.
func (l *Lender) Grant(backend string, holder Holder) Decision {
	if !l.Ready() {
		return Decision{}
	}

	now := l.now()
	l.mu.Lock()
	defer l.mu.Unlock()
	current, found := l.leases[backend]
	if found && current.holder != holder && now.Before(current.expires) {
		return Decision{Holder: current.holder}
	}
	l.leases[backend] = activeLease{holder: holder, expires: now.Add(l.duration)}
	return Decision{Granted: true, Duration: l.duration}
}

// Release ends a lease before its expiry. A holder releases a share only when
// it admits no more work under it. A release by any other holder is ignored.
func (l *Lender) Release(backend string, holder Holder) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.leases[backend].holder == holder {
		delete(l.leases, backend)
	}
}

// ActiveLeases returns the number of unexpired leases and deletes the expired
// ones.
func (l *Lender) ActiveLeases() int {
	now := l.now()
	l.mu.Lock()
	defer l.mu.Unlock()
	n := 0
	for backend, lease := range l.leases {
		if now.Before(lease.expires) {
			n++
			continue
		}
		delete(l.leases, backend)
	}
	return n
}
