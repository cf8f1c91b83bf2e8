// Package call defines the typed form of a caller's request and of the head of
// a backend server's response. The adapter of a deployment converts its headers
// to and from these types through a Dialect; no other part of the gateway
// depends on the header names of the deployment.
//
// The types are plain values without locks. They may be read concurrently but
// not modified concurrently.
package call

import (
	"net/http"
	"time"
)

// Part is one part of a prompt. Requests whose prompts have the same leading
// parts share a prefix, which a backend server can serve from its cache.
type Part struct {
	ID     uint64 // hash of the part's identifier
	Tokens int
}

// Request holds the parsed headers of a caller's request. The body is not part of
// it.
type Request struct {
	ID              string        // request ID; identifies one attempt of the caller
	Key             string        // API key; empty if none was sent
	Deadline        time.Duration // how long the caller waits for the response; 0 if not sent
	ResumeAfter     string        // ID of the last stream event that the caller received; empty to start from the first
	Parts           []Part        // parts of the prompt, in order; the last is specific to this request or chat
	PromptTokens    int           // tokens of the prompt
	MaxOutputTokens int           // upper bound on generated tokens
	OutputTokens    int           // expected number of generated tokens; 0 if not stated
}

// SharedParts returns the parts that other requests may have in common with this
// one: all but the last.
func (r *Request) SharedParts() []Part {
	if len(r.Parts) < 2 {
		return nil
	}
	return r.Parts[:len(r.Parts)-1]
}

// Attempt holds what the gateway adds to a request that it sends to a backend
// server.
type Attempt struct {
	ServerID    string        // incarnation that is addressed; any other refuses the request
	Workspace   string        // empty on public routes
	Deadline    time.Duration // time left until the caller's deadline
	Priority    int           // 0 is the most urgent
	ResumeAfter string        // ID of the last stream event that the caller received; empty to start from the first
	FetchFrom   string        // address of a server whose cache holds more of the prompt; empty if there is none
}

// ResponseHead holds the status and the parsed headers of a backend server's
// response.
type ResponseHead struct {
	Status      int
	RequestID   string        // ID of the request that the response belongs to; empty if not sent
	Signed      bool          // the response carries the server's signature
	NotExecuted bool          // the server did not run the request and never will
	Leaving     bool          // the server is about to stop and must get no more requests
	Pause       time.Duration // how long the server wants no more requests from this daemon; 0 if not sent
	IdleTimeout time.Duration // idle time after which the server closes the connection; 0 if not sent
	Load        ServerLoad    // of the server as it began to respond; zero if not sent
}

// ServerLoad is what a backend server states about its load.
type ServerLoad struct {
	Running     int // requests
	Waiting     int // requests
	Slots       int // for running requests
	PacePercent int // how long work takes at this moment, in percent of the usual time; 0 if not sent
}

// Dialect converts between the headers of a deployment and the types of this
// package. Implementations must be safe for concurrent use.
type Dialect interface {
	// ParseRequest parses the headers of a caller's request. The error names the
	// header that is invalid.
	ParseRequest(h http.Header) (Request, error)
	// OutboundHeader returns the headers to send to a backend server: the
	// caller's headers without hop-by-hop headers, the API key and headers that
	// only the gateway may set, plus the headers of the attempt.
	OutboundHeader(h http.Header, a Attempt) http.Header
	// ParseResponse parses the headers of a backend server's response.
	ParseResponse(resp *http.Response) ResponseHead
	// StripInternal removes from the headers of a response those that callers
	// must not see.
	StripInternal(h http.Header)
}
