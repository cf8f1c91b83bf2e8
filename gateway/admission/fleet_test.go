package admission

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"cassialatch.dev/gateway/health"
	"cassialatch.dev/gateway/load"
	"cassialatch.dev/gateway/placement"
	"cassialatch.dev/gateway/retry"
)

// fleet simulates daemons, servers and callers over a virtual clock. A daemon knows its
// own requests exactly, and those of the others as of up to 1 s ago. It sends as
// gateway/ingress does, with the tables that gateway/ingress uses.
type fleet struct {
	rng       *rand.Rand
	start     time.Time
	now       time.Time
	countFrom time.Duration // requests before do not count
	events    events
	sequence  int
	overload  bool // the daemons use this package

	partitioned bool // no daemon receives anything of others
	daemons     []*simDaemon
	servers     []*simServer
	kinds       []*kind
	results     map[string]*result // by kind, and by kind and workspace
}

// Speed of a simulated engine.
const (
	secondsPerPromptToken = 1.0 / 8000
	secondsPerOutputToken = 1.0 / 50
	// lateValue is the part of its value that a response has after its objective.
	lateValue = 0.5
	// hop is the time of a message between daemon and server.
	hop = 500 * time.Microsecond
	// gossipInterval and maxGossipDelay make the counts of other daemons up to 1 s old
	// in a large fleet.
	gossipInterval      = 250 * time.Millisecond
	maxGossipDelay      = 700 * time.Millisecond
	smallFleet          = 13
	smallGossipInterval = 100 * time.Millisecond
	smallGossipDelay    = 2 * time.Millisecond
	// unlisted is how long a server that is gone stays listed.
	unlisted = 3 * time.Second
)

type simDaemon struct {
	ip      string
	loads   *load.Table
	health  *health.Table
	budget  *retry.Budget
	control *Controller
	waiting []*simRequest
	delays  []time.Duration // of gossip, by daemon
}

type simRequest struct {
	Request
	kind      *kind
	counted   bool // in the results
	daemon    *simDaemon
	workspace string
	first     time.Duration // work until the first event
	total     time.Duration
	arrived   time.Time // of the first attempt of the caller
	retried   bool
	sends     int
	reached   bool // a server has received it
	tried     map[int]bool
	entry     *load.Entry
	run       *simRun
	server    *simServer
	ended     bool
	version   int // of the event that ends a wait
}

func newFleet(seed uint64, overload bool, daemons int) *fleet {
	f := &fleet{rng: rand.New(rand.NewPCG(seed, 4)), now: time.Unix(1_700_000_000, 0), overload: overload, results: make(map[string]*result)}
	f.start = f.now
	for i := range daemons {
		f.daemons = append(f.daemons, f.newDaemon(fmt.Sprint("10.0.0.", i), daemons))
	}
	return f
}

func (f *fleet) newDaemon(ip string, daemons int) *simDaemon {
	clock := func() time.Time { return f.now }
	d := &simDaemon{
		ip: ip, loads: load.New(clock), health: health.New(clock),
		budget:  retry.New(retry.Options{Ratio: 0.2, Slack: 20, Window: 10 * time.Second}, func() int { return daemons }, clock),
		control: New(clock, f.rng.Float64),
	}
	for range daemons {
		delay := maxGossipDelay
		if daemons <= smallFleet {
			delay = smallGossipDelay
		}
		d.delays = append(d.delays, time.Duration(f.rng.Int64N(int64(delay))))
	}
	return d
}

func (f *fleet) addServers(n, slots, queueLimit int, preempts bool) {
	for range n {
		id := fmt.Sprint("s", len(f.servers))
		f.servers = append(f.servers, &simServer{id: id, tag: uint32(len(f.servers) + 1), slots: slots, stated: slots, queueLimit: queueLimit, preempts: preempts})
	}
}

// after schedules an event.
func (f *fleet) after(d time.Duration, do func()) {
	f.sequence++
	heap.Push(&f.events, event{f.now.Add(d).Sub(f.start), f.sequence, do})
}

// run plays the given time, and then until nothing is in flight.
func (f *fleet) run(length time.Duration) {
	start := f.now
	for _, k := range f.kinds {
		f.arrivals(k, start, start.Add(length))
	}
	for i := range f.daemons {
		f.after(time.Duration(f.rng.Int64N(int64(gossipInterval))), func() { f.gossip(i, start.Add(length)) })
	}
	for len(f.events) > 0 {
		e := heap.Pop(&f.events).(event)
		f.now = f.start.Add(e.at)
		e.do()
		f.wake()
	}
}

// candidates returns the servers that a daemon may choose from, and their indexes.
func (f *fleet) candidates(q *simRequest) ([]placement.Candidate, []int) {
	tags := make([]uint32, len(f.servers))
	for i, s := range f.servers {
		tags[i] = s.tag
	}
	work := make([]load.Work, len(tags))
	q.daemon.loads.InFlight(tags, work)
	var lists [2][]placement.Candidate
	var indexes [2][]int
	for i, s := range f.servers {
		if q.tried[i] || !s.downSince.IsZero() && f.now.Sub(s.downSince) > unlisted {
			continue
		}
		penalty, inBackoff := q.daemon.health.Penalty(s.id)
		n := 0
		if inBackoff {
			n = 1
		}
		lists[n] = append(lists[n], placement.Candidate{ID: s.id, InFlight: work[i].Requests, Penalty: penalty})
		indexes[n] = append(indexes[n], i)
	}
	if len(lists[0]) == 0 {
		return lists[1], indexes[1]
	}
	return lists[0], indexes[0]
}

