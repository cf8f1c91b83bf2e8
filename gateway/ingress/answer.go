package ingress

import (
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"cassialatch.dev/gateway/catalog"
	"cassialatch.dev/gateway/sse"
	"cassialatch.dev/gateway/upstream"
	"cassialatch.dev/gateway/warm"
)

const (
	// maxWhole bounds an answer that is held until it is whole.
	maxWhole      = 4 << 20
	maxDrainBytes = 64 << 10
	streamBuffer  = 4 << 10
)

// keptAnswer is a whole answer of a server.
type keptAnswer struct {
	status int
	header http.Header
	body   []byte
}

func (k *keptAnswer) write(w http.ResponseWriter, rec *Record) {
	rec.Status, rec.Outcome = k.status, OutcomeAnswered
	copyHeader(w.Header(), k.header)
	w.Header().Set("Content-Length", strconv.Itoa(len(k.body)))
	w.WriteHeader(k.status)
	rec.FirstByte = time.Since(rec.Start)
	// A caller that has gone reads nothing; there is nobody to tell.
	_, _ = w.Write(k.body)
}

// copyHeader replaces headers, but for what the gateway says of its own
// connection.
func copyHeader(dst, src http.Header) {
	for name, values := range src {
		if name != "Connection" {
			dst[name] = values
		}
	}
}

// whole passes on an answer that is not a stream, once all of it is there.
func (q *query) whole(w http.ResponseWriter, s *catalog.Server, a *Attempt, answer *upstream.Response) bool {
	body, err := io.ReadAll(io.LimitReader(answer.Body, maxWhole))
	if err != nil {
		answer.Abort()
		return q.failed(s, a, ReasonConnectionBroken, err.Error())
	}
	answer.Release()
	q.h.Dialect.StripInternal(answer.Header)
	kept := &keptAnswer{status: answer.Status, header: answer.Header, body: body}
	if answer.Status >= http.StatusInternalServerError {
		q.kept = kept
		return q.failed(s, a, ReasonServerError, "")
	}
	q.ran = true
	q.h.Health.RecordSuccess(s.ID)
	q.h.Suspects.RecordCompleted(q.print)
	q.finished = true
	if q.headWritten {
		// The answer to a resumed stream is not a stream.
		q.abortCaller(ReasonServerError)
	}
	kept.write(w, q.rec)
	return false
}

// stream passes on whole events as they come.
func (q *query) stream(w http.ResponseWriter, s *catalog.Server, a *Attempt, answer *upstream.Response) bool {
	q.ran = true
	var events sse.Splitter
	buf := make([]byte, streamBuffer)
	for {
		n, err := answer.Body.Read(buf)
		if n > 0 {
			events.Write(buf[:n])
			if err := q.passOn(w, s, answer, &events); err != nil {
				answer.Abort()
				q.callerLeft()
			}
		}
		if errors.Is(err, io.EOF) {
			return q.streamEnded(w, s, a, answer, &events)
		}
		if err != nil {
			answer.Abort()
			q.h.Suspects.RecordCrash(q.print)
			return q.failed(s, a, ReasonConnectionBroken, err.Error())
		}
	}
}

// streamEnded handles the clean end of a server's stream.
func (q *query) streamEnded(w http.ResponseWriter, s *catalog.Server, a *Attempt, answer *upstream.Response, events *sse.Splitter) bool {
	if len(events.Incomplete()) > 0 {
		answer.Abort()
		return q.failed(s, a, ReasonConnectionBroken, "the stream ends within an event")
	}
	answer.Release()
	q.h.Health.RecordSuccess(s.ID)
	q.h.Suspects.RecordCompleted(q.print)
	if !q.headWritten {
		q.writeHead(w, answer)
	}
	q.finished = true
	q.rec.Outcome = OutcomeAnswered
	return false
}

// passOn writes the whole events that have come.
func (q *query) passOn(w http.ResponseWriter, s *catalog.Server, answer *upstream.Response, events *sse.Splitter) error {
	whole, lastID := events.Complete()
	if len(whole) == 0 {
		return nil
	}
	if q.entry.Computed() {
		q.h.Warm.MarkComputed(q.call.SharedParts(), warm.Holder(s.Tag()))
	}
	if !q.headWritten {
		q.writeHead(w, answer)
	}
	if _, err := w.Write(whole); err != nil {
		return err
	}
	events.Discard()
	if lastID != "" {
		q.lastID = lastID
	}
	q.rec.Writes++
	return http.NewResponseController(w).Flush()
}

// writeHead passes on the head of the stream's first server.
func (q *query) writeHead(w http.ResponseWriter, answer *upstream.Response) {
	q.headWritten = true
	q.h.Dialect.StripInternal(answer.Header)
	copyHeader(w.Header(), answer.Header)
	w.Header().Del("Content-Length")
	w.WriteHeader(answer.Status)
	q.rec.Status = answer.Status
	q.rec.FirstByte = time.Since(q.rec.Start)
}

func (q *query) callerLeft() {
	q.rec.Outcome, q.rec.Reason = OutcomeCallerLeft, ReasonCallerLeft
	panic(http.ErrAbortHandler)
}

// drain reads the rest of an answer that isn't passed on, so that its
// connection can be kept.
func drain(answer *upstream.Response) {
	n, err := io.Copy(io.Discard, io.LimitReader(answer.Body, maxDrainBytes))
	if err != nil || n == maxDrainBytes {
		answer.Abort()
		return
	}
	answer.Release()
}
