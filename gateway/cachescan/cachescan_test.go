package cachescan

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"cassialatch.dev/gateway/boottime"
	"cassialatch.dev/gateway/call"
	"cassialatch.dev/gateway/catalog"
	"cassialatch.dev/gateway/peers"
	"cassialatch.dev/gateway/route"
	"cassialatch.dev/gateway/warm"
)

type lister struct {
	mu    sync.Mutex
	asked map[string]int
}

func (l *lister) List(_ context.Context, s *catalog.Server) ([]call.Part, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.asked[s.ID]++
	return []call.Part{{ID: 1, Tokens: 10}, {ID: 2, Tokens: 500}}, nil
}

type alive []peers.Peer

func (a alive) Alive() []peers.Peer { return a }

type noLog struct{}

func (noLog) CacheListed(string, int, error) {}

func published() *catalog.Catalog {
	c := catalog.New(boottime.Now)
	state := catalog.State{Revision: 1}
	for i := range 6 {
		state.Servers = append(state.Servers, catalog.Server{ID: fmt.Sprint("m", i), Service: "model"},
			catalog.Server{ID: fmt.Sprint("p", i), Service: "plain"})
	}
	c.Adopt(state, route.NewTable(&route.Config{Version: 1,
		Services: []route.Service{{Name: "model", CacheSize: 1000}, {Name: "plain"}}}), boottime.Now())
	return c
}

// Load pattern: all daemons were killed and callers come back at once. Each
// server with a cache is asked by one of the daemons that hear each other.
func TestAfterAMassRestartEachServerIsAskedOnce(t *testing.T) {
	is := is.New(t)
	l := &lister{asked: make(map[string]int)}
	ips := []string{"10.0.0.1", "10.0.0.2", "10.0.0.3"}
	var wg sync.WaitGroup
	for i, ip := range ips {
		var others alive
		for j, other := range ips {
			if i != j {
				others = append(others, peers.Peer{IP: other})
			}
		}
		index := warm.New(time.Now)
		s := New(l, published(), index, others, peers.Self{IP: ip, Seeds: ips[:2]}, func() {}, noLog{})
		wg.Go(func() {
			s.Run(context.Background())
			<-s.Done()
		})
	}
	wg.Wait()
	is.Equal(len(l.asked), 6)
	for id, n := range l.asked {
		is.Equal(n, 1)
		is.True(id[0] == 'm')
	}
}

func TestWithoutASeedTheOthersAsk(t *testing.T) {
	is := is.New(t)
	l := &lister{asked: make(map[string]int)}
	others := alive{{IP: "10.0.0.2"}, {IP: "10.0.0.3"}}
	s := New(l, published(), warm.New(time.Now), others, peers.Self{IP: "10.0.0.1", Seeds: []string{"10.0.0.9"}}, func() {}, noLog{})
	s.Run(context.Background())
	is.True(len(l.asked) > 0)
}

// Load pattern: all daemons of a large fleet restart at once, and one that is no
// seed hears the first peer late. It doesn't ask all servers by itself.
func TestADaemonThatHearsNobodyWaits(t *testing.T) {
	is := is.New(t)
	l := &lister{asked: make(map[string]int)}
	late := &lateSeed{at: time.Now().Add(2 * settleLate)}
	s := New(l, published(), warm.New(time.Now), late, peers.Self{IP: "10.0.0.1", Seeds: []string{"10.0.0.9"}}, func() {}, noLog{})
	s.Run(context.Background())
	is.Equal(len(l.asked), 0)
}

// lateSeed is a seed that is heard from a moment on.
type lateSeed struct{ at time.Time }

func (l *lateSeed) Alive() []peers.Peer {
	if time.Now().Before(l.at) {
		return nil
	}
	return []peers.Peer{{IP: "10.0.0.9"}}
}

func TestADaemonWithAPeerThatKnowsAsksNobody(t *testing.T) {
	is := is.New(t)
	l := &lister{asked: make(map[string]int)}
	knows := alive{{IP: "10.0.0.2", State: peers.State{CachesKnown: true}}}
	s := New(l, published(), warm.New(time.Now), knows, peers.Self{IP: "10.0.0.1"}, func() {}, noLog{})
	s.Run(context.Background())
	<-s.Done()
	is.Equal(len(l.asked), 0)
}
