package ingress

import (
	"errors"
	"io"
	"net/http"
	"os"
	"time"

	"cassialatch.dev/gateway/catalog"
	"cassialatch.dev/gateway/upstream"
)

const (
	// maxDrainBytes is the most that is read of a response that is not forwarded,
	// in order to reuse its connection.
	maxDrainBytes = 64 << 10
	// maxDrainTime is the longest that a request waits for the end of such a
	// response, which mostly arrives with its head.
	maxDrainTime = 20 * time.Millisecond
)

// copyHeader copies the headers of src to dst, replacing those that exist. It
// leaves out Connection, which the gateway sets for its own connection.
func copyHeader(dst, src http.Header) {
	for name, values := range src {
		if name != "Connection" {
			dst[name] = values
		}
	}
}

// recordAnswered records that the response of the server is final. Only a success
// shows that the request did no harm: it may have been rejected before it ran.
func (q *request) recordAnswered(s *catalog.Server, a *Attempt) {
	q.mayHaveRun = true
	q.finished = true
	q.h.Health.RecordSuccess(s.ID)
	if a.Status < http.StatusBadRequest {
		q.recordSound(a)
		q.h.Quarantine.RecordCompleted(&q.subject)
	}
}

// writeHeader forwards the status and headers of a response whose body follows as
// it arrives.
func (q *request) writeHeader(w http.ResponseWriter, resp *upstream.Response) {
	q.headerWritten = true
	q.h.Dialect.StripInternal(resp.Header)
	copyHeader(w.Header(), resp.Header)
	w.WriteHeader(resp.Status)
	q.rec.Status = resp.Status
	q.rec.FirstByte = time.Since(q.rec.Start)
}

// abortUnwritable ends a request after err of a write to the caller, which has
// disconnected or did not read the response until the deadline.
func (q *request) abortUnwritable(err error) {
	a := q.lastAttempt()
	a.Detail = err.Error()
	if errors.Is(err, os.ErrDeadlineExceeded) {
		a.Reason = ReasonDeadline
		q.abortResponse(ReasonDeadline)
	}
	a.Reason = ReasonCallerLeft
	q.rec.Outcome, q.rec.Reason = OutcomeCallerLeft, ReasonCallerLeft
	panic(http.ErrAbortHandler)
}

// drain reads the rest of a response that is not forwarded, so that its
// connection can be reused. Connections of longer responses are closed.
func drain(resp *upstream.Response) {
	timer := time.AfterFunc(maxDrainTime, resp.Abort)
	defer timer.Stop()
	n, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxDrainBytes))
	if err != nil || n == maxDrainBytes {
		resp.Abort()
		return
	}
	resp.Release()
}
