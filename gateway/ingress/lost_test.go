package ingress

import (
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/matryer/is"

	"cassialatch.dev/gateway/upstream"
)

// Load pattern: servers that go on listening lose three of seven responses for a while.
// Guards against refusing what callers ask for as a request that crashes servers, be it the
// same each time or another one on the same path.
func TestHandler_LostResponsesRefuseNoRequest(t *testing.T) {
	for name, path := range map[string]string{
		"the same request": "/safe/x?item=1",
		"another query":    "/safe/x?item=%d",
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var runs atomic.Int32
			var losing atomic.Bool
			losing.Store(true)
			loseSome := func(b *backend, req *http.Request, c net.Conn) {
				if losing.Load() && runs.Add(1)%7 < 3 {
					c.Close()
					return
				}
				writeResponse(c, req.Header.Get("Id"), "Connection: close\r\n", "fine")
			}
			var backends []*backend
			for range 5 {
				backends = append(backends, startBackend(t, loseSome))
			}
			f := newFixture(t, backends...)
			for n := range 100 {
				losing.Store(n < 60)
				target := path
				if name == "another query" {
					target = fmt.Sprintf(path, n)
				}
				resp, _, err := f.do(t, target)
				is.NoErr(err)
				is.True(resp.StatusCode != http.StatusServiceUnavailable)
				if n >= 60 {
					is.Equal(resp.StatusCode, http.StatusOK)
				}
			}
		})
	}
}

// Guards against taking a connection that was closed while it was idle for a crash by the
// request that is sent on it.
func TestHandler_ClosedIdleConnectionIsNoCrash(t *testing.T) {
	is := is.New(t)
	var served sync.Map // connections
	b := startBackend(t, func(b *backend, req *http.Request, c net.Conn) {
		if _, used := served.LoadOrStore(c, true); used {
			c.Close()
			return
		}
		respondOK(b, req, c)
	})
	f := newFixture(t, b)
	for n := range 4 {
		resp, _, err := f.do(t, "/unsafe/x")
		is.NoErr(err)
		is.Equal(resp.StatusCode == http.StatusOK, n%2 == 0)
		if n%2 == 1 {
			rec := f.records.wait(n + 1)[n]
			is.Equal(rec.Attempts[0].Listening, upstream.ListeningYes)
			// The connection that showed this would be the next to be used.
			f.handler.Pool.Expire(func(string) bool { return false })
		}
	}
	is.Equal(len(f.handler.Quarantine.News().Crashes), 0)
}
