// Package route holds the dynamic configuration in force: which route a
// request takes, which service serves it, and which workspace an API key
// belongs to. A Table is immutable and therefore safe for concurrent use.
package route

import (
	"sort"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Kind says whether requests of a route may be repeated.
type Kind int

// Kinds of routes.
const (
	Unsafe Kind = iota // runs at most once
	Safe               // may run any number of times
	Stream             // responds with a stream of events; runs at most once unless resumable
)

// Target is one service of a route and its share of the requests.
type Target struct {
	Service string
	Weight  float64
}

// Route says how requests under a path prefix are handled.
type Route struct {
	Name        string
	Host        string
	Prefix      string // begins and ends with a slash
	Kind        Kind
	Timeout     time.Duration // longest time that a caller waits; 0: no limit
	Priority    int           // 0 is the most urgent
	Targets     []Target
	MaxAttempts int  // attempts that may have run a request; those that a server refused do not count
	Public      bool // needs no API key
	Resumable   bool // an interrupted stream may be resumed at another server

	// LatencyObjective is the time within which a response has its full value: the first
	// event of a stream, or the whole of another response. 0: not stated.
	LatencyObjective time.Duration
}

// Repeatable reports whether a request may run more than once.
func (r *Route) Repeatable() bool {
	return r.Kind == Safe || r.Kind == Stream && r.Resumable
}

// Service chooses the service for a request by a hash of its ID, in
// proportion to the weights. The same ID always gets the same service. It
// returns "" if no service has a positive weight, unless there is only one.
func (r *Route) Service(requestID string) string {
	if len(r.Targets) == 1 {
		return r.Targets[0].Service
	}
	var total float64
	for _, t := range r.Targets {
		total += t.Weight
	}
	if total <= 0 {
		return ""
	}
	const buckets = 1 << 20
	point := float64(xxhash.Sum64String(requestID)%buckets) / buckets * total
	for _, t := range r.Targets {
		if point < t.Weight {
			return t.Service
		}
		point -= t.Weight
	}
	return r.Targets[len(r.Targets)-1].Service
}

// Service is a group of interchangeable backend servers.
type Service struct {
	Name        string
	MaxConns    int // connections that one server accepts from all daemons together
	CacheTokens int // capacity of the cache of one server; 0: the service has no cache
	// ColdPerSecond is how many requests per second, of all daemons together, a server
	// tolerates that has started within ColdStart. Servers are never cold if either is 0.
	ColdPerSecond float64
	ColdStart     time.Duration
}

// Workspace is one customer.
type Workspace struct {
	Name     string
	Keys     []string
	Priority int // overrides that of the route if HasPriority is set
	// HasPriority distinguishes a priority of 0 from none.
	HasPriority bool
}

// Limits are the bounds on a caller's requests and connections.
type Limits struct {
	BodyBytes   int64         // largest body of a request, in bytes
	IdleTimeout time.Duration // after which an idle connection is closed; 0: no limit
}

// Config is one version of the configuration.
type Config struct {
	Version    int64
	Routes     []Route
	Services   []Service
	Workspaces []Workspace
	Limits     Limits
}

// Table is one version of the configuration, indexed for lookups. It is
// immutable.
type Table struct {
	version    int64
	limits     Limits
	byHost     map[string][]*Route // by lower-case host; longest prefix first
	services   map[string]*Service
	byKey      map[string]*Workspace
	workspaces int // number of workspaces
}

// NewTable indexes a configuration.
func NewTable(c *Config) *Table {
	t := &Table{
		version:    c.Version,
		limits:     c.Limits,
		byHost:     make(map[string][]*Route),
		services:   make(map[string]*Service, len(c.Services)),
		byKey:      make(map[string]*Workspace),
		workspaces: len(c.Workspaces),
	}
	for i := range c.Routes {
		r := &c.Routes[i]
		host := strings.ToLower(r.Host)
		t.byHost[host] = append(t.byHost[host], r)
	}
	for _, routes := range t.byHost {
		sort.SliceStable(routes, func(i, j int) bool {
			return len(routes[i].Prefix) > len(routes[j].Prefix)
		})
	}
	for i := range c.Services {
		t.services[c.Services[i].Name] = &c.Services[i]
	}
	for i := range c.Workspaces {
		ws := &c.Workspaces[i]
		for _, key := range ws.Keys {
			t.byKey[key] = ws
		}
	}
	return t
}

// Version returns the version of the configuration.
func (t *Table) Version() int64 { return t.version }

// Limits returns the limits for callers.
func (t *Table) Limits() Limits { return t.limits }

// NeedsKeys reports whether routes that are not public require an API key.
func (t *Table) NeedsKeys() bool { return t.workspaces > 0 }

// Match returns the route of the host with the longest prefix of the path, or
// nil.
func (t *Table) Match(host, path string) *Route {
	if i := strings.LastIndexByte(host, ':'); i >= 0 {
		host = host[:i]
	}
	for _, r := range t.byHost[strings.ToLower(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// Workspace returns the workspace that an API key belongs to, or nil.
func (t *Table) Workspace(key string) *Workspace { return t.byKey[key] }

// Service returns a service by its name, or nil.
func (t *Table) Service(name string) *Service { return t.services[name] }
