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
	"errors"
	"io"
	"net/http"
	"os"
	"strconv"
	"time"

	"cassialatch.dev/gateway/cacheindex"
	"cassialatch.dev/gateway/call"
	"cassialatch.dev/gateway/catalog"
	"cassialatch.dev/gateway/health"
	"cassialatch.dev/gateway/load"
	"cassialatch.dev/gateway/quarantine"
	"cassialatch.dev/gateway/retry"
	"cassialatch.dev/gateway/route"
	"cassialatch.dev/gateway/upstream"
)

// Settings configures a Handler.
type Settings struct {
	Zone string // availability zone of this daemon
	// KeyLease is how long API keys are accepted after the last confirmation of
	// the configuration; 0 means without limit.
	KeyLease time.Duration
	// BodyBytes is the memory for the request bodies that are held at once; 0
	// means without limit.
	BodyBytes int64
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
	Budget     *retry.Budget
	Quarantine *quarantine.Table
	CacheIndex *cacheindex.Index
	FleetSize  func() int // number of daemons that share the connection limit
	Recorder   Recorder
	Settings   Settings
	// TriggerExchange starts a gossip round at once, so that the peers soon
	// receive which server is computing a prompt.
	TriggerExchange func()
	// CachesKnown is closed when the daemon has received or listed the contents
	// of the servers' caches after its start.
	CachesKnown <-chan struct{}
	// Draining reports whether the daemon is draining and, if so, how long a
	// request that is admitted now may take.
	Draining func() (left time.Duration, draining bool)

	bodies bodyBudget
}

// keyLeaseMargin is subtracted from the key lease. It covers the time from the
// last check of the lease until the request has reached the server.
const keyLeaseMargin = 400 * time.Millisecond

// writeGrace is how long after the deadline of a request the rest of its response
// may be written to a caller that reads slowly.
const writeGrace = time.Second

// limitWrites limits the time of writes to the caller from when the context ends.
// The limit is not set before, since after a suspend of the VM the response still
// has to be written. The returned function ends the watch of the context; net/http
// then removes the limit when the response has been sent.
func limitWrites(ctx context.Context, w http.ResponseWriter) (stop func()) {
	limited := make(chan struct{})
	stopWatch := context.AfterFunc(ctx, func() {
		defer close(limited)
		// An error means that the connection has no deadlines, so that a caller
		// that does not read is waited for.
		_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(writeGrace))
	})
	return func() {
		if !stopWatch() {
			<-limited // otherwise the limit may apply to the next response on the connection
		}
	}
}

// defaultDeadline applies if neither the caller nor the route sets a timeout.
const defaultDeadline = 60 * time.Second

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	rec := &Record{Start: time.Now(), Host: r.Host, Path: r.URL.Path}
	rec.body = bodyMemory{budget: &h.bodies, limit: h.Settings.BodyBytes}
	defer func() { h.end(w, rec, recover()) }()
	q, reject := h.admit(w, r, rec)
	w = &drainWriter{ResponseWriter: w, draining: h.draining}
	if reject != nil {
		reject.write(w, rec)
		return
	}
	ctx, cancel := context.WithDeadline(r.Context(), rec.Start.Add(q.deadline))
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
func (h *Handler) end(w http.ResponseWriter, rec *Record, panicked any) {
	abort := panicked != nil
	if abort && panicked != http.ErrAbortHandler {
		abort = !rec.endPanicked(w, panicked)
	}
	rec.end()
	rec.body.release()
	h.Recorder.Record(rec)
	if abort {
		panic(http.ErrAbortHandler)
	}
}

