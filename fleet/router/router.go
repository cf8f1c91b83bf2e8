// Package router plans where a request runs and hands it to the home of the
// chosen backend server. The plan rests on figures that are some time old;
// the home decides on exact counts, and the router plans again without the
// backend servers whose homes refused.
package router

import (
	"context"
	"time"

	"cassialatch.dev/config/dynamic"
	"cassialatch.dev/fleet/forward"
	"cassialatch.dev/fleet/loadtable"
	"cassialatch.dev/fleet/member"
	"cassialatch.dev/fleet/placement"
	"cassialatch.dev/outcome"
	"cassialatch.dev/wire/peerpb"
	"cassialatch.dev/wire/platformapi"
)

// maxAttempts bounds how often one request is planned.
const maxAttempts = 4

// defaultRetryAfter is advised when no home gave better advice.
const defaultRetryAfter = time.Second

// Peers runs requests at other daemons.
type Peers interface {
	// To returns the Executor of the daemon with a peer address.
	To(address string) forward.Executor
}

// Options configure a Router.
type Options struct {
	SelfID    string
	Directory *member.Directory
	Loads     *loadtable.Table
	Planner   placement.Planner
	Local     forward.Executor // the home of this daemon
	Peers     Peers
	Config    func() *dynamic.Config        // in force, with the budgets; nil: defaults
	IsSuspect func(fingerprint uint64) bool // of crashing backend servers; nil: none is
	OnRetry   func()                        // called for each further attempt; nil: not called
	OnHedge   func(won bool)                // called after each hedged request; nil: not called
}

// Router places requests. It is safe for concurrent use.
type Router struct {
	opts        Options
	budgets     budgets
	firstTokens firstTokens
}

// New returns a Router.
func New(opts Options) *Router {
	if opts.Config == nil {
		opts.Config = func() *dynamic.Config { return nil }
	}
	return &Router{
		opts:        opts,
		budgets:     budgets{byService: make(map[string]*budget)},
		firstTokens: firstTokens{now: time.Now, kinds: make(map[kind]*observed)},
	}
}

// Request is a request to place.
type Request struct {
	Start     *peerpb.ForwardStart // all but the backend server
	Body      []byte
	Placement placement.Request

	Stream bool // the answer comes token by token
}

// Route runs a request on a backend server of its service.
func (r *Router) Route(ctx context.Context, req Request, sink forward.Sink) error {
	attempt := r.newAttempt(req, sink)
	attempt.budget.retries.RecordRequest()
	attempt.budget.hedges.RecordRequest()
	var last error
	for attempt.left = maxAttempts; attempt.left > 0; attempt.left-- {
		choice, ok := attempt.plan()
		if !ok && attempt.rest(ctx) {
			choice, ok = attempt.plan()
		}
		if !ok {
			break
		}
		err := attempt.run(ctx, choice)
		if err == nil {
			return nil
		}
		last = attempt.noteFailure(err)
		if !attempt.again(ctx, err) {
			return last
		}
		if r.opts.OnRetry != nil {
			r.opts.OnRetry()
		}
	}
	if last != nil {
		return last
	}
	return outcome.NewNotRun(outcome.CodeNoBackend, "no backend server can take the request").WithRetryAfter(defaultRetryAfter)
}

// attempt is the work on one request.
type attempt struct {
	router   *Router
	req      Request
	sink     *startedSink
	budget   *budget
	excluded map[string]bool
	unclear  error // the first failure after which the request may have run
	lostHome bool  // a home was lost with this request
	failed   bool  // a backend server failed with this request
	rested   bool  // see rest
	left     int   // attempts
}

// restTime is the pause before a request that was lost is tried anew.
const restTime = 500 * time.Millisecond

// rest waits and lets all backend servers be tried once more. It is for an
// idempotent request that was lost with a home or a server and refused by all
// others since: its caller would hear "unknown", with nothing to do but repeat
// it.
func (a *attempt) rest(ctx context.Context) bool {
	if a.unclear == nil || a.rested || !a.req.Start.Idempotent {
		return false
	}
	a.rested = true
	select {
	case <-ctx.Done():
		return false
	case <-time.After(restTime):
	}
	clear(a.excluded)
	a.left = maxAttempts
	return true
}

// noteFailure returns what a failed attempt says about the whole request: when
// an earlier one may have run, "not run" holds for the last one only.
func (a *attempt) noteFailure(err error) error {
	e := outcome.From(err)
	if e.Outcome == outcome.NotRun && a.unclear != nil {
		return a.unclear
	}
	if e.Outcome == outcome.Unknown && a.unclear == nil {
		a.unclear = err
	}
	return err
}

// newAttempt returns the work on a request.
func (r *Router) newAttempt(req Request, sink forward.Sink) *attempt {
	k := kind{service: req.Start.Service, class: req.Start.Class, stream: req.Stream}
	began := time.Now()
	return &attempt{
		router:   r,
		req:      req,
		sink:     &startedSink{Sink: sink, onData: func() { r.firstTokens.add(k, time.Since(began)) }},
		budget:   r.budgets.of(req.Start.Service, r.opts.Config()),
		excluded: make(map[string]bool),
	}
}

