package ingress

import (
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"cassialatch.dev/gateway/boottime"
	"cassialatch.dev/gateway/catalog"
	"cassialatch.dev/gateway/health"
	"cassialatch.dev/gateway/route"
	"cassialatch.dev/gateway/warmup"
)

// coldFixture is a fixture of a daemon in a fleet of 62, whose service allows a cold
// server 18 requests per second. A slot lasts 4.6 s, and the first one begins after half
// of that.
type coldFixture struct {
	*fixture
	offset atomic.Int64 // of the clock of the table of cold servers, in nanoseconds
}

func newColdFixture(t *testing.T, backends ...*backend) *coldFixture {
	f := &coldFixture{fixture: newFixture(t, backends...)}
	start := time.Unix(1_700_000_000, 0)
	now := func() time.Time { return start.Add(time.Duration(f.offset.Load())) }
	f.handler.Warmup = warmup.New(now, func() int { return 62 }, func() float64 { return 0.5 })
	f.pass(time.Minute)
	f.catalog.BeforeChange = func(old, next *catalog.View, _ boottime.Instant) { f.handler.Warmup.ObserveState(old, next) }
	config := fixtureConfig(2, 0)
	config.Services[0].ColdPerSecond, config.Services[0].ColdStart = 18, 3*time.Second
	state := f.catalog.State()
	state.Revision++
	f.catalog.Adopt(state, route.NewTable(config), f.now())
	return f
}

func (f *coldFixture) pass(d time.Duration) { f.offset.Add(int64(d)) }

// publishCold publishes that servers are cold, and that the others are warm.
func (f *fixture) publishCold(ids ...string) {
	state := f.catalog.State()
	state.Revision++
	servers := make([]catalog.Server, len(state.Servers))
	for i, s := range state.Servers {
		s.ColdRemaining = 0
		for _, id := range ids {
			if s.ID == id {
				s.ColdRemaining = 4096
			}
		}
		servers[i] = s
	}
	state.Servers = servers
	f.catalog.Adopt(state, nil, f.now())
}

// awaitSendSlot lets time pass until the cold server may be sent a request.
func (f *coldFixture) awaitSendSlot(t *testing.T, id string) {
	wait, cold := f.handler.Warmup.Wait(catalog.Incarnation{ID: id})
	if !cold || wait <= 0 {
		t.Fatalf("server %s: cold %v, wait %v", id, cold, wait)
	}
	f.pass(wait)
}

// status sends a request that may be repeated and returns the status of its response.
func (f *coldFixture) status(t *testing.T) int {
	resp, _, err := f.do(t, "/safe/x")
	if err != nil {
		t.Fatal(err)
	}
	return resp.StatusCode
}

// Load pattern: a server has come back cold and, without a request in flight, attracts all
// of them. Guards against more of them than its send slot allows, and against a refusal that does not
// say when to come back.
func TestHandler_ColdServerGetsOneRequestInItsSlot(t *testing.T) {
	is := is.New(t)
	cold, warm := startBackend(t, respondOK), startBackend(t, respondOK)
	f := newColdFixture(t, cold, warm)
	f.publishCold("b0")
	for range 10 {
		is.Equal(f.status(t), http.StatusOK)
	}
	is.Equal(cold.runs.Load(), int32(0))
	is.Equal(f.records.wait(10)[9].ColdDeferred, 1)

	f.awaitSendSlot(t, "b0")
	for range 10 {
		is.Equal(f.status(t), http.StatusOK)
	}
	is.Equal(cold.runs.Load(), int32(1))
	all := f.records.wait(20)
	is.True(all[10].Attempts[0].Cold)
	is.True(!all[11].Attempts[0].Cold)

	f.publishCold("b0", "b1")
	resp, _, err := f.do(t, "/unsafe/x")
	is.NoErr(err)
	is.Equal(resp.StatusCode, http.StatusServiceUnavailable)
	seconds, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64)
	is.NoErr(err)
	is.True(seconds > 1.79 && seconds < 1.81) // b0 is warm; the first slot of b1 is after 2.3 s
	is.Equal(f.records.wait(21)[20].Reason, ReasonServersCold)
	is.Equal(f.records.wait(21)[20].Outcome, OutcomeNotRun)

	f.publishCold()
	runs := cold.runs.Load()
	for range 10 {
		is.Equal(f.status(t), http.StatusOK)
	}
	is.True(cold.runs.Load() > runs+1) // warm
}

