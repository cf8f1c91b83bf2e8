package peers

import (
	"bytes"
	"context"
	"net"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"cassialatch.dev/gateway/boottime"
	"cassialatch.dev/gateway/catalog"
	"cassialatch.dev/gateway/route"
)

// adopted is an Adopter that stores the last state.
type adopted struct {
	state catalog.State
	at    boottime.Instant
}

func (a *adopted) AdoptFromPeer(_ string, s catalog.State, at boottime.Instant) {
	a.state, a.at = s, at
}

// Load pattern: a configuration grows to thousands of routes. Its transfer to a
// peer over the link of a small VM must take a fraction of the time within which
// the configuration has to be in force.
func TestStateHandler_CompressesLargeConfiguration(t *testing.T) {
	is := is.New(t)
	document := bytes.Repeat([]byte(`{"name":"r-123","host":"h.example","pathPrefix":"/abc/","type":"safe"},`), 5000)
	clock := func() boottime.Instant { return boottime.Instant(time.Hour) }
	sender := catalog.New(clock)
	sender.Adopt(catalog.State{Revision: 9, RawRev: 8, Raw: document, Servers: []catalog.Server{{ID: "a"}}},
		route.NewTable(&route.Config{Version: 1}), clock())
	server := httptest.NewServer(StateHandler(sender))
	defer server.Close()
	w := httptest.NewRecorder()
	StateHandler(sender).ServeHTTP(w, httptest.NewRequest("GET", statePath, nil))
	is.True(w.Body.Len() < len(document)/10)

	host, port, err := net.SplitHostPort(strings.TrimPrefix(server.URL, "http://"))
	is.NoErr(err)
	got := &adopted{}
	f := NewFetcher(catalog.New(clock), clock, port, got)
	is.NoErr(f.fetch(context.Background(), host))
	is.Equal(got.state.Raw, document)
	is.Equal(got.state.Servers, []catalog.Server{{ID: "a"}})
	is.True(got.at <= clock()) // never fresher than it is
}

func TestStateHandler_OmitsDocumentKnownToPeer(t *testing.T) {
	is := is.New(t)
	c := catalog.New(boottime.Now)
	c.Adopt(catalog.State{Revision: 9, RawRev: 8, Raw: []byte("document")}, route.NewTable(&route.Config{Version: 1}), boottime.Now())
	w := httptest.NewRecorder()
	StateHandler(c).ServeHTTP(w, httptest.NewRequest("GET", statePath+"?config=8", nil))
	is.True(!strings.Contains(w.Body.String(), "packed"))
}
