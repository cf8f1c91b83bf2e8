package daemon

import (
	"net"
	"net/http"
	"testing"
	"time"

	"cassialatch.dev/gateway/boottime"
	"cassialatch.dev/gateway/call"
	"cassialatch.dev/gateway/catalog"
	"cassialatch.dev/gateway/peers"
	"cassialatch.dev/gateway/route"
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
