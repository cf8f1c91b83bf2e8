package admission

import (
	"slices"
	"time"
)

// simServer is a server with a queue that the most urgent requests leave first.
type simServer struct {
	id         string
	tag        uint32
	slots      int
	queueLimit int
	preempts   bool
	downSince  time.Time // zero: not down
	stated     int       // slots in its entry
	full       bool      // refuses everything
	running    []*simRun
	queue      []*simRun // most urgent first
	busy       time.Duration
}

// simRun is a request at a server.
type simRun struct {
	q       *simRequest
	left    time.Duration // work until the end of the response
	started time.Time
	version int // of the event that ends it
	begun   bool
	first   time.Time // when the first event is due
	done    func(r *simRun)
}

// accept starts or queues a run. It returns false if the server is full.
func (s *simServer) accept(f *fleet, r *simRun) bool {
	if s.full {
		return false
	}
	if len(s.running) < s.slots {
		s.start(f, r)
		return true
	}
	if s.preempts {
		victim := slices.MaxFunc(s.running, func(a, b *simRun) int { return a.q.Priority - b.q.Priority })
		if victim.q.Priority > r.q.Priority && len(s.queue) < s.queueLimit {
			s.stop(f, victim)
			s.enqueue(victim)
			s.start(f, r)
			return true
		}
	}
	if len(s.queue) >= s.queueLimit {
		return false
	}
	s.enqueue(r)
	return true
}

func (s *simServer) enqueue(r *simRun) {
	i := len(s.queue)
	for i > 0 && s.queue[i-1].q.Priority > r.q.Priority {
		i--
	}
	s.queue = slices.Insert(s.queue, i, r)
}

func (s *simServer) start(f *fleet, r *simRun) {
	s.running = append(s.running, r)
	r.started = f.now
	if !r.begun {
		r.begun = true
		r.first = f.now.Add(r.q.first)
	}
	r.version++
	version := r.version
	f.after(r.left, func() {
		if r.version == version {
			s.stop(f, r)
			r.left = 0
			s.next(f)
			r.done(r)
		}
	})
}

// stop takes a run out of its slot.
func (s *simServer) stop(f *fleet, r *simRun) {
	r.version++
	r.left -= f.now.Sub(r.started)
	s.busy += f.now.Sub(r.started)
	s.running = slices.DeleteFunc(s.running, func(o *simRun) bool { return o == r })
}

// next starts the first run that waits.
func (s *simServer) next(f *fleet) {
	if len(s.queue) > 0 && len(s.running) < s.slots {
		r := s.queue[0]
		s.queue = s.queue[1:]
		s.start(f, r)
	}
}

// cancel ends a run whose caller has left.
func (s *simServer) cancel(f *fleet, r *simRun) {
	if slices.Contains(s.running, r) {
		s.stop(f, r)
		r.left = max(r.left, 1)
		s.next(f)
		return
	}
	s.queue = slices.DeleteFunc(s.queue, func(o *simRun) bool { return o == r })
}

// fail ends a server and all that runs or waits there. The callers of what ran get no
// response.
func (s *simServer) fail(f *fleet) {
	s.downSince = f.now
	for _, r := range append(slices.Clone(s.running), s.queue...) {
		r.version++
		r.q.entry.End()
		f.end(r.q, false)
	}
	s.running, s.queue = nil, nil
}
