// Package cachescan lists the caches of backend servers when a daemon starts
// and no peer can send it their contents, as after a restart of all daemons. A
// listing is costly for the server, so each server is listed once, by one
// daemon: by one of the seeds, whose addresses all daemons have from the
// start, or by another daemon if no seed is alive.
package cachescan

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"cassialatch.dev/gateway/cacheindex"
	"cassialatch.dev/gateway/call"
	"cassialatch.dev/gateway/catalog"
	"cassialatch.dev/gateway/peers"
)

const (
	pollInterval = 25 * time.Millisecond // between checks of a condition
	// seedDelay is how long a seed waits after its start for messages from
	// its peers before it lists caches. Other daemons wait for nonSeedDelay,
	// by when a seed should have listed them, and up to maxSeedWait while no
	// seed is alive.
	seedDelay    = 150 * time.Millisecond
	nonSeedDelay = 400 * time.Millisecond
	maxSeedWait  = 1200 * time.Millisecond
	// startupWindow is the time after its start within which a daemon receives
	// the contents of the caches from its peers or lists them.
	startupWindow = 2 * time.Second
	listTimeout   = 400 * time.Millisecond // of the listing of one cache
	// propagationDelay is the time in which listings reach all peers.
	propagationDelay = 120 * time.Millisecond
	// maxListedParts bounds the listed parts of all servers that are sent to
	// peers. Most of the short parts belong to a single request.
	maxListedParts = 4000
)

// Lister lists the parts in a server's cache. It passes each one to add, also of a listing
// that turns out to be incomplete, for which it returns an error.
type Lister interface {
	List(ctx context.Context, s *catalog.Server, add func(call.Part)) error
}

// Log receives the scanner's events.
type Log interface {
	CacheListed(server string, parts int, err error)
}

// Peers lists the other daemons that are alive.
type Peers interface {
	Alive() []peers.Peer
}

// Scanner lists the caches of backend servers at the start of a daemon.
// Either Run or Skip must be called, once. The other methods are safe for
// concurrent use.
type Scanner struct {
	lister          Lister
	catalog         *catalog.Catalog
	index           *cacheindex.Index
	peers           Peers
	self            peers.Self
	triggerExchange func() // sends messages to the peers at once
	log             Log
	started         time.Time
	done            chan struct{} // closed by Run or Skip
}

// New returns a scanner that does nothing before Run.
func New(l Lister, c *catalog.Catalog, x *cacheindex.Index, p Peers, self peers.Self, triggerExchange func(), log Log) *Scanner {
	return &Scanner{lister: l, catalog: c, index: x, peers: p, self: self, triggerExchange: triggerExchange, log: log,
		started: time.Now(), done: make(chan struct{})}
}

// CachesKnown reports whether startupWindow has passed, so that the daemon has
// the same information on the caches as its peers.
func (s *Scanner) CachesKnown() bool { return time.Since(s.started) > startupWindow }

// Done returns a channel that is closed when the daemon has received or listed
// the contents of the caches, as far as it does so at its start.
func (s *Scanner) Done() <-chan struct{} { return s.done }

// Skip closes the channel that Done returns, without a scan. It is called
// instead of Run where no cache can hold anything yet.
func (s *Scanner) Skip() { close(s.done) }

// Run lists the caches of the servers that are assigned to this daemon, unless a
// peer already has their contents. It returns after startupWindow at the latest.
func (s *Scanner) Run(ctx context.Context) {
	defer close(s.done)
	ctx, cancel := context.WithTimeout(ctx, startupWindow)
	defer cancel()
	if !s.await(ctx, func() bool { return s.catalog.View().Table != nil }) {
		return
	}
	delay := nonSeedDelay
	if s.self.IsSeed() {
		delay = seedDelay
	}
	if !s.await(ctx, func() bool { return time.Since(s.started) >= delay }) {
		return
	}
	if !s.await(ctx, func() bool { return s.self.IsSeed() || s.seedAlive() || time.Since(s.started) >= maxSeedWait }) {
		return
	}
	if !s.peerKnowsCaches() && (s.self.IsSeed() || !s.seedAlive()) {
		s.listAll(ctx)
	}
	sleep(ctx, propagationDelay)
}

// await polls the condition. It returns true once the condition holds, and
// false if the context ends first.
func (s *Scanner) await(ctx context.Context, condition func() bool) bool {
	for !condition() {
		if !sleep(ctx, pollInterval) {
			return false
		}
	}
	return true
}

// sleep returns true after the duration, and false if the context ends first.
func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

// peerKnowsCaches reports whether a peer that is alive has the contents of the
// caches.
func (s *Scanner) peerKnowsCaches() bool {
	return slices.ContainsFunc(s.peers.Alive(), func(p peers.Peer) bool { return p.CachesKnown })
}

// seedAlive reports whether a seed other than this daemon is alive.
func (s *Scanner) seedAlive() bool {
	return slices.ContainsFunc(s.peers.Alive(), func(p peers.Peer) bool { return slices.Contains(s.self.Seeds, p.IP) })
}

// listAll lists the caches of the servers that are assigned to this daemon.
func (s *Scanner) listAll(ctx context.Context) {
	view := s.catalog.View()
	var wg sync.WaitGroup
	for _, server := range view.Servers {
		service := view.Table.Service(server.Service)
		if service == nil || service.CacheTokens == 0 || server.Draining || view.Evacuated[server.Zone] || !s.isAssigned(server.ID) {
			continue
		}
		wg.Go(func() { s.listServer(ctx, server) })
	}
	wg.Wait()
}

// isAssigned reports whether this daemon is the one that lists a server's
// cache: the one with the highest hash of its IP address and the server's ID
// among the daemons that are alive. A seed compares itself with other seeds
// only.
func (s *Scanner) isAssigned(server string) bool {
	ownHash := xxhash.Sum64String(s.self.IP + server)
	for _, p := range s.peers.Alive() {
		if s.self.IsSeed() && !slices.Contains(s.self.Seeds, p.IP) {
			continue
		}
		if xxhash.Sum64String(p.IP+server) > ownHash {
			return false
		}
	}
	return true
}

// listServer lists a server's cache and adds its largest parts to the index.
func (s *Scanner) listServer(ctx context.Context, server *catalog.Server) {
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	listed := largest{most: maxListedParts / max(len(s.catalog.View().Servers), 1)}
	err := s.lister.List(ctx, server, listed.add)
	s.log.CacheListed(server.ID, listed.added, err)
	if err == nil {
		s.index.AddListed(listed.list(), cacheindex.Holder(server.Tag()))
	}
	s.triggerExchange()
}