// plan returns the best backend server that has not refused.
func (a *attempt) plan() (placement.Choice, bool) {
	place := a.req.Placement
	place.Excluded = func(backend string) bool { return a.excluded[backend] }
	choices := a.router.Plan(a.req.Start.Service, place)
	if len(choices) == 0 {
		return placement.Choice{}, false
	}
	return choices[0], true
}

// run runs the request on a backend server, with a hedge where that may help.
func (a *attempt) run(ctx context.Context, choice placement.Choice) error {
	k := kind{service: a.req.Start.Service, class: a.req.Start.Class, stream: a.req.Stream}
	delay, known := a.router.firstTokens.delay(k)
	a.excluded[choice.Backend] = true
	if known && a.hedgeable() {
		return a.runHedged(ctx, choice, delay)
	}
	return a.execute(ctx, choice, 0, a.sink)
}

// execute hands the request to the home of a backend server. It has waited that
// long already.
func (a *attempt) execute(ctx context.Context, choice placement.Choice, waited time.Duration, sink forward.Sink) error {
	start := cloneStart(a.req.Start)
	start.Backend = choice.Backend
	start.DeadlineMs -= min(start.DeadlineMs, uint32(waited.Milliseconds()))
	executor, err := a.router.homeOf(choice.Backend)
	if err != nil {
		return err
	}
	return executor.Execute(ctx, start, a.req.Body, sink)
}

// again reports whether the request may be tried on another backend server: a
// request that has not run always, one that may have run only when it is
// idempotent, nothing of its answer has been passed on and the budget allows.
// The first loss of a home is free of the budget: a daemon that dies takes many
// requests with it at once, each of which is repeated once at most.
func (a *attempt) again(ctx context.Context, err error) bool {
	e := outcome.From(err)
	if !e.Replan || ctx.Err() != nil || a.sink.started {
		return false
	}
	if e.Outcome == outcome.NotRun {
		return true
	}
	if !a.req.Start.Idempotent {
		return false
	}
	if e.Code == outcome.CodePeerFailed && !a.lostHome {
		a.lostHome = true
		return true
	}
	if a.failed { // it may be what makes backend servers fail
		return false
	}
	a.failed = true
	return a.budget.retries.Allow()
}

// homeOf returns the Executor of a backend server's home.
func (r *Router) homeOf(backend string) (forward.Executor, error) {
	home, ok := r.opts.Directory.Home(backend)
	switch {
	case !ok:
		return nil, outcome.NewNotRun(outcome.CodeNotHome, "no home is known").WithReplan()
	case home.ID == r.opts.SelfID:
		return r.opts.Local, nil
	default:
		return r.opts.Peers.To(home.Peer), nil
	}
}

// Plan returns the backend servers of a service worth trying, best first.
func (r *Router) Plan(service string, place placement.Request) []placement.Choice {
	return r.opts.Planner.Plan(place, r.Candidates(service))
}

// Candidates returns what is known of a service's backend servers.
func (r *Router) Candidates(service string) []placement.Candidate {
	servers := r.opts.Directory.Servers(service)
	candidates := make([]placement.Candidate, len(servers))
	r.opts.Loads.View(func(summary func(string) loadtable.Summary) {
		for i, server := range servers {
			candidates[i] = candidate(server, summary(server.ID))
		}
	})
	return candidates
}

// candidate joins a backend server with what is known of its load.
func candidate(server member.Server, sum loadtable.Summary) placement.Candidate {
	weight := 1.0
	if sum.Known {
		weight = sum.Weight
	}
	return placement.Candidate{
		Backend:   server.ID,
		Zone:      server.Zone,
		LoadKnown: sum.Known,
		InFlight:  sum.InFlight,
		Queued:    sum.Queued,
		Limit:     sum.Limit,
		Weight:    weight,
		Leaving:   sum.Leaving || server.State == platformapi.StateLeaving,
	}
}

// startedSink remembers whether any part of an answer was passed on.
type startedSink struct {
	forward.Sink
	started bool
	data    bool
	onData  func() // called at the first data; nil: not called
}

// Head implements forward.Sink.
func (s *startedSink) Head(head forward.Head) error {
	s.started = true
	return s.Sink.Head(head)
}

// Data implements forward.Sink.
func (s *startedSink) Data(p []byte) error {
	if !s.data && s.onData != nil {
		s.onData()
	}
	s.data = true
	return s.Sink.Data(p)
}

// cloneStart copies a start, so that attempts do not share a message.
func cloneStart(start *peerpb.ForwardStart) *peerpb.ForwardStart {
	return &peerpb.ForwardStart{
		RequestId:   start.RequestId,
		Service:     start.Service,
		Workspace:   start.Workspace,
		Class:       start.Class,
		DeadlineMs:  start.DeadlineMs,
		Method:      start.Method,
		Path:        start.Path,
		Headers:     start.Headers,
		Idempotent:  start.Idempotent,
		Cost:        start.Cost,
		Fingerprint: start.Fingerprint,
		Priority:    start.Priority,
		Weight:      start.Weight,
	}
}
