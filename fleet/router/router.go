// Package router selects a backend server for each request and sends the request
// to the home of that backend server, which is the daemon that admits its work.
//
// Plans are based on load reports that may be stale. The home decides with exact
// counts, and after a refusal the router plans again without that backend server.
// A request is repeated only if no part of its response has been forwarded, and if it
// has not run or is idempotent. Router is safe for concurrent use.
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

// maxAttempts bounds the number of attempts for one request. A hedge belongs to the
// attempt that it copies. After pauseAndReset the count starts again.
const maxAttempts = 4

// defaultRetryAfter is the retry delay sent to the caller when no backend server
// could be tried, so that no home has suggested a delay.
const defaultRetryAfter = time.Second

// Peers gives access to the homes on other daemons.
type Peers interface {
	// ExecutorFor returns the Executor of the daemon with the given peer address.
	ExecutorFor(address string) forward.Executor
}

// Options configures a Router.
type Options struct {
	SelfID    string
	Directory *member.Directory
	Loads     *loadtable.Table
	Planner   placement.Planner
	Local     forward.Executor // the home of this daemon
	Peers     Peers
	Config    func() *dynamic.Config        // active configuration, for the budgets; nil: defaults
	IsSuspect func(fingerprint uint64) bool // suspected of crashing backend servers; nil: none is
	OnRetry   func()                        // called after each failed attempt that may be retried; nil: not called
	OnHedge   func(won bool)                // called after each hedged request; won: the hedge responded first; nil: not called
}

// Router routes requests to backend servers. It is safe for concurrent use.
type Router struct {
	opts        Options
	budgets     budgets
	firstTokens firstTokenTimes
}

// New returns a Router.
func New(opts Options) *Router {
	if opts.Config == nil {
		opts.Config = func() *dynamic.Config { return nil }
	}
	return &Router{
		opts:        opts,
		budgets:     budgets{byService: make(map[string]*budget)},
		firstTokens: firstTokenTimes{now: time.Now, kinds: make(map[requestKind]*kindStats)},
	}
}

// Request is a request to route.
type Request struct {
	Start     *peerpb.ForwardStart // all fields but Backend
	Body      []byte
	Placement placement.Request

	Stream bool // the response is streamed token by token
}

