// Package configcheck finds mistakes in a configuration before it is published.
//
// It does not know the names of a document's fields on the wire. A finding has a Path
// of Fields, which the package that decodes documents turns into names.
package configcheck

import (
	"crypto/sha256"
	"encoding/hex"
	"slices"
	"time"

	"cassialatch.dev/gateway/route"
)

// Route is a route with the fields that the gateway does not use itself.
type Route struct {
	route.Route
	IsSplit     bool          // the document names the targets in a split, not as one service
	LatencyGoal time.Duration // 0: none
	GapTarget   time.Duration // between the events of a stream; 0: none
}

// Limits are the limits for callers, with those that the gateway does not use itself.
type Limits struct {
	route.Limits
	HeaderBytes   int64         // largest header of a request, in bytes; 0: not set
	HeaderTimeout time.Duration // within which a header must arrive; 0: not set
}

// Document is a decoded configuration document.
type Document struct {
	Version    int64
	Routes     []Route
	Services   []route.Service
	Workspaces []route.Workspace
	Limits     Limits
}

// Bounds are what the gateway enforces, whatever the configuration says, and what is
// known of the fleet.
type Bounds struct {
	HeaderBytes    int64         // largest header that is accepted
	HeaderTimeout  time.Duration // within which a header must arrive
	MinIdleTimeout time.Duration // shortest idle timeout that is announced to callers
	MinConns       int           // connections to a server that each daemon may open in any case
	MaxPriority    int           // number of the least urgent priority
	BodyMemory     int64         // bytes for the bodies of all requests in flight; 0: not known
	Daemons        int           // number of daemons; 0: not known
}

// Severity says how serious a finding is.
type Severity int

// Severities.
const (
	Error   Severity = iota // the document must not be published
	Warning                 // it works, but probably not as intended
	Change                  // no mistake, but a difference from the version in force
)

// String implements fmt.Stringer.
func (s Severity) String() string {
	return [...]string{"error", "warning", "change"}[s]
}

// Field is a field of a configuration document.
type Field int

// Fields of a document. FieldTarget is the name of a service to which a route leads.
const (
	FieldVersion Field = iota
	FieldRoutes
	FieldServices
	FieldWorkspaces
	FieldLimits
	FieldName
	FieldHost
	FieldPrefix
	FieldTimeout
	FieldLatencyGoal
	FieldGapTarget
	FieldPriority
	FieldTarget
	FieldSplit
	FieldWeight
	FieldMaxAttempts
	FieldMaxConns
	FieldColdStart
	FieldColdRate
	FieldKeys
	FieldBodyBytes
	FieldIdleTimeout
	FieldHeaderBytes
	FieldHeaderTimeout
)

// noIndex is the Index of a step to a field that is not in a list.
const noIndex = -1

// Step leads to a field or, if Index is not negative, to an entry of a list.
type Step struct {
	Field Field
	Index int
}

// Path leads from the document to a field.
type Path []Step

// field returns the path of a field below p.
func (p Path) field(f Field) Path { return p.entry(f, noIndex) }

// entry returns the path of an entry of a list below p.
func (p Path) entry(list Field, i int) Path { return append(slices.Clip(p), Step{list, i}) }

// Finding is a mistake in a document.
type Finding struct {
	Severity Severity
	Path     Path
	Text     string // what is wrong
	Other    Path   // another field that the finding is about; nil: none
}

// keyHashBytes is the length of what is shown of an API key's hash. It tells the keys of
// a document apart.
const keyHashBytes = 4

// KeyHash returns a short hash that names an API key without showing it.
func KeyHash(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:keyHashBytes])
}
