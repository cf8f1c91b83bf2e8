package entry

import (
	"encoding/json"
	"net/http"
	"time"

	"cassialatch.dev/fleet/backend"
	"cassialatch.dev/fleet/forward"
	"cassialatch.dev/outcome"
)

// writeTimeout is how long a caller may take to accept a part of an answer.
const writeTimeout = 30 * time.Second

// sink passes an answer to the caller. The answer is whole only when its
// trailer says so; one that is cut ends in an aborted connection.
type sink struct {
	server  *Server
	call    *call
	control *http.ResponseController
	started bool
	stream  bool
	last    time.Time // of the latest data; zero: none yet
	onHead  func(forward.ResponseHead)
	onEnd   func(forward.ResponseEnd)
}

// newSink returns the sink of a call.
func newSink(s *Server, c *call) *sink {
	return &sink{server: s, call: c, control: http.NewResponseController(c.w)}
}

// Head implements forward.Sink.
func (k *sink) Head(head forward.ResponseHead) error {
	k.started = true
	k.stream = backend.IsStream(head.Header)
	header := k.call.w.Header()
	for name, values := range head.Header {
		if name != "Content-Length" { // the trailer needs chunks
			header[name] = values
		}
	}
	header.Set(outcome.HeaderRequestID, k.call.id)
	header.Set(outcome.HeaderBackend, head.Backend)
	header.Set("Trailer", outcome.HeaderOutcome)
	if k.onHead != nil {
		k.onHead(head)
	}
	k.call.w.WriteHeader(head.Status)
	return nil
}

// Data implements forward.Sink.
func (k *sink) Data(p []byte) error {
	k.time()
	now := time.Now()
	if err := k.control.SetWriteDeadline(now.Add(writeTimeout)); err != nil {
		return err
	}
	if _, err := k.call.w.Write(p); err != nil {
		return err
	}
	return k.control.Flush()
}

// time observes the time to the first token and between tokens.
func (k *sink) time() {
	now := k.server.opts.Now()
	observer := k.server.opts.Observer
	if k.last.IsZero() {
		observer.FirstToken(k.call.workspace.Name, k.call.class, now.Sub(k.call.began))
	} else if k.stream {
		observer.BetweenTokens(k.call.workspace.Name, k.call.class, now.Sub(k.last))
	}
	k.last = now
}

// End implements forward.Sink.
func (k *sink) End(end forward.ResponseEnd) error {
	if k.onEnd != nil {
		k.onEnd(end)
	}
	k.call.w.Header().Set(outcome.HeaderOutcome, string(outcome.Answered))
	return nil
}

// abort ends an answer that was cut. A stream gets a last event that names the
// failure; the connection is closed without the end that HTTP asks for, so
// that no client can take the answer for a whole one.
func (k *sink) abort(e *outcome.Error) {
	if k.stream {
		if detail, err := json.Marshal(detailOf(e)); err == nil {
			event := append([]byte("event: error\ndata: "), detail...)
			_, _ = k.call.w.Write(append(event, "\n\n"...)) // the caller may be gone
			_ = k.control.Flush()
		}
	}
	panic(http.ErrAbortHandler)
}
