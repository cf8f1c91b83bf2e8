// Package catalog holds this daemon's copy of what the platform publishes: the
// configuration in force, the backend servers, the store revision up to which
// both are complete, and the time at which that was last confirmed.
//
// Revisions never decrease, whether a state was read from the store or received
// from a peer. A confirmation carries the time at which the underlying read of
// the store was sent, measured on a clock that also advances during a suspend,
// so the state never appears fresher than it is.
package catalog

import (
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"cassialatch.dev/gateway/boottime"
	"cassialatch.dev/gateway/route"
)

// Server is one incarnation of a backend server. Its Go field names are part of
// the content hash that peers compare.
type Server struct {
	ID       string `json:"id"`
	Born     int64  `json:"born"` // start time in Unix milliseconds
	Service  string `json:"service"`
	Address  string `json:"address"`
	Zone     string `json:"zone"`
	Slots    int    `json:"slots,omitempty"`
	Draining bool   `json:"draining,omitempty"`
	// ColdRemaining is how much longer the server is cold, in milliseconds, rounded up
	// by RoundCold; 0: it is warm.
	ColdRemaining int64 `json:"cold_ms,omitempty"`
}

// SortServers sorts servers by ID in place.
func SortServers(servers []Server) {
	slices.SortFunc(servers, func(a, b Server) int { return strings.Compare(a.ID, b.ID) })
}

// Incarnation identifies one start of a backend server. A server that restarts
// under the same ID has a new incarnation.
type Incarnation struct {
	ID   string
	Born int64 // start time in Unix milliseconds
}

// Tag returns a 32-bit hash of the incarnation. Tags can collide, so they are
// suitable for hints only.
func (s *Server) Tag() uint32 {
	return uint32(xxhash.Sum64String(s.ID) + uint64(s.Born))
}

// Incarnation returns the server's incarnation.
func (s *Server) Incarnation() Incarnation { return Incarnation{s.ID, s.Born} }

// State is a complete snapshot of what the platform publishes. Its Go field
// names are part of the JSON that daemons exchange.
type State struct {
	Revision int64    // store revision up to which the state is complete
	Hash     uint64   // content hash, set by Adopt; equal on all daemons with the same contents
	RawRev   int64    // store revision of the configuration document
	Raw      []byte   // configuration document as published
	Servers  []Server // sorted by ID
	// Evacuated lists the availability zones whose servers must get no requests, as
	// UsableZones returns them.
	Evacuated []string `json:",omitempty"`
}

// View is a State indexed for lookups. It is immutable.
type View struct {
	Revision          int64
	Hash              uint64
	Table             *route.Table         // nil before the first configuration
	ByService         map[string][]*Server // servers that accept new requests, by service
	DrainingByService map[string][]*Server // draining servers, by service
	Servers           map[Incarnation]*Server
	// EvacuatedByService holds the servers in evacuated zones that are not draining, by
	// service. They are not in ByService.
	EvacuatedByService map[string][]*Server
	Evacuated          map[string]bool // evacuated zones; nil if there are none
}

// Catalog holds the state in force and its last confirmation. It is safe for
// concurrent use.
type Catalog struct {
	clock boottime.Clock

	view      atomic.Pointer[View]
	confirmed atomic.Int64 // boottime.Instant; 0: never

	mu      sync.Mutex
	state   State
	changed chan struct{} // closed and replaced when the contents change

	// BeforeChange, if not nil, is called with the view in force and the one that is
	// about to replace it whenever the contents of the state change, so that what
	// depends on them is ready before a request uses them. The new state was complete at
	// the given time. Calls are not concurrent, and must not call methods of the catalog
	// that lock it. It must be set before the first call of Adopt.
	BeforeChange func(old, next *View, at boottime.Instant)
}

// New returns an empty catalog that measures ages with the given clock.
func New(clock boottime.Clock) *Catalog {
	c := &Catalog{clock: clock, changed: make(chan struct{})}
	c.view.Store(&View{})
	return c
}

// View returns the view of the state in force. It is never nil.
func (c *Catalog) View() *View { return c.view.Load() }

