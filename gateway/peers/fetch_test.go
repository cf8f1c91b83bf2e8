package peers

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
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

// fetchLog counts failed fetches.
type fetchLog struct{ failed atomic.Int32 }

func (l *fetchLog) PeerFetchFailed(string, time.Duration, error) { l.failed.Add(1) }

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
	f := NewFetcher(catalog.New(clock), clock, port, got, &fetchLog{})
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

// fetchFrom fetches the state of a peer that responds with the handler.
func fetchFrom(t *testing.T, h http.HandlerFunc) (*adopted, error) {
	server := httptest.NewServer(h)
	t.Cleanup(server.Close)
	host, port, err := net.SplitHostPort(strings.TrimPrefix(server.URL, "http://"))
	if err != nil {
		t.Fatal(err)
	}
	got := &adopted{}
	f := NewFetcher(catalog.New(boottime.Now), boottime.Now, port, got, &fetchLog{})
	f.client.Timeout = time.Minute // no verdict depends on the speed of the machine
	return got, f.fetch(t.Context(), host)
}

const stateJSON = `{"Revision":7,"age_ms":1}`

// An address may be used by something else than a daemon, or a daemon be in
// trouble: interim responses, headers or a body without end must not take the
// memory of the VM.
func TestFetch_RejectsResponseBeyondLimits(t *testing.T) {
	for name, handler := range map[string]http.HandlerFunc{
		"headers": func(w http.ResponseWriter, _ *http.Request) {
			for i := range maxHeaderBytes / 16 {
				w.Header().Set(fmt.Sprintf("X-%d", i), "0123456789")
			}
			_, _ = io.WriteString(w, stateJSON)
		},
		"1xx": func(w http.ResponseWriter, _ *http.Request) {
			for range maxHeaderBytes / 16 {
				w.WriteHeader(http.StatusEarlyHints)
			}
			_, _ = io.WriteString(w, stateJSON)
		},
		"body": func(w http.ResponseWriter, _ *http.Request) {
			_, _ = io.WriteString(w, strings.Repeat(" ", maxStateBytes)+stateJSON)
		},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			got, err := fetchFrom(t, handler)
			var fetchErr *FetchError
			is.True(errors.As(err, &fetchErr))
			is.Equal(got.state.Revision, int64(0))
		})
	}
}

// The fetch of a body without end ends at the limit and closes the connection.
func TestFetch_ClosesConnectionOfEndlessBody(t *testing.T) {
	is := is.New(t)
	closed := make(chan struct{})
	_, err := fetchFrom(t, func(w http.ResponseWriter, r *http.Request) {
		defer close(closed)
		block := bytes.Repeat([]byte("x"), 64<<10)
		_, _ = io.WriteString(w, `{"packed":"`)
		for range 2 * maxStateBytes / len(block) {
			_, _ = w.Write(block)
		}
		<-r.Context().Done()
	})
	var tooLarge *http.MaxBytesError
	is.True(errors.As(err, &tooLarge))
	<-closed
}

// A document beyond the limit must be reported, not truncated: a part of it might
// be taken for a document that the operators have published.
func TestUnpack_RejectsDocumentBeyondLimit(t *testing.T) {
	is := is.New(t)
	response := func(size int) *stateResponse {
		var p packer
		return &stateResponse{Packed: p.pack(&catalog.State{RawRev: 1, Raw: make([]byte, size)})}
	}
	var tooLarge *http.MaxBytesError
	is.True(errors.As(response(maxDocument+1).unpack(), &tooLarge))
	largest := response(maxDocument)
	is.NoErr(largest.unpack())
	is.Equal(len(largest.Raw), maxDocument)
}

// The address of a daemon that is gone may be used by something else, and a daemon
// in trouble may send anything. No response but a confirmed state may be adopted: it
// would replace the empty state of a daemon that has just started, or date the
// confirmation of API keys in the future.
func TestFetch_RejectsWhatIsNoConfirmedState(t *testing.T) {
	respond := func(status int, body string) http.HandlerFunc {
		return func(w http.ResponseWriter, r *http.Request) {
			if r.URL.Path != statePath {
				_, _ = io.WriteString(w, stateJSON)
				return
			}
			w.Header().Set("Location", "/other")
			w.WriteHeader(status)
			_, _ = io.WriteString(w, body)
		}
	}
	for name, handler := range map[string]http.HandlerFunc{
		"status":   respond(http.StatusNotFound, stateJSON),
		"redirect": respond(http.StatusFound, ""),
		"object":   respond(http.StatusOK, `{}`),
		"null":     respond(http.StatusOK, `null`),
		"age":      respond(http.StatusOK, `{"Revision":7,"age_ms":-60000}`),
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			got, err := fetchFrom(t, handler)
			var fetchErr *FetchError
			is.True(errors.As(err, &fetchErr))
			is.Equal(got.at, boottime.Instant(0)) // nothing adopted
		})
	}
	is := is.New(t)
	got, err := fetchFrom(t, respond(http.StatusOK, stateJSON))
	is.NoErr(err)
	is.Equal(got.state.Revision, int64(7))
}
