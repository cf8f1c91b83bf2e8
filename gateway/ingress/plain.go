package ingress

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"cassialatch.dev/gateway/catalog"
	"cassialatch.dev/gateway/upstream"
)

const (
	// maxBufferedBytes is the maximum size of a response that is buffered before
	// it is forwarded. While it is buffered, another server can still be tried.
	maxBufferedBytes = 256 << 10
	// firstBufferBytes is the initial size of the buffer.
	firstBufferBytes = 512
	// copyBufferBytes is the size of the buffer for a response that is forwarded as it
	// arrives.
	copyBufferBytes = 4 << 10
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

// buffer reads a response up to maxBufferedBytes, and no further than there is memory for.
// It returns whether it has reached the end.
func (q *request) buffer(body io.Reader) (read []byte, whole bool, err error) {
	read = make([]byte, 0, firstBufferBytes)
	for {
		if len(read) == cap(read) {
			size := min(2*cap(read), maxBufferedBytes)
			if size == cap(read) || q.rec.response.Grow(int64(size-cap(read))) != nil {
				return read, false, nil
			}
			read = append(make([]byte, 0, size), read...)
		}
		n, err := body.Read(read[len(read):cap(read)])
		read = read[:len(read)+n]
		if errors.Is(err, io.EOF) {
			return read, true, nil
		}
		if err != nil {
			return nil, false, err
		}
	}
}

// releaseResponse ends the count of what was held of responses, but for one that may still
// be forwarded.
func (q *request) releaseResponse() {
	held := int64(0)
	if q.failedResponse != nil {
		held = int64(cap(q.failedResponse.body))
	}
	// A smaller size is never refused.
	_ = q.rec.response.Resize(held)
}

// forwardPlain reads a response that is not a stream to its end and then forwards
// it, unless it is too large to be buffered or there is no memory for it: then it is
// forwarded as it arrives. It returns whether another server may be tried.
func (q *request) forwardPlain(ctx context.Context, w http.ResponseWriter, s *catalog.Server, a *Attempt, resp *upstream.Response) bool {
	body, whole, err := q.buffer(resp.Body)
	if err != nil {
		resp.Abort()
		return q.handleBrokenBody(ctx, s, a, resp, err)
	}
	if !whole {
		return q.forwardLarge(ctx, w, s, a, resp, body)
	}
	resp.Release()
	q.h.Dialect.StripInternal(resp.Header)
	buffered := &bufferedResponse{status: resp.Status, header: resp.Header, body: body}
	if resp.Status >= http.StatusInternalServerError {
		q.failedResponse = buffered
		return q.handleFailure(s, a, ReasonServerError, "")
	}
	q.recordAnswered(s, a)
	if q.headerWritten {
		// The response to a request that resumes a stream is not a stream, so
		// it can't continue what the caller has received.
		q.abortResponse(ReasonServerError)
	}
	buffered.write(w, q.rec)
	return false
}

// forwardLarge forwards a response that can't be buffered, as it
// arrives; start is what was read of its body. A server error is not forwarded
// where another server may be tried. It returns whether one may be.
func (q *request) forwardLarge(ctx context.Context, w http.ResponseWriter, s *catalog.Server, a *Attempt, resp *upstream.Response, start []byte) bool {
	q.mayHaveRun = true
	failed := resp.Status >= http.StatusInternalServerError
	if failed && q.route.Repeatable() {
		resp.Abort()
		return q.handleFailure(s, a, ReasonServerError, "response can't be buffered")
	}
	if q.headerWritten {
		resp.Abort()
		q.abortResponse(ReasonServerError) // as in forwardPlain
	}
	q.writeHeader(w, resp)
	out := &callerWriter{w: w}
	_, err := out.Write(start)
	if err == nil {
		start = nil
		q.releaseResponse()
		_, err = io.CopyBuffer(out, resp.Body, make([]byte, copyBufferBytes))
	}
	if out.failed {
		resp.Abort()
		q.abortUnwritable(err)
	}
	if err != nil {
		resp.Abort()
		q.handleBrokenBody(ctx, s, a, resp, err)
		return false // the header was sent, so run aborts the response
	}
	resp.Release()
	q.rec.Outcome = OutcomeAnswered
	if failed {
		q.handleFailure(s, a, ReasonServerError, "")
		q.finished = true
		return false
	}
	q.recordAnswered(s, a)
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
