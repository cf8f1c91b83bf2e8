package ingress

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"os"
	"strconv"
	"time"

	"cassialatch.dev/gateway/cacheindex"
	"cassialatch.dev/gateway/catalog"
	"cassialatch.dev/gateway/sse"
	"cassialatch.dev/gateway/upstream"
)

const (
	// maxBufferedBytes is the maximum size of a response that is buffered before
	// it is forwarded. While it is buffered, another server can still be tried.
	// Every request in flight may hold that much.
	maxBufferedBytes = 256 << 10
	// maxDrainBytes is the most that is read of a response that is not forwarded,
	// in order to reuse its connection.
	maxDrainBytes = 64 << 10
	// maxDrainTime is the longest that a request waits for the end of such a
	// response, which mostly arrives with its head.
	maxDrainTime = 20 * time.Millisecond
	// streamBufferBytes is the size of the buffer for reading a stream.
	streamBufferBytes = 4 << 10
)

// bufferedResponse is a complete response of a server.
type bufferedResponse struct {
	status int
	header http.Header
	body   []byte
}

// write forwards the response and sets the status and outcome of the record.
func (b *bufferedResponse) write(w http.ResponseWriter, rec *Record) {
	rec.Status, rec.Outcome = b.status, OutcomeAnswered
	copyHeader(w.Header(), b.header)
	w.Header().Set("Content-Length", strconv.Itoa(len(b.body)))
	w.WriteHeader(b.status)
	rec.FirstByte = time.Since(rec.Start)
	// A write error means that the caller has disconnected, so it can't be
	// reported to the caller.
	_, _ = w.Write(b.body)
}

// copyHeader copies the headers of src to dst, replacing those that exist. It
// leaves out Connection, which the gateway sets for its own connection.
func copyHeader(dst, src http.Header) {
	for name, values := range src {
		if name != "Connection" {
			dst[name] = values
		}
	}
}

// forwardPlain reads a response that is not a stream to its end and then forwards
// it, unless it is too large to be buffered. It returns whether another server may
// be tried.
func (q *request) forwardPlain(ctx context.Context, w http.ResponseWriter, s *catalog.Server, a *Attempt, resp *upstream.Response) bool {
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxBufferedBytes+1))
	if err != nil {
		resp.Abort()
		return q.handleBrokenBody(ctx, s, a, err)
	}
	if len(body) > maxBufferedBytes {
		return q.forwardLarge(ctx, w, s, a, resp, body)
	}
	resp.Release()
	q.h.Dialect.StripInternal(resp.Header)
	buffered := &bufferedResponse{status: resp.Status, header: resp.Header, body: body}
	if resp.Status >= http.StatusInternalServerError {
		q.failedResponse = buffered
		return q.handleFailure(s, a, ReasonServerError, "")
	}
	q.recordAnswered(s)
	if q.headerWritten {
		// The response to a request that resumes a stream is not a stream, so
		// it can't continue what the caller has received.
		q.abortResponse(ReasonServerError)
	}
	buffered.write(w, q.rec)
	return false
}

// forwardLarge forwards a response that is too large to be buffered, as it
// arrives; start is what was read of its body. A server error is not forwarded
// where another server may be tried. It returns whether one may be.
func (q *request) forwardLarge(ctx context.Context, w http.ResponseWriter, s *catalog.Server, a *Attempt, resp *upstream.Response, start []byte) bool {
	q.mayHaveRun = true
	failed := resp.Status >= http.StatusInternalServerError
	if failed && q.route.Repeatable() {
		resp.Abort()
		return q.handleFailure(s, a, ReasonServerError, "response too large to be buffered")
	}
	if q.headerWritten {
		resp.Abort()
		q.abortResponse(ReasonServerError) // as in forwardPlain
	}
	q.writeHeader(w, resp)
	out := &callerWriter{w: w}
	_, err := io.Copy(out, io.MultiReader(bytes.NewReader(start), resp.Body))
	if out.failed {
		resp.Abort()
		q.abortUnwritable(err)
	}
	if err != nil {
		resp.Abort()
		q.handleBrokenBody(ctx, s, a, err)
		return false // the header was sent, so run aborts the response
	}
	resp.Release()
	q.rec.Outcome = OutcomeAnswered
	if failed {
		q.handleFailure(s, a, ReasonServerError, "")
		q.finished = true
		return false
	}
	q.recordAnswered(s)
	return false
}

