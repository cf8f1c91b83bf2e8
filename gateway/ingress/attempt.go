package ingress

import (
	"context"
	"errors"
	"net/http"
	"time"

	"cassialatch.dev/gateway/cacheindex"
	"cassialatch.dev/gateway/call"
	"cassialatch.dev/gateway/catalog"
	"cassialatch.dev/gateway/memory"
	"cassialatch.dev/gateway/route"
	"cassialatch.dev/gateway/upstream"
)

// mayHaveRun reports whether the server may have run the request.
func (a *Attempt) mayHaveRun() bool {
	switch a.Reason {
	case ReasonNotSent, ReasonServerRefused, ReasonMisdirected:
		return false
	}
	return true
}

// promptNotComputed reports whether it is certain that the server doesn't compute
// the prompt. A server whose connection broke may have computed it.
func (a *Attempt) promptNotComputed() bool {
	return !a.mayHaveRun() || a.Reason == ReasonServerError
}

// newAttempt returns the attempt at the chosen server, which begins now.
func newAttempt(s *catalog.Server, chosen *choice, sharedTokens int) Attempt {
	return Attempt{
		start:         time.Now(),
		Server:        s.ID,
		InFlight:      chosen.InFlight,
		QueuedTokens:  chosen.QueuedTokens,
		SharedTokens:  sharedTokens,
		MissingTokens: chosen.MissingTokens,
		Pace:          chosen.Pace,
		Cause:         chosen.cause,
		Cold:          chosen.cold,
	}
}

// attempt sends the request to the chosen server. It returns whether another
// server may be tried.
func (q *request) attempt(ctx context.Context, w http.ResponseWriter, s *catalog.Server, chosen choice) bool {
	q.tried[s.ID] = true
	q.rec.Attempts = append(q.rec.Attempts, newAttempt(s, &chosen, q.sharedTokens()))
	a := q.lastAttempt()
	q.loadEntry = q.h.Loads.Begin(s.Tag(), q.tokensToCompute(chosen.MissingTokens))
	q.h.CacheIndex.MarkPending(q.call.SharedParts(), cacheindex.Holder(s.Tag()))
	if chosen.MissingTokens > 0 {
		q.h.TriggerExchange()
	}
	defer func() {
		q.loadEntry.End()
		a.Duration = time.Since(a.start)
		q.recordRun(a)
		if a.promptNotComputed() {
			q.h.CacheIndex.MarkRefused(q.call.SharedParts(), cacheindex.Holder(s.Tag()))
		}
	}()
	if q.headerWritten {
		q.rec.Resumptions++
	}
	if chosen.source != nil {
		a.FetchedFrom = chosen.source.ID
	}
	q.releaseResponse()
	resp, err := q.h.Pool.Send(ctx, s, q.upstreamRequest(s, chosen.source))
	if err != nil {
		return q.handleSendError(ctx, s, a, err)
	}
	defer resp.Abort() // does nothing unless forwarding panics
	a.Status = resp.Status
	q.recordAvoid(s, a, resp)
	q.recordResponse(s, a, resp)
	switch {
	case resp.NotExecuted:
		return q.handleRefusal(s, a, resp)
	case resp.Status >= 200 && resp.Status < 300 && !resp.Signed:
		resp.Abort()
		return q.handleFailure(s, a, ReasonResponseUnsigned, "")
	case promisesNotRun(resp.Status) && !q.route.Repeatable():
		drain(resp)
		return q.handleFailure(s, a, ReasonServerError, "status promises that the request has not run, but it may have")
	case resp.Status >= 200 && resp.Status < 300 && q.route.Kind == route.Stream:
		return q.forwardStream(ctx, w, s, a, resp)
	default:
		return q.forwardPlain(ctx, w, s, a, resp)
	}
}

// promisesNotRun reports whether callers take a status for the promise that the
// request has not run and will not run.
func promisesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// upstreamRequest returns the request to send to server s, which may fetch cached
// parts of the prompt from source.
func (q *request) upstreamRequest(s, source *catalog.Server) *upstream.Request {
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
	return &upstream.Request{
		ID:       q.call.ID,
		Method:   q.method,
		Target:   q.target,
		Host:     q.host,
		Header:   q.h.Dialect.OutboundHeader(q.header, attempt),
		Body:     q.body,
		MaxConns: q.maxConns(),
		Memory:   &q.rec.response,
	}
}

// MinConns is the number of connections that each daemon may have to one server in any
// case.
const MinConns = 2

// maxConns returns how many connections this daemon may have to one server; 0: no
// limit.
func (q *request) maxConns() int {
	if q.service.MaxConns <= 0 {
		return 0
	}
	return max(q.service.MaxConns/max(q.h.FleetSize(), 1), MinConns)
}

// handleSendError handles an attempt that received no response. It returns
// whether another server may be tried.
func (q *request) handleSendError(ctx context.Context, s *catalog.Server, a *Attempt, err error) bool {
	a.Detail = err.Error()
	var failure *upstream.Error
	if errors.As(err, &failure) && !failure.Sent {
		a.Reason = ReasonNotSent
		if ctx.Err() == nil && !errors.Is(err, upstream.ErrTooManyConns) {
			q.recordUnreachable(s, a, err)
		}
		return true
	}
	q.mayHaveRun = true
	if errors.Is(err, memory.ErrFull) {
		return q.handleNoMemory(a)
	}
	a.Reason = ReasonConnectionBroken
	if ctx.Err() != nil {
		a.Reason = interruptReason(ctx)
		return false
	}
	q.h.Health.RecordFailure(s.ID)
	if failure != nil && failure.Lost {
		q.recordBroken(ctx, s, a)
	}
	return q.route.Repeatable()
}

// handleRefusal handles a response which guarantees that the server has not run
// the request. It always returns true: another server may be tried.
func (q *request) handleRefusal(s *catalog.Server, a *Attempt, resp *upstream.Response) bool {
	a.Reason = ReasonServerRefused
	if resp.Status == http.StatusMisdirectedRequest {
		a.Reason = ReasonMisdirected
		q.recordMisdirected(s)
	} else {
		q.h.Health.RecordRefusal(s.ID)
		q.recordFull(s)
	}
	drain(resp)
	return true
}

// handleBrokenBody handles a response whose body could not be read to its end,
// which is the server's failure unless the request itself has ended. It returns
// whether another server may be tried.
func (q *request) handleBrokenBody(ctx context.Context, s *catalog.Server, a *Attempt, resp *upstream.Response, err error) bool {
	if ctx.Err() != nil {
		a.Reason, a.Detail = interruptReason(ctx), err.Error()
		q.mayHaveRun = true
		return false
	}
	if resp.Lost() {
		q.recordBroken(ctx, s, a)
	}
	return q.handleFailure(s, a, ReasonConnectionBroken, err.Error())
}

// handleNoMemory handles a response that can't be held because responses to other requests
// take the memory, which is no failure of the server. It returns whether another server may be
// tried.
func (q *request) handleNoMemory(a *Attempt) bool {
	a.Reason = ReasonResponseMemory
	return q.route.Repeatable()
}

// handleFailure handles an attempt whose response can't be used. It returns
// whether another server may be tried.
func (q *request) handleFailure(s *catalog.Server, a *Attempt, reason Reason, detail string) bool {
	a.Reason, a.Detail = reason, detail
	q.mayHaveRun = true
	q.h.Health.RecordFailure(s.ID)
	return q.route.Repeatable()
}
