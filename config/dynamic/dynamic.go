// Package dynamic parses, merges, compares and renders the fleet's dynamic
// configuration. The configuration consists of one base document that all sites
// share and one overlay document per site, both published on the platform. Every
// daemon that has the same two documents gets the same configuration.
//
// The functions are safe for concurrent use as long as the documents and
// configurations passed to them are not modified.
package dynamic

import "time"

// Class is the class of a request by expected duration. Requests of a shorter
// class are served first.
type Class string

// Classes of requests, shortest first.
const (
	ClassShort Class = "short" // lookups that a user waits for
	ClassChat  Class = "chat"
	ClassLong  Class = "long" // descriptions and reports that may take minutes
)

// Config is the result of merging a base and an overlay. It shares entries with
// the documents that it was merged from, so it must not be modified.
type Config struct {
	BaseVersion    uint64
	OverlayVersion uint64
	Site           string
	Models         map[string]*Model     // by name
	Services       map[string]*Service   // plain services by name
	Workspaces     map[string]*Workspace // by name
	Inactive       []Inactive            // overlay entries that were ignored, ordered by key
}

// Inactive is an overlay entry that was ignored, with the reason.
type Inactive struct {
	Key    string
	Reason string
}

// Model configures a model service: a set of backend servers that run inference
// engines.
type Model struct {
	Name         string
	LoadFactor   float64 // maximum load of an engine as a multiple of the mean load
	MinInFlight  int     // lower bound of an engine's load limit
	MaxInFlight  int     // upper bound of that limit: the number of requests one engine can hold
	ShortReserve int     // slots of an engine that only short requests may use; one slot is never reserved
	QueueTimeout time.Duration
	Deadline     time.Duration
	ChecksFence  bool     // engines reject orders with a stale fencing number
	Adapters     []string // adapters that the engines are ordered to load
	RetryBudget  float64  // maximum retries as a fraction of new requests
	HedgeBudget  float64  // maximum hedged requests as a fraction of all requests
}

// Service configures a plain service, whose calls are identified by path.
type Service struct {
	Name         string
	MaxInFlight  int // per backend server
	QueueTimeout time.Duration
	Deadline     time.Duration
	ChecksKey    bool   // backend servers do not run a second call with the same Idempotency-Key
	ChecksFence  bool   // backend servers reject calls with a stale fencing number
	Rules        []Rule // the first match applies; without a match, only GET and HEAD are idempotent
}

// Rule sets the idempotency and class of calls with a path prefix.
type Rule struct {
	Prefix     string
	Methods    []string // empty: all methods
	Idempotent bool
	Class      Class // empty: the class of the workspace
}

// Workspace configures the access rights and limits of one tenant.
type Workspace struct {
	Name           string
	Models         []string // models it may use
	Services       []string // plain services it may call
	Class          Class    // class of its requests unless a request selects a lower one
	Priority       int
	RequestsPerSec float64       // per daemon; zero: no limit
	Burst          int           // of the rate limit, in requests
	MaxInFlight    int           // per daemon; zero: no limit
	Weight         int           // relative share of a queue, at least 1
	Deadline       time.Duration // zero: the deadline of the model or service
}
