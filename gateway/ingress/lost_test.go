package ingress

import (
	"net"
	"net/http"
	"sync"
	"testing"

	"github.com/matryer/is"

	"cassialatch.dev/gateway/upstream"
)

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
