// Package entry serves callers over HTTP: the addresses to use, chats and
// plain services.
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
	"cassialatch.dev/fleet/router"
	"cassialatch.dev/fleet/warm"
	"cassialatch.dev/outcome"
	"cassialatch.dev/seal/keyring"
	"cassialatch.dev/wire/peerpb"
)

// Router places a request on a backend server.
type Router interface {
	Route(ctx context.Context, req router.Request, sink forward.Sink) error
}

// Submitter runs a request that carries a ticket.
type Submitter interface {
	Submit(ctx context.Context, start *peerpb.ForwardStart, body []byte, sink forward.Sink) error
	// Withdraw turns a refusal before Submit into what is known of the ticket.
	Withdraw(ctx context.Context, ticket string, refusal *outcome.Error) *outcome.Error
}

// Observer hears how requests go; see package metric.
type Observer interface {
	FirstToken(workspace string, class dynamic.Class, d time.Duration)
	BetweenTokens(workspace string, class dynamic.Class, d time.Duration)
	ResponseTime(workspace string, class dynamic.Class, d time.Duration)
	Outcome(workspace string, class dynamic.Class, result outcome.Outcome, code outcome.Code)
}

// Options configure a Server.
type Options struct {
	Self      *peerpb.Identity
	Peer      string // this daemon's peer address, named in its tickets
	Directory *member.Directory
	Config    func() *dynamic.Config // in force; nil before the first
	Ready     func() bool
	Router    Router
	Executor  Submitter
	Limiter   *limit.Limiter
	Index     *warm.Index
	Ring      *keyring.Ring
	Limits    setting.Limits
	Observer  Observer
	Log       zerolog.Logger
	Now       func() time.Time
}

// Server serves callers.
type Server struct {
	opts     Options
	inFlight atomic.Int64
}

// NewServer returns a Server.
func NewServer(opts Options) *Server { return &Server{opts: opts} }

// InFlight returns how many requests are being served.
func (s *Server) InFlight() int { return int(s.inFlight.Load()) }

// Handler returns the HTTP handler for callers.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/entry", s.serveEntry)
	mux.HandleFunc("POST /v1/chat/completions", s.serve(s.chat))
	mux.HandleFunc("/svc/{service}/{path...}", s.serve(s.plain))
	mux.HandleFunc("/", s.serve(func(*call) error {
		return outcome.NewNotRun(outcome.CodeUnknownService, "no such path")
	}))
	return mux
}

// call is one request of a caller.
type call struct {
	w         http.ResponseWriter
	r         *http.Request
	config    *dynamic.Config
	workspace *dynamic.Workspace
	id        string
	class     dynamic.Class
	sink      *sink
	submitted bool // to the executor of its ticket, whose outcome is final
	began     time.Time
}

// serve wraps a handler with what is common to all requests: readiness, the
// request's id, its workspace and its limits, and the typed end.
func (s *Server) serve(handle func(*call) error) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		s.inFlight.Add(1)
		defer s.inFlight.Add(-1)

		c := &call{w: w, r: r, id: requestID(r), began: s.opts.Now()}
		w.Header().Set(outcome.HeaderRequestID, c.id)
		if s.opts.Directory.Draining() {
			w.Header().Set("Connection", "close")
		}
		err := s.admit(c, handle)
		s.finish(c, s.settle(c, err))
	}
}

// settle makes sure that "not run" is said of a request with a ticket only when
// no copy of it runs: an earlier one may have gone through another daemon.
func (s *Server) settle(c *call, err error) error {
	text := c.r.Header.Get(outcome.HeaderTicket)
	if err == nil || text == "" || c.submitted {
		return err
	}
	e := outcome.From(err)
	if e.Outcome != outcome.NotRun {
		return err
	}
	return s.opts.Executor.Withdraw(c.r.Context(), text, e)
}

// admit checks a call against the workspace's rules and handles it.
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
	c.class = classOf(workspace, c.r)
	c.sink = newSink(s, c)
	release, err := s.opts.Limiter.Acquire(workspace)
	if err != nil {
		return err
	}
	defer release()
	return handle(c)
}

// finish writes the end of a call, its metrics and its log line.
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
		Str("outcome", string(result)).Dur("took", s.opts.Now().Sub(c.began)).Msg("request ended")
	if err == nil {
		s.opts.Observer.ResponseTime(workspace, c.class, s.opts.Now().Sub(c.began))
		return
	}
	if c.sink != nil && c.sink.started {
		c.sink.abort(outcome.From(err))
	}
	writeError(c.w, outcome.From(err))
}

// requestID returns the caller's id of a request, or a new one.
func requestID(r *http.Request) string {
	if id := r.Header.Get(outcome.HeaderRequestID); id != "" && len(id) <= maxRequestIDBytes {
		return id
	}
	return uuid.NewString()
}

// maxRequestIDBytes bounds a caller's own request id.
const maxRequestIDBytes = 128

// classes from the most urgent to the least.
var classes = []dynamic.Class{dynamic.ClassShort, dynamic.ClassChat, dynamic.ClassLong}

// classOf returns the class of a request: its workspace's, or a less urgent
// one that the request names.
func classOf(workspace *dynamic.Workspace, r *http.Request) dynamic.Class {
	named := dynamic.Class(r.Header.Get(outcome.HeaderClass))
	below := false
	for _, class := range classes {
		below = below || class == workspace.Class
		if below && class == named {
			return named
		}
	}
	return workspace.Class
}

// deadlineOf returns the time that a request has: the least of the given ones
// that are not zero and the caller's own.
func deadlineOf(r *http.Request, limits ...time.Duration) time.Duration {
	if ms, err := strconv.ParseUint(r.Header.Get(outcome.HeaderDeadline), 10, 31); err == nil {
		limits = append(limits, time.Duration(ms)*time.Millisecond)
	}
	least := maxDeadline
	for _, d := range limits {
		if d > 0 {
			least = min(least, d)
		}
	}
	return least
}

// maxDeadline bounds the time of any request.
const maxDeadline = 30 * time.Minute

// errorBody is the JSON body of a failed request.
type errorBody struct {
	Error errorDetail `json:"error"`
}

// errorDetail is what callers are told of a failure.
type errorDetail struct {
	Code         outcome.Code    `json:"code"`
	Message      string          `json:"message"`
	Outcome      outcome.Outcome `json:"outcome"`
	RetryAfterMs int64           `json:"retry_after_ms,omitempty"`
}

// detailOf returns what callers are told of e.
func detailOf(e *outcome.Error) errorBody {
	return errorBody{Error: errorDetail{
		Code:         e.Code,
		Message:      e.Message,
		Outcome:      e.Outcome,
		RetryAfterMs: e.RetryAfter.Milliseconds(),
	}}
}

// writeError answers a request that failed before any of its answer was sent.
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
	_ = json.NewEncoder(w).Encode(detailOf(e)) // the caller may be gone
}
