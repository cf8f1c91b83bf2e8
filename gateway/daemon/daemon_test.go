package daemon

import (
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"cassialatch.dev/gateway/boottime"
	"cassialatch.dev/gateway/call"
	"cassialatch.dev/gateway/catalog"
	"cassialatch.dev/gateway/directory"
	"cassialatch.dev/gateway/peers"
	"cassialatch.dev/gateway/route"
	"cassialatch.dev/gateway/serverstate"
)

// dialect is a call.Dialect without deadlines, prompts and internal headers.
type dialect struct{}

func (dialect) ParseRequest(http.Header) (call.Request, error) { return call.Request{ID: "r1"}, nil }

func (dialect) OutboundHeader(http.Header, call.Attempt) http.Header { return http.Header{} }

func (dialect) ParseResponse(resp *http.Response) call.ResponseHead {
	return call.ResponseHead{Status: resp.StatusCode, Signed: true}
}

func (dialect) StripInternal(http.Header) {}

// newDaemon returns a daemon whose frontend serves the listener and whose only
// server is at the address backend. It polls no store and has no peers.
func newDaemon(t *testing.T, grace time.Duration, l net.Listener, backend string) *Daemon {
	retries := RetryBudget{Ratio: 0.2, Slack: 10, Window: 10 * time.Second}
	d := New(Settings{Name: "d", Grace: grace, Retry: retries}, Adapter{Dialect: dialect{}})
	addr := &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)}
	var err error
	d.exchange, err = peers.Listen(addr, d.peers, d.loads, d.quarantine, d.cacheIndex, nil, d.peerState)
	if err != nil {
		t.Fatal(err)
	}
	targets := []route.Target{{Service: "s", Weight: 1}}
	table := route.NewTable(&route.Config{
		Version:  1,
		Services: []route.Service{{Name: "s"}},
		Routes: []route.Route{
			{Name: "unsafe", Host: "gateway", Prefix: "/unsafe/", Kind: route.Unsafe, MaxAttempts: 1, Timeout: time.Minute, Targets: targets},
			{Name: "stream", Host: "gateway", Prefix: "/stream/", Kind: route.Stream, MaxAttempts: 1, Timeout: time.Minute, Targets: targets},
		},
	})
	servers := []catalog.Server{{ID: "b1", Service: "s", Address: backend}}
	d.catalog.Adopt(catalog.State{Revision: 1, Servers: servers}, table, boottime.Now())
	go d.serve(l, d.frontend.Serve)
	return d
}

func listen(t *testing.T) net.Listener {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	return l
}

// Where the settings ask for it, the daemon shares and shows the state of servers.
func TestNew_ServerStateOnlyIfAskedFor(t *testing.T) {
	for _, asked := range []bool{false, true} {
		is := is.New(t)
		d := New(Settings{Name: "d", ServerState: asked, Retry: RetryBudget{Window: time.Second}}, Adapter{Dialect: dialect{}})
		is.Equal(d.handler.ServerState != nil, asked)
		w := httptest.NewRecorder()
		d.metrics.ServeHTTP(w, nil)
		is.Equal(strings.Contains(w.Body.String(), "cassialatch_servers_slow 0\n"), asked)
		is.Equal(strings.Contains(w.Body.String(), "cassialatch_servers_refusing 0\n"), asked)
	}
}

// A refused connection is reported to the peers.
func TestDaemon_ReportsRefusedConnection(t *testing.T) {
	is := is.New(t)
	peer, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 2)})
	is.NoErr(err)
	defer peer.Close()
	port := peer.LocalAddr().(*net.UDPAddr).Port
	d := New(Settings{
		Name: "d", IP: "127.0.0.1", ServerState: true, Retry: RetryBudget{Window: time.Second}, Seeds: []string{"127.0.0.2:1"},
		Exchange: fmt.Sprint("127.0.0.1:", port), Control: "127.0.0.1:0", Directory: "127.0.0.1:0", Readiness: "127.0.0.1:0", Frontend: "127.0.0.1:0",
	}, Adapter{
		Dialect:          dialect{},
		DirectoryHandler: func(*directory.Directory) http.Handler { return http.NotFoundHandler() },
		ReadinessHandler: func(func() bool) http.Handler { return http.NotFoundHandler() },
	})
	is.NoErr(d.startListeners(t.Context()))
	go d.exchange.Run(t.Context())
	size := func() int { // of the next datagram
		is.NoErr(peer.SetReadDeadline(time.Now().Add(10 * time.Second))) // only ends a hang
		n, err := peer.Read(make([]byte, 64<<10))
		is.NoErr(err)
		return n
	}
	quiet := size()
	d.handler.ServerState.RecordRefused(5)
	for size() <= quiet { // rounds that had begun before
	}
}

// Load pattern: a server stops and comes back, and its peers' reports keep this daemon from
// trying it meanwhile. Guards against a daemon that has seen nothing of the restart itself,
// and sends a server that is cold as many requests as a warm one until its entry changes.
func TestDaemon_ServerReportedAsRefusingCountsAsCold(t *testing.T) {
	for _, kind := range []serverstate.Kind{serverstate.KindRefused, serverstate.KindResponded} {
		is := is.New(t)
		d := New(Settings{Name: "d", ServerState: true, Retry: RetryBudget{Window: time.Second}}, Adapter{Dialect: dialect{}})
		services := []route.Service{{Name: "s", ColdPerSecond: 18, ColdStart: 3 * time.Second}, {Name: "t"}}
		servers := []catalog.Server{{ID: "b1", Service: "s"}, {ID: "b2", Service: "s"}, {ID: "b3", Service: "t"}}
		table := route.NewTable(&route.Config{Version: 1, Services: services})
		d.servers.Merge([]serverstate.Report{{Server: 1, Kind: kind, Value: 1}}) // before the first configuration
		d.catalog.Adopt(catalog.State{Revision: 1, Servers: servers}, table, boottime.Now())
		d.servers.Merge([]serverstate.Report{
			{Server: servers[0].Tag(), Kind: kind, Value: 1},
			{Server: servers[2].Tag(), Kind: kind, Value: 1},
			{Server: servers[1].Tag(), Kind: serverstate.KindPace, Value: 300},
		})
		for i, want := range []bool{true, false, false} {
			_, cold := d.warmup.Wait(servers[i].Incarnation())
			is.Equal(cold, want)
		}
	}
}
