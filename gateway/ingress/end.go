package ingress

import (
	"context"
	"errors"
	"net/http"
	"time"
)

// giveUp ends the request when no server has sent a usable response.
func (q *request) giveUp(w http.ResponseWriter, reason Reason, retryAfter time.Duration) {
	switch {
	case q.headerWritten:
		q.abortResponse(reason)
	case q.failedResponse != nil:
		q.failedResponse.write(w, q.rec)
	case !q.mayHaveRun:
		notRun(reason, retryAfter).write(w, q.rec)
	default:
		writeUnknown(w, q.rec, reason)
	}
}

// endRejected ends a request that is no longer authorized.
func (q *request) endRejected(w http.ResponseWriter, reject *rejection) {
	if q.mayHaveRun {
		q.giveUp(w, reject.reason, 0)
		return
	}
	reject.write(w, q.rec)
}

// writeUnknown sends a response which says that the request may have run, and
// sets the status, reason and outcome of the record.
func writeUnknown(w http.ResponseWriter, rec *Record, reason Reason) {
	status := http.StatusBadGateway
	if reason == ReasonDeadline {
		status = http.StatusGatewayTimeout
	}
	rec.Status, rec.Reason, rec.Outcome = status, reason, OutcomeUnknown
	w.Header().Set("Content-Length", "0")
	w.WriteHeader(status)
}

// interruptReason returns why the context of a request has ended.
func interruptReason(ctx context.Context) Reason {
	switch cause := context.Cause(ctx); {
	case errors.Is(cause, context.DeadlineExceeded):
		return ReasonDeadline
	case errors.Is(cause, ErrStopped):
		return ReasonStopped
	}
	return ReasonCallerLeft
}

// endInterrupted ends a request whose caller has disconnected, whose deadline
// has passed, or whose daemon stops.
func (q *request) endInterrupted(ctx context.Context, w http.ResponseWriter) {
	switch interruptReason(ctx) {
	case ReasonDeadline:
		q.giveUp(w, ReasonDeadline, 0)
		return
	case ReasonStopped:
		q.giveUp(w, ReasonStopped, drainRetryAfter)
		return
	}
	q.rec.Outcome, q.rec.Reason = OutcomeCallerLeft, ReasonCallerLeft
	q.finished = true
	panic(http.ErrAbortHandler)
}

// abortResponse aborts a response that has been sent in part, so that the caller
// can't mistake it for a complete one.
func (q *request) abortResponse(reason Reason) {
	q.rec.Outcome, q.rec.Reason = OutcomeAborted, reason
	panic(http.ErrAbortHandler)
}
