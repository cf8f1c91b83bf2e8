package ingress

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// slowStream returns a script that sends a head and then the chunks with a pause before
// each. It closes the connection after the last one unless the stream is complete.
func slowStream(pause time.Duration, chunks ...string) func(*backend, *http.Request, net.Conn) {
	return func(_ *backend, req *http.Request, c net.Conn) {
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nId: %s\r\nSignature: x\r\nTransfer-Encoding: chunked\r\n\r\n", req.Header.Get("Id"))
		for _, chunk := range chunks {
			time.Sleep(pause)
			if _, err := fmt.Fprintf(c, "%x\r\n%s\r\n", len(chunk), chunk); err != nil {
				return
			}
		}
		// The connection is gone if the request has ended.
		_, _ = io.WriteString(c, "0\r\n\r\n")
	}
}

// events returns n events.
func events(n int) []string {
	list := make([]string, n)
	for i := range list {
		list[i] = fmt.Sprintf("id: %d\ndata: x\n\n", i+1)
	}
	return list
}

// Guards against a limit on the time between events that cuts off slow streams: only
// the deadline ends them.
func TestHandler_SlowStreamIsNotCut(t *testing.T) {
	for _, path := range []string{"/stream/x", "/once/x"} {
		t.Run(path, func(t *testing.T) {
			is := is.New(t)
			slow := startBackend(t, slowStream(300*time.Millisecond, events(5)...))
			other := startBackend(t, respondOK)
			f := newFixture(t, slow, other)
			f.handler.Loads.Begin(tagOf(f, other.address), 0) // the slow one is preferred
			resp, body, err := f.do(t, path)
			is.NoErr(err)
			is.Equal(resp.StatusCode, http.StatusOK)
			is.Equal(body, strings.Join(events(5), ""))
			is.Equal(slow.runs.Load(), int32(1))
			is.Equal(other.runs.Load(), int32(0))
			is.Equal(f.records.wait(1)[0].Outcome, OutcomeAnswered)
		})
	}
}

// Guards against a stream that never ends since its server sends a byte now and then:
// bytes that are no event do not extend the deadline.
func TestHandler_StalledStreamWithBytesNowAndThenEndsAtDeadline(t *testing.T) {
	is := is.New(t)
	bytes := strings.Split(strings.Repeat("x ", 1000), " ")
	f := newFixture(t, startBackend(t, slowStream(20*time.Millisecond, append(events(1), bytes...)...)))
	start := time.Now()
	_, body, err := f.do(t, "/once/x")
	is.True(err != nil)                         // not taken for complete
	is.Equal(body, events(1)[0])                // whole events only
	is.True(time.Since(start) >= 2*time.Second) // the timeout of the route
	rec := f.records.wait(1)[0]
	is.Equal(rec.Outcome, OutcomeAborted)
	is.Equal(rec.Reason, ReasonDeadline)
}

// Guards against giving up the work of a server that is only silent towards the store
// for a while: its entry lapses, and is listed again, while it runs a request.
func TestHandler_RunGoesOnWhileServerIsNotListed(t *testing.T) {
	for _, path := range []string{"/stream/x", "/once/x"} {
		t.Run(path, func(t *testing.T) {
			is := is.New(t)
			started := make(chan struct{})
			running := startBackend(t, func(b *backend, req *http.Request, c net.Conn) {
				close(started)
				slowStream(200*time.Millisecond, events(5)...)(b, req, c)
			})
			other := startBackend(t, respondOK)
			f := newFixture(t, running, other)
			f.handler.Loads.Begin(tagOf(f, other.address), 0)
			listed := f.catalog.State()
			go func() {
				<-started
				lapsed := listed
				lapsed.Revision, lapsed.Servers = 2, listed.Servers[1:]
				f.catalog.Adopt(lapsed, nil, f.now())
				f.handler.Pool.Expire(func(id string) bool { return id == listed.Servers[1].ID })
				time.Sleep(300 * time.Millisecond)
				listed.Revision = 3
				f.catalog.Adopt(listed, nil, f.now())
			}()
			resp, body, err := f.do(t, path)
			is.NoErr(err)
			is.Equal(resp.StatusCode, http.StatusOK)
			is.Equal(body, strings.Join(events(5), ""))
			is.Equal(running.runs.Load(), int32(1))
			is.Equal(other.runs.Load(), int32(0)) // not started again elsewhere
		})
	}
}

// tagOf returns the tag of the server at an address.
func tagOf(f *fixture, address string) uint32 {
	for _, s := range f.catalog.State().Servers {
		if s.Address == address {
			return s.Tag()
		}
	}
	panic("no server at " + address)
}
