package admission

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against waits that end after the objective can no longer be met, and against long
// waits of requests that will hardly be released.
func TestDecide_WaitsUntilObjectiveLessServiceTime(t *testing.T) {
	is := is.New(t)
	r := newRig(t)
	for _, c := range []struct {
		pressure float64
		least    time.Duration
		most     time.Duration
	}{{0, 110 * time.Millisecond, 120 * time.Millisecond}, {0.5, 25 * time.Millisecond, 31 * time.Millisecond}, {0.9, time.Millisecond, 2 * time.Millisecond}} {
		s := r.press(c.pressure)
		q := r.wait(r.request(2, "w"))
		wait := q.holdUntil.Sub(r.at)
		is.True(wait >= c.least)
		is.True(wait <= c.most)
		r.advance(wait)
		r.random, s.reserve = 1, 0
		is.Equal(r.Decide(q, full(7, 7)).Action, Refuse)
		is.Equal(r.Waiting(), 0)
	}
	r.press(1)
	r.random = 1
	is.Equal(r.Decide(r.request(2, "w"), full(7, 7)).Action, Refuse) // at once
}

// Guards against a request that has waited being refused where a new one would be sent.
func TestDecide_GivesAnotherChanceAfterWait(t *testing.T) {
	is := is.New(t)
	r := newRig(t)
	r.press(0.2)
	q := r.wait(r.request(2, "w"))
	r.advance(q.holdUntil.Sub(r.at))
	r.random = 0
	is.Equal(r.Decide(q, full(7, 7)).Action, Send)
}

// Guards against free slots that no waiting request looks for, and against choices of a
// server by all that wait: the first one looks, and the next one after it was sent.
func TestDecide_FirstOfTheWaitingLooksForFreeSlots(t *testing.T) {
	is := is.New(t)
	r := newRig(t)
	r.press(0)
	a, b, c := r.wait(r.request(2, "a")), r.wait(r.request(3, "b")), r.wait(r.request(4, "c"))
	is.Equal(r.Waiting(), 3)
	r.random = 1
	is.True(r.Decide(a, full(7, 7)).Wait <= pollInterval)
	is.True(r.Decide(b, full(7, 7)).Wait > pollInterval)
	is.Equal(r.Decide(a, full(7, 5)).Action, Send)
	is.True(woken(b))
	is.True(!woken(c))
	is.Equal(r.Decide(r.request(5, "d"), full(5, 5)).Action, Send) // a new one sees a free slot
	is.True(woken(b))
}

// Guards against a release at the end of a run that goes to the wrong request: the most
// valuable one is first, the workspaces take turns, and the latest is more likely to meet
// its objective.
func TestRecordRun_ReleasesInOrderOfValue(t *testing.T) {
	r := newRig(t)
	type waiting struct {
		priority  int
		workspace string
	}
	cases := map[string]struct {
		wait []waiting
		want []int
	}{
		"priority":   {[]waiting{{4, "w"}, {2, "w"}, {3, "w"}}, []int{1, 2, 0}},
		"workspaces": {[]waiting{{2, "a"}, {2, "b"}, {2, "b"}}, []int{2, 0, 1}},
		"latest":     {[]waiting{{2, "a"}, {2, "a"}, {2, "a"}}, []int{2, 1, 0}},
		"oldest":     {[]waiting{{5, "old"}, {2, "a"}, {2, "a"}, {2, "a"}, {2, "a"}, {2, "a"}}, []int{5, 4, 3, 0, 2, 1}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			r.services = make(map[string]*service)
			for range minRuns {
				r.run(0, workTime)
			}
			r.advance(10 * waitMemory)
			r.press(0)
			var queue []*Request
			for _, w := range c.wait {
				r.advance(time.Millisecond)
				queue = append(queue, r.wait(r.request(w.priority, w.workspace)))
			}
			for _, q := range queue {
				woken(q) // as the first one
			}
			s := r.service("s")
			for _, i := range c.want {
				s.pressure = pressure{}
				r.run(0, workTime)
				is.True(queue[i].released)
				is.True(woken(queue[i]))
				r.random = 1
				is.Equal(r.Decide(queue[i], full(7, 7)).Action, Send)
			}
			is.Equal(r.Waiting(), 0)
		})
	}
}

// Guards against releases that stay with a caller that has left.
func TestLeave_PassesReleaseOn(t *testing.T) {
	is := is.New(t)
	r := newRig(t)
	s := r.press(0)
	a, b := r.wait(r.request(2, "a")), r.wait(r.request(3, "b"))
	s.pressure = pressure{}
	r.run(0, workTime)
	is.True(a.released)
	r.Leave(a)
	r.Leave(a)
	is.True(b.released)
	is.Equal(r.Waiting(), 1)
	r.Leave(b)
	is.Equal(r.Waiting(), 0)
	r.Leave(r.request(2, "c")) // has not waited
	is.Equal(r.Waiting(), 0)
}

