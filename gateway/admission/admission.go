// Package admission decides, while the servers of a service have too little
// capacity, which requests are sent, which wait at the daemon, and which are
// refused. What is held back first is what costs callers least: requests of low
// priority, with much work, or that are late. docs/design/overload.md describes
// the rules and what was weighed.
//
// It takes part only while every usable server has all slots taken by the counts
// at hand, and once it has learnt how long requests take. It has no goroutines: a
// request that waits calls Decide again when it is woken or when the wait that
// Decide returned is over.
package admission

import (
	"sync"
	"sync/atomic"
	"time"
)

// Server is what is known about a usable server.
type Server struct {
	ID       string
	InFlight int     // requests in flight from all daemons
	Slots    int     // requests that it runs at the same time; 0: unknown
	Pace     float64 // how long work takes, relative to what is usual; 0: as usual
}

// hasRoom reports whether the server has a free slot by the counts. A server that
// does not state its slots always has.
func (s *Server) hasRoom() bool { return s.Slots <= 0 || s.InFlight < s.Slots }

// Request is a request that is to be sent. Its exported fields must not be changed
// after the first call of Decide. The zero value of the others is ready to use.
type Request struct {
	Service       string
	Workspace     string    // empty on public routes
	Priority      int       // 0 is the most urgent
	PromptTokens  int       // of the prompt, to be computed
	OutputTokens  int       // expected at most
	Start         time.Time // when the caller sent it
	Objective     time.Time
	Deadline      time.Time
	StreamsEvents bool // the objective is for the first event

	counted   bool          // it was counted as an arrival
	queued    bool          // it is among the waiting ones
	released  bool          // it may be sent although all slots are taken
	evicted   bool          // it must not wait any longer
	arrived   time.Time     // when it began to wait
	holdUntil time.Time     // when its wait ends
	rank      int           // in the order of releases: higher first
	wake      chan struct{} // has capacity 1; nil before it waits
}

// Woken returns a channel that receives a value when Decide should be called again.
// It is nil, so that it never does, unless Decide has returned Wait.
func (r *Request) Woken() <-chan struct{} { return r.wake }

// wakeUp makes the request call Decide again.
func (r *Request) wakeUp() {
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

// Action is what to do with a request.
type Action int

// Actions.
const (
	Send   Action = iota // send it now
	Wait                 // call Decide again after Decision.Wait, or when woken
	Refuse               // refuse it as not run
)

// Decision is the result of Decide.
type Decision struct {
	Action     Action
	Wait       time.Duration // with Wait: at most this long
	RetryAfter time.Duration // with Refuse: when to come back; 0: it is of no use
}

// Controller decides for all services of a daemon. It is safe for concurrent use. A
// request must not be passed to it concurrently.
type Controller struct {
	now    func() time.Time
	random func() float64 // from 0 to 1

	waiting atomic.Int64
	// Times in Unix nanoseconds, of the latest such event of any service.
	refusalAt      atomic.Int64 // a server has refused a request
	insufficientAt atomic.Int64 // all slots were taken

	mu       sync.RWMutex
	services map[string]*service
}

// New returns a controller that knows no service times. The function random returns
// numbers from 0 to 1.
func New(now func() time.Time, random func() float64) *Controller {
	return &Controller{now: now, random: random, services: make(map[string]*service)}
}

// service returns the state of a service, which it adds if there is none.
func (c *Controller) service(name string) *service {
	c.mu.RLock()
	s := c.services[name]
	c.mu.RUnlock()
	if s != nil {
		return s
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if s = c.services[name]; s == nil {
		s = newService(c)
		c.services[name] = s
	}
	return s
}

// alertFor is how long after capacity was insufficient this package still takes part:
// until all daemons know the counts of that time.
const alertFor = 2 * time.Second

// Calm reports that no request waits, that no server has refused one just now, and that
// capacity was sufficient for a while. A request may then be sent without a call of
// Decide or Choose if a server has a free slot.
func (c *Controller) Calm() bool {
	return c.waiting.Load() == 0 && !c.within(&c.insufficientAt, alertFor) && !c.within(&c.refusalAt, fullFor)
}

// within reports whether an event was less than d ago.
func (c *Controller) within(at *atomic.Int64, d time.Duration) bool {
	last := at.Load()
	return last != 0 && c.now().UnixNano()-last < int64(d)
}

// Waiting returns the number of requests that wait.
func (c *Controller) Waiting() int { return int(c.waiting.Load()) }

// Decide decides about a request that may be sent to any of the servers, of which
// there is at least one. If it returns Wait, Leave must be called should the request
// end otherwise than by a later decision.
func (c *Controller) Decide(r *Request, servers []Server) Decision {
	s := c.service(r.Service)
	s.mu.Lock()
	defer s.mu.Unlock()
	d := s.decide(r, servers, c.now())
	if d.Action != Wait {
		s.remove(r)
		r.released = false // should the server refuse it
	}
	s.wakeFirst()
	return d
}

// Choose returns the index of the server to send a request without a prompt to, while
// the service lacks capacity or did so a moment ago; else -1. It is a random one. All
// daemons know much the same counts, which are up to 1 s old: if all chose the least
// loaded server, its queue would grow until they know, while others have free slots.
func (c *Controller) Choose(name string, servers []Server) int {
	if len(servers) == 0 || !c.within(&c.insufficientAt, alertFor) {
		return -1
	}
	s := c.service(name)
	s.mu.Lock()
	defer s.mu.Unlock()
	if c.now().Sub(s.insufficientAt) >= alertFor {
		return -1
	}
	return spread(servers, c.random)
}

// Leave ends the wait of a request, if it waits.
func (c *Controller) Leave(r *Request) {
	if r.wake == nil {
		return
	}
	s := c.service(r.Service)
	s.mu.Lock()
	defer s.mu.Unlock()
	if !r.queued {
		return
	}
	s.remove(r)
	if r.released {
		s.credit++ // another one may be sent instead
		s.releaseByCredit()
	}
	s.wakeFirst()
}

// Run describes a request that a server has answered.
type Run struct {
	Priority     int
	PromptTokens int           // that the server had to compute
	OutputTokens int           // expected at most
	First        time.Duration // from the send to the first event, or to the whole response
	Total        time.Duration // from the send to the end of the response
}

// RecordRun records how long a server took for a request.
func (c *Controller) RecordRun(name string, run Run) {
	s := c.service(name)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.recordRun(run, c.now())
}

// RecordRefusal records that a server has refused a request because it is full.
func (c *Controller) RecordRefusal(name string, server string) {
	now := c.now()
	s := c.service(name)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.recordRefusal(server, now)
	c.refusalAt.Store(now.UnixNano())
}

// Expire removes the state of services that were not used for a while.
func (c *Controller) Expire() {
	now := c.now()
	c.mu.Lock()
	defer c.mu.Unlock()
	for name, s := range c.services {
		s.mu.Lock()
		if len(s.queue) == 0 && now.Sub(s.used) > serviceTTL {
			delete(c.services, name)
		}
		s.mu.Unlock()
	}
}
