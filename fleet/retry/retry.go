// Package retry provides a budget that limits retries and hedges to a fraction of new
// requests, so that retries after a fault do not multiply the load. Budget is safe for
// concurrent use.
package retry

import (
	"math"
	"sync"
	"time"
)

// creditDecayTime is the time in which unused credit above one retry decays to 1/e.
// Without the decay, credit from an hour without retries would pay for a retry storm.
const creditDecayTime = 10 * time.Second

// Budget is a credit account for retries. It is safe for concurrent use.
type Budget struct {
	ratio     float64 // credit per new request; guarded by mu
	minPerSec float64 // credit per second; guarded by mu
	now       func() time.Time

	mu         sync.Mutex
	credit     float64   // in retries
	lastUpdate time.Time // of credit
}

// NewBudget returns a budget that gains ratio retries per new request and minPerSec
// retries per second. It starts with the credit of one second. Within a time t from
// its start it allows at most ratio*requests + minPerSec*(t+1s) retries. If now is nil,
// time.Now is used.
func NewBudget(ratio, minPerSec float64, now func() time.Time) *Budget {
	if now == nil {
		now = time.Now
	}
	return &Budget{ratio: ratio, minPerSec: minPerSec, now: now, credit: minPerSec, lastUpdate: now()}
}

// SetRates changes the credit per new request and per second. Existing credit is kept.
func (b *Budget) SetRates(ratio, minPerSec float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.ratio, b.minPerSec = ratio, minPerSec
}

// RecordRequest adds the credit of one new request. It must not be called for retries.
func (b *Budget) RecordRequest() {
	now := b.now()
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refill(now)
	b.credit += b.ratio
}

// Allow reports whether a retry or hedge is within the budget and, if so, charges the
// budget for it.
func (b *Budget) Allow() bool {
	now := b.now()
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refill(now)
	if b.credit < 1 {
		return false
	}
	b.credit--
	return true
}

// refill updates the credit to the given time. The caller holds b.mu.
func (b *Budget) refill(now time.Time) {
	elapsed := now.Sub(b.lastUpdate)
	if elapsed <= 0 {
		return
	}
	b.lastUpdate = now
	if b.credit > 1 {
		// Credit for one retry does not decay. Otherwise a low rate would never
		// accumulate enough credit for a retry.
		b.credit = 1 + (b.credit-1)*math.Exp(-elapsed.Seconds()/creditDecayTime.Seconds())
	}
	earned := min(elapsed, creditDecayTime).Seconds() * b.minPerSec
	b.credit += earned
}
