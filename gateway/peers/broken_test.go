package peers

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/matryer/is"

	"cassialatch.dev/gateway/boottime"
	"cassialatch.dev/gateway/catalog"
)

// respondRaw starts a server that responds to its first request with the bytes and closes its
// side of the connection. It returns the server's address.
func respondRaw(t *testing.T, response string) (host, port string) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	go func() {
		c, err := l.Accept()
		if err != nil {
			return
		}
		defer c.Close()
		if _, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
			_, _ = io.WriteString(c, response)
			_ = c.(*net.TCPConn).CloseWrite()
			_, _ = io.Copy(io.Discard, c) // until the client closes the connection
		}
	}()
	host, port, err = net.SplitHostPort(l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	return host, port
}

// fetchRaw fetches the state of a peer that responds with the bytes, and checks that it fails
// for a reason that the error names.
func fetchRaw(t *testing.T, response string) {
	is := is.New(t)
	is.Helper()
	host, port := respondRaw(t, response)
	got := &adopted{}
	f := NewFetcher(catalog.New(boottime.Now), boottime.Now, port, got, &fetchLog{})
	err := f.fetch(t.Context(), host)
	var fetchErr *FetchError
	is.True(errors.As(err, &fetchErr))
	is.True(fetchErr.Cause != nil)
	is.True(!strings.Contains(err.Error(), "nil"))
	is.True(!errors.Is(err, context.DeadlineExceeded)) // rejected at once
	is.Equal(got.state.Revision, int64(0))
}

// Guards against a response that breaks off, or goes on, after a JSON value and is taken for a
// complete state.
func TestFetch_RejectsBrokenBody(t *testing.T) {
	const ok = "HTTP/1.1 200 OK\r\n"
	for name, response := range map[string]string{
		"length not reached": fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", ok, len(stateJSON)+1, stateJSON),
		"no last chunk":      fmt.Sprintf("%sTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n", ok, len(stateJSON), stateJSON),
		"second value":       fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s%s", ok, 2*len(stateJSON), stateJSON, stateJSON),
	} {
		t.Run(name, func(t *testing.T) { fetchRaw(t, response) })
	}
}

// Guards against a malformed response, of a peer in trouble or of something else at its
// address, that is taken for the peer's state.
func TestFetch_RejectsMalformedResponse(t *testing.T) {
	length := fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(stateJSON), stateJSON)
	for name, response := range map[string]string{
		"status 000":             "HTTP/1.1 000 Odd\r\n" + length,
		"status 101":             "HTTP/1.1 101 Switching Protocols\r\nConnection: Upgrade\r\nUpgrade: x\r\n\r\n",
		"version":                "HTTP/2.0 200 OK\r\n" + length,
		"blank in a field name":  "HTTP/1.1 200 OK\r\nX Y: 1\r\n" + length,
		"informational response": "HTTP/1.1 103 Early Hints\r\nX Y: 1\r\n\r\nHTTP/1.1 200 OK\r\n" + length,
		"trailer":                fmt.Sprintf("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\nX Y: 1\r\n\r\n", len(stateJSON), stateJSON),
	} {
		t.Run(name, func(t *testing.T) { fetchRaw(t, response) })
	}
}
