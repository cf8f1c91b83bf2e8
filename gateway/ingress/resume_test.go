package ingress

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// Guards against the text or head of a server's error within a stream that another
// server has begun, and against such a stream that looks complete.
func TestForwardStream_NextServerFails(t *testing.T) {
	const event = "id: 1\ndata: a\n\n"
	const signed = "Signature: x\r\n"
	large := strings.Repeat("e", 2*maxBufferedBytes)
	for name, c := range map[string]struct{ status, header, body string }{
		"server error":             {"500 Broken", signed, "oops\n\n"},
		"unsigned error":           {"502 Bad", "", "oops\n\n"},
		"client error":             {"404 Gone", signed, "oops\n\n"},
		"success without an event": {"200 OK", signed, "oops"},
		"success of another type":  {"200 OK", signed + "Content-Type: application/json\r\n", "{\"error\":1}\n\n"},
		"unsigned success":         {"200 OK", "", "oops\n\n"},
		"large server error":       {"500 Broken", signed, large},
		"large client error":       {"404 Gone", signed, large},
		"large unsigned success":   {"200 OK", "", large},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			script := func(_ *backend, req *http.Request, conn net.Conn) {
				id := req.Header.Get("Id")
				if req.Header.Get("Last-Event-Id") == "" {
					fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nId: %s\r\nSignature: x\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n", id, len(event), event)
					conn.Close()
					return
				}
				// The gateway may close the connection before it has read a large body.
				_, _ = fmt.Fprintf(conn, "HTTP/1.1 %s\r\nId: %s\r\n%sContent-Length: %d\r\n\r\n%s", c.status, id, c.header, len(c.body), c.body)
			}
			f := newFixture(t, startBackend(t, script), startBackend(t, script))
			_, body, err := f.do(t, "/stream/x")
			is.True(err != nil) // the stream must not look complete
			is.True(err != io.EOF)
			is.Equal(body, event)
		})
	}
}

// Guards against a response whose head the server has not finished before it closed
// the connection: it must not become a short or empty success.
func TestHandler_UnfinishedResponseHead(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nId: %s\r\nSignature: x\r\nContent-Type: text/event-stream\r\nContent-Length: 600\r\n\r\n"
	for _, path := range []string{"/unsafe/x", "/safe/x", "/once/x", "/stream/x"} {
		t.Run(path[1:len(path)-2], func(t *testing.T) {
			for n := range len(head) {
				b := startBackend(t, func(_ *backend, req *http.Request, conn net.Conn) {
					text := fmt.Sprintf(head, req.Header.Get("Id"))
					_, _ = io.WriteString(conn, text[:min(n, len(text))])
					conn.Close()
				})
				f := newFixture(t, b)
				resp, body, err := f.do(t, path)
				if err == nil && resp.StatusCode < http.StatusInternalServerError {
					t.Fatalf("cut after %d bytes: status %d, body %q", n, resp.StatusCode, body)
				}
			}
		})
	}
}
