package home

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
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

// A server in trouble that sends bytes which are no load report has not crashed: the
// requests in flight must not be refused later because of it.
func TestRunner_CrashNeedsMissingResponseOrNewInstance(t *testing.T) {
	respond := func(body string) http.HandlerFunc {
		return func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, body) }
	}
	for name, tc := range map[string]struct {
		handler http.HandlerFunc
		crashed bool
	}{
		"same instance": {respond(`{"instance":"a"}`), false},
		"new instance":  {respond(`{"instance":"b"}`), true},
		"no JSON":       {respond("\x00\x01"), false},
		"wrong type":    {respond(`{"instance":7}`), false},
		"no object":     {respond(`[]`), false},
		"empty":         {respond(""), false},
		"too long":      {respond(`{"instance":"` + strings.Repeat("x", 1<<20)), false},
		"status":        {func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusBadGateway) }, false},
		"no response":   {func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }, true},
		"broken off": {func(w http.ResponseWriter, _ *http.Request) {
			_, _ = io.WriteString(w, `{"instance":`)
			_ = http.NewResponseController(w).Flush()
			panic(http.ErrAbortHandler)
		}, true},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			server := httptest.NewServer(tc.handler)
			defer server.Close()
			client := backend.NewClient(nil)
			defer client.Close()
			h := New(t.Context(), Options{Client: client, Shares: lease.NewShares(time.Now), Now: time.Now})
			n := newRunner(h, platformapi.VM{ID: "arkiv-0", Address: server.Listener.Addr().String()}, rules{maxInFlight: 4})
			before := "a"
			is.Equal(n.hasCrashed(t.Context(), &before), tc.crashed)
		})
	}
}
