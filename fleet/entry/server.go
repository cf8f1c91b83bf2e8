// Package entry is the HTTP server of a daemon for callers. It serves the list
// of available daemons, chat completions of model services, and calls of plain
// services.
//
// Each request ends with a typed outcome: answered, not run or unknown. "Not
// run" is reported only if no copy of the request runs or will run; a request
// with a ticket is checked with the daemon that issued the ticket first, and a call
// that its service deduplicates by idempotency key is never reported as "not run". A
// response is complete only if its trailer carries the outcome "answered"; the
// connection of an incomplete one is aborted.
//
// A Server is safe for concurrent use.
package entry

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"github.com/rs/zerolog"

	"cassialatch.dev/config/dynamic"
	"cassialatch.dev/config/setting"
	"cassialatch.dev/fleet/forward"
	"cassialatch.dev/fleet/limit"
	"cassialatch.dev/fleet/member"
	"cassialatch.dev/fleet/prefixindex"
	"cassialatch.dev/fleet/router"
	"cassialatch.dev/outcome"
	"cassialatch.dev/seal/keyring"
	"cassialatch.dev/wire/peerpb"
)

// Router sends a request to a backend server that it chooses.
type Router interface {
	Route(ctx context.Context, req router.Request, sink forward.Sink) error
}

// Submitter runs requests that carry a ticket, at most once for each ticket.
type Submitter interface {
	Submit(ctx context.Context, start *peerpb.ForwardStart, body []byte, sink forward.Sink) error
	// VoidAfterRefusal returns the error to report for a request that was refused
	// before Submit. It voids the ticket; the outcome is "not run" only if the
	// ticket is certain not to run.
	VoidAfterRefusal(ctx context.Context, ticket string, refusal *outcome.Error) *outcome.Error
}

// Observer receives the timings and outcomes of requests. Package metric
// describes each of them.
type Observer interface {
	FirstToken(workspace string, class dynamic.Class, d time.Duration)
	BetweenTokens(workspace string, class dynamic.Class, d time.Duration)
	ResponseTime(workspace string, class dynamic.Class, d time.Duration)
	Outcome(workspace string, class dynamic.Class, result outcome.Outcome, code outcome.Code)
}

// Options configure a Server.
type Options struct {
	Self      *peerpb.Identity
	Peer      string // this daemon's peer address, written into its tickets
	Directory *member.Directory
	Config    func() *dynamic.Config // in force; returns nil until the first one is
	Ready     func() bool
	Router    Router
	Executor  Submitter
	Limiter   *limit.Limiter
	Index     *prefixindex.Index
	Ring      *keyring.Ring
	Limits    setting.Limits
	Observer  Observer
	Log       zerolog.Logger
	Now       func() time.Time
}

// Server serves callers over HTTP.
type Server struct {
	opts     Options
	inFlight atomic.Int64
}

// NewServer returns a Server.
func NewServer(opts Options) *Server { return &Server{opts: opts} }

// InFlight returns the number of chat and service requests in progress.
func (s *Server) InFlight() int { return int(s.inFlight.Load()) }

// Handler returns the HTTP handler for callers.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/entry", s.serveEndpoints)
	mux.HandleFunc("POST /v1/chat/completions", s.serve(s.handleChat))
	mux.HandleFunc("/svc/{service}/{path...}", s.serve(s.handleService))
	mux.HandleFunc("/", s.serve(func(*call) error {
		return outcome.NewNotRun(outcome.CodeUnknownService, "no such path")
	}))
	return mux
}

// call is the state of one request of a caller.
type call struct {
	w         http.ResponseWriter
	r         *http.Request
	config    *dynamic.Config
	workspace *dynamic.Workspace
	id        string
	class     dynamic.Class
	sink      *sink
	submitted bool // to the executor of its ticket; its outcome is final
	arrivedAt time.Time
}

// serve wraps a handler with the steps common to all requests: it sets the
// request ID, admits the request and reports its typed outcome.
func (s *Server) serve(handle func(*call) error) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		s.inFlight.Add(1)
		defer s.inFlight.Add(-1)

		c := &call{w: w, r: r, id: requestID(r), arrivedAt: s.opts.Now()}
		w.Header().Set(outcome.HeaderRequestID, c.id)
		if s.opts.Directory.Draining() {
			w.Header().Set("Connection", "close")
		}
		err := s.admit(c, handle)
		s.finish(c, s.confirmNotRun(c, err))
	}
}

// confirmNotRun checks an outcome "not run" of a request of which other copies may
// have been sent through other daemons. For a request with a ticket, the outcome is
// reported only if the ticket's executor confirms that no copy runs. A call that is
// deduplicated by its key has no executor, so its outcome is unknown.
func (s *Server) confirmNotRun(c *call, err error) error {
	if err == nil || c.submitted {
		return err
	}
	e := outcome.From(err)
	if e.Outcome != outcome.NotRun {
		return err
	}
	if mayBeDeduplicated(c) {
		unknown := outcome.NewUnknown(e.Code, e.Message+"; another copy with the key may have run")
		return unknown.WithRetryAfter(e.RetryAfter).WithCause(e)
	}
	text := c.r.Header.Get(outcome.HeaderTicket)
	if text == "" {
		return err
	}
	return s.opts.Executor.VoidAfterRefusal(c.r.Context(), text, e)
}

