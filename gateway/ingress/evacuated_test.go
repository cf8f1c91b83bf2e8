package ingress

import (
	"net"
	"net/http"
	"slices"
	"testing"

	"github.com/matryer/is"

	"cassialatch.dev/gateway/boottime"
	"cassialatch.dev/gateway/catalog"
	"cassialatch.dev/gateway/upstream"
)

// evacuate publishes that the zones are evacuated, and no others. The zone of a server is
// its ID.
func (f *fixture) evacuate(zones ...string) {
	state := f.catalog.State()
	state.Revision++
	state.Servers = slices.Clone(state.Servers)
	for i := range state.Servers {
		state.Servers[i].Zone = state.Servers[i].ID
	}
	state.Evacuated = zones
	f.catalog.Adopt(state, nil, f.now())
}

// Guards against requests to servers of an evacuated zone: first attempts, retries and
// resumptions, and when no other server is left.
func TestHandler_SendsNothingToEvacuatedZone(t *testing.T) {
	is := is.New(t)
	evacuated, other := startBackend(t, respondOK), startBackend(t, respondOK)
	f := newFixture(t, evacuated, other)
	f.evacuate("b0")
	for range 5 {
		resp, _, err := f.do(t, "/safe/x")
		is.NoErr(err)
		is.Equal(resp.StatusCode, http.StatusOK)
	}
	f.evacuate("b0", "b1")
	for _, path := range []string{"/safe/x", "/unsafe/x", "/stream/x"} {
		resp, _, err := f.do(t, path)
		is.NoErr(err)
		is.Equal(resp.StatusCode, http.StatusServiceUnavailable)
		is.Equal(resp.Header.Get("Retry-After"), "0.200")
	}
	is.Equal(evacuated.runs.Load(), int32(0))
	is.Equal(other.runs.Load(), int32(5))
	last := f.records.wait(8)[7]
	is.Equal(last.Reason, ReasonZoneEvacuated)
	is.Equal(last.Outcome, OutcomeNotRun)

	f.evacuate()
	resp, _, err := f.do(t, "/safe/x")
	is.NoErr(err)
	is.Equal(resp.StatusCode, http.StatusOK)
}

// A stream that runs in a zone goes on when the zone is evacuated; if it breaks, it is not
// resumed at another server there. Whether the server has crashed is not asked.
func TestHandler_StreamIsNotResumedInEvacuatedZone(t *testing.T) {
	is := is.New(t)
	var f *fixture
	broken := startBackend(t, func(b *backend, req *http.Request, c net.Conn) {
		f.evacuate("b0", "b1")
		streamEvents(2, 5, false)(b, req, c)
	})
	other := startBackend(t, streamEvents(5, 5, true))
	f = newFixture(t, broken, other)
	f.evacuate()                                                // sets the zones
	f.handler.Loads.Begin((&catalog.Server{ID: "b1"}).Tag(), 0) // so that b0 comes first
	_, body, err := f.do(t, "/stream/x")
	is.True(err != nil) // aborted
	is.Equal(body, "id: 1\ndata: 1\n\nid: 2\ndata: 2\n\n")
	is.Equal(other.runs.Load(), int32(0))
	record := f.records.wait(1)[0]
	is.Equal(record.Reason, ReasonZoneEvacuated)
	is.Equal(record.Attempts[0].Listening, upstream.ListeningUnknown)
}

// A request that runs in a zone goes on when the zone is evacuated.
func TestHandler_RequestInFlightGoesOnInEvacuatedZone(t *testing.T) {
	is := is.New(t)
	received, goOn := make(chan struct{}), make(chan struct{})
	b := startBackend(t, func(b *backend, req *http.Request, c net.Conn) {
		close(received)
		<-goOn
		respondOK(b, req, c)
	})
	f := newFixture(t, b)
	status := make(chan int)
	go func() {
		resp, _, err := f.do(t, "/slow/x")
		if err != nil {
			status <- 0
			return
		}
		status <- resp.StatusCode
	}()
	<-received
	f.evacuate("b0")
	close(goOn)
	is.Equal(<-status, http.StatusOK)
}

// Load pattern: a zone is evacuated whose servers have prompts in their caches. The others
// must fetch them from there.
func TestChooseFetchesFromEvacuatedZone(t *testing.T) {
	is := is.New(t)
	q := newPromptRequest(t, 2)
	q.h.CacheIndex.MarkComputed(q.call.SharedParts(), q.holder("b0"))
	state := q.h.Catalog.State()
	state.Servers = slices.Clone(state.Servers)
	state.Revision++
	state.Servers[0].Zone = "z"
	state.Evacuated = []string{"z"}
	q.h.Catalog.Adopt(state, nil, boottime.Instant(1))
	server, chosen := q.choose()
	is.Equal(server.ID, "b1")
	is.Equal(chosen.source.ID, "b0")
}
