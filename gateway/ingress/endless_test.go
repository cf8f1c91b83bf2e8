package ingress

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
)

// wait waits until n records are there and returns them.
func (r *records) wait(n int) []Record {
	for {
		r.mu.Lock()
		all := slices.Clone(r.all)
		r.mu.Unlock()
		if len(all) >= n {
			return all
		}
		time.Sleep(time.Millisecond)
	}
}

// stall starts a signed stream, sends one event and then nothing until the
// gateway closes the connection.
func stall(_ *backend, req *http.Request, c net.Conn) {
	event := "id: 1\ndata: 1\n\n"
	fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nId: %s\r\nSignature: x\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n", req.Header.Get("Id"), len(event), event)
	var b [1]byte
	_, _ = c.Read(b[:])
}

// Guards against streams that reach their deadline being counted as crashes of
// the server, so that requests of the same content are refused.
func TestHandlerDoesNotCountDeadlineOfStreamAsCrash(t *testing.T) {
	is := is.New(t)
	b := startBackend(t, stall)
	f := newFixture(t, b)
	for range 4 {
		resp, _, err := f.do(t, "/once/x", "Deadline", "50ms")
		is.Equal(resp.StatusCode, http.StatusOK)
		is.True(err != nil) // the response is not complete
	}
	is.Equal(b.runs.Load(), int32(4))
	is.Equal(f.records.wait(4)[0].Attempts[0].Reason, ReasonDeadline)
}

// Guards against streams that callers leave being counted as crashes of the
// server, so that requests of the same content are refused.
func TestHandlerDoesNotCountDisconnectedCallerAsCrash(t *testing.T) {
	is := is.New(t)
	b := startBackend(t, stall)
	f := newFixture(t, b)
	for i := range 4 {
		ctx, cancel := context.WithCancel(context.Background())
		req, err := http.NewRequestWithContext(ctx, http.MethodGet, f.URL+"/once/x", nil)
		is.NoErr(err)
		req.Header.Set("Key", "key")
		resp, err := http.DefaultTransport.RoundTrip(req)
		is.NoErr(err)
		is.Equal(resp.StatusCode, http.StatusOK)
		cancel()
		resp.Body.Close()
		f.records.wait(i + 1)
	}
	is.Equal(b.runs.Load(), int32(4))
}
