package warmup

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"cassialatch.dev/gateway/catalog"
)

// The figures of the deployment that asks for limits on cold servers, and the operators'
// bound on what a cold server may get in any second.
const (
	simDaemons   = 62
	simServers   = 90
	simPerSecond = 18.0
	simBound     = simPerSecond*1.5 + 5
	heartbeat    = 1200 * time.Millisecond
	maxLag       = time.Second // from a heartbeat until all daemons know of it
)

// simulation is a fleet of daemons that exchange no messages, over a virtual clock.
type simulation struct {
	rnd     *rand.Rand
	now     time.Time
	limit   Limit
	daemons []*simDaemon
	servers []*simServer
	events  []simEvent
}

// simDaemon is a daemon with its table.
type simDaemon struct {
	*Table
	fleetSize int
	known     []bool // servers that it has listed, by index
}

// simServer is a backend server that is cold for a time.
type simServer struct {
	id        catalog.Incarnation
	coldFrom  time.Time
	coldUntil time.Time
	sends     []time.Time // while it was cold
}

// simEvent is something that happens at a time.
type simEvent struct {
	at time.Time
	do func()
}

// newSimulation returns a fleet whose daemons have been running for a minute.
func newSimulation(seed uint64, limit Limit) *simulation {
	s := &simulation{rnd: rand.New(rand.NewPCG(seed, 1887)), now: time.Unix(1_700_000_000, 0), limit: limit}
	for range simDaemons {
		s.daemons = append(s.daemons, s.newDaemon(simDaemons))
	}
	for i := range simServers {
		s.servers = append(s.servers, &simServer{id: catalog.Incarnation{ID: fmt.Sprint("i-", i), Born: 1}})
	}
	s.now = s.now.Add(time.Minute)
	return s
}

// newDaemon returns a daemon that starts now and knows a part of the fleet.
func (s *simulation) newDaemon(fleetSize int) *simDaemon {
	d := &simDaemon{fleetSize: fleetSize, known: make([]bool, simServers)}
	d.Table = New(func() time.Time { return s.now }, func() int { return d.fleetSize }, s.rnd.Float64)
	d.Expire(func(catalog.Incarnation) bool { return true })
	return d
}

// at schedules an event.
func (s *simulation) at(t time.Time, do func()) { s.events = append(s.events, simEvent{t, do}) }

// run plays the events in the order of their times.
func (s *simulation) run() {
	slices.SortStableFunc(s.events, func(a, b simEvent) int { return a.at.Compare(b.at) })
	for _, e := range s.events {
		s.now = e.at
		e.do()
	}
}

// startCold lets the first n servers come back cold at a time. Each publishes that at once
// and with each heartbeat; each daemon learns of it after a lag of its own.
func (s *simulation) startCold(from time.Time, n int) {
	for i, srv := range s.servers[:n] {
		srv.coldFrom, srv.coldUntil = from, from.Add(s.limit.Duration)
		phase := s.duration(heartbeat)
		for t := from; t.Before(srv.coldUntil.Add(2 * heartbeat)); {
			remaining := catalog.RoundCold(srv.coldUntil.Sub(t))
			for _, d := range s.daemons {
				s.at(t.Add(s.duration(maxLag)), func() {
					d.known[i] = true
					d.Observe(srv.id, s.limit, remaining)
				})
			}
			if t.Equal(from) {
				t = t.Add(phase)
			}
			t = t.Add(heartbeat)
		}
	}
}

// duration returns a random duration up to a maximum.
func (s *simulation) duration(limit time.Duration) time.Duration {
	return time.Duration(s.rnd.Int64N(int64(limit)))
}

// demand lets each daemon receive requests at random times, perSecond on average. Each
// goes to one of the first n servers if any may be sent it.
func (s *simulation) demand(from, until time.Time, perSecond float64, n int) {
	for _, d := range s.daemons {
		for t := from; ; {
			t = t.Add(time.Duration(s.rnd.ExpFloat64() / perSecond * float64(time.Second)))
			if !t.Before(until) {
				break
			}
			s.at(t, func() { s.request(d, n) })
		}
	}
}

// request sends a request to a random server of the first n that may be sent one. The
// servers are the least loaded ones of all, so that they attract every request.
func (s *simulation) request(d *simDaemon, n int) {
	if n < len(s.servers) && !d.KnowsFleet() {
		return // goes to another server
	}
	for i, first := 0, s.rnd.IntN(n); i < n; i++ {
		i := (first + i) % n
		srv := s.servers[i]
		if !d.known[i] {
			continue
		}
		if wait, _ := d.Wait(srv.id); wait > 0 {
			continue
		}
		ok, _ := d.Take(srv.id)
		if !ok {
			continue
		}
		if !s.now.Before(srv.coldFrom) && s.now.Before(srv.coldUntil) {
			srv.sends = append(srv.sends, s.now)
		}
		return
	}
}

// mostInSecond returns the most requests that a cold server got in any second.
func (s *simulation) mostInSecond() int {
	most := 0
	for _, srv := range s.servers {
		first := 0
		for i, t := range srv.sends {
			for t.Sub(srv.sends[first]) >= time.Second {
				first++
			}
			most = max(most, i-first+1)
		}
	}
	return most
}

