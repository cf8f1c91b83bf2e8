package cachescan

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"cassialatch.dev/gateway/boottime"
	"cassialatch.dev/gateway/cacheindex"
	"cassialatch.dev/gateway/call"
	"cassialatch.dev/gateway/catalog"
	"cassialatch.dev/gateway/peers"
	"cassialatch.dev/gateway/route"
)

type lister struct {
	mu    sync.Mutex
	calls map[string]int
}

func (l *lister) List(_ context.Context, s *catalog.Server, add func(call.Part)) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.calls[s.ID]++
	add(call.Part{ID: 1, Tokens: 10})
	add(call.Part{ID: 2, Tokens: 500})
	return nil
}

type alive []peers.Peer

func (a alive) Alive() []peers.Peer { return a }

type discardLog struct{}

func (discardLog) CacheListed(string, int, error) {}

func newCatalog() *catalog.Catalog {
	c := catalog.New(boottime.Now)
	state := catalog.State{Revision: 1}
	for i := range 6 {
		state.Servers = append(state.Servers, catalog.Server{ID: fmt.Sprint("m", i), Service: "model"},
			catalog.Server{ID: fmt.Sprint("p", i), Service: "plain"})
	}
	c.Adopt(state, route.NewTable(&route.Config{Version: 1,
		Services: []route.Service{{Name: "model", CacheTokens: 1000}, {Name: "plain"}}}), boottime.Now())
	return c
}

// Load pattern: all daemons were killed, and callers retry at once. Each
// server with a cache is listed by exactly one of the daemons that are alive,
// and servers without a cache are not listed.
func TestRun_ListsEachServerOnceAfterMassRestart(t *testing.T) {
	is := is.New(t)
	l := &lister{calls: make(map[string]int)}
	ips := []string{"10.0.0.1", "10.0.0.2", "10.0.0.3"}
	var wg sync.WaitGroup
	for i, ip := range ips {
		var others alive
		for j, other := range ips {
			if i != j {
				others = append(others, peers.Peer{IP: other})
			}
		}
		index := cacheindex.New(time.Now)
		s := New(l, newCatalog(), index, others, peers.Self{IP: ip, Seeds: ips[:2]}, func() {}, discardLog{})
		wg.Go(func() {
			s.Run(context.Background())
			<-s.Done()
		})
	}
	wg.Wait()
	is.Equal(len(l.calls), 6)
	for id, n := range l.calls {
		is.Equal(n, 1)
		is.True(id[0] == 'm')
	}
}

func TestRun_NonSeedListsWithoutLiveSeed(t *testing.T) {
	is := is.New(t)
	l := &lister{calls: make(map[string]int)}
	others := alive{{IP: "10.0.0.2"}, {IP: "10.0.0.3"}}
	s := New(l, newCatalog(), cacheindex.New(time.Now), others, peers.Self{IP: "10.0.0.1", Seeds: []string{"10.0.0.9"}}, func() {}, discardLog{})
	s.Run(context.Background())
	is.True(len(l.calls) > 0)
}

// Load pattern: all daemons of a large fleet restart at once, and a daemon
// that is not a seed receives its first message from a peer late. It must not
// list all servers itself.
func TestRun_NonSeedWaitsForLateSeed(t *testing.T) {
	is := is.New(t)
	l := &lister{calls: make(map[string]int)}
	late := &lateSeed{aliveFrom: time.Now().Add(2 * nonSeedDelay)}
	s := New(l, newCatalog(), cacheindex.New(time.Now), late, peers.Self{IP: "10.0.0.1", Seeds: []string{"10.0.0.9"}}, func() {}, discardLog{})
	s.Run(context.Background())
	is.Equal(len(l.calls), 0)
}

// lateSeed is a Peers whose only peer, a seed, is alive from a given time on.
type lateSeed struct{ aliveFrom time.Time }

func (l *lateSeed) Alive() []peers.Peer {
	if time.Now().Before(l.aliveFrom) {
		return nil
	}
	return []peers.Peer{{IP: "10.0.0.9"}}
}

func TestRun_ListsNothingIfPeerKnowsCaches(t *testing.T) {
	is := is.New(t)
	l := &lister{calls: make(map[string]int)}
	informed := alive{{IP: "10.0.0.2", State: peers.State{CachesKnown: true}}}
	s := New(l, newCatalog(), cacheindex.New(time.Now), informed, peers.Self{IP: "10.0.0.1"}, func() {}, discardLog{})
	s.Run(context.Background())
	<-s.Done()
	is.Equal(len(l.calls), 0)
}

// Servers of an evacuated zone must not be asked for anything.
func TestRun_DoesNotListServersOfEvacuatedZone(t *testing.T) {
	is := is.New(t)
	c := newCatalog()
	state := c.State()
	state.Revision++
	state.Servers = slices.Clone(state.Servers)
	for i := range state.Servers {
		state.Servers[i].Zone = state.Servers[i].ID
	}
	state.Evacuated = []string{"m0", "m1"}
	c.Adopt(state, nil, boottime.Now())
	l := &lister{calls: make(map[string]int)}
	s := New(l, c, cacheindex.New(time.Now), alive(nil), peers.Self{IP: "10.0.0.1", Seeds: []string{"10.0.0.1"}}, func() {}, discardLog{})
	s.Run(t.Context())
	is.Equal(len(l.calls), 4)
	is.Equal(l.calls["m0"]+l.calls["m1"], 0)
}
