package ingress

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"cassialatch.dev/gateway/boottime"
	"cassialatch.dev/gateway/cacheindex"
	"cassialatch.dev/gateway/call"
	"cassialatch.dev/gateway/catalog"
)

var prompt = []call.Part{{ID: 1, Tokens: 500}, {ID: 2, Tokens: 10_000}, {ID: 3, Tokens: 300}}

// newPromptRequest returns a request with the prompt, at a handler with n servers.
// Nothing is sent to the servers.
func newPromptRequest(t testing.TB, n int) *request {
	backends := make([]*backend, n)
	for i := range backends {
		backends[i] = &backend{}
	}
	f := newFixture(t, backends...)
	h := f.handler
	return &request{
		h:       h,
		rec:     &Record{Start: time.Now()},
		call:    call.Request{Parts: prompt, PromptTokens: 10_800},
		route:   &routes[2],
		service: h.Catalog.View().Table.Service("s"),
		tried:   make(map[string]bool),
	}
}

// holder returns the holder of the server with the ID.
func (q *request) holder(server string) cacheindex.Holder {
	return cacheindex.Holder(q.h.Catalog.View().Servers[catalog.Incarnation{ID: server}].Tag())
}

// Load pattern: servers have crashed but stay listed until their entries expire.
// Their prompts are being computed on other servers. The crashed server must be
// neither chosen nor used as a source.
func TestChooseIgnoresCacheOfUnreachableServer(t *testing.T) {
	is := is.New(t)
	q := newPromptRequest(t, 3)
	q.h.CacheIndex.MarkComputed(q.call.SharedParts(), q.holder("b0"))
	q.h.Health.RecordUnreachable("b0")
	q.h.CacheIndex.MarkPending(q.call.SharedParts(), q.holder("b1"))
	q.h.Loads.Begin(uint32(q.holder("b1")), 15_000)
	server, chosen := q.choose()
	is.Equal(server.ID, "b1")
	is.Equal(chosen.source, nil)
}

// Load pattern: the servers of a service are replaced. A draining server has the
// prompt in its cache, and the remaining servers must fetch it from there.
func TestChooseFetchesFromDrainingServer(t *testing.T) {
	is := is.New(t)
	q := newPromptRequest(t, 2)
	q.h.CacheIndex.MarkComputed(q.call.SharedParts(), q.holder("b0"))
	state := q.h.Catalog.State()
	state.Servers = slices.Clone(state.Servers)
	state.Revision++
	state.Servers[0].Draining = true
	q.h.Catalog.Adopt(state, nil, boottime.Instant(time.Hour))
	server, chosen := q.choose()
	is.Equal(server.ID, "b1")
	is.Equal(chosen.source.ID, "b0")
	is.Equal(chosen.FetchableTokens, 10_500)
}

// BenchmarkChoose measures what the choice of a server costs among many servers.
func BenchmarkChoose(b *testing.B) {
	for _, servers := range []int{9, 90, 256, 667} {
		q := newPromptRequest(b, servers)
		q.h.CacheIndex.MarkComputed(q.call.SharedParts(), q.holder("b3"))
		for i := range servers {
			q.h.Loads.Begin(uint32(q.holder(fmt.Sprint("b", i))), 100)
		}
		b.Run(fmt.Sprintf("servers=%d", servers), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				q.choose()
			}
		})
	}
}
