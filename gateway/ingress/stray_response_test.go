package ingress

import (
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"testing"

	"github.com/matryer/is"
)

// Guards against a server that writes an earlier refusal once more on a kept
// connection: the caller of the next request, which the server runs, must not be told
// that it has not run, nor may another server run it.
func TestHandler_DoesNotBelieveRepeatedRefusal(t *testing.T) {
	const refusal = "HTTP/1.1 503 Full\r\n%sNot-Executed: 1\r\nContent-Length: 0\r\n\r\n"
	for name, c := range map[string]struct {
		header string // of the repeated refusal
		status int    // of the next request
	}{
		"with its ID":   {"Id: first\r\n", http.StatusOK},
		"without an ID": {"", http.StatusBadGateway},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var runs atomic.Int32 // of the second request
			script := func(_ *backend, req *http.Request, conn net.Conn) {
				id := req.Header.Get("Id")
				if id == "first" {
					fmt.Fprintf(conn, refusal, "Id: first\r\n")
					return
				}
				runs.Add(1)
				fmt.Fprintf(conn, refusal, c.header)
				writeResponse(conn, id, "", "fine")
			}
			f := newFixture(t, startBackend(t, script), startBackend(t, script))
			resp, _, err := f.do(t, "/unsafe/x", "Id", "first")
			is.NoErr(err)
			is.Equal(resp.StatusCode, http.StatusServiceUnavailable)
			resp, _, err = f.do(t, "/unsafe/x", "Id", "second")
			is.NoErr(err)
			is.Equal(resp.StatusCode, c.status)
			is.Equal(runs.Load(), int32(1))
		})
	}
}

// Guards against a server that writes an earlier response once more on a kept
// connection, without an ID: the caller of the next request must not get it.
func TestHandler_DoesNotForwardRepeatedResponse(t *testing.T) {
	const repeated = "HTTP/1.1 %s\r\nSignature: x\r\nContent-Length: 7\r\n\r\nearlier"
	for _, status := range []string{"200 OK", "404 Not Found", "500 Broken", "503 Full"} {
		t.Run(status, func(t *testing.T) {
			is := is.New(t)
			b := startBackend(t, func(_ *backend, req *http.Request, conn net.Conn) {
				id := req.Header.Get("Id")
				if id == "second" {
					fmt.Fprintf(conn, repeated, status)
				}
				writeResponse(conn, id, "", "fine")
			})
			f := newFixture(t, b)
			_, body, err := f.do(t, "/unsafe/x", "Id", "first")
			is.NoErr(err)
			is.Equal(body, "fine")
			resp, body, err := f.do(t, "/unsafe/x", "Id", "second")
			is.NoErr(err)
			is.Equal(resp.StatusCode, http.StatusBadGateway)
			is.Equal(body, "")
		})
	}
}
