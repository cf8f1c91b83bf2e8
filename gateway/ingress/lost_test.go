package ingress

import (
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/matryer/is"
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

// Load pattern: servers close connections while they are idle, sooner than they say, so that
// the next request on each is lost. Guards against refusing one that is asked for all the
// while, among others.
func TestHandler_ClosedIdleConnectionsRefuseNoRequest(t *testing.T) {
	is := is.New(t)
	var backends []*backend
	for range 3 {
		var served sync.Map // connections
		backends = append(backends, startBackend(t, func(b *backend, req *http.Request, c net.Conn) {
			if _, used := served.LoadOrStore(c, true); used {
				c.Close()
				return
			}
			respondOK(b, req, c)
		}))
	}
	f := newFixture(t, backends...)
	lost := 0
	for n := range 60 {
		for _, path := range []string{"/unsafe/x?item=1", fmt.Sprintf("/unsafe/x?item=%d", 2+n)} {
			resp, _, err := f.do(t, path)
			is.NoErr(err)
			is.True(resp.StatusCode != http.StatusServiceUnavailable)
			if resp.StatusCode != http.StatusOK {
				lost++
			}
		}
	}
	is.True(lost >= 20) // the load is there
}
