package quarantine

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
)

// simulation plays requests on servers that crash, in steps of simStep.
type simulation struct {
	rng     *rand.Rand
	now     time.Time
	fanout  int       // daemons to which each daemon sends its news in a round; 0: all
	same    bool      // one request crashes servers, rather than a part; another is popular
	badAt   int       // position of the part that crashes servers
	badFrom time.Time // before, it does no harm
	restart time.Time // of all daemons at once
	daemons []*Table
	servers []*simServer
	next    uint64 // fingerprint of the next request

	crashes     []time.Time // caused by the part or request
	sentAfter   int         // such requests sent later than contact after the crash that must suffice
	soundSent   int         // sound requests later than twice contact after the last crash
	soundServed int         // of these, those that were not refused
}

type simServer struct {
	tag       uint32
	downUntil time.Time
	runs      []*simRun
}

type simRun struct {
	Run
	daemon  int
	crashAt time.Time // zero: never
	soundAt time.Time // when the run is known to do no harm
	endAt   time.Time
	told    bool // soundAt was recorded
}

const (
	simStep    = 10 * time.Millisecond
	simRound   = 100 * time.Millisecond // between gossip rounds
	simContact = 3 * time.Second        // within which the fleet must react
	simLength  = 40 * time.Second
	simServers = 18
)

func newSimulation(seed uint64, daemons, fanout int) *simulation {
	s := &simulation{rng: rand.New(rand.NewPCG(seed, 1)), now: time.Unix(1_700_000_000, 0), fanout: fanout}
	s.badAt = s.rng.IntN(3)
	s.badFrom = s.now.Add(time.Duration(s.rng.IntN(2)) * 10 * time.Second)
	s.restart = s.now.Add(time.Duration(s.rng.IntN(2)) * simLength / 2)
	for range daemons {
		s.daemons = append(s.daemons, s.newTable())
	}
	for i := range simServers {
		s.servers = append(s.servers, &simServer{tag: uint32(i)})
	}
	return s
}

func (s *simulation) newTable() *Table { return New(func() time.Time { return s.now }) }

func (s *simulation) between(low, high time.Duration) time.Duration {
	return low + time.Duration(s.rng.Int64N(int64(high-low)))
}

// parts returns the parts of a request. Sound requests share all positions with those
// that crash servers, but for the part that does.
func (s *simulation) parts(bad bool) []uint64 {
	parts := []uint64{1000, 2000 + s.rng.Uint64N(2), 3000 + s.rng.Uint64N(4)}
	if s.rng.IntN(3) == 0 {
		parts[0] = 1001
	}
	if bad {
		parts[s.badAt] = 666
	}
	return parts
}

// subject returns what the next request can be recognised by.
func (s *simulation) subject(bad bool) Subject {
	switch {
	case s.same && bad:
		return Subject{Fingerprint: 1 << 41, Parts: []uint64{1000, 2000, 3000}}
	case s.same && s.rng.IntN(3) == 0:
		return Subject{Fingerprint: 1 << 40, Parts: []uint64{1000, 2000, 3001}}
	}
	return Subject{Fingerprint: s.next, Parts: s.parts(bad && !s.same)}
}

// crashesThatSuffice returns the number of crashes after which the fleet must react.
func (s *simulation) crashesThatSuffice() int {
	if s.same {
		return requestThreshold
	}
	return lostThreshold
}

// send lets a daemon receive a request.
func (s *simulation) send(bad bool) {
	s.next++
	daemon := s.rng.IntN(len(s.daemons))
	r := &simRun{Run: Run{Subject: s.subject(bad), SentAt: s.now}, daemon: daemon}
	refused := s.daemons[daemon].ShouldRefuse(&r.Subject)
	s.count(bad, refused)
	if refused {
		return
	}
	// Requests with the same first part are mostly sent to the same servers.
	server := s.servers[int(r.Parts[0]+s.rng.Uint64N(4))%len(s.servers)]
	if server.downUntil.After(s.now) {
		server = s.servers[s.rng.IntN(len(s.servers))]
	}
	if server.downUntil.After(s.now) {
		return
	}
	first := s.now.Add(s.between(20*time.Millisecond, 400*time.Millisecond))
	r.soundAt, r.endAt = first.Add(500*time.Millisecond), first.Add(s.between(200*time.Millisecond, 3*time.Second))
	if bad && !s.now.Before(s.badFrom) {
		r.crashAt = s.now.Add(s.between(30*time.Millisecond, 150*time.Millisecond))
	}
	server.runs = append(server.runs, r)
}

// count counts a request for the verdict. Daemons that have just restarted are excused.
func (s *simulation) count(bad, refused bool) {
	if len(s.crashes) == 0 {
		return
	}
	last := s.crashes[len(s.crashes)-1]
	inTouch := s.now.Sub(s.restart) > simContact
	n := s.crashesThatSuffice()
	if bad && !refused && inTouch && len(s.crashes) >= n && s.now.Sub(s.crashes[n-1]) > simContact {
		s.sentAfter++
	}
	if !bad && len(s.crashes) >= 3 && s.now.Sub(last) > 2*simContact {
		s.soundSent++
		if !refused {
			s.soundServed++
		}
	}
}

