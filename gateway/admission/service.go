package admission

import (
	"math"
	"sync"
	"time"
)

const (
	// fullFor is how long a server that has refused a request counts as full. It is
	// the time for which placement avoids it.
	fullFor = 60 * time.Millisecond
	// serviceTTL is how long the state of an unused service is kept.
	serviceTTL = time.Minute
	// muchWork is the work, in multiples of the usual, from which requests are held
	// back.
	muchWork = 2
	// pollInterval is how often the first of the waiting requests looks for a free
	// slot.
	pollInterval = 25 * time.Millisecond
	// waitMemory is how long the wait that a run had at its server is remembered.
	waitMemory = time.Second
)

// service is the state of one service. Its methods are called with mu held.
type service struct {
	c *Controller

	mu        sync.Mutex
	used      time.Time
	estimator Estimator
	traffic   traffic
	pressure  pressure
	refusedAt map[string]time.Time // by server
	lastWait  observedWait

	insufficientAt time.Time // when all slots were last taken

	queue    []*Request // that wait, in no order
	polling  *Request   // the one that looks for free slots
	credit   float64    // releases that are due by pressure
	reserve  float64    // releases that are due so that nothing starves
	releases int        // by credit
}

// observedWait is how long a run has waited at its server.
type observedWait struct {
	priority int
	wait     time.Duration
	at       time.Time
}

func newService(c *Controller) *service {
	return &service{c: c, refusedAt: make(map[string]time.Time)}
}

// decide is Decide without the end of a wait.
func (s *service) decide(r *Request, servers []Server, now time.Time) Decision {
	s.used = now
	if s.hasRoom(servers, now) {
		s.pressure.update(0, now)
		s.polling = nil // so that the first of the waiting requests looks as well
		return Decision{Action: Send}
	}
	if !s.estimator.Known() {
		return Decision{Action: Send}
	}
	s.insufficientAt = now
	s.c.insufficientAt.Store(now.UnixNano())
	s.countArrival(r, now)
	wait, level := s.expectedWait(r, servers, now)
	s.pressure.update(level, now)
	left := r.Deadline.Sub(now)
	if r.evicted || wait+s.least(r) > left {
		return s.refuse(r, servers, now)
	}
	if r.released {
		return Decision{Action: Send}
	}
	if !r.queued && s.passes(r, wait, now) {
		return Decision{Action: Send}
	}
	s.hold(r, now)
	if r.queued && !now.Before(r.holdUntil) && s.lucky(r, now) {
		return Decision{Action: Send}
	}
	if r.evicted || !now.Before(r.holdUntil) {
		return s.refuse(r, servers, now)
	}
	return Decision{Action: Wait, Wait: s.nextCheck(r, now)}
}

// passes reports whether a request is sent although all slots are taken.
func (s *service) passes(r *Request, wait time.Duration, now time.Time) bool {
	if !s.heldBack(r, wait, now) || s.lucky(r, now) {
		return true
	}
	if s.reserve >= 1 && s.c.random() < s.traffic.allowance(r.Workspace) {
		s.reserve--
		return true
	}
	return false
}

// lucky reports whether a request that is held back is sent nevertheless. The chance
// falls with the pressure, and the faster the less the request is worth.
func (s *service) lucky(r *Request, now time.Time) bool {
	cost := math.Sqrt(max(s.highestValue()/s.value(r, now), 1)) / s.traffic.allowance(r.Workspace)
	return s.c.random() < math.Pow(s.pressure.passing(now), cost)
}

// hasRoom reports whether a server has a free slot by the counts and has not just
// refused a request.
func (s *service) hasRoom(servers []Server, now time.Time) bool {
	for i := range servers {
		if !servers[i].hasRoom() {
			continue
		}
		if at, refused := s.refusedAt[servers[i].ID]; !refused || now.Sub(at) >= fullFor {
			return true
		}
	}
	return false
}

// countArrival counts a request once.
func (s *service) countArrival(r *Request, now time.Time) {
	if r.counted {
		return
	}
	r.counted = true
	s.traffic.add(r, s.total(r).Seconds(), now)
}

// total returns the expected time of a request on a server.
func (s *service) total(r *Request) time.Duration {
	return s.estimator.Total(r.PromptTokens, r.OutputTokens)
}

// least returns the least time that a request needs on a server. What it says of its
// output is mostly an upper bound, and must not get it refused.
func (s *service) least(r *Request) time.Duration {
	return s.estimator.First(r.PromptTokens) + min(s.estimator.Rest(r.OutputTokens), s.estimator.Rest(0))
}

