package ingress

import (
	"container/heap"
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"syscall"
	"testing"
	"time"

	"cassialatch.dev/gateway/avoid"
	"cassialatch.dev/gateway/boottime"
	"cassialatch.dev/gateway/cacheindex"
	"cassialatch.dev/gateway/call"
	"cassialatch.dev/gateway/catalog"
	"cassialatch.dev/gateway/health"
	"cassialatch.dev/gateway/load"
	"cassialatch.dev/gateway/placement"
	"cassialatch.dev/gateway/route"
	"cassialatch.dev/gateway/serverstate"
	"cassialatch.dev/gateway/upstream"
)

// The gossip of a large fleet, as gateway/peers does it.
const (
	simRound   = 250 * time.Millisecond
	simFanout  = 3
	simRelayed = 12
	simTransit = 2 * time.Millisecond
)

// simFleet simulates daemons that send requests to the same servers, and exchange their
// counts and reports. The tables and the choice of a server are the real ones; the
// servers, the network and the clock are simulated.
type simFleet struct {
	rng     *rand.Rand
	now     time.Duration
	queue   simEvents
	events  int // number of all events so far, which orders those of the same time
	daemons []*simDaemon
	servers []*simServer
	catalog *catalog.Catalog
	results []simResult
}

// simDaemon is a daemon of the fleet.
type simDaemon struct {
	fleet  *simFleet
	name   string
	h      *Handler
	counts map[string]simCounts // what it knows of the others
	rounds int                  // a round that was scheduled before the latest one is dropped
}

// simCounts are the requests in flight of a daemon.
type simCounts struct {
	at   time.Duration
	work map[uint32]load.Work
}

// simServer is a server that works on as many requests at once as it has slots.
type simServer struct {
	id      string
	refuses bool
	pace    float64 // how long work takes, relative to the usual time
	slots   int
	running []*simRun
	waiting []*simRun
}

// simRun is a request at a server.
type simRun struct {
	q      *request
	daemon *simDaemon
	server *simServer
	begun  time.Duration // when the caller sent the request
	sentAt time.Duration
	work   time.Duration // at the usual pace
	broken bool
}

// simResult is how a request ended. Reason is empty if it was answered.
type simResult struct {
	begun, took time.Duration
	reason      Reason
}

// simEvent is something that happens at a time.
type simEvent struct {
	at    time.Duration
	order int
	do    func()
}

// simEvents is a heap of events, earliest first.
type simEvents []simEvent

func (e simEvents) Len() int { return len(e) }
func (e simEvents) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].order < e[j].order
}
func (e simEvents) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *simEvents) Push(x any)   { *e = append(*e, x.(simEvent)) }
func (e *simEvents) Pop() any {
	old := *e
	last := old[len(old)-1]
	*e = old[:len(old)-1]
	return last
}

// newSimFleet returns a fleet in three zones. If shared is set, the daemons exchange and
// use what they observe about the servers.
func newSimFleet(t *testing.T, seed uint64, daemons, servers, slots int, shared bool) *simFleet {
	t.Helper()
	f := &simFleet{rng: rand.New(rand.NewPCG(seed, 7))}
	f.catalog = catalog.New(func() boottime.Instant { return boottime.Instant(time.Hour) })
	state := catalog.State{Revision: 1}
	for i := range servers {
		s := &simServer{id: fmt.Sprint("b", i), pace: 1, slots: slots}
		f.servers = append(f.servers, s)
		state.Servers = append(state.Servers, catalog.Server{ID: s.id, Service: "s", Address: "192.0.2.1:1", Zone: simZone(i)})
	}
	f.catalog.Adopt(state, route.NewTable(fixtureConfig(1, 0)), boottime.Instant(time.Hour))
	for i := range daemons {
		f.addDaemon(i, shared)
	}
	return f
}

func simZone(i int) string { return fmt.Sprint("zone", i%3) }

// clock returns the time of the tables.
func (f *simFleet) clock() time.Time { return time.Unix(1_700_000_000, 0).Add(f.now) }

func (f *simFleet) addDaemon(i int, shared bool) {
	d := &simDaemon{fleet: f, name: fmt.Sprint("d", i), counts: make(map[string]simCounts)}
	d.h = &Handler{
		Catalog:         f.catalog,
		Jitter:          func() placement.Jitter { return f.rng.ExpFloat64 },
		Loads:           load.New(f.clock),
		Health:          health.New(f.clock),
		Avoid:           avoid.New(f.clock),
		CacheIndex:      cacheindex.New(f.clock),
		Settings:        Settings{Zone: simZone(i)},
		TriggerExchange: func() {},
	}
	if shared {
		d.h.ServerState = serverstate.New(f.clock)
		d.h.ServerState.OnUrgent = func() { d.scheduleRound(f.now) }
	}
	f.daemons = append(f.daemons, d)
	d.scheduleRound(time.Duration(f.rng.Int64N(int64(simRound))))
}

// schedule has something happen at a time.
func (f *simFleet) schedule(at time.Duration, do func()) {
	f.events++
	heap.Push(&f.queue, simEvent{at: at, order: f.events, do: do})
}

// run lets the time pass.
func (f *simFleet) run(until time.Duration) {
	for len(f.queue) > 0 && f.queue[0].at <= until {
		e := heap.Pop(&f.queue).(simEvent)
		f.now = e.at
		e.do()
	}
	f.now = until
}

// send has callers send requests, at the given rate per second at each moment.
func (f *simFleet) send(rate func(at time.Duration) float64, parts func() []call.Part, work func() time.Duration) {
	f.schedule(f.now+time.Duration(f.rng.ExpFloat64()/rate(f.now)*float64(time.Second)), func() {
		d := f.daemons[f.rng.IntN(len(f.daemons))]
		d.place(d.newRequest(parts()), f.now, work())
		f.send(rate, parts, work)
	})
}

