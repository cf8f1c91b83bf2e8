package ingress

import (
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"cassialatch.dev/gateway/route"
)

// Guards against a final refusal by a configuration that may be outdated: a caller
// whose route or key was added since must be told to come back.
func TestHandler_RefusesOnlyByConfirmedConfiguration(t *testing.T) {
	const lag = 2 * time.Second
	for name, c := range map[string]struct {
		path, key string
		status    int // while the configuration is confirmed
	}{
		"route": {"/nowhere/x", "key", http.StatusNotFound},
		"key":   {"/safe/x", "added since", http.StatusUnauthorized},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := newFixture(t, startBackend(t, respondOK))
			f.handler.Settings.ConfigLag = lag
			f.clockOffset.Store(int64(lag - time.Millisecond))
			resp, _, err := f.do(t, c.path, "Key", c.key)
			is.NoErr(err)
			is.Equal(resp.StatusCode, c.status)

			f.clockOffset.Store(int64(lag))
			resp, _, err = f.do(t, c.path, "Key", c.key)
			is.NoErr(err)
			is.Equal(resp.StatusCode, http.StatusServiceUnavailable)
			is.True(resp.Header.Get("Retry-After") != "")

			f.catalog.Adopt(f.catalog.State(), nil, f.now()) // confirmed again
			resp, _, err = f.do(t, c.path, "Key", c.key)
			is.NoErr(err)
			is.Equal(resp.StatusCode, c.status)
			records := f.records.wait(3)
			is.Equal(records[1].Reason, ReasonConfigStale)
			is.Equal(records[1].Outcome, OutcomeNotRun)
		})
	}
}

// Guards against a final refusal of a key that is valid: it was given to another
// workspace while the request was waiting for a server.
func TestHandler_KeyMovedToAnotherWorkspace(t *testing.T) {
	is := is.New(t)
	var f *fixture
	moveKey := func(b *backend, req *http.Request, conn net.Conn) {
		moved := &route.Config{Version: 2, Workspaces: []route.Workspace{{Name: "other", Keys: []string{"key"}}}}
		state := f.catalog.State()
		state.Revision++
		f.catalog.Adopt(state, route.NewTable(moved), f.now())
		refuseRequest(b, req, conn)
	}
	f = newFixture(t, startBackend(t, moveKey), startBackend(t, moveKey))
	resp, _, err := f.do(t, "/safe/x")
	is.NoErr(err)
	is.Equal(resp.StatusCode, http.StatusServiceUnavailable)
	is.True(resp.Header.Get("Retry-After") != "")
	is.Equal(f.records.wait(1)[0].Reason, ReasonWorkspaceChanged)
}
