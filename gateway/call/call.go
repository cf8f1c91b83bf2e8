// Package call holds the typed form of a caller's request and of what a
// backend server answers. The adapter of a deployment translates its headers
// into these types; nothing else in the gateway knows header names.
package call

import (
	"net/http"
	"time"
)

// Part is one part of a prompt, shared between requests that begin alike.
type Part struct {
	ID     uint64 // hash of the identifier
	Tokens int
}

// Request is one request of a caller, without its body.
type Request struct {
	ID              string        // of this attempt of the caller
	Key             string        // API key; empty if none was sent
	Deadline        time.Duration // how long the caller waits; 0 if not told
	ResumeAfter     string        // id of the last event that the caller has; empty for a whole answer
	Parts           []Part        // of the prompt, in order; the last belongs to this request or chat alone
	PromptTokens    int           // tokens in
	MaxOutputTokens int           // most tokens out
}

// SharedParts returns the parts that other requests may have too.
func (r *Request) SharedParts() []Part {
	if len(r.Parts) < 2 {
		return nil
	}
	return r.Parts[:len(r.Parts)-1]
}

// Attempt is what the gateway tells a backend server along with a request.
type Attempt struct {
	ServerID    string // the incarnation meant; any other refuses
	Workspace   string // empty on public routes
	Deadline    time.Duration
	Priority    int    // 0 is the most urgent
	ResumeAfter string // id of the last event that was passed on; empty for a whole answer
	FetchFrom   string // address of a server whose cache has more of the prompt; empty: none
}

// ResponseHead is the head of a backend server's answer.
type ResponseHead struct {
	Status      int
	RequestID   string        // of the request that is answered; empty if not told
	Signed      bool          // the server vouches for the answer
	NotExecuted bool          // the server has not run the request and never will
	IdleTimeout time.Duration // after which the server closes the idle connection; 0 if not told
}

// Dialect translates between the headers of a deployment and the types above.
type Dialect interface {
	// ParseRequest reads what a caller's headers say. The error names a header
	// that can't be read.
	ParseRequest(h http.Header) (Request, error)
	// OutboundHeader turns a caller's headers into those that a backend server may
	// see: without what belongs to one connection, without the API key, without
	// what only the gateway may say, and with what the attempt says.
	OutboundHeader(h http.Header, a Attempt) http.Header
	// ParseResponse reads the head of a backend server's answer.
	ParseResponse(resp *http.Response) ResponseHead
	// StripInternal removes from an answer what callers must not see.
	StripInternal(h http.Header)
}
