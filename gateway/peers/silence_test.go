package peers

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/matryer/is"

	"cassialatch.dev/gateway/boottime"
	"cassialatch.dev/gateway/catalog"
)

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
