// Package operatorapi defines the HTTP protocol between operators and a daemon.
// The daemon serves it on its operator address.
//
//	GET  /v1/status                                  -> Status
//	GET  /v1/config                                  -> ConfigInForce
//	GET  /v1/explain?workspace=W&model=M&chat=TOKEN  -> Explanation
//	POST /v1/drain                                   -> DrainResponse
//	GET  /healthz, GET /readyz, GET /metrics
//
// A failed call has a status other than 2xx and an Error as its body.
package operatorapi

// Error is the body of a failed call.
type Error struct {
	Code    string `json:"code"`
	Message string `json:"message"`
}

// Status is the state of one daemon and its view of the fleet.
type Status struct {
	ID          string       `json:"id"`
	Zone        string       `json:"zone"`
	Site        string       `json:"site"`
	Incarnation string       `json:"incarnation"`
	Version     string       `json:"version"` // of the daemon program
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

// Platform is the state of the connection to the platform.
type Platform struct {
	Reachable     bool   `json:"reachable"`
	LastReadMs    int64  `json:"last_read_ms"` // milliseconds since the last successful read; -1 if there was none
	VMListVersion uint64 `json:"vm_list_version"`
	LastFailure   string `json:"last_failure,omitempty"`
}

// Document is the state of one configuration document.
type Document struct {
	Name            string `json:"name"`
	InForceVersion  uint64 `json:"in_force"`
	RejectedVersion uint64 `json:"refused,omitempty"` // highest rejected version above InForceVersion; 0 if none
	Reason          string `json:"reason,omitempty"`  // why that version was rejected
}

// Daemon is a daemon of the VM list as seen by the daemon that responds.
type Daemon struct {
	ID         string `json:"id"`
	Zone       string `json:"zone"`
	Address    string `json:"address"`
	Alive      bool   `json:"alive"`
	Draining   bool   `json:"draining"`
	LastSeenMs int64  `json:"heard_ms"` // milliseconds since its last message; -1 if there was none
}

// Backend is a backend server as seen by this daemon.
type Backend struct {
	ID       string  `json:"id"`
	Service  string  `json:"service"`
	Zone     string  `json:"zone"`
	Home     string  `json:"home"` // ID of its home daemon; empty if unknown
	InFlight int     `json:"in_flight"`
	Queued   int     `json:"queued"`
	Limit    int     `json:"limit"`
	Weight   float64 `json:"weight"` // 1 is full weight
	Leaving  bool    `json:"leaving"`
	AgeMs    int64   `json:"age_ms"` // age of the figures in milliseconds; -1 if there are none
}

// Quarantine is the fingerprint of a request that is refused because it crashed
// backend servers.
type Quarantine struct {
	Fingerprint string `json:"fingerprint"` // hexadecimal
	Crashes     int    `json:"crashes"`
	ExpiresMs   int64  `json:"expires_ms"` // milliseconds until expiry
}

// Traffic is the control traffic of one kind since the daemon started.
type Traffic struct {
	Kind           string  `json:"kind"` // kind of a connection, such as "peer", or of an item, such as "lease"
	SentBytes      uint64  `json:"sent_bytes"`
	ReadBytes      uint64  `json:"read_bytes"`
	BytesPerSecond float64 `json:"bytes_per_second"`
	Deferred       uint64  `json:"deferred"` // items deferred because the traffic budget was used up
}

// ConfigInForce is the merged configuration of base and overlay.
type ConfigInForce struct {
	BaseVersion    uint64   `json:"base_version"`
	OverlayVersion uint64   `json:"overlay_version"`
	TOML           string   `json:"toml"`
	Inactive       []string `json:"inactive"` // overlay entries without effect, with the reason
}

// Explanation lists the backend servers that a request would be sent to, and why.
type Explanation struct {
	Workspace     string      `json:"workspace"`
	Model         string      `json:"model"`
	Class         string      `json:"class"`
	WarmBackend   string      `json:"warm,omitempty"`    // backend server named by the chat token
	Candidates    []Candidate `json:"candidates"`        // best first
	RefusalReason string      `json:"refused,omitempty"` // why the chat token was rejected; empty otherwise
}

// Candidate is one backend server that the daemon would try for a request.
type Candidate struct {
	Backend  string `json:"backend"`
	Home     string `json:"home"`
	InFlight int    `json:"in_flight"`
	Limit    int    `json:"limit"`
	Reason   string `json:"reason"`
}

// DrainResponse is the response to a drain request.
type DrainResponse struct {
	InFlight int `json:"in_flight"` // requests that have yet to end
}