// request holds the state of one request while the handler serves it.
type request struct {
	h           *Handler
	rec         *Record
	call        call.Request
	route       *route.Route
	service     *route.Service
	ws          *route.Workspace // nil on public routes
	deadline    time.Duration    // measured from rec.Start
	method      string
	target      string
	host        string
	header      http.Header
	body        []byte
	fingerprint uint64

	tried          map[string]bool   // IDs of the servers that were tried
	mayHaveRun     bool              // a server may have run the request
	lastID         string            // ID of the last event that was forwarded
	headerWritten  bool              // the response header was sent to the caller
	failedResponse *bufferedResponse // last 5xx response of a server, forwarded if no attempt succeeds
	finished       bool              // the response was sent or aborted
	loadEntry      *load.Entry       // of the current attempt
}

// admit validates a request before any server is chosen. It returns either the
// request's state or a rejection.
func (h *Handler) admit(w http.ResponseWriter, r *http.Request, rec *Record) (*request, *rejection) {
	view := h.Catalog.View()
	age, confirmed := h.Catalog.Age()
	rec.StoreRevision, rec.ConfirmedAge = view.Revision, age
	if view.Table == nil || !confirmed {
		return nil, notRun(ReasonNoConfig, noConfigRetryAfter)
	}
	rec.ConfigVersion = view.Table.Version()
	parsed, err := h.Dialect.ParseRequest(r.Header)
	rec.ID = parsed.ID
	if err != nil {
		return nil, refuse(http.StatusBadRequest, ReasonBadHeader)
	}
	rt := view.Table.Match(r.Host, r.URL.Path)
	if rt == nil {
		return nil, refuse(http.StatusNotFound, ReasonNoRoute)
	}
	rec.Route = rt.Name
	q := &request{
		h: h, rec: rec, call: parsed, route: rt,
		method: r.Method, target: r.RequestURI, host: r.Host, header: r.Header,
		tried: make(map[string]bool),
	}
	if view.Table.NeedsKeys() && !rt.Public {
		if !h.keyLeaseValid() {
			return nil, notRun(ReasonKeyLeaseExpired, leaseRetryAfter)
		}
		q.ws = view.Table.Workspace(parsed.Key)
		if q.ws == nil {
			return nil, refuse(http.StatusUnauthorized, ReasonUnknownKey)
		}
		rec.Workspace = q.ws.Name
	}
	q.service = view.Table.Service(rt.Service(parsed.ID))
	if q.service == nil {
		return nil, notRun(ReasonNoServer, noServerRetryAfter)
	}
	rec.Service = q.service.Name
	if shared := q.call.SharedParts(); len(shared) > 0 {
		rec.PromptKey = cacheindex.KeyOf(shared[len(shared)-1])
	}
	q.deadline = effectiveDeadline(parsed.Deadline, rt.Timeout)
	if reject := q.readBody(w, r, view.Table.Limits().BodyBytes); reject != nil {
		return nil, reject
	}
	q.fingerprint = quarantine.Fingerprint(r.Host, r.URL.Path, parsed.Key, q.body)
	if h.Quarantine.ShouldRefuse(q.fingerprint) {
		return nil, notRun(ReasonCrashesServers, 0)
	}
	// Only the deadline bounds how long a request takes: a server may compute a
	// stream slowly, or queue or preempt it.
	if left, draining := h.Draining(); draining && q.remaining() > left {
		return nil, notRun(ReasonDraining, drainRetryAfter)
	}
	h.Budget.RecordRequest(q.service.Name)
	return q, nil
}

// effectiveDeadline returns the shorter of the caller's deadline and the route's
// timeout, of those that are set.
func effectiveDeadline(caller, timeout time.Duration) time.Duration {
	d := caller
	if d <= 0 || timeout > 0 && timeout < d {
		d = timeout
	}
	if d <= 0 {
		d = defaultDeadline
	}
	return d
}