func (d *simDaemon) newRequest(parts []call.Part) *request {
	tokens := 0
	for _, p := range parts {
		tokens += p.Tokens
	}
	return &request{
		h:       d.h,
		rec:     &Record{},
		call:    call.Request{ID: fmt.Sprint(d.fleet.events), Parts: parts, PromptTokens: tokens},
		route:   &routes[1],
		service: d.h.Catalog.View().Table.Service("s"),
		tried:   make(map[string]bool),
	}
}

// place sends a request to one server after another, as run does.
func (d *simDaemon) place(q *request, begun, work time.Duration) {
	f := d.fleet
	for q.mayTryServer() {
		server, _ := q.choose()
		if server == nil {
			f.end(begun, ReasonNoServer)
			return
		}
		q.tried[server.ID] = true
		q.rec.Attempts = append(q.rec.Attempts, Attempt{Server: server.ID, start: f.clock()})
		s := f.server(server.ID)
		if s.refuses {
			q.handleSendError(context.Background(), server, q.lastAttempt(), &upstream.Error{Cause: syscall.ECONNREFUSED})
			continue
		}
		q.loadEntry = d.h.Loads.Begin(server.Tag(), q.tokensToCompute(0))
		s.begin(f, &simRun{q: q, daemon: d, server: s, begun: begun, sentAt: f.now, work: work})
		return
	}
	f.end(begun, q.lastAttempt().Reason)
}

func (f *simFleet) server(id string) *simServer {
	var i int
	if _, err := fmt.Sscanf(id, "b%d", &i); err != nil {
		panic(err)
	}
	return f.servers[i]
}

// end records the end of a request.
func (f *simFleet) end(begun time.Duration, reason Reason) {
	f.results = append(f.results, simResult{begun: begun, took: f.now - begun, reason: reason})
}

// begin has the server run a request, at once if it has a free slot.
func (s *simServer) begin(f *simFleet, r *simRun) {
	if len(s.running) >= s.slots {
		s.waiting = append(s.waiting, r)
		return
	}
	s.running = append(s.running, r)
	f.schedule(f.now+time.Duration(float64(r.work)*s.pace), func() { s.finish(f, r) })
}

// finish has the server respond to a request.
func (s *simServer) finish(f *simFleet, r *simRun) {
	if r.broken {
		return
	}
	s.running = slices.DeleteFunc(s.running, func(o *simRun) bool { return o == r })
	r.q.loadEntry.End()
	a := r.q.lastAttempt()
	resp := &upstream.Response{ResponseHead: call.ResponseHead{Status: 200, Load: call.ServerLoad{PacePercent: int(100 * s.pace)}}}
	server := f.catalog.View().Servers[catalog.Incarnation{ID: s.id}]
	r.q.recordResponse(server, a, resp)
	r.daemon.h.Health.RecordSuccess(s.id)
	f.end(r.begun, ReasonNone)
	if len(s.waiting) > 0 {
		next := s.waiting[0]
		s.waiting = s.waiting[1:]
		s.begin(f, next)
	}
}

// fail has a server break all its connections and refuse new ones. The daemons find out
// that it does, as recordBroken does, and send the requests to other servers.
func (s *simServer) fail(f *simFleet) {
	s.refuses = true
	broken := slices.Concat(s.running, s.waiting)
	s.running, s.waiting = nil, nil
	for _, r := range broken {
		r.broken = true
		r.q.loadEntry.End()
		r.q.lastAttempt().Reason = ReasonConnectionBroken
		r.daemon.h.Health.RecordFailure(s.id)
		r.q.recordRefused(f.catalog.View().Servers[catalog.Incarnation{ID: s.id}])
	}
	for _, r := range broken {
		r.daemon.place(r.q, f.now, r.work)
	}
}

// scheduleRound schedules the next gossip round instead of the one scheduled before.
func (d *simDaemon) scheduleRound(at time.Duration) {
	d.rounds++
	round := d.rounds
	d.fleet.schedule(at, func() {
		if round == d.rounds {
			d.gossip()
			d.scheduleRound(d.fleet.now + simRound)
		}
	})
}

// gossip sends a message to a few random daemons, which reply.
func (d *simDaemon) gossip() {
	f := d.fleet
	d.h.Loads.Expire()
	m := d.message()
	for _, i := range f.rng.Perm(len(f.daemons))[:simFanout] {
		to := f.daemons[i]
		if to == d {
			continue
		}
		f.schedule(f.now+simTransit, func() {
			to.receive(m)
			reply := to.message()
			f.schedule(f.now+simTransit, func() { d.receive(reply) })
		})
	}
}

// simMessage is what daemons send each other.
type simMessage struct {
	counts  map[string]simCounts
	reports []serverstate.Report
}

func (d *simDaemon) message() simMessage {
	f := d.fleet
	m := simMessage{counts: map[string]simCounts{d.name: {at: f.now, work: d.h.Loads.Own()}}}
	for _, i := range f.rng.Perm(len(f.daemons))[:min(simRelayed, len(f.daemons))] {
		if c, ok := d.counts[f.daemons[i].name]; ok {
			m.counts[f.daemons[i].name] = c
		}
	}
	if d.h.ServerState != nil {
		m.reports = d.h.ServerState.News()
	}
	return m
}

func (d *simDaemon) receive(m simMessage) {
	for name, c := range m.counts {
		if known, ok := d.counts[name]; name != d.name && (!ok || c.at > known.at) {
			d.counts[name] = c
			d.h.Loads.SetPeer(name, c.work)
		}
	}
	if d.h.ServerState != nil {
		d.h.ServerState.Merge(m.reports)
	}
}
