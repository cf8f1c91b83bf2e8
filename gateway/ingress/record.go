package ingress

import (
	"fmt"
	"net/http"
	"runtime/debug"
	"time"

	"cassialatch.dev/gateway/cacheindex"
	"cassialatch.dev/gateway/clientlimit"
	"cassialatch.dev/gateway/memory"
	"cassialatch.dev/gateway/placement"
	"cassialatch.dev/gateway/upstream"
)

// Outcome is how a request ended.
type Outcome string

// Outcomes.
const (
	OutcomeAnswered   Outcome = "answered" // the complete response of a backend server was forwarded
	OutcomeNotRun     Outcome = "not_run"  // no server has run or will run it
	OutcomeUnknown    Outcome = "unknown"  // a server may have run it; the caller received 502 or 504
	OutcomeAborted    Outcome = "aborted"  // a server may have run it; the gateway closed the caller's connection before the response was complete
	OutcomeRefused    Outcome = "refused"  // invalid or not permitted; a retry doesn't help
	OutcomeCallerLeft Outcome = "left"     // the caller closed its connection
)

// Reason is why a request was not answered by a backend server, or why an
// attempt failed.
type Reason string

// Reasons.
const (
	ReasonNone             Reason = ""
	ReasonNoConfig         Reason = "no_configuration"
	ReasonBadHeader        Reason = "bad_header"
	ReasonNoRoute          Reason = "no_route"
	ReasonConfigStale      Reason = "configuration_stale" // the request is not permitted, but by a configuration that may be outdated
	ReasonKeyLeaseExpired  Reason = "configuration_not_confirmed"
	ReasonUnknownKey       Reason = "unknown_key"
	ReasonWorkspaceChanged Reason = "workspace_changed" // the key was given to another workspace since the request was admitted
	ReasonBodyTooLarge     Reason = "body_too_large"
	ReasonBodyUnreadable   Reason = "body_broken"
	ReasonBodyTimeout      Reason = "body_timeout"    // the deadline came before the whole body
	ReasonBodyStalled      Reason = "body_stalled"    // the body made no progress while others needed its memory
	ReasonBodyMemory       Reason = "body_memory"     // the bodies of other requests take the memory
	ReasonResponseMemory   Reason = "response_memory" // the responses to other requests take the memory
	ReasonCrashesServers   Reason = "crashes_servers"
	ReasonDraining         Reason = "daemon_draining"
	ReasonStopped          Reason = "daemon_stopped" // the drain ended before the request did
	ReasonNoServer         Reason = "no_server"
	ReasonServersPaused    Reason = "servers_paused" // all servers left have asked for a pause
	ReasonServersCold      Reason = "servers_cold"   // the servers left are cold, and may not be sent a request yet
	ReasonZoneEvacuated    Reason = "zone_evacuated" // the servers left are in zones that are being evacuated
	ReasonNoRoom           Reason = "no_room"        // capacity is insufficient, and other requests go first
	ReasonRetryBudget      Reason = "retry_budget_spent"
	ReasonDeadline         Reason = "deadline"
	ReasonNotSent          Reason = "not_sent"
	ReasonServerRefused    Reason = "server_refused"
	ReasonMisdirected      Reason = "another_incarnation"
	ReasonConnectionBroken Reason = "connection_broken"
	ReasonResponseUnsigned Reason = "answer_unsigned"
	ReasonServerError      Reason = "server_error"
	ReasonCallerLeft       Reason = "caller_left"
	ReasonPanic            Reason = "panic" // the handler panicked
)