// restart lets all daemons forget what this package has learnt. The callers that wait lose
// their connections.
func (f *fleet) restart() {
	for _, d := range f.daemons {
		d.control = New(func() time.Time { return f.now }, f.rng.Float64)
		for _, q := range d.waiting {
			q.version++
			f.end(q, false)
		}
		d.waiting = nil
	}
}

// step does what gateway/ingress does before each send.
func (f *fleet) step(q *simRequest) {
	const maxSends, minRemaining = 4, 5 * time.Millisecond
	if q.ended {
		return
	}
	if q.Deadline.Sub(f.now) < minRemaining {
		f.end(q, false)
		return
	}
	candidates, indexes := f.candidates(q)
	if q.sends == maxSends || len(candidates) == 0 {
		f.refuse(q, 100*time.Millisecond)
		return
	}
	i := placement.LeastLoaded(candidates, "", nil)
	if f.overload {
		if j := q.daemon.control.Choose("s", f.known(candidates, indexes)); j >= 0 {
			i = j
		}
	}
	if f.overload && !f.admit(q, candidates, indexes) {
		return
	}
	if q.reached && !q.daemon.budget.Allow("s") {
		f.refuse(q, 100*time.Millisecond)
		return
	}
	f.send(q, indexes[i])
}

// admit asks the controller. It returns whether the request is to be sent now.
func (f *fleet) admit(q *simRequest, candidates []placement.Candidate, indexes []int) bool {
	servers := f.known(candidates, indexes)
	if q.daemon.control.Calm() && slices.ContainsFunc(servers, func(s Server) bool { return s.hasRoom() }) {
		return true
	}
	switch d := q.daemon.control.Decide(&q.Request, servers); d.Action {
	case Wait:
		q.version++
		version := q.version
		if !slices.Contains(q.daemon.waiting, q) {
			q.daemon.waiting = append(q.daemon.waiting, q)
		}
		f.after(d.Wait, func() {
			if q.version == version {
				f.resume(q)
			}
		})
		return false
	case Refuse:
		f.refuse(q, d.RetryAfter)
		return false
	}
	return true
}

// known returns what a daemon knows about the candidates.
func (f *fleet) known(candidates []placement.Candidate, indexes []int) []Server {
	servers := make([]Server, len(candidates))
	for i, c := range candidates {
		s := f.servers[indexes[i]]
		servers[i] = Server{ID: s.id, InFlight: c.InFlight, Slots: s.stated}
	}
	return servers
}

// resume ends the wait of a request.
func (f *fleet) resume(q *simRequest) {
	q.version++
	d := q.daemon
	d.waiting = slices.DeleteFunc(d.waiting, func(o *simRequest) bool { return o == q })
	f.step(q)
}

// wake resumes the requests that the controllers have woken.
func (f *fleet) wake() {
	for again := true; again; {
		again = false
		for _, d := range f.daemons {
			for _, q := range slices.Clone(d.waiting) {
				if woken(&q.Request) {
					f.resume(q)
					again = true
				}
			}
		}
	}
}

// send sends a request to a server.
func (f *fleet) send(q *simRequest, i int) {
	s := f.servers[i]
	q.tried[i] = true
	q.sends++
	q.entry = q.daemon.loads.Begin(s.tag, 0)
	sent := f.now
	daemon := q.daemon
	run := &simRun{q: q, left: q.total}
	run.done = func(r *simRun) {
		q.entry.End()
		daemon.health.RecordSuccess(s.id)
		daemon.control.RecordRun("s", Run{Priority: q.Priority, PromptTokens: q.PromptTokens, OutputTokens: q.OutputTokens,
			First: r.first.Add(hop).Sub(sent), Total: f.now.Add(hop).Sub(sent)})
		f.end(q, !r.first.Add(hop).After(q.Objective))
	}
	q.run, q.server = run, s
	f.after(hop, func() { f.receive(s, run) })
	f.after(q.Deadline.Sub(f.now), func() {
		if q.run == run && !q.ended {
			s.cancel(f, run)
			q.entry.End()
			f.end(q, false)
		}
	})
}

// receive lets a server receive a request.
func (f *fleet) receive(s *simServer, r *simRun) {
	q := r.q
	if q.run != r || q.ended {
		return
	}
	if !s.downSince.IsZero() {
		q.entry.End()
		q.daemon.health.RecordUnreachable(s.id)
		f.step(q)
		return
	}
	q.reached = true
	if !s.accept(f, r) {
		q.run = nil
		q.entry.End()
		q.daemon.health.RecordRefusal(s.id)
		q.daemon.control.RecordRefusal("s", s.id)
		f.step(q)
	}
}

// gossip sends the counts of a daemon to all others.
func (f *fleet) gossip(from int, end time.Time) {
	if f.now.After(end) {
		return
	}
	d := f.daemons[from]
	counts := d.loads.Own()
	for to, other := range f.daemons {
		if to != from {
			f.after(d.delays[to], func() {
				if !f.partitioned {
					other.loads.SetPeer(d.ip, counts)
				}
			})
		}
	}
	f.after(f.gossipInterval(), func() { f.gossip(from, end) })
}

// gossipInterval returns the time between two messages of a daemon.
func (f *fleet) gossipInterval() time.Duration {
	if len(f.daemons) <= smallFleet {
		return smallGossipInterval
	}
	return gossipInterval
}
