// Package retry bounds retries and hedges to a fraction of fresh requests, so
// that a fault does not multiply the load that it meets.
package retry

import (
	"math"
	"sync"
	"time"
)

// creditLifetime is the time in which unused credit above one decays to 1/e.
// Credit from a calm hour must not pay for a storm of retries.
const creditLifetime = 10 * time.Second

// Budget is the credit for retries. It is safe for concurrent use.
type Budget struct {
	ratio     float64
	minPerSec float64
	now       func() time.Time

	mu     sync.Mutex
	credit float64
	last   time.Time
}

// NewBudget returns a budget that earns ratio for each fresh request and
// minPerSec with time; a nil clock takes time.Now. It starts with the credit
// of one second. Over any time t from its start it allows at most
// ratio*requests + minPerSec*(t+1s).
func NewBudget(ratio, minPerSec float64, now func() time.Time) *Budget {
	if now == nil {
		now = time.Now
	}
	return &Budget{ratio: ratio, minPerSec: minPerSec, now: now, credit: minPerSec, last: now()}
}

// SetRates changes the ratio and the rate; credit earned before stays.
func (b *Budget) SetRates(ratio, minPerSec float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.ratio, b.minPerSec = ratio, minPerSec
}

// RecordRequest notes a fresh request, which earns credit. A retry earns none.
func (b *Budget) RecordRequest() {
	now := b.now()
	b.mu.Lock()
	defer b.mu.Unlock()
	b.advance(now)
	b.credit += b.ratio
}

// Allow spends the credit of one retry or hedge; false means that there is
// none.
func (b *Budget) Allow() bool {
	now := b.now()
	b.mu.Lock()
	defer b.mu.Unlock()
	b.advance(now)
	if b.credit < 1 {
		return false
	}
	b.credit--
	return true
}

// advance brings the credit up to now. b.mu is held.
func (b *Budget) advance(now time.Time) {
	elapsed := now.Sub(b.last)
	if elapsed <= 0 {
		return
	}
	b.last = now
	if b.credit > 1 {
		// One whole retry is kept, or a low rate would never earn any.
		b.credit = 1 + (b.credit-1)*math.Exp(-elapsed.Seconds()/creditLifetime.Seconds())
	}
	earned := min(elapsed, creditLifetime).Seconds() * b.minPerSec
	b.credit += earned
}
