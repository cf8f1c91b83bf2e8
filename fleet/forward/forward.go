// Package forward defines the interfaces through which the daemon that accepted
// a request passes it to the daemon that executes it, which is the same process
// or a peer. It also converts headers and errors to and from their protobuf
// form.
//
// An Executor reports every failure as an *outcome.Error, so that the sender
// knows whether the request was not run or may have run.
package forward

import (
	"context"
	"net/http"
	"time"

	"cassialatch.dev/outcome"
	"cassialatch.dev/wire/engineapi"
	"cassialatch.dev/wire/peerpb"
)

// ResponseHead is the status and header of a response, and its origin.
type ResponseHead struct {
	Status  int
	Header  http.Header
	Backend string // ID of the backend server that sent the response
	Home    string // ID of the daemon that is the home of Backend
}

// ResponseEnd marks the end of a complete response.
type ResponseEnd struct {
	Usage engineapi.Usage
}

// Sink receives a response: one call of Head, any number of calls of Data, then
// one call of End if the response is complete. An error of the Sink ends the
// response.
type Sink interface {
	Head(ResponseHead) error
	// Data receives the next bytes of the body. p is only valid during the
	// call.
	Data(p []byte) error
	End(ResponseEnd) error
}

// Executor runs requests.
type Executor interface {
	// Execute runs a request and writes its response to sink. Any error it
	// returns is an *outcome.Error.
	Execute(ctx context.Context, start *peerpb.ForwardStart, body []byte, sink Sink) error
}

// hopByHop lists the headers that apply to a single connection and are not
// forwarded.
var hopByHop = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// EncodeHeader returns the end-to-end headers of h, except those named in
// exclude. It does not modify h.
func EncodeHeader(h http.Header, exclude ...string) []*peerpb.Header {
	filtered := h.Clone()
	for _, name := range hopByHop {
		filtered.Del(name)
	}
	for _, name := range exclude {
		filtered.Del(name)
	}
	encoded := make([]*peerpb.Header, 0, len(filtered))
	for name, values := range filtered {
		encoded = append(encoded, &peerpb.Header{Name: name, Values: values})
	}
	return encoded
}

// DecodeHeader converts encoded headers back to an http.Header with canonical
// names.
func DecodeHeader(encoded []*peerpb.Header) http.Header {
	h := make(http.Header, len(encoded))
	for _, header := range encoded {
		h[http.CanonicalHeaderKey(header.Name)] = header.Values
	}
	return h
}

// RemoteError is the cause of a failure that a peer reported, as opposed to a
// failure of the connection to the peer.
type RemoteError struct{}

// Error implements error.
func (*RemoteError) Error() string { return "forward: failure reported by the peer" }

// EncodeError returns the message that reports err to a peer.
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

// DecodeError converts a message of EncodeError back to an error whose cause is
// a *RemoteError. An outcome that this version does not define becomes
// outcome.Unknown, since the request may have run.
func DecodeError(r *peerpb.Refusal) *outcome.Error {
	kind := outcome.Unknown
	if r.Outcome == string(outcome.NotRun) {
		kind = outcome.NotRun
	}
	e := &outcome.Error{
		Outcome:    kind,
		Code:       outcome.Code(r.Code),
		Message:    r.Message,
		RetryAfter: time.Duration(r.RetryAfterMs) * time.Millisecond,
		Replan:     r.Replan,
	}
	return e.WithCause(&RemoteError{})
}
