// Package lease lends shares of a backend server's load limit between
// daemons, so that two daemons that both take themselves for its home can
// never admit more than the limit together. No agreement between daemons is
// needed: each lender decides alone about its own share.
package lease

import (
	"sync"
	"time"
)

// Holder names the daemon incarnation that a share is lent to.
type Holder struct {
	ID          string
	Incarnation uint64
}

// Decision is a lender's answer to a claim.
type Decision struct {
	Granted  bool
	Duration time.Duration // of the lease, when granted
	Holder   Holder        // who holds the share, when refused for that reason
}

// loan is one share that is lent until a time on the monotonic clock.
type loan struct {
	holder Holder
	until  time.Time
}

// Lender decides about this daemon's share of each backend server's limit.
type Lender struct {
	duration time.Duration
	now      func() time.Time
	opens    time.Time // no share is lent before this time

	mu    sync.Mutex
	loans map[string]loan // by backend server
}

// NewLender returns a Lender that lends for duration at a time. It lends
// nothing for the first duration of its life: an earlier incarnation may have
// lent the same shares just before it died.
func NewLender(duration time.Duration, now func() time.Time) *Lender {
	return &Lender{
		duration: duration,
		now:      now,
		opens:    now().Add(duration),
		loans:    make(map[string]loan),
	}
}

// Ready reports whether the Lender lends by now.
func (l *Lender) Ready() bool { return !l.now().Before(l.opens) }

// Grant lends the share of backend to holder or renews it, unless another
// holder has it.
func (l *Lender) Grant(backend string, holder Holder) Decision {
	if !l.Ready() {
		return Decision{}
	}

	now := l.now()
	l.mu.Lock()
	defer l.mu.Unlock()
	current, lent := l.loans[backend]
	if lent && current.holder != holder && now.Before(current.until) {
		return Decision{Holder: current.holder}
	}
	l.loans[backend] = loan{holder: holder, until: now.Add(l.duration)}
	return Decision{Granted: true, Duration: l.duration}
}

// Release takes a share back early. The holder says by it that it admits no
// more work under the share.
func (l *Lender) Release(backend string, holder Holder) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.loans[backend].holder == holder {
		delete(l.loans, backend)
	}
}

// ActiveLeases returns how many shares are lent now.
func (l *Lender) ActiveLeases() int {
	now := l.now()
	l.mu.Lock()
	defer l.mu.Unlock()
	n := 0
	for backend, loan := range l.loans {
		if now.Before(loan.until) {
			n++
			continue
		}
		delete(l.loans, backend)
	}
	return n
}