// untilObjective returns the expected time on a server until a request has what its
// objective is for.
func (s *service) untilObjective(r *Request) time.Duration {
	if r.StreamsEvents {
		return s.estimator.First(r.PromptTokens)
	}
	return s.total(r)
}

// objective returns the time within which a request is worth the most. If no server is fast
// enough for its objective, the deadline counts.
func (s *service) objective(r *Request) time.Time {
	first := s.untilObjective(r)
	if r.Start.Add(first).After(r.Objective) {
		return r.Deadline.Add(first - s.total(r))
	}
	return r.Objective
}

// expectedWait returns the least time that a request is expected to wait at one of the
// servers, and how long the shortest of their queues is: as a part of the time that the
// objective leaves for it.
func (s *service) expectedWait(r *Request, servers []Server, now time.Time) (time.Duration, float64) {
	share := s.traffic.aheadShare(r.Priority)
	usual := s.estimator.Usual()
	wait, drain := math.Inf(1), math.Inf(1)
	for i := range servers {
		v := &servers[i]
		perRequest := v.pace() * usual.Seconds() / float64(max(v.Slots, 1))
		wait = min(wait, max(float64(v.InFlight)*share-float64(v.Slots)+1, 0)*perRequest)
		drain = min(drain, max(float64(v.InFlight-v.Slots)+1, 0)*perRequest)
	}
	budget := max(s.objective(r).Sub(r.Start)-s.untilObjective(r), time.Millisecond)
	return min(seconds(wait), s.waitObserved(r, now)), drain / budget.Seconds()
}

// waitObserved returns how long a request waits at most by the last run that was no
// more urgent, a very long time if there was none recently.
func (s *service) waitObserved(r *Request, now time.Time) time.Duration {
	o := &s.lastWait
	age := now.Sub(o.at)
	if o.at.IsZero() || o.priority < clampPriority(r.Priority) || age > waitMemory {
		return math.MaxInt64 / 4
	}
	return o.wait + age
}

// heldBack reports whether a request is one of those that are held back first.
func (s *service) heldBack(r *Request, wait time.Duration, now time.Time) bool {
	return clampPriority(r.Priority) > s.traffic.mostUrgent() ||
		s.total(r) > muchWork*s.estimator.Usual() ||
		now.Add(wait+s.untilObjective(r)).After(s.objective(r)) ||
		s.traffic.allowance(r.Workspace) < 1
}

// refuse returns the refusal of a request. The caller should come back when the
// queues of the servers have drained to their slots, but while there is time left.
func (s *service) refuse(r *Request, servers []Server, now time.Time) Decision {
	drain := math.Inf(1)
	for i := range servers {
		v := &servers[i]
		excess := float64(max(v.InFlight-v.Slots+1, 0))
		drain = min(drain, excess*v.pace()*s.estimator.Usual().Seconds()/float64(max(v.Slots, 1)))
	}
	left := r.Deadline.Sub(now)
	after := seconds(drain * (1 + s.c.random()/2))
	after = min(max(after, minRetryAfter), left/3)
	if left-after < s.total(r) {
		after = 0
	}
	return Decision{Action: Refuse, RetryAfter: after}
}

// minRetryAfter is the least that a caller is told to wait.
const minRetryAfter = 10 * time.Millisecond

// pace returns how long work takes, relative to what is usual.
func (v *Server) pace() float64 {
	if v.Pace <= 0 {
		return 1
	}
	return v.Pace
}

// recordRun learns from a run that has ended.
func (s *service) recordRun(run Run, now time.Time) {
	s.used = now
	s.estimator.Record(&run, now)
	if !s.estimator.Known() {
		return
	}
	s.reserve = min(s.reserve+reservePerRun, 1)
	wait := max(run.First-s.estimator.First(run.PromptTokens), 0)
	s.lastWait = observedWait{priority: clampPriority(run.Priority), wait: wait, at: now}
	if len(s.queue) > 0 { // a slot is free that a waiting request may get
		s.credit += s.pressure.passing(now)
		s.releaseByCredit()
	}
}

// recordRefusal learns that a server is full.
func (s *service) recordRefusal(server string, now time.Time) {
	for id, at := range s.refusedAt {
		if now.Sub(at) >= fullFor {
			delete(s.refusedAt, id)
		}
	}
	s.refusedAt[server] = now
	s.pressure.recordRefusal(now)
}