// step advances the time and ends runs.
func (s *simulation) step() {
	s.now = s.now.Add(simStep)
	for _, server := range s.servers {
		var left []*simRun
		crashed := false
		for _, r := range server.runs {
			crashed = crashed || !r.crashAt.IsZero() && !s.now.Before(r.crashAt)
		}
		for _, r := range server.runs {
			switch {
			case crashed:
				r.Server = server.tag
				r.AtStart, r.ServerDown = s.now.Before(r.soundAt), true
				s.daemons[r.daemon].RecordCrash(&r.Run)
			case !s.now.Before(r.endAt):
				s.daemons[r.daemon].RecordSound(&r.Subject)
				s.daemons[r.daemon].RecordCompleted(&r.Subject)
			default:
				if !r.told && r.crashAt.IsZero() && !s.now.Before(r.soundAt) {
					r.told = true
					s.daemons[r.daemon].RecordSound(&r.Subject)
				}
				left = append(left, r)
			}
		}
		server.runs = left
		if crashed {
			s.crashes = append(s.crashes, s.now)
			server.tag += 1000 // the next incarnation
			server.downUntil = s.now.Add(3 * time.Second)
		}
	}
}

// gossip sends the news of each daemon; one datagram in twenty is lost.
func (s *simulation) gossip() {
	for i, from := range s.daemons {
		news := from.News()
		targets := s.rng.Perm(len(s.daemons))
		if s.fanout > 0 {
			targets = targets[:s.fanout]
		}
		for _, to := range targets {
			if to != i && s.rng.IntN(20) > 0 {
				s.daemons[to].Merge(&news)
			}
		}
	}
}

// run plays the whole time. Requests with the part arrive at random, about once in
// the given gap; now and then a daemon restarts, and in half of the seeds all do.
func (s *simulation) run(gap time.Duration) {
	end := s.now.Add(simLength)
	chance := func(every time.Duration) bool { return s.rng.Int64N(int64(every)) < int64(simStep) }
	for n := 0; s.now.Before(end); n++ {
		s.step()
		if chance(20 * time.Millisecond) {
			s.send(false)
		}
		if chance(gap) {
			s.send(true)
		}
		if s.now.Equal(s.restart) {
			for i := range s.daemons {
				s.daemons[i] = s.newTable()
			}
		}
		if len(s.daemons) > 1 && chance(8*time.Second) { // what a single one knows is lost
			s.daemons[s.rng.IntN(len(s.daemons))] = s.newTable()
		}
		if n%int(simRound/simStep) == 0 {
			s.gossip()
		}
	}
}

// Load pattern: one request crashes servers and comes again at all daemons of small and
// large fleets, beside one that many callers send and others, with restarts and losses as
// below. From contact after the third crash on at most three more are sent; and of the
// others nine in ten are served.
func TestSimulation_StopsRequestAndServesOthers(t *testing.T) {
	for _, c := range []struct{ daemons, fanout, seeds int }{{1, 0, 4}, {9, 0, 4}, {79, 4, 2}} {
		for _, gap := range []time.Duration{200 * time.Millisecond, time.Second, 3 * time.Second} {
			t.Run(fmt.Sprintf("%d daemons, one in %v", c.daemons, gap), func(t *testing.T) {
				t.Parallel()
				for seed := range uint64(c.seeds) {
					s := newSimulation(seed, c.daemons, c.fanout)
					s.same = true
					s.run(gap)
					if s.sentAfter > 3 || 10*s.soundServed < 9*s.soundSent {
						t.Errorf("seed %d: %d crashes, %d sent after the third, %d of %d sound requests served",
							seed, len(s.crashes), s.sentAfter, s.soundServed, s.soundSent)
					}
				}
			})
		}
	}
}

// Load pattern: requests that share a part which crashes servers arrive at all daemons
// of small and large fleets, beside sound requests with the same other parts, while
// daemons restart, also all at once, and datagrams are lost. From contact after the
// fifth crash on at most three more are sent; and of the sound requests at least half
// are served.
func TestSimulation_StopsPartAndServesOthers(t *testing.T) {
	for _, c := range []struct{ daemons, fanout, seeds int }{{1, 0, 4}, {9, 0, 4}, {79, 4, 2}} {
		for _, gap := range []time.Duration{200 * time.Millisecond, time.Second, 3 * time.Second} {
			t.Run(fmt.Sprintf("%d daemons, one in %v", c.daemons, gap), func(t *testing.T) {
				t.Parallel()
				is := is.New(t)
				crashes, sent, served := 0, 0, 0
				for seed := range uint64(c.seeds) {
					s := newSimulation(seed, c.daemons, c.fanout)
					s.run(gap)
					if s.sentAfter > 3 || 2*s.soundServed < s.soundSent {
						t.Errorf("seed %d, part at %d: %d crashes, %d sent after the fifth, %d of %d sound requests served",
							seed, s.badAt, len(s.crashes), s.sentAfter, s.soundServed, s.soundSent)
					}
					crashes += len(s.crashes)
					sent += s.soundSent
					served += s.soundServed
				}
				t.Logf("%.1f crashes in each, %d of %d sound requests served", float64(crashes)/float64(c.seeds), served, sent)
				is.True(sent > 0)
			})
		}
	}
}
