// Package catalog holds what the platform publishes, as this daemon knows it:
// the configuration in force and the backend servers, the store revision up to
// which they are complete, and when that was last confirmed.
//
// Revisions only rise, whether an update was read from the store or told by a
// peer. A confirmation is dated by the moment at which the read that it rests
// on was sent, on a clock that runs during a suspend.
package catalog

import (
	"fmt"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"cassialatch.dev/gateway/boottime"
	"cassialatch.dev/gateway/route"
)

// Server is one incarnation of a backend server.
type Server struct {
	ID       string `json:"id"`
	Born     int64  `json:"born"` // start, in Unix milliseconds
	Service  string `json:"service"`
	Address  string `json:"address"`
	Zone     string `json:"zone"`
	Slots    int    `json:"slots,omitempty"`
	Draining bool   `json:"draining,omitempty"`
}

// SortServers sorts servers by ID.
func SortServers(servers []Server) {
	slices.SortFunc(servers, func(a, b Server) int { return strings.Compare(a.ID, b.ID) })
}

// Incarnation names one start of a server.
type Incarnation struct {
	ID   string
	Born int64
}

// Tag names the incarnation in few bits, for hints.
func (s *Server) Tag() uint32 {
	return uint32(xxhash.Sum64String(s.ID) + uint64(s.Born))
}

// Incarnation returns the server's incarnation.
func (s *Server) Incarnation() Incarnation { return Incarnation{s.ID, s.Born} }

// State is one complete state of what is published.
type State struct {
	Revision int64    // of the store, up to which the state is complete
	Hash     uint64   // of the contents, set by Adopt; equal on all daemons that know the same
	RawRev   int64    // revision of the configuration document
	Raw      []byte   // the configuration document as published
	Servers  []Server // sorted by ID
}

// View is a state made ready for use. It is immutable.
type View struct {
	Revision          int64
	Hash              uint64
	Table             *route.Table         // nil until a configuration is known
	ByService         map[string][]*Server // those that take new requests
	DrainingByService map[string][]*Server // those that are draining, by service
	Servers           map[Incarnation]*Server
}

// Catalog is safe for concurrent use.
type Catalog struct {
	clock boottime.Clock

	view      atomic.Pointer[View]
	confirmed atomic.Int64 // boottime.Instant; 0: never

	mu      sync.Mutex
	state   State
	changed chan struct{}
}

// New returns an empty catalog.
func New(clock boottime.Clock) *Catalog {
	c := &Catalog{clock: clock, changed: make(chan struct{})}
	c.view.Store(&View{})
	return c
}

// View returns the state in force.
func (c *Catalog) View() *View { return c.view.Load() }

// Age returns the time since the last confirmation; ok is false if there was
// none.
func (c *Catalog) Age() (age time.Duration, ok bool) {
	at := c.confirmed.Load()
	if at == 0 {
		return 0, false
	}
	return c.clock().Sub(boottime.Instant(at)), true
}

// Confirmation returns which state was confirmed last, and how long ago; ok is
// false if none was. The parts belong together, whatever is adopted meanwhile.
func (c *Catalog) Confirmation() (revision int64, hash uint64, age time.Duration, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	age, ok = c.Age()
	return c.state.Revision, c.state.Hash, age, ok
}

// State returns the state in force in the form that peers are told.
func (c *Catalog) State() State {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.state
}

// Changed returns a channel that is closed at the next change of the state.
func (c *Catalog) Changed() <-chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.changed
}

// Adopt takes over a state that was complete at the given moment. A table is
// passed if the configuration document differs from the one in force. It
// returns false for a state that is older than the one in force.
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
		c.view.Store(newView(s, table))
		close(c.changed)
		c.changed = make(chan struct{})
	}
	c.confirm(at)
	return true
}

// Confirm notes that the state in force was complete at the given moment,
// provided that its contents are the ones named and no newer revision is known.
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

// confirm moves the time of confirmation forward, never back. c.mu is held.
func (c *Catalog) confirm(at boottime.Instant) {
	if int64(at) > c.confirmed.Load() {
		c.confirmed.Store(int64(at))
	}
}

// contentHash covers what decides how requests are served.
func contentHash(s *State) uint64 {
	h := xxhash.New()
	fmt.Fprintf(h, "%d", s.RawRev)
	for i := range s.Servers {
		fmt.Fprintf(h, "|%+v", s.Servers[i])
	}
	return h.Sum64()
}

func newView(s State, table *route.Table) *View {
	v := &View{
		Revision:          s.Revision,
		Hash:              s.Hash,
		Table:             table,
		ByService:         make(map[string][]*Server),
		DrainingByService: make(map[string][]*Server),
		Servers:           make(map[Incarnation]*Server, len(s.Servers)),
	}
	for i := range s.Servers {
		srv := &s.Servers[i]
		v.Servers[srv.Incarnation()] = srv
		if srv.Draining {
			v.DrainingByService[srv.Service] = append(v.DrainingByService[srv.Service], srv)
			continue
		}
		v.ByService[srv.Service] = append(v.ByService[srv.Service], srv)
	}
	return v
}
