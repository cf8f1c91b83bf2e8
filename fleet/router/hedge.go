package router

import (
	"context"
	"sync"
	"time"

	"cassialatch.dev/config/dynamic"
	"cassialatch.dev/fleet/forward"
	"cassialatch.dev/fleet/placement"
	"cassialatch.dev/outcome"
)

// lostRaceError ends the copy of a hedged request that did not answer first.
type lostRaceError struct{}

// Error implements error.
func (lostRaceError) Error() string { return "router: the other copy answered first" }

// failedStatus is the lowest status of an answer with which a hedge cannot win.
const failedStatus = 500

// hedgeable reports whether the request may be sent to a second backend server
// while the first one has not answered: idempotent work that a person waits
// for and that is not suspected of crashing backend servers.
func (a *attempt) hedgeable() bool {
	start := a.req.Start
	class := dynamic.Class(start.Class)
	if !start.Idempotent || start.Ticket != "" || class != dynamic.ClassShort && class != dynamic.ClassChat {
		return false
	}
	suspect := a.router.opts.IsSuspect
	return suspect == nil || !suspect(start.Fingerprint)
}

// runHedged runs the request on a backend server, and on a second one too when
// the first has sent nothing of its answer after the delay. While no second one
// has room or the budget is spent, it looks again after each further delay.
func (a *attempt) runHedged(ctx context.Context, first placement.Choice, delay time.Duration) error {
	race := newRace(ctx, a)
	defer race.stop()
	began := time.Now()
	race.enter(first, 0)
	ticker := time.NewTicker(delay)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			if choice, ok := a.hedgeChoice(race); ok {
				a.excluded[choice.Backend] = true
				race.enter(choice, time.Since(began))
				ticker.Stop()
			}
		case <-race.changed:
			if err, over := race.result(); over {
				return err
			}
		}
	}
}

// hedgeChoice returns a second backend server that has room, if the budget
// allows a hedge.
func (a *attempt) hedgeChoice(race *race) (placement.Choice, bool) {
	if race.decided() {
		return placement.Choice{}, false
	}
	free := make(map[string]bool)
	for _, c := range a.router.Candidates(a.req.Start.Service) {
		free[c.Backend] = c.LoadKnown && !c.Leaving && float64(c.InFlight+c.Queued) < float64(c.Limit)*c.Weight
	}
	place := a.req.Placement
	place.Excluded = func(backend string) bool { return a.excluded[backend] || !free[backend] }
	choices := a.router.Plan(a.req.Start.Service, place)
	if len(choices) == 0 || !a.budget.hedges.Allow() {
		return placement.Choice{}, false
	}
	return choices[0], true
}

// race is one request that runs on up to two backend servers. The first copy
// that sends a part of its answer wins; the other one is cancelled, and nothing
// of its answer is passed on.
type race struct {
	attempt *attempt
	ctx     context.Context
	changed chan struct{} // a copy has ended
	copies  sync.WaitGroup

	mu       sync.Mutex
	entrants []*entrant
	winner   *entrant
}

// newRace returns a race without entrants.
func newRace(ctx context.Context, a *attempt) *race {
	return &race{attempt: a, ctx: ctx, changed: make(chan struct{}, 1)}
}

// enter starts a copy of the request on a backend server.
func (r *race) enter(choice placement.Choice, waited time.Duration) {
	ctx, cancel := context.WithCancel(r.ctx)
	e := &entrant{race: r, cancel: cancel, hedge: waited > 0}
	r.mu.Lock()
	r.entrants = append(r.entrants, e)
	r.mu.Unlock()
	r.copies.Go(func() {
		err := r.attempt.execute(ctx, choice, waited, e)
		r.ended(e, err)
	})
}

// ended notes the end of a copy.
func (r *race) ended(e *entrant, err error) {
	r.mu.Lock()
	e.ended, e.err = true, err
	r.mu.Unlock()
	select {
	case r.changed <- struct{}{}:
	default: // told already
	}
}

// result returns how the request ended, once the winner or all copies have.
// When none won, it may have run if one copy may have.
func (r *race) result() (err error, over bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.winner != nil {
		return r.winner.err, r.winner.ended
	}
	for _, e := range r.entrants {
		if !e.ended {
			return nil, false
		}
		if err == nil || outcome.From(e.err).Outcome == outcome.Unknown {
			err = e.err
		}
	}
	return err, true
}

// decided reports whether a copy has won.
func (r *race) decided() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.winner != nil
}

// claim reports whether a copy is the winner, which it is when it asks first.
// The others are cancelled.
func (r *race) claim(e *entrant) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.winner != nil {
		return r.winner == e
	}
	r.winner = e
	for _, other := range r.entrants {
		if other != e {
			other.cancel()
		}
	}
	return true
}

// stop cancels what still runs, waits for it and tells how a hedge went.
func (r *race) stop() {
	for _, e := range r.entrants {
		e.cancel()
	}
	r.copies.Wait()
	if len(r.entrants) > 1 && r.attempt.router.opts.OnHedge != nil {
		r.attempt.router.opts.OnHedge(r.winner != nil && r.winner.hedge)
	}
}

// entrant is one copy of a hedged request. It implements forward.Sink and holds
// its head back until there is something to pass on.
type entrant struct {
	race   *race
	cancel context.CancelFunc
	hedge  bool // not the first copy
	head   *forward.Head
	passed bool // the head was passed on

	ended bool // race.mu guards it and err
	err   error
}

// Head implements forward.Sink. A hedge that fails does not win.
func (e *entrant) Head(head forward.Head) error {
	if e.hedge && head.Status >= failedStatus {
		return lostRaceError{}
	}
	e.head = &head
	return nil
}

// Data implements forward.Sink.
func (e *entrant) Data(p []byte) error {
	if err := e.begin(); err != nil {
		return err
	}
	return e.race.attempt.sink.Data(p)
}

// End implements forward.Sink.
func (e *entrant) End(end forward.End) error {
	if err := e.begin(); err != nil {
		return err
	}
	return e.race.attempt.sink.End(end)
}

// begin passes the head on if this copy has won.
func (e *entrant) begin() error {
	if e.passed {
		return nil
	}
	if !e.race.claim(e) {
		return lostRaceError{}
	}
	e.passed = true
	return e.race.attempt.sink.Head(*e.head)
}