// Guards against a queue of any length: each waiting request takes memory.
func TestDecide_RefusesTheLeastValuableBeyondMaxWaiting(t *testing.T) {
	is := is.New(t)
	r := newRig(t)
	r.press(0)
	least := r.wait(r.request(5, "w"))
	for i := range maxWaiting - 1 {
		r.wait(r.request(2, fmt.Sprint("w", i)))
	}
	is.True(!least.evicted)
	r.wait(r.request(2, "w"))
	is.True(woken(least))
	is.Equal(r.Decide(least, full(7, 7)).Action, Refuse)
	is.Equal(r.Waiting(), maxWaiting)
}

// Guards against callers that come back too soon, all at once, or with no time left.
func TestRefuse_TellsCallersWhenToComeBack(t *testing.T) {
	is := is.New(t)
	r := newRig(t)
	s := r.press(1)
	refuse := func(left time.Duration, random float64, inFlight int) time.Duration {
		q := r.request(2, "w")
		q.Deadline = r.at.Add(left)
		r.random, s.reserve = random, 0
		return s.refuse(q, full(inFlight), r.at).RetryAfter.Round(time.Microsecond)
	}
	// 20 requests beyond the slots end within 100 ms.
	is.Equal(refuse(800*time.Millisecond, 0, 25), 100*time.Millisecond)
	is.Equal(refuse(800*time.Millisecond, 1, 25), 150*time.Millisecond)
	is.Equal(refuse(240*time.Millisecond, 1, 25), 80*time.Millisecond) // a third
	is.Equal(refuse(800*time.Millisecond, 1, 6), minRetryAfter)
	is.Equal(refuse(40*time.Millisecond, 1, 25), time.Duration(0)) // no time would be left
}

// Guards against a server that refuses a request which was released: it must not go on to
// the next ones as if it had a slot there.
func TestDecide_ReleaseIsForOneSend(t *testing.T) {
	is := is.New(t)
	r := newRig(t)
	s := r.press(0)
	q := r.wait(r.request(2, "a"))
	s.pressure = pressure{}
	r.run(0, workTime)
	is.Equal(r.Decide(q, full(7, 7)).Action, Send)
	r.press(1)
	r.random, s.reserve = 1, 0
	is.True(r.Decide(q, full(7)).Action != Send)
}

// Guards against all daemons sending to the server that is the least loaded by old counts.
func TestChoose_SpreadsWhileCapacityIsInsufficient(t *testing.T) {
	is := is.New(t)
	r := newRig(t)
	is.Equal(r.Choose("s", full(3, 1)), -1) // not yet
	r.Decide(r.request(0, "w"), full(7, 7))
	counts := map[int]int{}
	for i := range 100 {
		r.random = (float64(i) + 0.5) / 100
		counts[r.Choose("s", full(5, 7, 3))]++
	}
	is.Equal(counts[0], 25) // of four free slots one is there
	is.Equal(counts[1], 0)
	is.Equal(counts[2], 75)
	next := []float64{0.1, 0.9}
	two := New(r.now, func() float64 { next = append(next[1:], next[0]); return next[1] })
	is.Equal(spread(full(9, 7), two.random), 1) // the less loaded one of two
	is.Equal(r.Choose("other", full(3, 1)), -1)
	r.advance(alertFor)
	is.Equal(r.Choose("s", full(3, 1)), -1)
	is.True(r.Calm())
}

// Guards against a service that is no longer used but takes memory, and against service
// times that are forgotten while capacity is sufficient.
func TestExpire_RemovesUnusedServices(t *testing.T) {
	is := is.New(t)
	r := newRig(t)
	r.Expire()
	is.True(r.service("s").estimator.Known())
	r.press(0)
	q := r.wait(r.request(2, "w"))
	r.advance(2 * serviceTTL)
	r.Expire()
	is.Equal(len(r.services), 1)
	r.Leave(q)
	r.Expire()
	is.Equal(len(r.services), 0)
}

// Guards against races between requests, and against places that are not given back:
// callers wait, leave and are released at the same time.
func TestController_ConcurrentUse(t *testing.T) {
	is := is.New(t)
	c := New(time.Now, rand.Float64)
	run := Run{First: time.Millisecond, Total: time.Millisecond}
	for range minRuns {
		c.RecordRun("s", run)
	}
	var wg sync.WaitGroup
	for i := range 32 {
		wg.Go(func() {
			for n := range 20 {
				now := time.Now()
				q := &Request{Service: "s", Workspace: fmt.Sprint("w", i%5), Priority: i % 4, Start: now,
					Objective: now.Add(20 * time.Millisecond), Deadline: now.Add(100 * time.Millisecond)}
				for d := c.Decide(q, full(9, 9)); d.Action == Wait; d = c.Decide(q, full(9, 9)) {
					select {
					case <-q.Woken():
					case <-time.After(min(d.Wait, 2*time.Millisecond)):
					}
					if n%3 == 0 {
						break
					}
				}
				c.Leave(q)
				c.RecordRun("s", run)
				c.RecordRefusal("s", "b0")
				c.Choose("s", full(9, 9))
				c.Expire()
			}
		})
	}
	wg.Wait()
	is.Equal(c.Waiting(), 0)
	is.Equal(len(c.service("s").queue), 0)
}
