// Package admission implements the admission queue of one backend server. The home of
// the backend server, which is the daemon that admits its requests, holds the queue.
//
// Queue admits requests up to a limit that may change at any time. Class short goes
// before chat, and chat before long. Within a class, higher priorities go first, and
// workspaces with requests of the same priority share the slots by weight with
// start-time fair queueing. Part of the slots can be reserved for class short, and aged
// requests of the other classes are guaranteed a minimum of slots. Queue is safe for
// concurrent use.
package admission

import (
	"time"

	"cassialatch.dev/config/dynamic"
	"cassialatch.dev/outcome"
)

// Item describes a request that needs a slot.
type Item struct {
	Workspace    string
	Class        dynamic.Class
	Priority     int           // higher values go first within the class
	Weight       int           // weight of the workspace; values below 1 count as 1
	Cost         int           // estimated tokens; values below 1 count as 1
	Deadline     time.Time     // zero for no deadline
	QueueTimeout time.Duration // maximum wait; zero if only the deadline bounds it
	Exclusive    bool          // must run alone on the backend server
}

// Counts is a snapshot of a queue.
type Counts struct {
	InFlight     int
	Queued       int
	InFlightLong int // requests of class long, included in InFlight
	PeakInFlight int // maximum of InFlight since New
}

// Options configures a Queue.
type Options struct {
	// Limit is the initial limit of requests in flight; SetLimit changes it.
	Limit int
	// ShortReserve is the number of slots reserved for class short. One slot always
	// stays available to all classes, so that a small limit does not block the other
	// classes.
	ShortReserve int
	// AgeAfter is the wait after which a request of class chat or long counts as aged;
	// see floorDivisor. It is half the queue timeout of the request if that is shorter.
	// Zero selects DefaultAgeAfter.
	AgeAfter time.Duration
	// CurrentLimit returns a second limit of requests in flight; nil means that there is
	// none. The queue calls it with its lock held at each admission and admits a
	// request only below both limits. It must not call the queue.
	CurrentLimit func() (limit int)
	// Now is the clock; nil selects time.Now. It must advance at the rate of the timers
	// of package time.
	Now func() time.Time
}

// DefaultAgeAfter is the default of Options.AgeAfter.
const DefaultAgeAfter = 2 * time.Second

// floorDivisor sets the floor, which is the minimum of slots for a class with aged
// requests. Once the oldest queued request of class chat or long has aged, its class goes
// first until it holds a quarter of the slots outside the reserve, and at least one.
const floorDivisor = 4

// Bounds of the retry delay in a refusal, before jitter.
const (
	minRetryAfter = 100 * time.Millisecond
	maxRetryAfter = time.Minute
)

// rank is the position of a class in the order of admission; the lowest goes first.
type rank int

const (
	rankShort rank = iota
	rankChat
	rankLong
	rankCount
)

// rankOf returns the rank of a class. Unknown classes have the rank of class chat.
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

// Errors for refused requests. They are shared and must not be modified; the With methods
// of outcome.Error return copies.
var (
	errQueueTimeout = outcome.NewNotRun(outcome.CodeOverloaded, "no slot within the queue timeout").WithReplan()
	errDeadline     = outcome.NewNotRun(outcome.CodeDeadlineExceeded, "no slot before the deadline").WithReplan()
	errCallerGone   = outcome.NewNotRun(outcome.CodeCallerGone, "caller left the queue")
	errClosed       = outcome.NewNotRun(outcome.CodeNotHome, "queue closed").WithReplan()
)
