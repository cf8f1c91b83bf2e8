// Package platformapi defines the HTTP protocol that the platform publishes. It
// gives access to versioned configuration documents and to the list of VMs. The
// daemons read and watch both and write neither.
//
//	GET /v1/documents/{name}?after=VERSION&wait_ms=N  -> Document
//	GET /v1/vms?after=VERSION&wait_ms=N               -> VMList
//
// Without "after", the platform responds at once. With it, the call waits up to
// wait_ms milliseconds for a version above VERSION and returns status 304 if none
// appears. Every call, including one that waits, counts once against a rate limit
// that all readers share. The platform returns status 429 above the limit and
// status 404 for a document that does not exist.
package platformapi

// Document is one published configuration document.
type Document struct {
	Name    string `json:"name"`
	Version uint64 `json:"version"`
	Body    string `json:"body"` // TOML text, at most MaxBodyBytes
}

// MaxBodyBytes is the largest document body in bytes.
const MaxBodyBytes = 1 << 20

// Document names.
const (
	DocumentBase       = "base"
	DocumentSitePrefix = "site/" // followed by the site's name
)

// Role is the purpose of a VM.
type Role string

// Roles of VMs.
const (
	RoleEntry   Role = "entry"   // runs cassialatchd
	RoleBackend Role = "backend" // a backend server
)

// State is the state of a VM.
type State string

// States of VMs.
const (
	StateLive    State = "live"
	StateLeaving State = "leaving" // about to be removed
)

// VM is one machine in the list.
type VM struct {
	ID      string `json:"id"`
	Role    Role   `json:"role"`
	State   State  `json:"state"`
	Zone    string `json:"zone"`              // availability zone
	Site    string `json:"site"`              // site of the zone
	Service string `json:"service,omitempty"` // backend servers: the service that the VM runs
	Address string `json:"address"`           // host:port; of entry VMs: the address for callers
	Peer    string `json:"peer,omitempty"`    // entry VMs: host:port of the address for other daemons
}

// VMList is the list of live and leaving VMs. It lags behind the actual state of
// the fleet.
type VMList struct {
	Version uint64 `json:"version"`
	VMs     []VM   `json:"vms"`
}
