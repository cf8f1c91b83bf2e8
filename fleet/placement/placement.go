// Package placement chooses the backend servers that may run a request. It
// prefers those that probably have the prompt in their cache, within bounds on
// their load.
//
// An entry, which is a daemon that accepts requests from callers, plans with load
// reports that may be stale. The home of the chosen backend server, which is the
// daemon that admits its requests, checks the plan against exact counts. After a
// refusal the entry plans again without that backend server.
//
// All planners and TimeEstimator are safe for concurrent use.
package placement

import (
	"time"

	"cassialatch.dev/config/dynamic"
)

// Reason says why a backend server was chosen.
type Reason string

// Reasons, in the order in which the default planner considers them.
const (
	ReasonWarm        Reason = "warm"         // named by the chat token
	ReasonIndex       Reason = "index"        // named by the prefix index
	ReasonRendezvous  Reason = "rendezvous"   // first in the rendezvous order of the chat
	ReasonSpill       Reason = "spill"        // next in that order below its bound
	ReasonLeastLoaded Reason = "least_loaded" // less loaded of two random backend servers below their bound
	ReasonLastResort  Reason = "last_resort"  // all backend servers are at their bound
)

// Candidate describes a backend server as known to the daemon that plans.
type Candidate struct {
	Backend   string
	Zone      string
	LoadKnown bool    // a home has reported the load; otherwise InFlight, Queued and Limit are not valid
	InFlight  int     // requests
	Queued    int     // requests
	Limit     int     // maximum number of requests in flight
	Weight    float64 // 1 is full weight; stragglers have less
	Leaving   bool    // gets no new requests
}

// Request describes the request to place.
type Request struct {
	ChatKey        string // stable key of the chat; empty for requests without a chat
	WarmBackend    string // backend server named by the chat token
	WarmTokens     int    // prompt tokens that WarmBackend is expected to have cached
	IndexedBackend string // backend server named by the prefix index
	IndexedTokens  int    // prompt tokens that IndexedBackend is expected to have cached
	PromptTokens   int
	Class          dynamic.Class
	Excluded       func(backend string) bool // nil: none is excluded
}

// Choice is a backend server to try.
type Choice struct {
	Backend string
	Reason  Reason
}

// Planner chooses backend servers for requests. Implementations are safe for
// concurrent use and retain no reference to the candidates.
type Planner interface {
	// Plan returns the backend servers to try, best first. It returns none that
	// is leaving or excluded.
	Plan(Request, []Candidate) []Choice
}

// Defaults for the fields of Options.
const (
	DefaultMaxChoices               = 4
	DefaultPrefillPerToken          = 250 * time.Microsecond
	DefaultMeanServiceTime          = 4 * time.Second
	DefaultPrefillWaitFactor        = 3.0
	DefaultMinIndexedFraction       = 0.5
	DefaultRendezvousCachedFraction = 0.5
)

// Options configures the default planner. Zero values select the defaults.
type Options struct {
	// MaxChoices bounds the number of choices in a plan.
	MaxChoices int
	// PrefillPerToken is the time in which an engine computes one prompt token
	// that is not cached.
	PrefillPerToken time.Duration
	// PrefillWaitFactor is the additional queue time that a request accepts to
	// avoid a prefill, as a multiple of the prefill time. It may exceed 1 because
	// the engine time saved also benefits the requests queued behind this one.
	// Short requests, for which a user is waiting, always use 1.
	PrefillWaitFactor float64
	// MeanServiceTime is the mean time for which a request occupies a slot.
	MeanServiceTime time.Duration
	// Estimator, if not nil, replaces MeanServiceTime and PrefillPerToken as soon
	// as it has estimates for them.
	Estimator *TimeEstimator
	// MinIndexedFraction is the fraction of the prompt that must be cached
	// according to the index for its backend server to be considered.
	// Otherwise a shared system prompt alone would send every chat of a workspace
	// to one backend server.
	MinIndexedFraction float64
	// RendezvousCachedFraction is the fraction of the prompt that the first
	// backend server in rendezvous order is expected to have cached.
	RendezvousCachedFraction float64
	// IntN returns a random number in [0, n). It must be safe for concurrent use.
	// If nil, rand.IntN of math/rand/v2 is used.
	IntN func(n int) int
}
