package admission

import (
	"math"
	"time"
)

const (
	// maxWaiting is the number of requests of a service that wait at a daemon. Each
	// holds a connection of its caller and its body.
	maxWaiting = 256
	// reservePerRun is what each run that ends adds to the reserve of the requests that are
	// held back: one in eight is of these, however high the pressure. A quarter would cost
	// more of the urgent ones (docs/design/overload.md).
	reservePerRun = 1.0 / 8
	// oldestEvery is how often a release by credit goes to the oldest request instead
	// of the most valuable one.
	oldestEvery = 4
	// maxCredit limits the releases that are saved up.
	maxCredit = 1
	// minWork keeps logarithms finite.
	minWork = 1e-6
)

// hold puts a request into the queue, if it is not there yet. The more is held back, the
// less likely it is released in time, and the sooner its caller is told to come back.
func (s *service) hold(r *Request, now time.Time) {
	if r.queued {
		return
	}
	passing := s.pressure.passing(now)
	spare := s.objective(r).Sub(now) - s.untilObjective(r)
	r.holdUntil = now.Add(time.Duration(passing * passing * float64(max(spare, 0))))
	if !now.Before(r.holdUntil) {
		return
	}
	r.queued, r.arrived = true, now
	r.wake = make(chan struct{}, 1)
	r.rank = s.rankOf(r, now)
	s.queue = append(s.queue, r)
	s.c.waiting.Add(1)
	if len(s.queue) > maxWaiting {
		s.evict()
	}
}

// value returns the value that is lost by delay for the work that a request needs. Each
// priority is worth twice the next one, and so is a response within the objective.
func (s *service) value(r *Request, now time.Time) float64 {
	value := priorityValue(r.Priority)
	if !now.Add(s.untilObjective(r)).After(s.objective(r)) {
		value *= 2
	}
	usual := max(s.estimator.Usual().Seconds(), minWork)
	return value * usual / max(s.total(r).Seconds(), minWork)
}

// highestValue returns the value of a request of usual work that is the most urgent.
func (s *service) highestValue() float64 { return 2 * priorityValue(s.traffic.mostUrgent()) }

func priorityValue(priority int) float64 { return math.Exp2(-float64(clampPriority(priority))) }

// rankOf returns the place of a request in the order of releases. Requests whose value
// differs by less than half are equals.
func (s *service) rankOf(r *Request, now time.Time) int {
	return int(math.Round(math.Log2(s.value(r, now) * s.traffic.allowance(r.Workspace))))
}

// releaseByCredit releases as many requests as there is credit for.
func (s *service) releaseByCredit() {
	for s.credit >= 1 {
		s.releases++
		next := s.best()
		if s.releases%oldestEvery == 0 {
			next = s.oldest()
		}
		if next == nil {
			break
		}
		s.credit--
		s.release(next)
	}
	s.credit = min(s.credit, maxCredit)
}

// release lets a request be sent although all slots are taken.
func (s *service) release(r *Request) {
	r.released = true
	if w := s.traffic.workspaces[r.Workspace]; w != nil {
		w.releases++
	}
	r.wakeUp()
}

// best returns the waiting request that is to be released next; nil if there is none.
func (s *service) best() *Request {
	var best *Request
	for _, r := range s.queue {
		if !r.released && !r.evicted && (best == nil || s.before(r, best)) {
			best = r
		}
	}
	return best
}

// before reports whether a is released before b. Of equals, workspaces take turns, and
// then the latest is first: it is the most likely to meet its objective.
func (s *service) before(a, b *Request) bool {
	if a.rank != b.rank {
		return a.rank > b.rank
	}
	if x, y := s.releasesOf(a), s.releasesOf(b); x != y {
		return x < y
	}
	return a.arrived.After(b.arrived)
}

// releasesOf returns how many requests of the workspace were released recently.
func (s *service) releasesOf(r *Request) float64 {
	if w := s.traffic.workspaces[r.Workspace]; w != nil {
		return w.releases
	}
	return 0
}

// oldest returns the request that has waited longest; nil if there is none.
func (s *service) oldest() *Request {
	var oldest *Request
	for _, r := range s.queue {
		if !r.released && !r.evicted && (oldest == nil || r.arrived.Before(oldest.arrived)) {
			oldest = r
		}
	}
	return oldest
}

// evict ends the wait of the request that would be released last.
func (s *service) evict() {
	var last *Request
	for _, r := range s.queue {
		if !r.released && !r.evicted && (last == nil || s.before(last, r)) {
			last = r
		}
	}
	if last != nil {
		last.evicted = true
		last.wakeUp()
	}
}

// remove takes a request out of the queue.
func (s *service) remove(r *Request) {
	if !r.queued {
		return
	}
	r.queued = false
	for i, o := range s.queue {
		if o == r {
			last := len(s.queue) - 1
			s.queue[i], s.queue[last] = s.queue[last], nil
			s.queue = s.queue[:last]
			s.c.waiting.Add(-1)
			return
		}
	}
}

// nextCheck returns when a waiting request calls Decide again, unless it is woken. Only
// the first one looks for free slots, since that costs as much as a choice of a server.
func (s *service) nextCheck(r *Request, now time.Time) time.Duration {
	left := r.holdUntil.Sub(now)
	if s.best() == r {
		s.polling = r
		return min(left, pollInterval)
	}
	return left
}

// wakeFirst makes the first of the waiting requests look for a free slot, if none does.
func (s *service) wakeFirst() {
	if s.polling != nil && s.polling.queued {
		return
	}
	s.polling = s.best()
	if s.polling != nil {
		s.polling.wakeUp()
	}
}
