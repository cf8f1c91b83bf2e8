// Package dynamic holds the fleet's dynamic configuration: one base document
// shared by all sites and one overlay a site, published on the platform.
package dynamic

import "time"

// Class of a request; shorter classes go first.
type Class string

// Classes.
const (
	ClassShort Class = "short" // lookups that a person waits for
	ClassChat  Class = "chat"
	ClassLong  Class = "long" // descriptions and reports that may take minutes
)

// Config is the configuration in force: base and overlay, merged. It shares
// entries with the documents that it was merged from: treat it as immutable.
type Config struct {
	BaseVersion    uint64
	OverlayVersion uint64
	Site           string
	Models         map[string]*Model     // by name
	Services       map[string]*Service   // plain services, by name
	Workspaces     map[string]*Workspace // by name
	Inactive       []Inactive            // overlay entries without effect, by key
}

// Inactive is an overlay entry that has no effect, and why.
type Inactive struct {
	Key    string
	Reason string
}

// Model is a model service: a set of backend servers that run engines.
type Model struct {
	Name         string
	LoadFactor   float64 // an engine carries at most this multiple of the mean
	MinInFlight  int     // floor of an engine's limit
	MaxInFlight  int     // ceiling of an engine's limit: what one engine can hold
	ShortReserve int     // slots that long work never takes
	QueueTimeout time.Duration
	Deadline     time.Duration
	ChecksFence  bool     // engines refuse orders with an old fencing number
	Adapters     []string // adapters that engines are ordered to load
	RetryBudget  float64  // retries as a fraction of fresh requests
	HedgeBudget  float64  // hedges as a fraction of requests
}

// Service is a plain service, called by path.
type Service struct {
	Name         string
	MaxInFlight  int // per backend server
	QueueTimeout time.Duration
	Deadline     time.Duration
	ChecksKey    bool // backend servers refuse a second call with the same Idempotency-Key
	ChecksFence  bool
	Rules        []Rule // first match wins; without a match GET and HEAD are idempotent
}

// Rule tells how calls with a path prefix are treated.
type Rule struct {
	Prefix     string
	Methods    []string // empty: all
	Idempotent bool
	Class      Class // empty: the workspace's
}

// Workspace is one tenant and the rules its traffic must follow.
type Workspace struct {
	Name           string
	Models         []string // models it may use
	Services       []string // plain services it may call
	Class          Class    // class of its requests unless the request names a lower one
	Priority       int
	RequestsPerSec float64 // zero: no limit; per daemon
	Burst          int
	MaxInFlight    int           // per daemon; zero: no limit
	Weight         int           // share of a queue, at least 1
	Deadline       time.Duration // zero: that of the model or service
}