// admit checks readiness and the workspace's limits, then calls handle.
func (s *Server) admit(c *call, handle func(*call) error) error {
	c.config = s.opts.Config()
	if c.config == nil || !s.opts.Ready() {
		return outcome.NewNotRun(outcome.CodeNotReady, "daemon is not ready").WithRetryAfter(time.Second)
	}
	name := c.r.Header.Get(outcome.HeaderWorkspace)
	workspace, known := c.config.Workspaces[name]
	if !known {
		return outcome.NewNotRun(outcome.CodeUnknownWorkspace, "workspace is not in the configuration")
	}
	c.workspace = workspace
	c.class = requestClass(workspace, c.r)
	c.sink = newSink(s, c)
	release, err := s.opts.Limiter.Acquire(workspace)
	if err != nil {
		return err
	}
	defer release()
	return handle(c)
}

// finish records the metrics and the log line of a call, and writes the error
// response if the call failed.
func (s *Server) finish(c *call, err error) {
	result, code := outcome.Answered, outcome.Code("")
	if err != nil {
		e := outcome.From(err)
		result, code = e.Outcome, e.Code
	}
	workspace := ""
	if c.workspace != nil {
		workspace = c.workspace.Name
	}
	s.opts.Observer.Outcome(workspace, c.class, result, code)
	event := s.opts.Log.Debug()
	if err != nil {
		event = s.opts.Log.Info().Err(err)
	}
	event.Str("request", c.id).Str("workspace", workspace).Str("path", c.r.URL.Path).
		Str("outcome", string(result)).Dur("took", s.opts.Now().Sub(c.arrivedAt)).Msg("request ended")
	if err == nil {
		s.opts.Observer.ResponseTime(workspace, c.class, s.opts.Now().Sub(c.arrivedAt))
		return
	}
	if c.sink != nil && c.sink.started {
		c.sink.abort(outcome.From(err))
	}
	writeError(c.w, outcome.From(err))
}

// requestID returns the request ID that the caller sent, or a new one if there
// is none or it is too long.
func requestID(r *http.Request) string {
	if id := r.Header.Get(outcome.HeaderRequestID); id != "" && len(id) <= maxRequestIDBytes {
		return id
	}
	return uuid.NewString()
}

// maxRequestIDBytes is the maximum length of a request ID from a caller.
const maxRequestIDBytes = 128

// classes lists all classes in order of decreasing urgency.
var classes = []dynamic.Class{dynamic.ClassShort, dynamic.ClassChat, dynamic.ClassLong}

// requestClass returns the class of a request: that of its workspace, or a less
// urgent one if the request asks for it.
func requestClass(workspace *dynamic.Workspace, r *http.Request) dynamic.Class {
	named := dynamic.Class(r.Header.Get(outcome.HeaderClass))
	reached := false
	for _, class := range classes {
		reached = reached || class == workspace.Class
		if reached && class == named {
			return named
		}
	}
	return workspace.Class
}

// effectiveDeadline returns the timeout of a request: the minimum of the given
// limits that are not zero, the caller's deadline header and maxDeadline.
func effectiveDeadline(r *http.Request, limits ...time.Duration) time.Duration {
	if ms, err := strconv.ParseUint(r.Header.Get(outcome.HeaderDeadline), 10, 31); err == nil {
		limits = append(limits, time.Duration(ms)*time.Millisecond)
	}
	shortest := maxDeadline
	for _, d := range limits {
		if d > 0 {
			shortest = min(shortest, d)
		}
	}
	return shortest
}

// maxDeadline is the maximum timeout of any request.
const maxDeadline = 30 * time.Minute

// errorBody is the JSON body of a failed request.
type errorBody struct {
	Error errorDetail `json:"error"`
}

// errorDetail describes a failure to the caller.
type errorDetail struct {
	Code         outcome.Code    `json:"code"`
	Message      string          `json:"message"`
	Outcome      outcome.Outcome `json:"outcome"`
	RetryAfterMs int64           `json:"retry_after_ms,omitempty"`
}

// newErrorBody returns the error body for e.
func newErrorBody(e *outcome.Error) errorBody {
	return errorBody{Error: errorDetail{
		Code:         e.Code,
		Message:      e.Message,
		Outcome:      e.Outcome,
		RetryAfterMs: e.RetryAfter.Milliseconds(),
	}}
}

// writeError writes the response to a request that failed before any part of a
// response was sent.
func writeError(w http.ResponseWriter, e *outcome.Error) {
	header := w.Header()
	header.Set("Content-Type", "application/json")
	header.Set(outcome.HeaderOutcome, string(e.Outcome))
	header.Set(outcome.HeaderCode, string(e.Code))
	if e.RetryAfter > 0 {
		seconds := int64((e.RetryAfter + time.Second - 1) / time.Second)
		header.Set("Retry-After", strconv.FormatInt(seconds, 10))
	}
	w.WriteHeader(outcome.Status(e.Code))
	_ = json.NewEncoder(w).Encode(newErrorBody(e)) // fails only if the caller has disconnected
}
