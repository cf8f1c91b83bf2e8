package ingress

import (
	"fmt"
	"math"
	"os"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"cassialatch.dev/gateway/call"
	"cassialatch.dev/gateway/catalog"
	"cassialatch.dev/gateway/serverstate"
	"cassialatch.dev/gateway/upstream"
)

// noPrompt returns the parts of requests without a prompt.
func noPrompt() []call.Part { return nil }

// refusedAtOnce returns how many of the requests that callers sent within 1 s of the
// failure of a quarter of 90 servers before 62 daemons were refused as not_sent, and the
// number of all of them.
func refusedAtOnce(t *testing.T, seed uint64, shared, prompts bool) (notSent, all int) {
	const daemons, servers, slots = 62, 90, 48
	const perSecond, meanWork = 800, 1500 * time.Millisecond
	const failAt, end = 2500 * time.Millisecond, 3500 * time.Millisecond
	f := newSimFleet(t, seed, daemons, servers, slots, shared)
	parts := noPrompt
	if prompts {
		parts = func() []call.Part {
			return []call.Part{{ID: 1, Tokens: 400}, {ID: 100 + f.rng.Uint64N(40), Tokens: 800}, {ID: f.rng.Uint64(), Tokens: 200}}
		}
	}
	work := func() time.Duration { return time.Duration((0.5 + f.rng.Float64()) * float64(meanWork)) }
	f.send(func(time.Duration) float64 { return perSecond }, parts, work)
	f.schedule(failAt, func() {
		for _, i := range f.rng.Perm(servers)[:servers/4] {
			f.servers[i].fail(f)
		}
	})
	f.run(failAt)
	f.results = nil
	f.run(end)
	for _, r := range f.results {
		if r.reason == ReasonNotSent {
			notSent++
		}
	}
	return notSent, len(f.results)
}

// Load pattern: a quarter of 90 servers fails at once and refuses connections, before 62
// daemons at 800 requests per second. Three quarters of the servers are free, so that no
// request may be refused as not_sent. Guards against daemons that prefer the servers which
// refuse connections, as these have nothing in flight, until each has tried each of them.
func TestRefusedConnections_QuarterOfServersFailsAtOnce(t *testing.T) {
	for _, prompts := range []bool{false, true} {
		for seed := range uint64(2) {
			t.Run(fmt.Sprintf("prompts=%v/seed=%d", prompts, seed), func(t *testing.T) {
				before, ofBefore := refusedAtOnce(t, seed, false, prompts)
				after, of := refusedAtOnce(t, seed, true, prompts)
				t.Logf("not_sent: %d of %d without the exchange, %d of %d with it", before, ofBefore, after, of)
				if after > 0 {
					t.Errorf("%d of %d requests refused as not_sent", after, of)
				}
			})
		}
	}
}

// lateWhileSlow returns the share of requests above their objective while a fifth of 60
// servers, before 125 daemons, works 3.5 times as long.
func lateWhileSlow(t *testing.T, seed uint64, shared bool) float64 {
	const daemons, servers, slots = 125, 60, 4
	const perSecond, meanWork, objective = 540, 100 * time.Millisecond, 250 * time.Millisecond
	const slowPace, slowAt, slowFor = 3.5, 3 * time.Second, 6 * time.Second
	f := newSimFleet(t, seed, daemons, servers, slots, shared)
	rate := func(at time.Duration) float64 { // varies by 55 % with a period of 13 s
		return perSecond * (1 + 0.55*math.Sin(2*math.Pi*at.Seconds()/13))
	}
	f.send(rate, noPrompt, func() time.Duration { return time.Duration((0.6 + 0.8*f.rng.Float64()) * float64(meanWork)) })
	slow := f.rng.Perm(servers)[:servers/5]
	setPace := func(pace float64) {
		for _, i := range slow {
			f.servers[i].pace = pace
		}
	}
	f.schedule(slowAt, func() { setPace(slowPace) })
	f.schedule(slowAt+slowFor, func() { setPace(1) })
	f.run(slowAt)
	f.results = nil
	f.run(slowAt + slowFor + time.Second)
	late := 0
	for _, r := range f.results {
		if r.took > objective {
			late++
		}
	}
	return float64(late) / float64(len(f.results))
}

// Load pattern: a fifth of 60 servers works 3.5 times as long for 6 s, before 125 daemons
// of which each gets a response of a given server once in 14 s. At most half as many
// requests may be above their objective as without the exchange of the pace.
func TestPace_FifthOfServersSlowForSeconds(t *testing.T) {
	for seed := range uint64(2) {
		t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) {
			is := is.New(t)
			before, after := lateWhileSlow(t, seed, false), lateWhileSlow(t, seed, true)
			t.Logf("above the objective: %.4f without the exchange, %.4f with it", before, after)
			is.True(after <= before/2)
		})
	}
}

