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

// lostRaceError ends a copy of a hedged request when another copy has responded
// first, or when the copy is a hedge whose response is a server error.
type lostRaceError struct{}

// Error implements error.
func (lostRaceError) Error() string { return "router: the other copy answered first" }

// minFailedStatus is the lowest HTTP status with which a hedge cannot win.
const minFailedStatus = 500

// isHedgeable reports whether the request may be sent to a second backend server
// before the first one has responded. This holds for idempotent requests without a
// ticket, of the interactive classes short and chat, that are not suspected of
// crashing backend servers.
func (d *dispatch) isHedgeable() bool {
	start := d.req.Start
	class := dynamic.Class(start.Class)
	if !start.Idempotent || start.Ticket != "" || class != dynamic.ClassShort && class != dynamic.ClassChat {
		return false
	}
	suspect := d.router.opts.IsSuspect
	return suspect == nil || !suspect(start.Fingerprint)
}

// runHedged runs the request on a backend server, and also on a second one if the
// first has sent no part of its response after the delay. If no second backend
// server has capacity or the budget is exhausted, it tries again after each
// further delay.
func (d *dispatch) runHedged(ctx context.Context, first placement.Choice, delay time.Duration) error {
	race := newRace(ctx, d)
	defer race.stop()
	began := time.Now()
	race.startCopy(first, 0)
	ticker := time.NewTicker(delay)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			if choice, ok := d.chooseHedge(race); ok {
				d.excluded[choice.Backend] = true
				race.startCopy(choice, time.Since(began))
				ticker.Stop()
			}
		case <-race.copyEnded:
			if err, done := race.result(); done {
				return err
			}
		}
	}
}

// chooseHedge returns a second backend server that has free capacity, if no copy
// has won yet and the budget allows a hedge.
func (d *dispatch) chooseHedge(race *race) (placement.Choice, bool) {
	if race.hasWinner() {
		return placement.Choice{}, false
	}
	free := make(map[string]bool)
	for _, c := range d.router.Candidates(d.req.Start.Service) {
		free[c.Backend] = c.LoadKnown && !c.Leaving && float64(c.InFlight+c.Queued) < float64(c.Limit)*c.Weight
	}
	place := d.req.Placement
	place.Excluded = func(backend string) bool { return d.excluded[backend] || !free[backend] }
	choices := d.router.Plan(d.req.Start.Service, place)
	if len(choices) == 0 || !d.budget.hedges.Allow() {
		return placement.Choice{}, false
	}
	return choices[0], true
}

// race runs one request on up to two backend servers. The first copy that sends a
// part of its response wins. The other copy is cancelled, and no part of its
// response is forwarded.
type race struct {
	dispatch  *dispatch
	ctx       context.Context
	copyEnded chan struct{} // signals that a copy has ended
	running   sync.WaitGroup

	mu     sync.Mutex
	copies []*requestCopy
	winner *requestCopy
}

// newRace returns a race without copies.
func newRace(ctx context.Context, d *dispatch) *race {
	return &race{dispatch: d, ctx: ctx, copyEnded: make(chan struct{}, 1)}
}

// startCopy starts a copy of the request on a backend server. waited is the time
// since the start of the first copy, and zero for the first copy.
func (r *race) startCopy(choice placement.Choice, waited time.Duration) {
	ctx, cancel := context.WithCancel(r.ctx)
	c := &requestCopy{race: r, cancel: cancel, isHedge: waited > 0}
	r.mu.Lock()
	r.copies = append(r.copies, c)
	r.mu.Unlock()
	r.running.Go(func() {
		err := r.dispatch.execute(ctx, choice, waited, c)
		r.recordEnd(c, err)
	})
}

// recordEnd records the end of a copy and signals copyEnded.
func (r *race) recordEnd(c *requestCopy, err error) {
	r.mu.Lock()
	c.ended, c.err = true, err
	r.mu.Unlock()
	select {
	case r.copyEnded <- struct{}{}:
	default: // a signal is already pending
	}
}

// result returns the error of the request as soon as the winner or all copies have
// ended. Without a winner, an error with the outcome "unknown" takes precedence:
// the request may have run if any copy may have run.
func (r *race) result() (err error, done bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.winner != nil {
		return r.winner.err, r.winner.ended
	}
	for _, c := range r.copies {
		if !c.ended {
			return nil, false
		}
		if err == nil || outcome.From(c.err).Outcome == outcome.Unknown {
			err = c.err
		}
	}
	return err, true
}

// hasWinner reports whether a copy has won.
func (r *race) hasWinner() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.winner != nil
}

// tryWin reports whether a copy is the winner. The first copy that calls tryWin
// becomes the winner, and the others are cancelled.
func (r *race) tryWin(c *requestCopy) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.winner != nil {
		return r.winner == c
	}
	r.winner = c
	for _, other := range r.copies {
		if other != c {
			other.cancel()
		}
	}
	return true
}

// stop cancels all copies, waits for them to end and calls OnHedge if there was a
// hedge.
func (r *race) stop() {
	for _, c := range r.copies {
		c.cancel()
	}
	r.running.Wait()
	if len(r.copies) > 1 && r.dispatch.router.opts.OnHedge != nil {
		r.dispatch.router.opts.OnHedge(r.winner != nil && r.winner.isHedge)
	}
}

// requestCopy is one copy of a hedged request. It implements forward.Sink and
// delays the head of its response until the first data or the end arrives.
type requestCopy struct {
	race     *race
	cancel   context.CancelFunc
	isHedge  bool // not the first copy
	head     *forward.ResponseHead
	headSent bool // the head was forwarded

	ended bool  // guarded by race.mu
	err   error // guarded by race.mu
}

// Head implements forward.Sink. A hedge whose response is a server error does not
// win.
func (c *requestCopy) Head(head forward.ResponseHead) error {
	if c.isHedge && head.Status >= minFailedStatus {
		return lostRaceError{}
	}
	c.head = &head
	return nil
}

// Data implements forward.Sink.
func (c *requestCopy) Data(p []byte) error {
	if err := c.sendHead(); err != nil {
		return err
	}
	return c.race.dispatch.sink.Data(p)
}

// End implements forward.Sink.
func (c *requestCopy) End(end forward.ResponseEnd) error {
	if err := c.sendHead(); err != nil {
		return err
	}
	return c.race.dispatch.sink.End(end)
}

// sendHead forwards the head once, if this copy has won or wins now. Otherwise it
// returns lostRaceError.
func (c *requestCopy) sendHead() error {
	if c.headSent {
		return nil
	}
	if !c.race.tryWin(c) {
		return lostRaceError{}
	}
	c.headSent = true
	return c.race.dispatch.sink.Head(*c.head)
}
