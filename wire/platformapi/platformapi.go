// Package platformapi is the platform's published HTTP protocol: versioned
// configuration documents and the list of VMs. Both can be read and watched,
// never written, by the system.
//
//	GET /v1/documents/{name}?after=VERSION&wait_ms=N  -> Document
//	GET /v1/vms?after=VERSION&wait_ms=N               -> VMList
//
// Without "after" the answer is immediate. With it the call waits up to
// wait_ms for a version above VERSION and answers 304 when there is none.
// Every call counts against the readers' rate, a waiting one as one; over the
// rate the platform answers 429, and 404 for a document that does not exist.
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

// Role tells what a VM is for.
type Role string

// Roles of VMs.
const (
	RoleEntry   Role = "entry"   // runs cassialatchd
	RoleBackend Role = "backend" // a backend server
)

// State of a VM.
type State string

// States of VMs.
const (
	StateLive    State = "live"
	StateLeaving State = "leaving"
)

// VM is one machine in the list.
type VM struct {
	ID      string `json:"id"`
	Role    Role   `json:"role"`
	State   State  `json:"state"`
	Zone    string `json:"zone"`              // availability zone
	Site    string `json:"site"`              // site that the zone belongs to
	Service string `json:"service,omitempty"` // backend servers: the service it runs
	Address string `json:"address"`           // host:port; entry VMs: for callers
	Peer    string `json:"peer,omitempty"`    // entry VMs: host:port for other daemons
}

// VMList is the list of live and leaving VMs. It lags.
type VMList struct {
	Version uint64 `json:"version"`
	VMs     []VM   `json:"vms"`
}
