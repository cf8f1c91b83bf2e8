// Package cachescan asks backend servers which parts of prompts their caches
// hold, where no daemon knows it: after all daemons have restarted. A listing
// is dear to a server, so one daemon asks each server, once: one of the seeds,
// which all daemons know from their start, or another if no seed is heard.
package cachescan

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"cassialatch.dev/gateway/call"
	"cassialatch.dev/gateway/catalog"
	"cassialatch.dev/gateway/peers"
	"cassialatch.dev/gateway/warm"
)

const (
	tick = 25 * time.Millisecond
	// settle is how long a seed that has started listens to its peers before it
	// asks servers. The others wait until a seed should have asked, and longer
	// while they hear none.
	settle     = 150 * time.Millisecond
	settleLate = 400 * time.Millisecond
	seedWait   = 1200 * time.Millisecond
	// learnTime is how long after its start a daemon has learned from its peers
	// or from servers what the caches hold.
	learnTime   = 2 * time.Second
	listTimeout = 400 * time.Millisecond
	// tellTime is how long it takes until peers have told what they learned.
	tellTime = 120 * time.Millisecond
	// maxTold bounds the parts of all servers that are told. Most of the short
	// ones belong to one request alone.
	maxTold = 4000
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
	self    peers.Self
	hurry   func() // has peers told soon
	log     Log
	started time.Time
	learned chan struct{}
}

// New returns a scanner that does nothing before Run.
func New(l Lister, c *catalog.Catalog, x *warm.Index, p Peers, self peers.Self, hurry func(), log Log) *Scanner {
	return &Scanner{lister: l, catalog: c, index: x, peers: p, self: self, hurry: hurry, log: log,
		started: time.Now(), learned: make(chan struct{})}
}

// Settled tells whether the daemon knows what its peers know.
func (s *Scanner) Settled() bool { return time.Since(s.started) > learnTime }

// Done returns a channel that is closed when the daemon knows as much as it
// will learn from its peers and from servers at its start.
func (s *Scanner) Done() <-chan struct{} { return s.learned }

// Skip is called instead of Run where no cache can hold anything yet.
func (s *Scanner) Skip() { close(s.learned) }

// Run asks servers when the daemon is new, unless a peer knows what they hold.
func (s *Scanner) Run(ctx context.Context) {
	defer close(s.learned)
	ctx, cancel := context.WithTimeout(ctx, learnTime)
	defer cancel()
	if !s.await(ctx, func() bool { return s.catalog.View().Table != nil }) {
		return
	}
	wait := settleLate
	if s.self.IsSeed() {
		wait = settle
	}
	if !s.await(ctx, func() bool { return time.Since(s.started) >= wait }) {
		return
	}
	if !s.await(ctx, func() bool { return s.self.IsSeed() || s.hearsSeed() || time.Since(s.started) >= seedWait }) {
		return
	}
	if !s.peerKnows() && (s.self.IsSeed() || !s.hearsSeed()) {
		s.askAll(ctx)
	}
	pause(ctx, tellTime)
}

// await returns true as soon as the condition holds, and false when the context
// ends.
func (s *Scanner) await(ctx context.Context, condition func() bool) bool {
	for !condition() {
		if !pause(ctx, tick) {
			return false
		}
	}
	return true
}

// pause returns false if the context ends first.
func pause(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

func (s *Scanner) peerKnows() bool {
	return slices.ContainsFunc(s.peers.Alive(), func(p peers.Peer) bool { return p.CachesKnown })
}

func (s *Scanner) hearsSeed() bool {
	return slices.ContainsFunc(s.peers.Alive(), func(p peers.Peer) bool { return slices.Contains(s.self.Seeds, p.IP) })
}

// askAll asks the servers that are this daemon's to ask.
func (s *Scanner) askAll(ctx context.Context) {
	view := s.catalog.View()
	var wg sync.WaitGroup
	for _, server := range view.Servers {
		service := view.Table.Service(server.Service)
		if service == nil || service.CacheSize == 0 || server.Draining || !s.owns(server.ID) {
			continue
		}
		wg.Go(func() { s.ask(ctx, server) })
	}
	wg.Wait()
}

// owns tells whether this daemon is the one, of those that are heard, to ask
// the server.
func (s *Scanner) owns(server string) bool {
	mine := xxhash.Sum64String(s.self.IP + server)
	for _, p := range s.peers.Alive() {
		if s.self.IsSeed() && !slices.Contains(s.self.Seeds, p.IP) {
			continue
		}
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
	// Long parts first: they are shared, and dear to compute.
	slices.SortFunc(parts, func(a, b call.Part) int { return b.Tokens - a.Tokens })
	share := maxTold / max(len(s.catalog.View().Servers), 1)
	parts = parts[:min(len(parts), share)]
	s.index.AddListed(parts, warm.Holder(server.Tag()))
	s.hurry()
}
