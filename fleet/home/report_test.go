package home

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/matryer/is"

	"cassialatch.dev/fleet/backend"
	"cassialatch.dev/fleet/lease"
	"cassialatch.dev/wire/platformapi"
)

// A server without load reports, which responds with status 404, is assumed to have no
// requests of other daemons in flight. A server that fails to send a report may have any
// number of them, so nothing is assumed.
func TestRunner_AssumesIdleOnlyIfReportsAreUnsupported(t *testing.T) {
	for _, tc := range []struct {
		status int
		known  bool
	}{
		{http.StatusNotFound, true},
		{http.StatusInternalServerError, false},
		{http.StatusTooManyRequests, false},
	} {
		t.Run(http.StatusText(tc.status), func(t *testing.T) {
			is := is.New(t)
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				w.WriteHeader(tc.status)
			}))
			defer server.Close()
			client := backend.NewClient(nil)
			defer client.Close()
			h := New(t.Context(), Options{Client: client, Shares: lease.NewShares(time.Now), Now: time.Now})
			n := newRunner(h, platformapi.VM{ID: "arkiv-0", Address: server.Listener.Addr().String()}, rules{maxInFlight: 4})
			n.readReport(t.Context())
			is.Equal(n.external.known(), tc.known)
		})
	}
}