// callerWriter writes to the caller and records whether a write has failed, to
// distinguish the caller's end of a copy from the server's.
type callerWriter struct {
	w      io.Writer
	failed bool
}

// Write implements io.Writer.
func (c *callerWriter) Write(b []byte) (int, error) {
	n, err := c.w.Write(b)
	if err != nil {
		c.failed = true
	}
	return n, err
}

// recordAnswered records that the server has run the request to its end and that
// its response is final.
func (q *request) recordAnswered(s *catalog.Server) {
	q.mayHaveRun = true
	q.finished = true
	q.h.Health.RecordSuccess(s.ID)
	q.h.Quarantine.RecordCompleted(q.fingerprint)
}

// forwardStream forwards complete events as they arrive. It returns whether
// another server may be tried.
func (q *request) forwardStream(ctx context.Context, w http.ResponseWriter, s *catalog.Server, a *Attempt, resp *upstream.Response) bool {
	q.mayHaveRun = true
	var events sse.Splitter
	buf := make([]byte, streamBufferBytes)
	for {
		n, err := resp.Body.Read(buf)
		if n > 0 {
			tooLarge := events.Write(buf[:n])
			if err := q.forwardEvents(w, s, resp, &events); err != nil {
				resp.Abort()
				q.abortUnwritable(err)
			}
			if tooLarge != nil {
				resp.Abort()
				return q.handleFailure(s, a, ReasonConnectionBroken, tooLarge.Error())
			}
		}
		if errors.Is(err, io.EOF) {
			return q.finishStream(w, s, a, resp, &events)
		}
		if err != nil {
			resp.Abort()
			if ctx.Err() == nil && resp.Lost() {
				q.h.Quarantine.RecordCrash(q.fingerprint)
			}
			return q.handleBrokenBody(ctx, s, a, err)
		}
	}
}

// finishStream handles the regular end of a server's stream, which may still lie
// within an event. It returns whether another server may be tried.
func (q *request) finishStream(w http.ResponseWriter, s *catalog.Server, a *Attempt, resp *upstream.Response, events *sse.Splitter) bool {
	if len(events.Incomplete()) > 0 {
		resp.Abort()
		return q.handleFailure(s, a, ReasonConnectionBroken, "stream ended within an event")
	}
	resp.Release()
	q.recordAnswered(s)
	if !q.headerWritten {
		q.writeStreamHeader(w, resp)
	}
	q.rec.Outcome = OutcomeAnswered
	return false
}

// forwardEvents writes the complete events received so far to the caller.
func (q *request) forwardEvents(w http.ResponseWriter, s *catalog.Server, resp *upstream.Response, events *sse.Splitter) error {
	complete, lastID := events.Complete()
	if len(complete) == 0 {
		return nil
	}
	if q.loadEntry.Computed() {
		q.h.CacheIndex.MarkComputed(q.call.SharedParts(), cacheindex.Holder(s.Tag()))
	}
	if !q.headerWritten {
		q.writeStreamHeader(w, resp)
	}
	if _, err := w.Write(complete); err != nil {
		return err
	}
	events.Discard()
	if lastID != "" {
		q.lastID = lastID
	}
	q.rec.Writes++
	return http.NewResponseController(w).Flush()
}

// writeStreamHeader forwards the status and headers of the first server that
// sends events. Later servers that resume the stream only add events.
func (q *request) writeStreamHeader(w http.ResponseWriter, resp *upstream.Response) {
	resp.Header.Del("Content-Length")
	q.writeHeader(w, resp)
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
