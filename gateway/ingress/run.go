package ingress

import (
	"context"
	"errors"
	"net/http"
	"time"

	"cassialatch.dev/gateway/call"
	"cassialatch.dev/gateway/catalog"
	"cassialatch.dev/gateway/route"
	"cassialatch.dev/gateway/upstream"
	"cassialatch.dev/gateway/warm"
)

// maxSends bounds the servers that one request is offered to, refusals
// included.
const maxSends = 4

// minRemaining is the least time left in which an attempt is worth making.
const minRemaining = 5 * time.Millisecond

// run sends the request until it has an answer or nothing more may be tried.
func (q *query) run(ctx context.Context, w http.ResponseWriter) {
	q.awaitLearned(ctx)
	attempts := 0 // those that may have run
	for sends := 0; sends < maxSends; sends++ {
		if q.remaining() < minRemaining {
			q.giveUp(w, ReasonDeadline, 0)
			return
		}
		if reject := q.stillAllowed(); reject != nil {
			q.rejectRunning(w, reject)
			return
		}
		server, chosen := q.choose()
		if server == nil {
			q.giveUp(w, ReasonNoServer, noServerRetry)
			return
		}
		if q.offered() && !q.h.Budget.Allow(q.service.Name) {
			q.giveUp(w, ReasonRetryBudget, fullRetry)
			return
		}
		again := q.attempt(ctx, w, server, chosen)
		if q.finished {
			return
		}
		if ctx.Err() != nil {
			q.interrupted(ctx, w)
			return
		}
		if q.last().ran() {
			attempts++
		}
		if !again || attempts >= max(q.route.MaxAttempts, 1) {
			break
		}
	}
	q.giveUp(w, q.last().Reason, fullRetry)
}

// maxLearnWait bounds how long a prompt waits at a daemon's start until it is
// known where its parts are cached.
const maxLearnWait = 600 * time.Millisecond

// awaitLearned keeps a prompt from being computed anew because the daemon has
// just started.
func (q *query) awaitLearned(ctx context.Context) {
	if len(q.call.SharedParts()) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, maxLearnWait)
	defer cancel()
	select {
	case <-q.h.CachesKnown:
	case <-ctx.Done():
	}
}

// offered tells whether a server has seen any of the request.
func (q *query) offered() bool {
	for i := range q.rec.Attempts {
		if q.rec.Attempts[i].Reason != ReasonNotSent {
			return true
		}
	}
	return false
}

// ran tells whether the server may have run the request.
func (a *Attempt) ran() bool {
	switch a.Reason {
	case ReasonNotSent, ReasonServerRefused, ReasonMisdirected:
		return false
	}
	return true
}

// refusedPrompt tells whether the server surely doesn't compute the prompt. One
// that broke off may have computed it.
func (a *Attempt) refusedPrompt() bool {
	return !a.ran() || a.Reason == ReasonServerError
}

func (q *query) last() *Attempt {
	if len(q.rec.Attempts) == 0 {
		return &Attempt{}
	}
	return &q.rec.Attempts[len(q.rec.Attempts)-1]
}

// attempt sends the request to one server. It returns whether another server
// may be tried.
func (q *query) attempt(ctx context.Context, w http.ResponseWriter, s *catalog.Server, chosen choice) bool {
	start := time.Now()
	q.tried[s.ID] = true
	q.rec.Attempts = append(q.rec.Attempts, Attempt{Server: s.ID, InFlight: chosen.InFlight, QueuedTokens: chosen.Queued, SharedTokens: q.sharedTokens(), MissingTokens: chosen.Missing, Cause: chosen.cause})
	a := q.last()
	q.entry = q.h.Loads.Begin(s.Tag(), q.toCompute(chosen.Missing))
	q.h.Warm.MarkPending(q.call.SharedParts(), warm.Holder(s.Tag()))
	if chosen.Missing > 0 {
		q.h.TriggerExchange()
	}
	defer func() {
		q.entry.End()
		a.Duration = time.Since(start)
		if a.refusedPrompt() {
			q.h.Warm.MarkRefused(q.call.SharedParts(), warm.Holder(s.Tag()))
		}
	}()
	if q.headWritten {
		q.rec.Resumptions++
	}
	if chosen.source != nil {
		a.FetchedFrom = chosen.source.ID
	}
	answer, err := q.h.Pool.Send(ctx, s, q.outgoing(s, chosen.source))
	if err != nil {
		return q.sendFailed(ctx, s, a, err)
	}
	a.Status = answer.Status
	switch {
	case answer.NotExecuted:
		return q.refused(s, a, answer)
	case answer.Status >= 200 && answer.Status < 300 && !answer.Signed:
		answer.Abort()
		return q.failed(s, a, ReasonResponseUnsigned, "")
	case answer.Status >= 200 && answer.Status < 300 && q.route.Kind == route.Stream:
		return q.stream(w, s, a, answer)
	default:
		return q.whole(w, s, a, answer)
	}
}