// sendsPerSecond returns the mean rate of requests to the first n servers while they are
// cold.
func (s *simulation) sendsPerSecond(n int) float64 {
	total := 0
	for _, srv := range s.servers[:n] {
		total += len(srv.sends)
	}
	return float64(total) / float64(n) / s.limit.Duration.Seconds()
}

// forSeeds runs a scenario with several seeds for servers that are cold for 3 s, as in the
// deployment, and for 20 s, and checks the bound.
func forSeeds(t *testing.T, scenario func(s *simulation, from time.Time)) {
	for cold, seeds := range map[time.Duration]uint64{3 * time.Second: 4, 6 * time.Second: 2} {
		for seed := range seeds {
			s := newSimulation(seed, Limit{PerSecond: simPerSecond, Duration: cold})
			scenario(s, s.now)
			s.run()
			if most := s.mostInSecond(); float64(most) > simBound {
				t.Errorf("cold for %v, seed %d: a cold server got %d requests within a second, bound is %v", cold, seed, most, simBound)
			}
		}
	}
}

// Load pattern: 30 servers of 90 come back cold together and attract all requests of 62
// daemons. Guards against a sum of requests that crashes them, and against servers that
// get almost none while they are cold.
func TestSimulation_ZoneComesBackCold(t *testing.T) {
	forSeeds(t, func(s *simulation, from time.Time) {
		s.startCold(from, 30)
		s.demand(from, from.Add(s.limit.Duration), 15, 30)
	})
	is := is.New(t)
	s := newSimulation(1, Limit{PerSecond: simPerSecond, Duration: 8 * time.Second})
	from := s.now
	s.startCold(from, 30)
	s.demand(from, from.Add(s.limit.Duration), 15, 30)
	s.run()
	is.True(s.sendsPerSecond(30) > 0.6*simPerSecond)
}

// Load pattern: all servers are cold at once, with the mean demand of the deployment.
func TestSimulation_AllServersColdAtOnce(t *testing.T) {
	forSeeds(t, func(s *simulation, from time.Time) {
		s.startCold(from, simServers)
		s.demand(from, from.Add(s.limit.Duration), 13, simServers)
	})
}

// Load pattern: the fleet is partitioned into two halves for a minute, longer than the
// peers remember its size, when servers come back cold. Each half sends as if the other
// had vanished.
func TestSimulation_TwoHalvesOfPartition(t *testing.T) {
	forSeeds(t, func(s *simulation, from time.Time) {
		for _, d := range s.daemons {
			s.at(from.Add(30*time.Second), func() { d.fleetSize = simDaemons / 2 })
			for at := from; at.Before(from.Add(time.Minute)); at = at.Add(time.Second) {
				s.at(at, func() { d.Expire(func(catalog.Incarnation) bool { return true }) })
			}
		}
		from = from.Add(time.Minute)
		s.startCold(from, 30)
		s.demand(from, from.Add(s.limit.Duration), 15, 30)
	})
}

// Load pattern: the daemons restart while servers are cold. For 3 s they know of no
// others; there are other servers, or none.
func TestSimulation_DaemonsHaveJustStarted(t *testing.T) {
	for _, cold := range []int{30, simServers} {
		t.Run(fmt.Sprint("cold=", cold), func(t *testing.T) {
			forSeeds(t, func(s *simulation, from time.Time) {
				for i := range s.daemons {
					if i%3 == 0 && cold < simServers {
						continue // runs on
					}
					s.now = from.Add(-s.duration(2 * time.Second)) // its start
					d := s.newDaemon(1)
					s.daemons[i] = d
					s.at(s.now.Add(startupTime), func() { d.fleetSize = simDaemons })
				}
				s.now = from
				s.startCold(from, cold)
				s.demand(from, from.Add(s.limit.Duration), 50, cold)
			})
		})
	}
}

// Load pattern: servers are cold, but others get all requests; then these fail, and all
// requests of all daemons go to the cold servers from one moment on. Guards against
// daemons that all use at once what they could have sent before.
func TestSimulation_DemandShiftsToColdServers(t *testing.T) {
	forSeeds(t, func(s *simulation, from time.Time) {
		s.startCold(from, 30)
		s.demand(from.Add(s.limit.Duration*2/3), from.Add(s.limit.Duration), 50, 30)
	})
}

// Load pattern: the evacuation of a zone ends. Its servers publish that they are warm, and
// become cold with the first request. Each daemon learns of the end at a time of its own.
func TestSimulation_EvacuationEnds(t *testing.T) {
	forSeeds(t, func(s *simulation, from time.Time) {
		for i, srv := range s.servers[:30] {
			srv.coldFrom, srv.coldUntil = from, from.Add(s.limit.Duration)
			for _, d := range s.daemons {
				s.at(from.Add(s.duration(maxLag)), func() {
					d.known[i] = true
					d.Suspect(srv.id, s.limit)
				})
			}
		}
		s.demand(from, from.Add(s.limit.Duration), 15, 30)
	})
}
