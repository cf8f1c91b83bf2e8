package entry

import (
	"encoding/json"
	"net/http"
	"time"

	"cassialatch.dev/fleet/backend"
	"cassialatch.dev/fleet/forward"
	"cassialatch.dev/outcome"
)

// writeTimeout is the timeout of writing one part of a response to the caller.
const writeTimeout = 30 * time.Second

// sink writes a response to the caller. A complete response has the outcome
// "answered" in its trailer; the connection of an incomplete one is aborted.
type sink struct {
	server   *Server
	call     *call
	control  *http.ResponseController
	started  bool
	stream   bool
	lastData time.Time // time of the latest data; zero before the first
	onHead   func(forward.ResponseHead)
	onEnd    func(forward.ResponseEnd)
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
		if name != "Content-Length" { // a trailer requires chunked encoding
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
	k.observeTokenTime()
	now := time.Now()
	if err := k.control.SetWriteDeadline(now.Add(writeTimeout)); err != nil {
		return err
	}
	if _, err := k.call.w.Write(p); err != nil {
		return err
	}
	return k.control.Flush()
}

// observeTokenTime reports the time to the first token or between two tokens.
func (k *sink) observeTokenTime() {
	now := k.server.opts.Now()
	observer := k.server.opts.Observer
	if k.lastData.IsZero() {
		observer.FirstToken(k.call.workspace.Name, k.call.class, now.Sub(k.call.arrivedAt))
	} else if k.stream {
		observer.BetweenTokens(k.call.workspace.Name, k.call.class, now.Sub(k.lastData))
	}
	k.lastData = now
}

// End implements forward.Sink.
func (k *sink) End(end forward.ResponseEnd) error {
	if k.onEnd != nil {
		k.onEnd(end)
	}
	k.call.w.Header().Set(outcome.HeaderOutcome, string(outcome.Answered))
	return nil
}

// abort ends an incomplete response. A stream gets a final event with the error.
// The connection is closed without the terminating chunk, so that no client can
// mistake the response for a complete one.
func (k *sink) abort(e *outcome.Error) {
	if k.stream {
		if detail, err := json.Marshal(newErrorBody(e)); err == nil {
			event := append([]byte("event: error\ndata: "), detail...)
			_, _ = k.call.w.Write(append(event, "\n\n"...)) // fails only if the caller has disconnected
			_ = k.control.Flush()
		}
	}
	panic(http.ErrAbortHandler)
}
