package ingress

import (
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"cassialatch.dev/gateway/boottime"
	"cassialatch.dev/gateway/call"
	"cassialatch.dev/gateway/catalog"
	"cassialatch.dev/gateway/warm"
)

var prompt = []call.Part{{ID: 1, Tokens: 500}, {ID: 2, Tokens: 10_000}, {ID: 3, Tokens: 300}}

// chooser returns a query for the prompt at a handler with n servers. Nothing
// is sent.
func chooser(t *testing.T, n int) *query {
	backends := make([]*backend, n)
	for i := range backends {
		backends[i] = &backend{}
	}
	f := start(t, backends...)
	h := f.handler
	return &query{
		h:       h,
		rec:     &Record{Start: time.Now()},
		call:    call.Request{Parts: prompt, PromptTokens: 10_800},
		route:   &routes[2],
		service: h.Catalog.View().Table.Service("s"),
		tried:   make(map[string]bool),
	}
}

func (q *query) holder(server string) warm.Holder {
	return warm.Holder(q.h.Catalog.View().Servers[catalog.Incarnation{ID: server}].Tag())
}

// Load pattern: servers have crashed, and are listed until their entries lapse.
// The prompts they had are being computed at others.
func TestACrashedServersCacheIsNotCountedOn(t *testing.T) {
	is := is.New(t)
	q := chooser(t, 3)
	q.h.Warm.MarkComputed(q.call.SharedParts(), q.holder("b0"))
	q.h.Health.RecordUnreachable("b0")
	q.h.Warm.MarkPending(q.call.SharedParts(), q.holder("b1"))
	q.h.Loads.Begin(uint32(q.holder("b1")), 15_000)
	server, chosen := q.choose()
	is.Equal(server.ID, "b1")
	is.Equal(chosen.source, nil)
}

// Load pattern: the servers of a service are replaced. One that leaves has the
// prompt, and those that stay can fetch it there.
func TestALeavingServersCacheIsFetchedFrom(t *testing.T) {
	is := is.New(t)
	q := chooser(t, 2)
	q.h.Warm.MarkComputed(q.call.SharedParts(), q.holder("b0"))
	state := q.h.Catalog.State()
	state.Servers = slices.Clone(state.Servers)
	state.Revision++
	state.Servers[0].Draining = true
	q.h.Catalog.Adopt(state, nil, boottime.Instant(time.Hour))
	server, chosen := q.choose()
	is.Equal(server.ID, "b1")
	is.Equal(chosen.source.ID, "b0")
	is.Equal(chosen.Fetchable, 10_500)
}