// Age returns the time since the last confirmation. ok is false if the state has
// never been confirmed.
func (c *Catalog) Age() (age time.Duration, ok bool) {
	at := c.confirmed.Load()
	if at == 0 {
		return 0, false
	}
	return c.clock().Sub(boottime.Instant(at)), true
}

// Confirmation returns the revision and content hash of the state in force and
// the time since its last confirmation. ok is false if it has never been
// confirmed. The results are consistent with each other even if another state is
// adopted concurrently.
func (c *Catalog) Confirmation() (revision int64, hash uint64, age time.Duration, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	age, ok = c.Age()
	return c.state.Revision, c.state.Hash, age, ok
}

// State returns the state in force in the form in which it is sent to peers. The
// caller must not modify its slices.
func (c *Catalog) State() State {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.state
}

// Changed returns a channel that is closed when the contents of the state next
// change. A new revision with the same contents does not close it.
func (c *Catalog) Changed() <-chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.changed
}

// Adopt replaces the state in force by s, which was complete at the given time.
// The table is the decoded configuration document of s, or nil if s has the
// document in force. A table whose version is not newer than the one in force is
// ignored, and the document in force is retained. Adopt returns false and changes
// nothing if s has an older revision than the state in force.
func (c *Catalog) Adopt(s State, table *route.Table, at boottime.Instant) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if s.Revision < c.state.Revision {
		return false
	}
	old := c.view.Load()
	if table == nil || old.Table != nil && table.Version() <= old.Table.Version() {
		table = old.Table
		s.Raw, s.RawRev = c.state.Raw, c.state.RawRev
	}
	s.Hash = contentHash(&s)
	same := old.Table == table && s.Hash == c.state.Hash
	c.state = s
	if same {
		next := *old
		next.Revision = s.Revision
		c.view.Store(&next)
	} else {
		next := newView(s, table)
		if c.BeforeChange != nil {
			c.BeforeChange(old, next, at)
		}
		c.view.Store(next)
		close(c.changed)
		c.changed = make(chan struct{})
	}
	c.confirm(at)
	return true
}

// Confirm records that the state in force was complete at the given time and up
// to the given revision. It returns false and changes nothing if the content hash
// differs from the one in force or the revision is older.
func (c *Catalog) Confirm(revision int64, hash uint64, at boottime.Instant) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if hash != c.state.Hash || revision < c.state.Revision {
		return false
	}
	if revision > c.state.Revision {
		c.state.Revision = revision
		next := *c.view.Load()
		next.Revision = revision
		c.view.Store(&next)
	}
	c.confirm(at)
	return true
}

// confirm advances the confirmation time; an earlier time is ignored. The caller
// must hold c.mu.
func (c *Catalog) confirm(at boottime.Instant) {
	if int64(at) > c.confirmed.Load() {
		c.confirmed.Store(int64(at))
	}
}

// newView indexes the servers of a state.
func newView(s State, table *route.Table) *View {
	v := &View{
		Revision:          s.Revision,
		Hash:              s.Hash,
		Table:             table,
		ByService:         make(map[string][]*Server),
		DrainingByService: make(map[string][]*Server),
		Servers:           make(map[Incarnation]*Server, len(s.Servers)),
	}
	v.setEvacuated(s.Evacuated)
	for i := range s.Servers {
		srv := &s.Servers[i]
		v.Servers[srv.Incarnation()] = srv
		switch {
		case srv.Draining:
			v.DrainingByService[srv.Service] = append(v.DrainingByService[srv.Service], srv)
		case v.Evacuated[srv.Zone]:
			v.EvacuatedByService[srv.Service] = append(v.EvacuatedByService[srv.Service], srv)
		default:
			v.ByService[srv.Service] = append(v.ByService[srv.Service], srv)
		}
	}
	return v
}

// setEvacuated sets the evacuated zones.
func (v *View) setEvacuated(zones []string) {
	if len(zones) == 0 {
		return
	}
	v.Evacuated = make(map[string]bool, len(zones))
	v.EvacuatedByService = make(map[string][]*Server)
	for _, zone := range zones {
		v.Evacuated[zone] = true
	}
}
