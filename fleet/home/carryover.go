package home

import (
	"slices"
	"sync"
	"time"

	"cassialatch.dev/fleet/lease"
)

// carryover bounds the work on a backend server that this home does not count
// as in flight and that may still run: work that others admitted under shares
// which this home holds now, and its own calls that ended without an answer. A
// share counts only once a report tells what was in flight after it was
// gained, and a failed call until a report was made after its end.
type carryover struct {
	mu     sync.Mutex
	asOf   time.Time   // of the latest report, less its age
	others int         // work that the report leaves unexplained, at most
	failed []time.Time // ends of failed calls that no report covers
}

// note takes a report: work that is not this home's at a time, at most. The
// bound only falls until a report covers further shares or failed calls: what
// other homes admit later is bounded by the shares that they hold.
func (c *carryover) note(asOf time.Time, others int, held func(since time.Time) lease.Fraction) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if asOf.Before(c.asOf) {
		return
	}
	bound := c.others + len(c.failed)
	c.failed = slices.DeleteFunc(c.failed, func(end time.Time) bool { return end.Before(asOf) })
	bound -= len(c.failed)
	if held(asOf).Lenders > held(c.asOf).Lenders {
		bound = others
	}
	c.others = min(bound, others)
	c.asOf = asOf
}

// fail notes the end of a call that may still run on the backend server.
func (c *carryover) fail(end time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.failed = append(c.failed, end)
}

// covered returns the time up to which shares count, and the bound.
func (c *carryover) covered() (asOf time.Time, work int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.asOf, c.others + len(c.failed)
}

// waiting reports whether failed calls wait for a report.
func (c *carryover) waiting() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.failed) > 0
}