// Route runs a request on a backend server of its service and writes the response
// to sink. It hedges within the hedge budget of the service; see mayRetry for the
// retries that are charged to the retry budget.
func (r *Router) Route(ctx context.Context, req Request, sink forward.Sink) error {
	d := r.newDispatch(req, sink)
	d.budget.retries.RecordRequest()
	d.budget.hedges.RecordRequest()
	var last error
	for d.attemptsLeft = maxAttempts; d.attemptsLeft > 0; d.attemptsLeft-- {
		choice, ok := d.plan()
		if !ok && (d.retryUnreached() || d.pauseAndReset(ctx)) {
			choice, ok = d.plan()
		}
		if !ok {
			break
		}
		err := d.run(ctx, choice)
		if err == nil {
			return nil
		}
		if isUnreached(err) {
			d.unreached = append(d.unreached, choice.Backend)
		}
		last = d.recordFailure(err)
		if !d.mayRetry(ctx, err) {
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

// dispatch is the state of one request across its attempts.
type dispatch struct {
	router        *Router
	req           Request
	sink          *trackingSink
	budget        *budget
	excluded      map[string]bool // backend servers already tried
	unreached     []string        // those of them whose home was not reached
	retried       bool            // retryUnreached has made them eligible again
	firstUnknown  error           // first failure after which the request may have run
	homeLost      bool            // a home was lost while it handled this request
	backendFailed bool            // a backend server failed while it ran this request
	reset         bool            // pauseAndReset was called
	attemptsLeft  int
}

// retryUnreached makes the backend servers eligible again whose home was not reached,
// at most once for each request. A home that was not reached has decided nothing, and
// another daemon may be the home by now.
func (d *dispatch) retryUnreached() bool {
	if d.retried || len(d.unreached) == 0 {
		return false
	}
	d.retried = true
	for _, backend := range d.unreached {
		delete(d.excluded, backend)
	}
	return true
}

// resetPause is the pause of pauseAndReset.
const resetPause = 500 * time.Millisecond

// pauseAndReset waits for resetPause and makes all backend servers eligible again,
// at most once for each request. It applies to idempotent requests that were lost
// with a home or a backend server and then refused by all others. Without it, the
// caller would receive the outcome "unknown" and could only repeat the request.
func (d *dispatch) pauseAndReset(ctx context.Context) bool {
	if d.firstUnknown == nil || d.reset || !d.req.Start.Idempotent {
		return false
	}
	d.reset = true
	select {
	case <-ctx.Done():
		return false
	case <-time.After(resetPause):
	}
	clear(d.excluded)
	d.attemptsLeft = maxAttempts
	return true
}

// isUnreached reports whether err means that the home of a backend server was not
// reached, so that the request did not run.
func isUnreached(err error) bool {
	e := outcome.From(err)
	return e.Outcome == outcome.NotRun && e.Code == outcome.CodePeerFailed
}

// recordFailure returns the error of the whole request after a failed attempt. If
// an earlier attempt may have run, the request may have run too, even if this
// attempt did not run; the earlier error is returned then.
func (d *dispatch) recordFailure(err error) error {
	e := outcome.From(err)
	if e.Outcome == outcome.NotRun && d.firstUnknown != nil {
		return d.firstUnknown
	}
	if e.Outcome == outcome.Unknown && d.firstUnknown == nil {
		d.firstUnknown = err
	}
	return err
}

// newDispatch returns the state for a new request.
func (r *Router) newDispatch(req Request, sink forward.Sink) *dispatch {
	k := requestKind{service: req.Start.Service, class: req.Start.Class, stream: req.Stream}
	began := time.Now()
	return &dispatch{
		router:   r,
		req:      req,
		sink:     &trackingSink{Sink: sink, onFirstData: func() { r.firstTokens.add(k, time.Since(began)) }},
		budget:   r.budgets.forService(req.Start.Service, r.opts.Config()),
		excluded: make(map[string]bool),
	}
}

// plan returns the best backend server that has not been tried yet.
func (d *dispatch) plan() (placement.Choice, bool) {
	place := d.req.Placement
	place.Excluded = func(backend string) bool { return d.excluded[backend] }
	choices := d.router.Plan(d.req.Start.Service, place)
	if len(choices) == 0 {
		return placement.Choice{}, false
	}
	return choices[0], true
}

// run runs the request on a backend server. It may send a hedge if the request is
// hedgeable and the hedge delay is known.
func (d *dispatch) run(ctx context.Context, choice placement.Choice) error {
	k := requestKind{service: d.req.Start.Service, class: d.req.Start.Class, stream: d.req.Stream}
	delay, known := d.router.firstTokens.hedgeDelay(k)
	d.excluded[choice.Backend] = true
	if known && d.isHedgeable() {
		return d.runHedged(ctx, choice, delay)
	}
	return d.execute(ctx, choice, 0, d.sink)
}

// execute sends the request to the home of a backend server. waited is the time
// already spent on the request; it is subtracted from the deadline.
func (d *dispatch) execute(ctx context.Context, choice placement.Choice, waited time.Duration, sink forward.Sink) error {
	start := cloneStart(d.req.Start)
	start.Backend = choice.Backend
	start.DeadlineMs -= min(start.DeadlineMs, uint32(waited.Milliseconds()))
	executor, err := d.router.executorFor(choice.Backend)
	if err != nil {
		return err
	}
	return executor.Execute(ctx, start, d.req.Body, sink)
}

// mayRetry reports whether the request may be tried on another backend server
// after err. It is never retried if err does not permit another plan, ctx has
// ended, or a part of the response has been forwarded. Otherwise, a request that
// has not run may be retried, and a request that may have run may be retried once
// if it is idempotent and the retry budget allows it. The first loss of a home is
// neither counted nor charged to the budget: when a daemon fails, many requests are
// lost at once, and each of them is repeated at most once.
func (d *dispatch) mayRetry(ctx context.Context, err error) bool {
	e := outcome.From(err)
	if !e.Replan || ctx.Err() != nil || d.sink.started {
		return false
	}
	if e.Outcome == outcome.NotRun {
		return true
	}
	if !d.req.Start.Idempotent {
		return false
	}
	if e.Code == outcome.CodePeerFailed && !d.homeLost {
		d.homeLost = true
		return true
	}
	if d.backendFailed { // the request itself may cause the failures
		return false
	}
	d.backendFailed = true
	return d.budget.retries.Allow()
}

// executorFor returns the Executor of a backend server's home.
func (r *Router) executorFor(backend string) (forward.Executor, error) {
	home, ok := r.opts.Directory.Home(backend)
	switch {
	case !ok:
		return nil, outcome.NewNotRun(outcome.CodeNotHome, "no home is known").WithReplan()
	case home.ID == r.opts.SelfID:
		return r.opts.Local, nil
	default:
		return r.opts.Peers.ExecutorFor(home.Peer), nil
	}
}

// Plan returns the backend servers of a service to try, best first.
func (r *Router) Plan(service string, place placement.Request) []placement.Choice {
	return r.opts.Planner.Plan(place, r.Candidates(service))
}

// Candidates returns the backend servers of a service with their reported load.
func (r *Router) Candidates(service string) []placement.Candidate {
	servers := r.opts.Directory.Servers(service)
	candidates := make([]placement.Candidate, len(servers))
	r.opts.Loads.View(func(summary func(string) loadtable.Summary) {
		for i, server := range servers {
			candidates[i] = newCandidate(server, summary(server.ID))
		}
	})
	return candidates
}

// newCandidate combines a backend server with its load summary.
func newCandidate(server member.Server, sum loadtable.Summary) placement.Candidate {
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

// trackingSink records whether any part of a response was forwarded.
type trackingSink struct {
	forward.Sink
	started     bool   // Head was called
	hasData     bool   // Data was called
	onFirstData func() // called at the first Data; nil: not called
}

// Head implements forward.Sink.
func (s *trackingSink) Head(head forward.ResponseHead) error {
	s.started = true
	return s.Sink.Head(head)
}

// Data implements forward.Sink.
func (s *trackingSink) Data(p []byte) error {
	if !s.hasData && s.onFirstData != nil {
		s.onFirstData()
	}
	s.hasData = true
	return s.Sink.Data(p)
}

// cloneStart returns a copy of start for one attempt, so that attempts do not share
// a message. Backend, Nonce and Ticket are not copied.
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