// Guards against callers that are told to come back when the slot of a cold server comes
// although it is warm earlier: a slot comes after 4.6 s here, and after 22 s for one of 295
// daemons.
func TestHandler_RetryAfterIsNotLaterThanServerIsWarm(t *testing.T) {
	is := is.New(t)
	f := newColdFixture(t, startBackend(t, respondOK))
	f.handler.Warmup.Suspect(catalog.Incarnation{ID: "b0"}, warmup.Limit{PerSecond: 18, Duration: 3 * time.Second})
	f.awaitSendSlot(t, "b0")
	is.Equal(f.status(t), http.StatusOK)
	resp, _, err := f.do(t, "/safe/x") // warm in 0.7 s, next slot in 4.6 s
	is.NoErr(err)
	is.Equal(resp.StatusCode, http.StatusServiceUnavailable)
	seconds, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64)
	is.NoErr(err)
	is.True(seconds > 0.7 && seconds < 0.71)
	f.pass(time.Duration(seconds * float64(time.Second)))
	is.Equal(f.status(t), http.StatusOK)
}

// Guards against concurrent requests that share a slot.
func TestHandler_ConcurrentRequestsDoNotShareSlotOfColdServer(t *testing.T) {
	is := is.New(t)
	cold := startBackend(t, respondOK)
	f := newColdFixture(t, cold)
	f.publishCold("b0")
	f.awaitSendSlot(t, "b0")
	var served atomic.Int32
	var wg sync.WaitGroup
	for range 16 {
		wg.Go(func() {
			if f.status(t) == http.StatusOK {
				served.Add(1)
			}
		})
	}
	wg.Wait()
	is.Equal(served.Load(), int32(1))
	is.Equal(cold.runs.Load(), int32(1))
}

// Guards against a stream that is resumed at a cold server outside its slot, and against a
// resumption that does not use the slot.
func TestHandler_ResumedStreamUsesSlotOfColdServer(t *testing.T) {
	is := is.New(t)
	broken, cold := startBackend(t, streamEvents(2, 5, false)), startBackend(t, streamEvents(5, 5, true))
	f := newColdFixture(t, broken, cold)
	f.publishCold("b1")
	_, _, err := f.do(t, "/stream/x")
	is.True(err != nil) // aborted
	is.Equal(cold.runs.Load(), int32(0))
	is.Equal(f.records.wait(1)[0].Reason, ReasonServersCold)

	f.pass(3 * time.Second) // the server that broke the connection counts as cold until then
	f.publishCold()
	f.publishCold("b1")
	f.handler.Health = health.New(time.Now)
	f.handler.Loads.Begin((&catalog.Server{ID: "b1"}).Tag(), 0) // so that b0 comes first
	f.awaitSendSlot(t, "b1")
	_, body, err := f.do(t, "/stream/x")
	is.NoErr(err)
	is.True(len(body) > 0)
	is.Equal(cold.runs.Load(), int32(1))
	attempts := f.records.wait(2)[1].Attempts
	is.Equal(len(attempts), 2)
	is.True(attempts[1].Cold)
	wait, _ := f.handler.Warmup.Wait(catalog.Incarnation{ID: "b1"})
	is.True(wait > 0)
}

// A server that has restarted under the same ID closes the connections that were idle.
// Guards against requests to it before its entry says that it is cold.
func TestHandler_ServerThatClosedIdleConnectionCountsAsCold(t *testing.T) {
	is := is.New(t)
	conns := make(chan net.Conn, 1)
	restarted := startBackend(t, func(b *backend, req *http.Request, c net.Conn) {
		respondOK(b, req, c)
		conns <- c
	})
	f := newColdFixture(t, restarted)
	is.Equal(f.status(t), http.StatusOK)
	(<-conns).Close()
	time.Sleep(20 * time.Millisecond) // the close arrives
	is.Equal(f.status(t), http.StatusServiceUnavailable)
	is.Equal(restarted.runs.Load(), int32(1))
	is.Equal(f.records.wait(2)[1].Reason, ReasonServersCold)
	is.Equal(len(f.records.wait(2)[1].Attempts), 0)
	f.pass(3 * time.Second)
	is.Equal(f.status(t), http.StatusOK)
}

