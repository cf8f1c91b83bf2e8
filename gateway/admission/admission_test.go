package admission

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

// rig is a controller with a virtual clock, and a random number that tests set.
type rig struct {
	*Controller
	t      testing.TB
	at     time.Time
	random float64
}

const workTime = 30 * time.Millisecond

// newRig returns a rig whose service "s" takes workTime for a request.
func newRig(t testing.TB) *rig {
	r := &rig{t: t, at: time.Unix(1_700_000_000, 0), random: 0.5}
	r.Controller = New(func() time.Time { return r.at }, func() float64 { return r.random })
	for range minRuns {
		r.run(0, workTime)
	}
	r.advance(10 * waitMemory)
	return r
}

func (r *rig) advance(d time.Duration) { r.at = r.at.Add(d) }

// run records a run of a request without a prompt.
func (r *rig) run(priority int, took time.Duration) {
	r.RecordRun("s", Run{Priority: priority, First: took, Total: took})
}

// request returns a request that arrives now, with an objective of 150 ms and a deadline
// of 800 ms.
func (r *rig) request(priority int, workspace string) *Request {
	return &Request{Service: "s", Workspace: workspace, Priority: priority, Start: r.at,
		Objective: r.at.Add(150 * time.Millisecond), Deadline: r.at.Add(800 * time.Millisecond)}
}

// full returns servers of 6 slots that have the given number of requests in flight.
func full(inFlight ...int) []Server {
	servers := make([]Server, len(inFlight))
	for i, n := range inFlight {
		servers[i] = Server{ID: fmt.Sprint("b", i), InFlight: n, Slots: 6}
	}
	return servers
}

// press sets the pressure by the queues, and makes priority 0 the most urgent one.
func (r *rig) press(queues float64) *service {
	s := r.service("s")
	s.pressure.queues, s.pressure.queuesAt = queues, r.at
	s.traffic.add(r.request(0, "x"), workTime.Seconds(), r.at)
	return s
}

// wait makes a request wait.
func (r *rig) wait(q *Request) *Request {
	r.t.Helper()
	r.random = 1
	if d := r.Decide(q, full(7, 7)); d.Action != Wait {
		r.t.Fatalf("got %+v, want a wait", d)
	}
	r.random = 0.5
	return q
}

// woken reports whether a request was woken.
func woken(q *Request) bool {
	select {
	case <-q.Woken():
		return true
	default:
		return false
	}
}

// Guards against delays or refusals by a daemon that has just started.
func TestDecide_SendsEverythingWithoutEstimates(t *testing.T) {
	is := is.New(t)
	r := newRig(t)
	c := New(func() time.Time { return r.at }, func() float64 { return 1 })
	for range minRuns - 1 {
		c.RecordRun("s", Run{First: time.Hour, Total: time.Hour})
		is.Equal(c.Decide(r.request(9, "w"), full(500)).Action, Send)
	}
	is.True(c.Calm())
	is.Equal(c.Choose("s", full(500, 1)), -1)
}

// Guards against delays while a usable server has a free slot by the counts, whatever
// the pressure and whoever waits.
func TestDecide_SendsWhileServerHasFreeSlot(t *testing.T) {
	is := is.New(t)
	r := newRig(t)
	r.press(1)
	r.random = 1
	is.Equal(r.Decide(r.request(9, "w"), full(60, 5)).Action, Send)
	is.Equal(r.Decide(r.request(9, "w"), []Server{{ID: "b0", InFlight: 60}}).Action, Send) // slots not stated
	is.True(r.Decide(r.request(9, "w"), full(60, 6)).Action != Send)
}

// Guards against a service that counts as free because a server has just refused, though
// its counts are too old to show that it is full.
func TestDecide_ServerThatRefusedCountsAsFullForAMoment(t *testing.T) {
	is := is.New(t)
	r := newRig(t)
	r.press(1)
	r.random = 1
	r.RecordRefusal("s", "b0")
	is.True(!r.Calm())
	is.True(r.Decide(r.request(2, "w"), full(3)).Action != Send)
	is.Equal(r.Decide(r.request(2, "w"), full(3, 3)).Action, Send) // the other one has not refused
	r.advance(fullFor)
	is.Equal(r.Decide(r.request(2, "w"), full(3)).Action, Send)
}

// Guards against requests that wait in a server's queue until their deadline.
func TestDecide_RefusesWhatCannotMeetItsDeadline(t *testing.T) {
	is := is.New(t)
	r := newRig(t)
	is.Equal(r.Decide(r.request(0, "w"), full(6+150)).Action, Send) // waits 755 ms
	is.Equal(r.Decide(r.request(0, "w"), full(6+160)).Action, Refuse)
	is.Equal(r.Decide(r.request(0, "w"), full(6+160, 8)).Action, Send) // the least wait counts
	slow := full(6 + 60)
	slow[0].Pace = 3
	is.Equal(r.Decide(r.request(0, "w"), slow).Action, Refuse)
	late := r.request(0, "w")
	late.Deadline = r.at.Add(workTime - time.Millisecond)
	is.Equal(r.Decide(late, full(6)).Action, Refuse)
}

// Guards against the refusal of urgent requests by a queue of others, which servers put
// behind them.
func TestDecide_ExpectsUrgentRequestsToOvertakeOthers(t *testing.T) {
	is := is.New(t)
	r := newRig(t)
	s := r.press(0)
	for range 20 {
		s.traffic.add(r.request(2, "x"), workTime.Seconds(), r.at)
	}
	is.Equal(r.Decide(r.request(0, "w"), full(6+200)).Action, Send)
	is.Equal(r.Decide(r.request(2, "w"), full(6+200)).Action, Refuse)
}

