// Package placement chooses the backend servers that may run a request. An
// entry plans on load figures that are some time old; the home of the chosen
// backend server checks the plan against exact counts, and the entry plans
// again without the ones that refused.
package placement

import (
	"time"

	"cassialatch.dev/config/dynamic"
)

// Reason tells why a backend server was chosen.
type Reason string

// Reasons, in the order in which the planner considers them.
const (
	ReasonWarm        Reason = "warm"         // named by the chat token
	ReasonIndex       Reason = "index"        // named by the index of warm prefixes
	ReasonRendezvous  Reason = "rendezvous"   // first in the chat's rendezvous order
	ReasonSpill       Reason = "spill"        // later in that order, below its bound
	ReasonLeastLoaded Reason = "least_loaded" // less loaded of two random ones below their bound
	ReasonLastResort  Reason = "last_resort"  // every one is at its bound
)

// Candidate is what the planning daemon knows about one backend server.
type Candidate struct {
	Backend   string
	Zone      string
	LoadKnown bool // the load figures below were reported by the home
	InFlight  int
	Queued    int
	Limit     int
	Weight    float64 // 1 is full; a straggler has less
	Leaving   bool
}

// Request describes the request to place.
type Request struct {
	ChatKey        string // stable key of the chat; empty for work without a chat
	WarmBackend    string // backend server of the chat token
	WarmTokens     int    // prompt tokens that Warm is expected to hold
	IndexedBackend string // backend server named by the index of warm prefixes
	IndexedTokens  int    // prompt tokens that Indexed is expected to hold
	PromptTokens   int
	Class          dynamic.Class
	Excluded       func(backend string) bool // nil: none
}

// Choice is one backend server worth trying.
type Choice struct {
	Backend string
	Reason  Reason
}

// Planner chooses backend servers for a request, best first. Implementations
// are safe for concurrent use and keep no reference to the candidates.
type Planner interface {
	Plan(Request, []Candidate) []Choice
}

// Defaults of Options.
const (
	DefaultMaxChoices               = 4
	DefaultPrefillPerToken          = 250 * time.Microsecond
	DefaultMeanServiceTime          = 4 * time.Second
	DefaultPrefillWaitFactor        = 3.0
	DefaultMinIndexedFraction       = 0.5
	DefaultRendezvousCachedFraction = 0.5
)

// Options sets up the planner; zero values take the defaults.
type Options struct {
	// MaxChoices bounds the number of choices in a plan.
	MaxChoices int
	// PrefillPerToken is the time an engine takes to compute one prompt token
	// that is not cached.
	PrefillPerToken time.Duration
	// PrefillWaitFactor is how much longer than the prefill itself a request may
	// wait to save it. The engine's time that it saves also serves the requests
	// behind it. Short work, which a person waits for, counts its own time only.
	PrefillWaitFactor float64
	// MeanServiceTime is the mean time for which a request holds its slot.
	MeanServiceTime time.Duration
	// Estimator replaces MeanService and PrefillPerToken by what it has learned;
	// nil takes them as they are.
	Estimator *TimeEstimator
	// MinIndexedFraction is the least fraction of the prompt that the index must
	// promise. A shared system prompt alone must not draw every chat of a
	// workspace to one backend server.
	MinIndexedFraction float64
	// RendezvousCachedFraction is the fraction of the prompt that the first of the rendezvous
	// order is expected to hold.
	RendezvousCachedFraction float64
	// IntN draws a number in [0, n). It must be safe for concurrent use; nil
	// takes math/rand/v2.
	IntN func(n int) int
}
