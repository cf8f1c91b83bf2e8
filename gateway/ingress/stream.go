package ingress

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strings"

	"cassialatch.dev/gateway/cacheindex"
	"cassialatch.dev/gateway/catalog"
	"cassialatch.dev/gateway/sse"
	"cassialatch.dev/gateway/upstream"
)

// streamBufferBytes is the size of the buffer for reading a stream.
const streamBufferBytes = 4 << 10

// forwardStream forwards complete events as they arrive. It returns whether
// another server may be tried.
func (q *request) forwardStream(ctx context.Context, w http.ResponseWriter, s *catalog.Server, a *Attempt, resp *upstream.Response) bool {
	q.mayHaveRun = true
	if q.headerWritten && mediaType(resp.Header) != mediaType(w.Header()) {
		resp.Abort()
		return q.handleFailure(s, a, ReasonServerError, "response of another type does not continue the stream")
	}
	held := q.rec.response.Size()
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
			if q.rec.response.Resize(held+int64(events.Size())) != nil {
				resp.Abort()
				return q.handleNoMemory(a)
			}
		}
		if errors.Is(err, io.EOF) {
			return q.finishStream(ctx, w, s, a, resp, &events)
		}
		if err != nil {
			resp.Abort()
			return q.handleBrokenBody(ctx, s, a, resp, err)
		}
	}
}

// mediaType returns the media type of a body without its parameters; empty if the
// header does not name it.
func mediaType(h http.Header) string {
	name, _, _ := strings.Cut(h.Get("Content-Type"), ";")
	return strings.ToLower(strings.TrimSpace(name))
}

// Causes of a broken stream whose end is regular for HTTP.
var (
	errEndWithinEvent   = errors.New("stream ended within an event")
	errEndWithoutEvents = errors.New("connection ended before the first event")
)

// finishStream handles the regular end of the body of a server's stream, which may
// still be broken off: a body without a length also ends if the server has crashed.
// It returns whether another server may be tried.
func (q *request) finishStream(ctx context.Context, w http.ResponseWriter, s *catalog.Server, a *Attempt, resp *upstream.Response, events *sse.Splitter) bool {
	if len(events.Incomplete()) > 0 {
		resp.Abort()
		return q.handleBrokenBody(ctx, s, a, resp, errEndWithinEvent)
	}
	if !resp.Framed && a.firstEvent.IsZero() {
		resp.Abort()
		return q.handleBrokenBody(ctx, s, a, resp, errEndWithoutEvents)
	}
	resp.Release()
	q.recordAnswered(s, a)
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
	q.recordEvents(q.lastAttempt())
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
