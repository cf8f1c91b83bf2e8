package ingress

import (
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// respondRaw returns a script that sends the bytes, in which ID stands for the ID of the
// request, and closes its side of the connection.
func respondRaw(response string) func(*backend, *http.Request, net.Conn) {
	return func(_ *backend, req *http.Request, c net.Conn) {
		_, _ = io.WriteString(c, strings.ReplaceAll(response, "ID", req.Header.Get("Id")))
		_ = c.(*net.TCPConn).CloseWrite()
	}
}

// checkBroken checks what callers get if a server sends the bytes, which are no sound response:
// 502 without anything of them where the request may not be repeated, and the response of
// another server where it may be.
func checkBroken(t *testing.T, response string) {
	is := is.New(t)
	broken := startBackend(t, respondRaw(response))
	f := newFixture(t, broken)
	for _, path := range []string{"/unsafe/x", "/once/x", "/safe/x"} {
		resp, body, err := f.do(t, path)
		is.NoErr(err)
		is.Equal(resp.StatusCode, http.StatusBadGateway)
		is.Equal(resp.Header.Get("Signature"), "")
		is.Equal(body, "")
	}
	for _, rec := range f.records.wait(3) {
		is.Equal(rec.Outcome, OutcomeUnknown) // the server may have run it
		is.Equal(rec.Attempts[0].Reason, ReasonConnectionBroken)
		is.True(rec.Attempts[0].Detail != "")
	}
	f = newFixture(t, broken, startBackend(t, respondOK))
	for before := broken.runs.Load(); broken.runs.Load() == before; {
		resp, body, err := f.do(t, "/safe/x")
		is.NoErr(err)
		is.Equal(resp.StatusCode, http.StatusOK)
		is.Equal(body, "fine")
	}
}

// soundHead is the head of a response without its end.
const soundHead = "HTTP/1.1 200 OK\r\nId: ID\r\nSignature: x\r\n"

// Guards against a response with a status that HTTP does not have, which callers took for the
// server's response.
func TestHandler_InvalidStatusIsNoResponse(t *testing.T) {
	for _, status := range []string{"000", "099", "101", "-00", "+99", "20", "2000"} {
		t.Run(status, func(t *testing.T) {
			checkBroken(t, "HTTP/1.1 "+status+" Odd\r\nId: ID\r\nSignature: x\r\nContent-Length: 4\r\n\r\nfine")
		})
	}
}