// Guards against refusals by old counts: a request that was no more urgent has just
// waited less at a server.
func TestDecide_TrustsRecentRunsMoreThanCounts(t *testing.T) {
	is := is.New(t)
	r := newRig(t)
	r.press(0)
	r.run(2, workTime+10*time.Millisecond)
	r.advance(100 * time.Millisecond)
	is.True(r.Decide(r.request(2, "w"), full(500)).Action != Refuse)
	r.advance(waitMemory)
	is.Equal(r.Decide(r.request(2, "w"), full(500)).Action, Refuse)
	r.run(0, workTime) // more urgent
	is.Equal(r.Decide(r.request(2, "w"), full(500)).Action, Refuse)
}

// Guards against urgent requests that wait, and against others that are sent before them:
// requests that are less urgent, have much work, are late, or are of a workspace that
// sends much more than the others.
func TestDecide_HoldsBackWhatCostsLeast(t *testing.T) {
	r := newRig(t)
	cases := map[string]struct {
		change func(q *Request)
		send   bool
	}{
		"urgent":        {func(*Request) {}, true},
		"less urgent":   {func(q *Request) { q.Priority = 1 }, false},
		"much work":     {func(q *Request) { q.PromptTokens = 50_000 }, false},
		"late":          {func(q *Request) { q.Start, q.Objective = q.Start.Add(-workTime), q.Start.Add(workTime/2) }, false},
		"in time":       {func(q *Request) { q.Objective = q.Start.Add(2 * workTime) }, true},
		"never in time": {func(q *Request) { q.Objective = q.Start.Add(workTime / 2) }, true},
		"big workspace": {func(q *Request) { q.Workspace = "big" }, false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			s := r.press(1)
			for i := range 10 {
				s.traffic.add(r.request(0, fmt.Sprint("w", i)), workTime.Seconds(), r.at)
				for range 4 {
					s.traffic.add(r.request(0, "big"), workTime.Seconds(), r.at)
				}
			}
			for range 100 {
				r.RecordRun("s", Run{PromptTokens: 50_000, First: 100 * time.Millisecond, Total: 100 * time.Millisecond})
				for range 20 {
					r.run(0, workTime)
				}
			}
			r.random, s.reserve = 1, 0
			q := r.request(0, "w")
			c.change(q)
			if d := r.Decide(q, full(9)); (d.Action == Send) != c.send {
				t.Errorf("got %+v", d)
			}
		})
	}
}

// Guards against a queue of a moment that gets requests refused: at first everything is
// sent, and the more is held back the longer the queues last.
func TestDecide_HoldsBackMoreTheLongerQueuesLast(t *testing.T) {
	is := is.New(t)
	r := newRig(t)
	sent := func() int {
		n := 0
		for i := range 100 {
			r.random = (float64(i) + 0.5) / 100
			q := r.request(2, fmt.Sprint("w", i))
			if r.Decide(q, full(29, 29)).Action == Send { // 120 ms
				n++
			}
			r.Leave(q)
		}
		return n
	}
	r.press(0)
	r.service("s").pressure = pressure{}
	is.Equal(sent(), 100)
	var counts []int
	for range 20 {
		r.advance(100 * time.Millisecond)
		r.service("s").reserve = 0
		for range 10 {
			r.service("s").traffic.add(r.request(0, "x"), workTime.Seconds(), r.at)
		}
		counts = append(counts, sent())
	}
	is.True(counts[0] > 75)
	is.True(counts[9] < 50)
	is.True(counts[19] < 5)
	r.advance(2 * alertFor) // without a queue
	is.Equal(sent(), 100)
}

// Guards against refusals by servers that go unnoticed where queues are short.
func TestDecide_HoldsBackAfterRefusalsByServers(t *testing.T) {
	is := is.New(t)
	r := newRig(t)
	s := r.press(0)
	for range 10 {
		r.RecordRefusal("s", "b0")
	}
	is.True(s.pressure.passing(r.at) < 0.15)
	r.advance(3 * refusalsTime)
	is.True(s.pressure.passing(r.at) > 0.9)
}

// Guards against the last chance of a request of little value being that of one of
// higher value.
func TestDecide_HoldsBackMoreOfWhatIsWorthLess(t *testing.T) {
	is := is.New(t)
	r := newRig(t)
	chance := func(priority int) int {
		n := 0
		for i := range 1000 {
			s := r.press(0.3)
			r.random, s.reserve = (float64(i)+0.5)/1000, 0
			q := r.request(priority, fmt.Sprint("w", i))
			if r.Decide(q, full(12, 12)).Action == Send {
				n++
			}
			r.Leave(q)
		}
		return n
	}
	one, two, five := chance(1), chance(2), chance(5)
	is.True(one > two+50)
	is.True(two > five+50)
}

// Guards against the starvation of requests that are held back, under the highest
// pressure: one in eight runs is of these, also if all requests are held back.
func TestDecide_ReservesRunsForWhatIsHeldBack(t *testing.T) {
	is := is.New(t)
	r := newRig(t)
	sent := [10]int{}
	for i := range 800 {
		r.press(1)
		for _, priority := range []int{0, 3} {
			q := r.request(priority, fmt.Sprint("w", i%7))
			if r.Decide(q, full(12, 12)).Action == Send {
				sent[priority]++
			}
			r.Leave(q)
		}
		r.run(0, workTime)
		r.advance(10 * time.Millisecond)
	}
	is.Equal(sent[0], 800)
	is.True(sent[3] >= 100)
	is.True(sent[3] <= 110)
}
