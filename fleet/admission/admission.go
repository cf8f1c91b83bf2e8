// Package admission is the queue in front of one backend server, kept by its
// home. It admits work up to a limit that may change at any time, short work
// before long, and shares what is left fairly between workspaces.
package admission

import (
	"time"

	"cassialatch.dev/config/dynamic"
	"cassialatch.dev/outcome"
)

// Item describes a request that asks for a slot.
type Item struct {
	Workspace    string
	Class        dynamic.Class
	Priority     int           // higher goes first within the class
	Weight       int           // share of the workspace, at least 1
	Cost         int           // estimated tokens, at least 1
	Deadline     time.Time     // zero: none
	QueueTimeout time.Duration // longest wait; zero: bounded by the deadline only
	Exclusive    bool          // runs alone on the backend server
}

// Counts is a snapshot of a queue.
type Counts struct {
	InFlight     int
	Queued       int
	InFlightLong int // part of InFlight with class long
	PeakInFlight int // highest InFlight since New
}

// Options sets up a queue.
type Options struct {
	// Limit is the first limit; SetLimit changes it.
	Limit int
	// ShortReserve is the number of slots that only short work may take. One
	// slot always stays open to all classes, so that a small limit does not
	// shut long work out.
	ShortReserve int
	// AgeAfter is the wait after which chat and long work claim their floor;
	// half the queue timeout if that is shorter. Zero takes DefaultAgeAfter.
	AgeAfter time.Duration
	// CurrentLimit returns a further limit. The queue calls it under its lock at each
	// admission and admits only below both limits. It must not call the queue.
	CurrentLimit func() (limit int)
	// Now is the clock; nil takes time.Now. It must advance with the timers of
	// package time.
	Now func() time.Time
}

// DefaultAgeAfter is the default of Options.AgeAfter.
const DefaultAgeAfter = 2 * time.Second

// floorDivisor sets the floor of aged work: once the oldest waiting request of
// class chat or long has waited for long enough, its class goes first until it
// holds a quarter of the slots outside the reserve, and one at least.
const floorDivisor = 4

// Bounds of the advice in a refusal.
const (
	minRetryAfter = 100 * time.Millisecond
	maxRetryAfter = time.Minute
)

// rank orders the classes; the lowest goes first.
type rank int

const (
	rankShort rank = iota
	rankChat
	rankLong
	rankCount
)

// rankOf takes an unknown class for chat.
func rankOf(c dynamic.Class) rank {
	switch c {
	case dynamic.ClassShort:
		return rankShort
	case dynamic.ClassLong:
		return rankLong
	default:
		return rankChat
	}
}

// Refusals of the queue. Each is copied before use.
var (
	errQueueTimeout = outcome.NewNotRun(outcome.CodeOverloaded, "no slot within the queue timeout").WithReplan()
	errDeadline     = outcome.NewNotRun(outcome.CodeDeadlineExceeded, "no slot before the deadline").WithReplan()
	errCallerGone   = outcome.NewNotRun(outcome.CodeCallerGone, "caller left the queue")
	errClosed       = outcome.NewNotRun(outcome.CodeNotHome, "queue closed").WithReplan()
)
