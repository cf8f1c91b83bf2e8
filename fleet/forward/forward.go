// Package forward defines how a request is handed from the daemon that took it
// to the one that runs it, be it the same process or a peer.
package forward

import (
	"context"
	"net/http"
	"time"

	"cassialatch.dev/outcome"
	"cassialatch.dev/wire/engineapi"
	"cassialatch.dev/wire/peerpb"
)

// ResponseHead is the start of an answer.
type ResponseHead struct {
	Status  int
	Header  http.Header
	Backend string // backend server that answers
	Home    string // daemon id of its home
}

// ResponseEnd closes a whole answer.
type ResponseEnd struct {
	Usage engineapi.Usage
}

// Sink takes an answer: one Head, any Data, then End when it was whole.
type Sink interface {
	Head(ResponseHead) error
	// Data takes the next bytes, which are only valid during the call.
	Data(p []byte) error
	End(ResponseEnd) error
}

// Executor runs a request and passes its answer to the sink. A failure is an
// *outcome.Error.
type Executor interface {
	Execute(ctx context.Context, start *peerpb.ForwardStart, body []byte, sink Sink) error
}

// hopByHop are headers that concern one connection only.
var hopByHop = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// EncodeHeader returns the end-to-end headers of h, without the named ones.
func EncodeHeader(h http.Header, without ...string) []*peerpb.Header {
	clean := h.Clone()
	for _, name := range hopByHop {
		clean.Del(name)
	}
	for _, name := range without {
		clean.Del(name)
	}
	encoded := make([]*peerpb.Header, 0, len(clean))
	for name, values := range clean {
		encoded = append(encoded, &peerpb.Header{Name: name, Values: values})
	}
	return encoded
}

// DecodeHeader is the inverse of EncodeHeader.
func DecodeHeader(encoded []*peerpb.Header) http.Header {
	h := make(http.Header, len(encoded))
	for _, header := range encoded {
		h[http.CanonicalHeaderKey(header.Name)] = header.Values
	}
	return h
}

// RemoteError is the cause of a failure that a peer told of, unlike one of the
// way to it.
type RemoteError struct{}

// Error implements error.
func (*RemoteError) Error() string { return "forward: told by the peer" }

// EncodeError returns the message that carries err to a peer.
func EncodeError(err error) *peerpb.Refusal {
	e := outcome.From(err)
	return &peerpb.Refusal{
		Outcome:      string(e.Outcome),
		Code:         string(e.Code),
		Message:      e.Message,
		RetryAfterMs: uint32(e.RetryAfter.Milliseconds()),
		Replan:       e.Replan,
	}
}

// DecodeError is the inverse of EncodeError. An outcome that is not known to
// this version is taken as unknown.
func DecodeError(r *peerpb.Refusal) *outcome.Error {
	result := outcome.Unknown
	if r.Outcome == string(outcome.NotRun) {
		result = outcome.NotRun
	}
	e := &outcome.Error{
		Outcome:    result,
		Code:       outcome.Code(r.Code),
		Message:    r.Message,
		RetryAfter: time.Duration(r.RetryAfterMs) * time.Millisecond,
		Replan:     r.Replan,
	}
	return e.WithCause(&RemoteError{})
}
