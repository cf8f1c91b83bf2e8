// Package operatorapi is the HTTP protocol between operators and a daemon,
// served on the daemon's operator address.
//
//	GET  /v1/status                                  -> Status
//	GET  /v1/config                                  -> ConfigInForce
//	GET  /v1/explain?workspace=W&model=M&chat=TOKEN  -> Explanation
//	POST /v1/drain                                   -> DrainResponse
//	GET  /healthz, GET /readyz, GET /metrics
//
// Failures answer with an Error and a status other than 2xx.
package operatorapi

// Error is the body of a failed call.
type Error struct {
	Code    string `json:"code"`
	Message string `json:"message"`
}

// Status is what one daemon knows of the fleet.
type Status struct {
	ID          string       `json:"id"`
	Zone        string       `json:"zone"`
	Site        string       `json:"site"`
	Incarnation string       `json:"incarnation"`
	Version     string       `json:"version"` // of the program
	Ready       bool         `json:"ready"`
	Draining    bool         `json:"draining"`
	InFlight    int          `json:"in_flight"`
	Platform    Platform     `json:"platform"`
	Documents   []Document   `json:"documents"`
	Daemons     []Daemon     `json:"daemons"`
	Backends    []Backend    `json:"backends"`
	Quarantined []Quarantine `json:"quarantined"`
	Control     []Traffic    `json:"control"`
}

// Platform tells how the platform answers this daemon.
type Platform struct {
	Reachable     bool   `json:"reachable"`
	LastReadMs    int64  `json:"last_read_ms"` // since the last answer; -1: never
	VMListVersion uint64 `json:"vm_list_version"`
	LastFailure   string `json:"last_failure,omitempty"`
}

// Document is the state of one configuration document.
type Document struct {
	Name            string `json:"name"`
	InForceVersion  uint64 `json:"in_force"`
	RejectedVersion uint64 `json:"refused,omitempty"` // highest version refused since
	Reason          string `json:"reason,omitempty"`  // why it was refused
}

// Daemon is another daemon as seen by this one.
type Daemon struct {
	ID         string `json:"id"`
	Zone       string `json:"zone"`
	Address    string `json:"address"`
	Alive      bool   `json:"alive"`
	Draining   bool   `json:"draining"`
	LastSeenMs int64  `json:"heard_ms"` // since it was last heard; -1: never
}

// Backend is a backend server as seen by this daemon.
type Backend struct {
	ID       string  `json:"id"`
	Service  string  `json:"service"`
	Zone     string  `json:"zone"`
	Home     string  `json:"home"` // daemon id, empty when none is known
	InFlight int     `json:"in_flight"`
	Queued   int     `json:"queued"`
	Limit    int     `json:"limit"`
	Weight   float64 `json:"weight"` // 1 is full
	Leaving  bool    `json:"leaving"`
	AgeMs    int64   `json:"age_ms"` // of these figures
}

// Quarantine is a request fingerprint that is refused.
type Quarantine struct {
	Fingerprint string `json:"fingerprint"` // hexadecimal
	Crashes     int    `json:"crashes"`
	ExpiresMs   int64  `json:"expires_ms"`
}

// Traffic is the control traffic of one kind since start.
type Traffic struct {
	Kind           string  `json:"kind"` // "peer", "platform", "report", "probe"
	SentBytes      uint64  `json:"sent_bytes"`
	ReadBytes      uint64  `json:"read_bytes"`
	BytesPerSecond float64 `json:"bytes_per_second"`
	Deferred       uint64  `json:"deferred"` // items put off for want of budget
}

// ConfigInForce is the merged configuration.
type ConfigInForce struct {
	BaseVersion    uint64   `json:"base_version"`
	OverlayVersion uint64   `json:"overlay_version"`
	TOML           string   `json:"toml"`
	Inactive       []string `json:"inactive"` // overlay entries without effect
}

// Explanation tells where a request would go, and why.
type Explanation struct {
	Workspace     string      `json:"workspace"`
	Model         string      `json:"model"`
	Class         string      `json:"class"`
	WarmBackend   string      `json:"warm,omitempty"` // backend server named by the chat token
	Candidates    []Candidate `json:"candidates"`     // best first
	RefusalReason string      `json:"refused,omitempty"`
}

// Candidate is one backend server considered for a request.
type Candidate struct {
	Backend  string `json:"backend"`
	Home     string `json:"home"`
	InFlight int    `json:"in_flight"`
	Limit    int    `json:"limit"`
	Reason   string `json:"reason"`
}

// DrainResponse acknowledges a drain.
type DrainResponse struct {
	InFlight int `json:"in_flight"`
}
