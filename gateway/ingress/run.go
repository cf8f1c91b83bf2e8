package ingress

import (
	"context"
	"net/http"
	"time"

	"cassialatch.dev/gateway/admission"
)

// maxSends is the maximum number of servers that one request is sent to,
// including those that refuse it but not those that refuse the connection.
const maxSends = 4

// minRemaining is the minimum time before the deadline at which an attempt is
// still made.
const minRemaining = 5 * time.Millisecond

// run sends the request to one server after another until one responds or no
// further attempt is allowed. It writes the response to the caller.
func (q *request) run(ctx context.Context, w http.ResponseWriter) {
	q.awaitCaches(ctx)
	defer q.leaveQueue()
	attempts := 0 // those in which a server may have run the request
	for q.mayTryServer() {
		if ctx.Err() != nil {
			q.endInterrupted(ctx, w)
			return
		}
		if q.remaining() < minRemaining {
			q.giveUp(w, ReasonDeadline, 0)
			return
		}
		if q.h.Quarantine.ShouldRefuse(&q.subject) {
			q.giveUp(w, ReasonCrashesServers, 0)
			return
		}
		if reject := q.reauthorize(); reject != nil {
			q.endRejected(w, reject)
			return
		}
		server, chosen := q.choose()
		if server == nil {
			q.giveUpWithoutServer(w)
			return
		}
		switch d := q.decideAdmission(chosen); d.Action {
		case admission.Wait:
			if reject := q.awaitRoom(ctx, d.Wait); reject != nil {
				q.endRejected(w, reject)
				return
			}
			continue // all checks apply again
		case admission.Refuse:
			q.giveUp(w, ReasonNoRoom, d.RetryAfter)
			return
		}
		if q.sent() && !q.h.Budget.Allow(q.service.Name) {
			q.giveUp(w, ReasonRetryBudget, overloadRetryAfter)
			return
		}
		retryable := q.attempt(ctx, w, server, chosen)
		if q.finished {
			return
		}
		if ctx.Err() != nil {
			q.endInterrupted(ctx, w)
			return
		}
		if q.lastAttempt().mayHaveRun() {
			attempts++
		}
		if !retryable || attempts >= max(q.route.MaxAttempts, 1) {
			break
		}
	}
	q.giveUp(w, q.lastAttempt().Reason, overloadRetryAfter)
}

// maxCacheWait is the maximum time that a request with a prompt waits after the
// start of the daemon for the contents of the caches to become known.
const maxCacheWait = 600 * time.Millisecond

// awaitCaches waits until CachesKnown is closed, but at most maxCacheWait.
// Otherwise a daemon that has just started would send prompts to servers that
// have to compute them again.
func (q *request) awaitCaches(ctx context.Context) {
	if len(q.call.SharedParts()) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, maxCacheWait)
	defer cancel()
	select {
	case <-q.h.CachesKnown:
	case <-ctx.Done():
	}
}

// sent reports whether any part of the request may have reached a server.
func (q *request) sent() bool {
	for i := range q.rec.Attempts {
		if q.rec.Attempts[i].Reason != ReasonNotSent {
			return true
		}
	}
	return false
}

// lastAttempt returns the most recent attempt; a zero Attempt if there is none.
func (q *request) lastAttempt() *Attempt {
	if len(q.rec.Attempts) == 0 {
		return &Attempt{}
	}
	return &q.rec.Attempts[len(q.rec.Attempts)-1]
}