// Guards against a peer that reports all servers as refusing connections: if all
// candidates are in backoff, they are still candidates.
func TestChoose_AllServersReportedAsRefusing(t *testing.T) {
	is := is.New(t)
	q := newPromptRequest(t, 9)
	q.h.ServerState = serverstate.New(time.Now)
	var reports []serverstate.Report
	for _, s := range q.h.Catalog.View().Servers {
		reports = append(reports, serverstate.Report{Server: s.Tag(), Kind: serverstate.KindRefused, Value: 1})
	}
	q.h.ServerState.Merge(reports[1:])
	server, _ := q.choose()
	is.Equal(server.Tag(), reports[0].Server)
	q.h.ServerState.Merge(reports)
	server, _ = q.choose()
	is.True(server != nil)
}

// A server that comes back is used at once by the daemons whose connections it has
// refused, as soon as one of them has had a response. Guards against a penalty that only a
// response at the same daemon would end.
func TestChoose_ServerThatComesBackIsUsedAtOnce(t *testing.T) {
	is := is.New(t)
	q := newPromptRequest(t, 2)
	q.h.ServerState = serverstate.New(time.Now)
	s := q.h.Catalog.View().Servers[catalog.Incarnation{ID: "b0"}]
	q.rec.Attempts = append(q.rec.Attempts, Attempt{})
	q.handleSendError(t.Context(), s, q.lastAttempt(), &upstream.Error{Cause: syscall.ECONNREFUSED})
	penalty := func() (float64, bool) {
		state := q.serverStates([]*catalog.Server{s})[0]
		return state.penalty, state.inBackoff
	}
	_, inBackoff := penalty()
	is.True(inBackoff)
	q.h.ServerState.Merge([]serverstate.Report{{Server: s.Tag(), Kind: serverstate.KindResponded}})
	load, inBackoff := penalty()
	is.True(!inBackoff)
	is.Equal(load, 0.0)
}

// Load pattern: servers whose machines are lost, so that connections to them time out. That
// says nothing to other daemons, which may reach them, and counts towards maxSends.
func TestRecordUnreachable_TimeoutIsNotReported(t *testing.T) {
	is := is.New(t)
	q := newPromptRequest(t, 2)
	q.h.ServerState = serverstate.New(time.Now)
	s := q.h.Catalog.View().Servers[catalog.Incarnation{ID: "b0"}]
	for range maxSends {
		is.True(q.mayTryServer())
		q.rec.Attempts = append(q.rec.Attempts, Attempt{})
		q.handleSendError(t.Context(), s, q.lastAttempt(), &upstream.Error{Cause: os.ErrDeadlineExceeded})
	}
	is.True(!q.mayTryServer())
	is.Equal(len(q.h.ServerState.News()), 0)
	_, inBackoff := q.h.Health.Penalty("b0")
	is.True(inBackoff)
}

// A request is tried at maxRefusedConnections servers at most, and at maxSends where the
// state of servers is not used.
func TestMayTryServer_LimitsRefusedConnections(t *testing.T) {
	for _, shared := range []bool{false, true} {
		is := is.New(t)
		q := newPromptRequest(t, 2)
		want := maxSends
		if shared {
			q.h.ServerState = serverstate.New(time.Now)
			want = maxRefusedConnections
		}
		s := q.h.Catalog.View().Servers[catalog.Incarnation{ID: "b0"}]
		for q.mayTryServer() {
			q.rec.Attempts = append(q.rec.Attempts, Attempt{})
			q.handleSendError(t.Context(), s, q.lastAttempt(), &upstream.Error{Cause: syscall.ECONNREFUSED})
		}
		is.Equal(len(q.rec.Attempts), want)
	}
}

// Where the deployment does not ask for it, refused connections and paces leave no trace
// but in Health, as before.
func TestServerState_OffChangesNothing(t *testing.T) {
	is := is.New(t)
	q := newPromptRequest(t, 2)
	s := q.h.Catalog.View().Servers[catalog.Incarnation{ID: "b0"}]
	q.recordResponse(s, &Attempt{}, &upstream.Response{ResponseHead: call.ResponseHead{Load: call.ServerLoad{PacePercent: 900}}})
	q.recordRefused(s)
	states := q.serverStates([]*catalog.Server{s})
	is.Equal(states[0].pace, 0.0)
	is.True(states[0].inBackoff)
	is.True(states[0].penalty > 0)
}

// Another server that has the address responds with 421, which says nothing about the one
// that had it.
func TestRecordResponse_IgnoresAnotherIncarnation(t *testing.T) {
	is := is.New(t)
	q := newPromptRequest(t, 2)
	q.h.ServerState = serverstate.New(time.Now)
	s := q.h.Catalog.View().Servers[catalog.Incarnation{ID: "b0"}]
	q.h.ServerState.RecordRefused(s.Tag())
	resp := &upstream.Response{ResponseHead: call.ResponseHead{Status: 421, Load: call.ServerLoad{PacePercent: 900}}}
	q.recordResponse(s, &Attempt{start: time.Now()}, resp)
	state := q.serverStates([]*catalog.Server{s})[0]
	is.True(state.inBackoff)
	is.Equal(state.pace, 1.0)
}
