package ingress

import (
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/matryer/is"
)

// crashOn returns a script of a server that crashes when it begins to write the
// response to a request with the given part in its prompt, and streams events to
// all others. head is what it sends before it crashes, and end how its connections
// end.
func crashOn(part, head string, end func(*backend, *http.Request, net.Conn)) func(*backend, *http.Request, net.Conn) {
	return func(b *backend, req *http.Request, c net.Conn) {
		id := req.Header.Get("Id")
		if !strings.Contains(","+req.Header.Get("Parts")+",", ","+part+",") {
			body := "id: 1\ndata: a\n\nid: 2\ndata: b\n\n"
			writeResponse(c, id, "", body)
			return
		}
		b.stop()
		fmt.Fprintf(c, head, id)
		end(b, req, c)
	}
}

func closeConn(_ *backend, _ *http.Request, c net.Conn) { c.Close() }

// Guards against requests with different content, of which each crashes another
// server because of a part that their prompts share. Requests with the same key and
// their other parts are served.
func TestHandler_RefusesRequestsWithPartThatCrashesServers(t *testing.T) {
	const ok = "HTTP/1.1 200 OK\r\nId: %s\r\nSignature: x\r\n"
	const chunked = ok + "Transfer-Encoding: chunked\r\n\r\n"
	for name, c := range map[string]struct {
		head string
		end  func(*backend, *http.Request, net.Conn)
	}{
		"before the response":              {"", resetConn},
		"after the head":                   {chunked, resetConn},
		"within an event":                  {chunked + "8\r\nid: 1\nda\r\n", resetConn},
		"without a length":                 {ok + "\r\nid: 1\nda", resetConn},
		"without a length or a reset":      {ok + "\r\nid: 1\nda", closeConn},
		"without a length, reset or event": {ok + "\r\n", closeConn},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			const servers, requests = 12, 30
			var backends []*backend
			for range servers {
				backends = append(backends, startBackend(t, crashOn("66", c.head, c.end)))
			}
			f := newFixture(t, backends...)
			refused := 0
			for n := range requests {
				resp, _, err := f.do(t, fmt.Sprintf("/once/bad-%d", n), "Id", fmt.Sprint("bad", n), "Parts", fmt.Sprintf("1,66,%d", 100+n))
				is.NoErr(err)
				if resp.StatusCode == http.StatusServiceUnavailable {
					refused++
				}
				id := fmt.Sprint("sound", n)
				resp, body, err := f.do(t, "/once/sound", "Id", id, "Parts", fmt.Sprintf("1,%d,%d", 7+n%3, 200+n))
				is.NoErr(err)
				is.Equal(resp.StatusCode, http.StatusOK)
				is.True(strings.Contains(body, "data: b"))
			}
			down := stoppedBackends(backends)
			t.Logf("%d servers crashed", down)
			is.Equal(down, 3)
			is.Equal(refused, requests-down)
		})
	}
}

// Guards against a request that crashes each server after the head of its response,
// on a route without streams: these crashes did not count.
func TestHandler_CountsCrashWithinPlainResponse(t *testing.T) {
	is := is.New(t)
	var backends []*backend
	for range 9 {
		backends = append(backends, startBackend(t, func(b *backend, req *http.Request, c net.Conn) {
			b.stop()
			fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nId: %s\r\nSignature: x\r\nContent-Length: 9\r\n\r\nsta", req.Header.Get("Id"))
			resetConn(b, req, c)
		}))
	}
	f := newFixture(t, backends...)
	for range 5 {
		_, _, err := f.do(t, "/safe/x")
		is.NoErr(err)
	}
	is.Equal(stoppedBackends(backends), 3)
}

// stoppedBackends returns how many backends have crashed.
func stoppedBackends(backends []*backend) int {
	n := 0
	for _, b := range backends {
		if b.stopped.Load() {
			n++
		}
	}
	return n
}

// Guards against requests with a part that breaks each run, of which none was refused
// because the servers accept connections all the while: only a part of each has
// crashed, or it is back at once.
func TestHandler_RefusesPartThatBreaksRunsOfListeningServers(t *testing.T) {
	is := is.New(t)
	const servers, requests = 6, 60
	var broken atomic.Int32
	breakOff := func(b *backend, req *http.Request, c net.Conn) {
		broken.Add(1)
		resetConn(b, req, c)
	}
	var backends []*backend
	for range servers {
		b := startBackend(t, crashOn("66", "", breakOff))
		b.stop = func() {} // goes on listening
		backends = append(backends, b)
	}
	f := newFixture(t, backends...)
	for n := range requests {
		_, _, err := f.do(t, fmt.Sprintf("/once/bad-%d", n), "Id", fmt.Sprint("bad", n), "Parts", fmt.Sprintf("1,66,%d", 100+n))
		is.NoErr(err)
		resp, _, err := f.do(t, "/once/sound", "Id", fmt.Sprint("sound", n), "Parts", fmt.Sprintf("1,%d,%d", 7+n%3, 200+n))
		is.NoErr(err)
		is.Equal(resp.StatusCode, http.StatusOK)
	}
	is.Equal(broken.Load(), int32(5))
}

// Guards against refusing sound requests because servers lose most of their responses.
func TestHandler_LostResponsesCondemnNoPart(t *testing.T) {
	is := is.New(t)
	var runs atomic.Int32
	respond := crashOn("none", "", nil)
	loseMost := func(b *backend, req *http.Request, c net.Conn) {
		if runs.Add(1)%5 == 0 {
			respond(b, req, c)
			return
		}
		resetConn(b, req, c)
	}
	var backends []*backend
	for range 6 {
		backends = append(backends, startBackend(t, loseMost))
	}
	f := newFixture(t, backends...)
	const requests = 40
	for n := range requests {
		id := fmt.Sprint("lost", n)
		resp, _, err := f.do(t, "/once/"+id, "Id", id, "Parts", fmt.Sprintf("1,66,%d", 100+n))
		is.NoErr(err)
		is.True(resp.StatusCode != http.StatusServiceUnavailable) // sent, not refused
	}
	is.Equal(runs.Load(), int32(requests))
}

// Guards against clearing what crashes servers, one request or the part of many, because
// some servers turn requests away before they run them.
func TestHandler_RejectionsClearNothingThatCrashesServers(t *testing.T) {
	for name, c := range map[string]struct{ path, parts string }{
		"one request": {"/once/same", ""},
		"a part":      {"/once/other-%d", "1,66,%d"},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			const servers, requests = 12, 40
			var runs atomic.Int32
			rejectSome := func(b *backend, req *http.Request, c net.Conn) {
				if runs.Add(1)%2 == 0 {
					fmt.Fprintf(c, "HTTP/1.1 413 Too Large\r\nId: %s\r\nSignature: x\r\nContent-Length: 0\r\n\r\n", req.Header.Get("Id"))
					return
				}
				b.stop()
				resetConn(b, req, c)
			}
			var backends []*backend
			for range servers {
				backends = append(backends, startBackend(t, rejectSome))
			}
			f := newFixture(t, backends...)
			for n := range requests {
				number := strings.NewReplacer("%d", strconv.Itoa(100+n))
				_, _, err := f.do(t, number.Replace(c.path), "Id", fmt.Sprint("bad", n), "Parts", number.Replace(c.parts))
				is.NoErr(err)
			}
			is.Equal(stoppedBackends(backends), 3)
		})
	}
}