// readBody reads the request body, so that it can be sent more than once. A limit
// of 0 means that the size is not limited.
func (q *request) readBody(w http.ResponseWriter, r *http.Request, limit int64) *rejection {
	if r.ContentLength == 0 {
		return nil
	}
	conn := http.NewResponseController(w)
	// An error means that the connection has no deadlines; the request is then
	// not limited in time before its body was read.
	_ = conn.SetReadDeadline(q.rec.Start.Add(q.deadline))
	src := io.Reader(r.Body)
	if limit > 0 {
		src = http.MaxBytesReader(w, r.Body, limit)
	}
	var err error
	if r.ContentLength > 0 && (limit <= 0 || r.ContentLength <= limit) {
		q.body, err = readKnownLength(src, r.ContentLength, &q.rec.body)
	} else {
		q.body, err = io.ReadAll(&countingReader{src: src, memory: &q.rec.body})
	}
	if err != nil {
		return rejectBody(w, err)
	}
	_ = conn.SetReadDeadline(time.Time{})
	return nil
}

// rejectBody returns the rejection of a request whose body could not be read. The
// rest of the body is not waited for, so the connection can't be reused.
func rejectBody(w http.ResponseWriter, err error) *rejection {
	w.Header().Set("Connection", "close")
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return refuse(http.StatusRequestEntityTooLarge, ReasonBodyTooLarge)
	case errors.Is(err, errBodyMemory):
		return notRun(ReasonBodyMemory, overloadRetryAfter)
	case errors.Is(err, os.ErrDeadlineExceeded):
		return refuse(http.StatusRequestTimeout, ReasonBodyTimeout)
	}
	return refuse(http.StatusBadRequest, ReasonBodyUnreadable)
}

// keyLeaseValid reports whether the configuration was confirmed recently enough
// for its API keys to be accepted.
func (h *Handler) keyLeaseValid() bool {
	if h.Settings.KeyLease <= 0 {
		return true
	}
	age, ok := h.Catalog.Age()
	return ok && age < h.Settings.KeyLease-keyLeaseMargin
}

// reauthorize checks, just before a request is sent, that the key lease is valid
// and that the configuration in force still maps the key to the same workspace.
func (q *request) reauthorize() *rejection {
	if q.ws == nil {
		return nil
	}
	if !q.h.keyLeaseValid() {
		return notRun(ReasonKeyLeaseExpired, leaseRetryAfter)
	}
	ws := q.h.Catalog.View().Table.Workspace(q.call.Key)
	if ws == nil || ws.Name != q.ws.Name {
		return refuse(http.StatusUnauthorized, ReasonUnknownKey)
	}
	return nil
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

// rejection is a final response generated by the gateway itself.
type rejection struct {
	status     int
	reason     Reason
	retryAfter time.Duration // 0: no Retry-After header
}

// Values of the Retry-After header.
const (
	noConfigRetryAfter = 300 * time.Millisecond
	leaseRetryAfter    = 500 * time.Millisecond
	noServerRetryAfter = 200 * time.Millisecond
	overloadRetryAfter = 100 * time.Millisecond
	drainRetryAfter    = 20 * time.Millisecond // other daemons accept requests immediately
)

// refuse returns a rejection of a request that is invalid or not permitted.
func refuse(status int, reason Reason) *rejection {
	return &rejection{status: status, reason: reason}
}

// notRun returns a rejection that guarantees that the request has not run and
// will not run.
func notRun(reason Reason, retryAfter time.Duration) *rejection {
	return &rejection{status: http.StatusServiceUnavailable, reason: reason, retryAfter: retryAfter}
}

// write sends the rejection and sets the status, reason and outcome of the record.
func (j *rejection) write(w http.ResponseWriter, rec *Record) {
	rec.Status, rec.Reason = j.status, j.reason
	switch j.status {
	case http.StatusServiceUnavailable, http.StatusRequestTimeout:
		rec.Outcome = OutcomeNotRun
	}
	if j.retryAfter > 0 {
		w.Header().Set("Retry-After", strconv.FormatFloat(j.retryAfter.Seconds(), 'f', 3, 64))
	}
	w.Header().Set("Content-Length", "0")
	w.WriteHeader(j.status)
}
