// Package ingress is the reverse proxy that serves callers. It determines the
// route and the workspace of a request, sends the request to backend servers,
// and forwards the response.
//
// Each request that is valid and permitted ends in one of three outcomes:
// answered, not run, or unknown. Not run, for which the gateway generates a
// response with status 503, is a guarantee that the request has not run and will
// not: no server can have received it, or each server that received it refused
// to run it. Unknown, reported by status 502 or 504 or by an aborted response,
// means that it may have run. Records distinguish the two: OutcomeUnknown and
// OutcomeAborted.
//
// Handler and Server are safe for concurrent use.
package ingress

import (
	"context"
	"net/http"
	"time"

	"cassialatch.dev/gateway/admission"
	"cassialatch.dev/gateway/avoid"
	"cassialatch.dev/gateway/cacheindex"
	"cassialatch.dev/gateway/call"
	"cassialatch.dev/gateway/catalog"
	"cassialatch.dev/gateway/clientlimit"
	"cassialatch.dev/gateway/health"
	"cassialatch.dev/gateway/load"
	"cassialatch.dev/gateway/memory"
	"cassialatch.dev/gateway/placement"
	"cassialatch.dev/gateway/quarantine"
	"cassialatch.dev/gateway/retry"
	"cassialatch.dev/gateway/route"
	"cassialatch.dev/gateway/serverstate"
	"cassialatch.dev/gateway/upstream"
	"cassialatch.dev/gateway/warmup"
)

// Settings configures a Handler.
type Settings struct {
	Zone string // availability zone of this daemon
	// KeyLease is how long API keys are accepted after the last confirmation of
	// the configuration; 0 means without limit.
	KeyLease time.Duration
	// ConfigLag is the time within which a new configuration must be in force. A
	// daemon whose configuration was not confirmed for longer does not refuse
	// requests by it; 0 means without limit.
	ConfigLag time.Duration
}

// Recorder receives the record of each request when the request has ended. It
// must be safe for concurrent use.
type Recorder interface {
	Record(r *Record)
}

// Handler serves callers. Its fields must be set before use and not changed
// afterwards.
type Handler struct {
	Dialect    call.Dialect
	Catalog    *catalog.Catalog
	Pool       *upstream.Pool
	Loads      *load.Table
	Health     *health.Table
	Avoid      *avoid.Table
	Warmup     *warmup.Table
	Budget     *retry.Budget
	Quarantine *quarantine.Table
	CacheIndex *cacheindex.Index
	// ServerState holds what all daemons observe about servers; nil: not used.
	ServerState *serverstate.Table
	FleetSize   func() int // number of daemons that share the connection limit
	// Jitter returns the random load for the choice of a server; nil while the counts of all
	// daemons are recent.
	Jitter   func() placement.Jitter
	Recorder Recorder
	Settings Settings
	// TriggerExchange starts a gossip round at once, so that the peers soon
	// receive which server is computing a prompt.
	TriggerExchange func()
	// CachesKnown is closed when the daemon has received or listed the contents
	// of the servers' caches after its start.
	CachesKnown <-chan struct{}
	// Draining reports whether the daemon is draining and, if so, how long a
	// request that is admitted now may take.
	Draining func() (left time.Duration, draining bool)
	// Admission decides which requests go first while capacity is insufficient; nil: all
	// are sent.
	Admission *admission.Controller

	// Bodies is the memory for the request bodies that are held at once, and Responses
	// that for what is held of the responses of servers.
	Bodies    *clientlimit.Bodies
	Responses *memory.Budget
}

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	rec := &Record{Start: time.Now(), Host: r.Host, Path: r.URL.Path}
	defer func() { h.end(w, r, rec, recover()) }()
	q, reject := h.admit(w, r, rec)
	w = &connHeaderWriter{ResponseWriter: w, h: h}
	if reject != nil {
		reject.write(w, rec)
		return
	}
	rec.deadline = rec.Start.Add(q.deadline)
	ctx, cancel := context.WithDeadline(r.Context(), rec.deadline)
	defer cancel()
	defer limitWrites(ctx, w)()
	q.run(ctx, w)
}

// draining reports whether the daemon is draining.
func (h *Handler) draining() bool {
	_, draining := h.Draining()
	return draining
}

// end passes the record of a request to the recorder. panicked is the value that
// was recovered from a panic of the handler; nil if there was none. It panics
// with http.ErrAbortHandler if the connection must be closed, since the caller
// would otherwise take the response for complete.
func (h *Handler) end(w http.ResponseWriter, r *http.Request, rec *Record, panicked any) {
	defer limitEnd(w, r, rec)
	abort := panicked != nil
	if abort && panicked != http.ErrAbortHandler {
		abort = !rec.endPanicked(w, panicked)
	}
	rec.end()
	rec.body.Close()
	rec.response.Close()
	h.Recorder.Record(rec)
	if abort {
		panic(http.ErrAbortHandler)
	}
}

// request holds the state of one request while the handler serves it.
type request struct {
	h        *Handler
	rec      *Record
	call     call.Request
	route    *route.Route
	service  *route.Service
	ws       *route.Workspace // nil on public routes
	deadline time.Duration    // measured from rec.Start
	method   string
	target   string
	host     string
	header   http.Header
	body     []byte
	subject  quarantine.Subject

	tried          map[string]bool   // IDs of the servers that were tried
	mayHaveRun     bool              // a server may have run the request
	lastID         string            // ID of the last event that was forwarded
	headerWritten  bool              // the response header was sent to the caller
	failedResponse *bufferedResponse // last 5xx response of a server, forwarded if no attempt succeeds
	finished       bool              // the response was sent or aborted
	loadEntry      *load.Entry       // of the current attempt

	admission *admission.Request // nil before capacity was found to be insufficient
}

// remaining returns the time until the deadline.
func (q *request) remaining() time.Duration {
	return q.deadline - time.Since(q.rec.Start)
}

// priority returns the priority of the workspace if it has one, else that of the
// route.
func (q *request) priority() int {
	if q.ws != nil && q.ws.HasPriority {
		return q.ws.Priority
	}
	return q.route.Priority
}