func (q *query) outgoing(s, source *catalog.Server) *upstream.Request {
	resume := q.lastID
	if resume == "" {
		resume = q.call.ResumeAfter
	}
	attempt := call.Attempt{
		ServerID:    s.ID,
		Deadline:    q.remaining(),
		Priority:    q.priority(),
		ResumeAfter: resume,
	}
	if source != nil {
		attempt.FetchFrom = source.Address
	}
	if q.ws != nil {
		attempt.Workspace = q.ws.Name
	}
	share := 0
	if q.service.MaxConns > 0 {
		share = max(q.service.MaxConns/max(q.h.FleetSize(), 1), 2)
	}
	return &upstream.Request{
		ID:       q.call.ID,
		Method:   q.method,
		Target:   q.target,
		Host:     q.host,
		Header:   q.h.Dialect.OutboundHeader(q.header, attempt),
		Body:     q.body,
		MaxConns: share,
	}
}

// sendFailed handles an attempt without an answer.
func (q *query) sendFailed(ctx context.Context, s *catalog.Server, a *Attempt, err error) bool {
	a.Detail = err.Error()
	var failure *upstream.Error
	if errors.As(err, &failure) && !failure.Sent {
		a.Reason = ReasonNotSent
		if ctx.Err() == nil && !errors.Is(err, upstream.ErrTooManyConns) {
			q.h.Health.RecordUnreachable(s.ID)
		}
		return true
	}
	q.ran = true
	a.Reason = ReasonConnectionBroken
	if ctx.Err() != nil {
		a.Reason = interruption(ctx)
		return false
	}
	// A server that has crashed refuses the next connection and then rests.
	q.h.Health.RecordFailure(s.ID)
	q.h.Suspects.RecordCrash(q.print)
	return q.route.Repeatable()
}

// refused handles a server that promises not to have run the request.
func (q *query) refused(s *catalog.Server, a *Attempt, answer *upstream.Response) bool {
	a.Reason = ReasonServerRefused
	if answer.Status == http.StatusMisdirectedRequest {
		a.Reason = ReasonMisdirected
		q.h.Health.RecordUnreachable(s.ID)
	} else {
		q.h.Health.RecordRefusal(s.ID)
	}
	drain(answer)
	return true
}

// failed handles an attempt whose answer can't be used.
func (q *query) failed(s *catalog.Server, a *Attempt, reason Reason, detail string) bool {
	a.Reason, a.Detail = reason, detail
	q.ran = true
	q.h.Health.RecordFailure(s.ID)
	return q.route.Repeatable()
}

// giveUp writes the final answer when no server has given one.
func (q *query) giveUp(w http.ResponseWriter, reason Reason, retryAfter time.Duration) {
	switch {
	case q.headWritten:
		q.abortCaller(reason)
	case q.kept != nil:
		q.kept.write(w, q.rec)
	case !q.ran:
		notRun(reason, retryAfter).write(w, q.rec)
	default:
		q.unknown(w, reason)
	}
}

// rejectRunning ends a request that is no longer allowed.
func (q *query) rejectRunning(w http.ResponseWriter, reject *rejection) {
	if q.ran {
		q.giveUp(w, reject.reason, 0)
		return
	}
	reject.write(w, q.rec)
}

// unknown tells that the request may have run.
func (q *query) unknown(w http.ResponseWriter, reason Reason) {
	status := http.StatusBadGateway
	if reason == ReasonDeadline {
		status = http.StatusGatewayTimeout
	}
	q.rec.Status, q.rec.Reason, q.rec.Outcome = status, reason, OutcomeUnknown
	w.Header().Set("Content-Length", "0")
	w.WriteHeader(status)
}

// interruption tells why a request's context has ended.
func interruption(ctx context.Context) Reason {
	if errors.Is(context.Cause(ctx), context.DeadlineExceeded) {
		return ReasonDeadline
	}
	return ReasonCallerLeft
}

// interrupted ends a request whose caller has left or whose time is over.
func (q *query) interrupted(ctx context.Context, w http.ResponseWriter) {
	if interruption(ctx) == ReasonDeadline {
		q.giveUp(w, ReasonDeadline, 0)
		return
	}
	q.rec.Outcome, q.rec.Reason = OutcomeCallerLeft, ReasonCallerLeft
	q.finished = true
	panic(http.ErrAbortHandler)
}

// abortCaller ends an answer that has begun so that it can't be taken for a
// whole one.
func (q *query) abortCaller(reason Reason) {
	q.rec.Outcome, q.rec.Reason = OutcomeUnknown, reason
	panic(http.ErrAbortHandler)
}