// A server has restarted, and its entry says that the new incarnation is warm again.
// Guards against a refusal because it has closed connections to the incarnation before.
func TestHandler_ConnectionsToEarlierIncarnationAreNoSignOfRestart(t *testing.T) {
	is := is.New(t)
	conns := make(chan net.Conn, 2)
	restarted := startBackend(t, func(b *backend, req *http.Request, c net.Conn) {
		respondOK(b, req, c)
		conns <- c
	})
	f := newColdFixture(t, restarted)
	is.Equal(f.status(t), http.StatusOK)
	(<-conns).Close()
	time.Sleep(20 * time.Millisecond) // the close arrives
	state := f.catalog.State()
	state.Revision++
	state.Servers = []catalog.Server{state.Servers[0]}
	state.Servers[0].Born++
	f.catalog.Adopt(state, nil, f.now())
	is.Equal(f.status(t), http.StatusOK)
}

// Guards against requests to a server that has refused or broken a connection, and may
// have restarted since.
func TestHandler_UnreachableServerCountsAsCold(t *testing.T) {
	gone := startBackend(t, respondOK)
	gone.stop()
	for name, b := range map[string]*backend{"refused": gone, "broken": startBackend(t, resetConn)} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := newColdFixture(t, b)
			f.status(t)
			_, cold := f.handler.Warmup.Wait(catalog.Incarnation{ID: "b0"})
			is.True(cold)
		})
	}
}

// A request that runs on a server must go on when the server becomes cold.
func TestHandler_RequestInFlightGoesOnWhenServerBecomesCold(t *testing.T) {
	is := is.New(t)
	received, goOn := make(chan struct{}), make(chan struct{})
	b := startBackend(t, func(b *backend, req *http.Request, c net.Conn) {
		close(received)
		<-goOn
		respondOK(b, req, c)
	})
	f := newColdFixture(t, b)
	done := make(chan int)
	go func() { done <- f.status(t) }()
	<-received
	f.publishCold("b0")
	close(goOn)
	is.Equal(<-done, http.StatusOK)
}

// A daemon that has just started does not know how many others there are.
func TestHandler_ColdServerComesLastBeforeFleetIsKnown(t *testing.T) {
	is := is.New(t)
	cold, warm := startBackend(t, respondOK), startBackend(t, respondOK)
	f := newColdFixture(t, cold, warm)
	now := func() time.Time { return time.Unix(1_700_000_000, 0) }
	f.handler.Warmup = warmup.New(now, func() int { return 1 }, func() float64 { return 0 })
	f.publishCold("b0")
	for range 5 {
		is.Equal(f.status(t), http.StatusOK)
	}
	is.Equal(cold.runs.Load(), int32(0))

	state := f.catalog.State()
	state.Revision++
	state.Servers = state.Servers[:1]
	f.catalog.Adopt(state, nil, f.now())
	is.Equal(f.status(t), http.StatusOK)
	is.Equal(f.status(t), http.StatusServiceUnavailable)
	is.Equal(cold.runs.Load(), int32(1))
}

// Services that state no limit are served as before, whatever their servers publish.
func TestHandler_ServiceWithoutLimitHasNoColdServers(t *testing.T) {
	is := is.New(t)
	b := startBackend(t, respondOK)
	f := newFixture(t, b)
	f.catalog.BeforeChange = func(old, next *catalog.View, _ boottime.Instant) { f.handler.Warmup.ObserveState(old, next) }
	f.publishCold("b0")
	for range 5 {
		resp, _, err := f.do(t, "/safe/x")
		is.NoErr(err)
		is.Equal(resp.StatusCode, http.StatusOK)
	}
	is.Equal(f.handler.Warmup.Cold(), 0)
	is.True(!f.records.wait(5)[4].Attempts[0].Cold)
}
