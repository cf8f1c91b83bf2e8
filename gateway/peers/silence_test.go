package peers

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"cassialatch.dev/gateway/boottime"
	"cassialatch.dev/gateway/catalog"
)

// hangTimeout ends a test that would otherwise not end.
const hangTimeout = 20 * time.Second

// serveState starts a peer at a loopback address that answers the given number of
// requests on each connection and then falls silent on it. It returns its port.
func serveState(t *testing.T, address string, responses int) (port string) {
	l, err := net.Listen("tcp4", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			t.Cleanup(func() { c.Close() })
			go answer(c, responses)
		}
	}()
	_, port, err = net.SplitHostPort(l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	return port
}

// answer answers requests on a connection and then reads until it is closed.
func answer(c net.Conn, responses int) {
	br := bufio.NewReader(c)
	for range responses {
		if _, err := http.ReadRequest(br); err != nil {
			return
		}
		if _, err := io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 25\r\n\r\n"+stateJSON); err != nil {
			return
		}
	}
	_, _ = io.Copy(io.Discard, br)
}

// Guards against a configuration that is learned late because the fetch waits on a
// connection that has fallen silent since it was last used.
func TestFetch_DoesNotUseConnectionThatFellSilent(t *testing.T) {
	is := is.New(t)
	is.Equal(len(stateJSON), 25)
	port := serveState(t, "127.0.0.1:0", 1)
	f := NewFetcher(catalog.New(boottime.Now), boottime.Now, port, &adopted{}, &fetchLog{})
	is.NoErr(f.fetch(t.Context(), "127.0.0.1"))
	is.NoErr(f.fetch(t.Context(), "127.0.0.1"))
}

// adoptions is an Adopter that sends the origin of each state.
type adoptions chan string

func (a adoptions) AdoptFromPeer(origin string, _ catalog.State, _ boottime.Instant) { a <- origin }

// Guards against a configuration that is learned late because a peer that has
// frozen or lost power keeps the state of all others from being fetched.
func TestFetch_UnresponsivePeerDoesNotBlockOthers(t *testing.T) {
	is := is.New(t)
	const frozen, healthy = "127.0.0.1", "127.0.0.2"
	port := serveState(t, frozen+":0", 0)
	serveState(t, net.JoinHostPort(healthy, port), 1)
	var now atomic.Int64
	now.Store(int64(time.Hour))
	got := make(adoptions, 1)
	f := NewFetcher(catalog.New(boottime.Now), func() boottime.Instant { return boottime.Instant(now.Load()) }, port, got, &fetchLog{})
	f.client.Timeout = 2 * hangTimeout
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	f.Fetch(ctx, frozen)
	now.Add(int64(time.Second))
	f.Fetch(ctx, healthy)
	select {
	case origin := <-got:
		is.Equal(origin, healthy)
	case <-time.After(hangTimeout):
		is.Fail() // no state was adopted
	}
}
