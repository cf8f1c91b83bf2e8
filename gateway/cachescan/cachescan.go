// Package cachescan asks backend servers which parts of prompts their caches
// hold, where no daemon knows it: after all daemons have restarted. A listing
// is dear to a server, so one daemon asks each server, once.
package cachescan

import (
	"context"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"cassialatch.dev/gateway/call"
	"cassialatch.dev/gateway/catalog"
	"cassialatch.dev/gateway/peers"
	"cassialatch.dev/gateway/warm"
)

const (
	tick = 25 * time.Millisecond
	// settle is how long a daemon that has started listens to its peers before
	// it asks servers.
	settle = 150 * time.Millisecond
	// learnTime is how long after its start a daemon has learned from its peers
	// or from servers what the caches hold.
	learnTime   = 2 * time.Second
	listTimeout = time.Second
)

// Lister reads what a server's cache holds.
type Lister interface {
	List(ctx context.Context, s *catalog.Server) ([]call.Part, error)
}

// Log takes the scanner's events.
type Log interface {
	CacheListed(server string, parts int, err error)
}

// Peers are the daemons that are heard.
type Peers interface {
	Alive() []peers.Peer
}

// Scanner asks servers of which nothing is known.
type Scanner struct {
	lister  Lister
	catalog *catalog.Catalog
	index   *warm.Index
	peers   Peers
	self    string // IP address
	log     Log
	started time.Time

	asked map[warm.Holder]bool
}

// New returns a scanner that does nothing before Run.
func New(l Lister, c *catalog.Catalog, x *warm.Index, p Peers, self string, log Log) *Scanner {
	return &Scanner{lister: l, catalog: c, index: x, peers: p, self: self, log: log,
		started: time.Now(), asked: make(map[warm.Holder]bool)}
}

// Settled tells whether the daemon knows what its peers know.
func (s *Scanner) Settled() bool { return time.Since(s.started) > learnTime }

// Run asks servers while the daemon is new, unless a peer knows what they hold.
func (s *Scanner) Run(ctx context.Context) {
	ticker := time.NewTicker(tick)
	defer ticker.Stop()
	for !s.Settled() {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		if time.Since(s.started) < settle {
			continue
		}
		if s.peerKnows() {
			return
		}
		for _, server := range s.due() {
			go s.ask(ctx, server)
		}
	}
}

func (s *Scanner) peerKnows() bool {
	return slices.ContainsFunc(s.peers.Alive(), func(p peers.Peer) bool { return p.Settled })
}

// due returns the servers that this daemon has to ask now.
func (s *Scanner) due() []*catalog.Server {
	view := s.catalog.View()
	if view.Table == nil {
		return nil
	}
	var due []*catalog.Server
	for _, server := range view.Servers {
		service := view.Table.Service(server.Service)
		holder := warm.Holder(server.Tag())
		if service == nil || service.CacheSize == 0 || server.Draining || s.asked[holder] {
			continue
		}
		s.asked[holder] = true
		if s.owns(server.ID) {
			due = append(due, server)
		}
	}
	return due
}

// owns tells whether this daemon is the one, of those that are heard, to ask
// the server.
func (s *Scanner) owns(server string) bool {
	mine := xxhash.Sum64String(s.self + server)
	for _, p := range s.peers.Alive() {
		if xxhash.Sum64String(p.IP+server) > mine {
			return false
		}
	}
	return true
}

func (s *Scanner) ask(ctx context.Context, server *catalog.Server) {
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	parts, err := s.lister.List(ctx, server)
	s.log.CacheListed(server.ID, len(parts), err)
	s.index.Listed(parts, warm.Holder(server.Tag()))
}