// Attempt describes one attempt to have a backend server run a request.
type Attempt struct {
	Server        string
	InFlight      int     // requests on the server when it was chosen
	QueuedTokens  int     // prompt tokens that the server still had to compute when it was chosen
	SharedTokens  int     // tokens of the prompt's shared parts
	MissingTokens int     // shared tokens expected to be missing from the server's cache
	Pace          float64 // how long work took at the server when it was chosen, relative to the usual time; 0 or 1: as usual
	Cause         placement.Cause
	Cold          bool   // the server was cold when it was chosen
	FetchedFrom   string // ID of the server to fetch missing tokens from; empty if there was none
	Status        int
	Leaving       bool               // the server said that it is leaving
	Pause         time.Duration      // how long the server said that it wants no more requests; 0 if it did not
	Listening     upstream.Listening // of the server, after its connection broke during the run; else empty
	Reason        Reason
	Detail        string // cause of a failure, for the log
	Duration      time.Duration

	start       time.Time
	connRefused bool      // the server has refused the connection, and the state of servers is used
	firstEvent  time.Time // when the first complete event of a stream arrived; zero before
	sound       bool      // it was recorded that the run does no harm
}

// Record describes a request that has ended.
type Record struct {
	Start         time.Time
	ID            string
	Host          string
	Path          string
	Route         string
	Workspace     string
	Service       string
	PromptKey     cacheindex.PartKey // last shared part of the prompt; 0 if there is none
	ConfigVersion int64              // version of the configuration
	StoreRevision int64              // store revision that the decisions are based on
	ConfirmedAge  time.Duration      // time since that revision was last confirmed
	Attempts      []Attempt
	Outcome       Outcome
	Status        int
	Reason        Reason
	Waited        time.Duration // at this daemon, for servers with free slots
	FirstByte     time.Duration // time until the first byte of the response was forwarded
	Duration      time.Duration
	Writes        int                  // writes of stream events to the caller
	Resumptions   int                  // attempts that resumed a stream on another server
	ColdDeferred  int                  // choices that left out a cold server
	Fingerprint   uint64               // of the request's content, if a connection broke while a server ran it; else 0
	CrashParts    []cacheindex.PartKey // shared parts of the prompt, in order, if a connection broke while a server ran the request
	Panic         *Panic               // nil unless the handler panicked

	deadline time.Time        // of the request; zero if it was not admitted
	bodyRead bool             // the body was read to its end
	body     clientlimit.Body // the request's body
	response memory.Account   // what is held of responses
}

// Panic describes an unexpected panic of the handler.
type Panic struct {
	Value string // what the handler panicked with
	Stack []byte // of the goroutine, at most maxStackBytes
}

const maxStackBytes = 8 << 10

// endPanicked ends a request whose handler has panicked with the given value. It
// must be called by the deferred function that recovered the value. If no
// response has begun, it sends one which says whether the request may have run;
// otherwise it returns false, and the connection must be closed.
func (r *Record) endPanicked(w http.ResponseWriter, value any) bool {
	stack := debug.Stack()
	r.Panic = &Panic{Value: fmt.Sprint(value), Stack: stack[:min(len(stack), maxStackBytes)]}
	mayHaveRun := r.mayHaveRun()
	if n := len(r.Attempts); n > 0 && r.Attempts[n-1].Reason == ReasonNone {
		r.Attempts[n-1].Reason = ReasonPanic
	}
	if r.Status != 0 {
		r.Outcome, r.Reason = OutcomeAborted, ReasonPanic
		return false
	}
	clear(w.Header()) // may hold a part of a server's header
	w.Header().Set("Connection", "close")
	if mayHaveRun {
		writeUnknown(w, r, ReasonPanic)
		return true
	}
	notRun(ReasonPanic, overloadRetryAfter).write(w, r)
	return true
}

// mayHaveRun reports whether a server may have run the request.
func (r *Record) mayHaveRun() bool {
	for i := range r.Attempts {
		if r.Attempts[i].mayHaveRun() {
			return true
		}
	}
	return false
}

// end sets the duration, and the outcome if it is not set yet.
func (r *Record) end() {
	r.Duration = time.Since(r.Start)
	if r.Outcome == "" {
		r.Outcome = OutcomeRefused
	}
}
