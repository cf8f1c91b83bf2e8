// Package ingress serves callers: it finds the route and the workspace of a
// request, sends it to backend servers, and passes the answer on.
//
// Each request ends in one of three outcomes: answered, not run, or unknown.
// "Not run" is said only where no server can have seen the request or each
// server that has seen it refused to run it.
package ingress

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"cassialatch.dev/gateway/call"
	"cassialatch.dev/gateway/catalog"
	"cassialatch.dev/gateway/health"
	"cassialatch.dev/gateway/load"
	"cassialatch.dev/gateway/retry"
	"cassialatch.dev/gateway/route"
	"cassialatch.dev/gateway/suspect"
	"cassialatch.dev/gateway/upstream"
	"cassialatch.dev/gateway/warm"
)

// Settings of the handler.
type Settings struct {
	Zone string
	// KeyLease is how long API keys are accepted after the configuration was
	// last confirmed; 0: without end.
	KeyLease time.Duration
}

// Recorder takes the record of each request when it has ended.
type Recorder interface {
	Record(r *Record)
}

// Handler serves callers. Its fields are set before use.
type Handler struct {
	Dialect   call.Dialect
	Catalog   *catalog.Catalog
	Pool      *upstream.Pool
	Loads     *load.Table
	Health    *health.Table
	Budget    *retry.Budget
	Suspects  *suspect.Table
	Warm      *warm.Index
	FleetSize func() int // daemons that share the servers' connections
	Recorder  Recorder
	Settings  Settings
	// TriggerExchange has the peers told soon where a prompt is being computed.
	TriggerExchange func()
	// CachesKnown is closed when the daemon has learned what caches hold.
	CachesKnown <-chan struct{}
	// Draining returns the time left until the daemon ends, and whether it is
	// about to.
	Draining func() (left time.Duration, draining bool)
}

// keyLeaseMargin is the time between the last check of the lease and the
// moment at which the request is at the server.
const keyLeaseMargin = 400 * time.Millisecond

// promptTime and tokenTime bound the time to the first token and between
// tokens of a stream, where it matters whether the stream ends in time.
const (
	promptTime = 1500 * time.Millisecond
	tokenTime  = 8 * time.Millisecond
)

// defaultDeadline is used where neither caller nor route says how long to wait.
const defaultDeadline = 60 * time.Second

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	rec := &Record{Start: time.Now(), Host: r.Host, Path: r.URL.Path}
	defer h.Recorder.Record(rec)
	defer rec.end()
	if _, draining := h.Draining(); draining {
		w.Header().Set("Connection", "close")
	}
	q, reject := h.admit(w, r, rec)
	if reject != nil {
		reject.write(w, rec)
		return
	}
	ctx, cancel := context.WithDeadline(r.Context(), rec.Start.Add(q.deadline))
	defer cancel()
	q.run(ctx, w)
}

// query is one request on its way through the handler.
type query struct {
	h        *Handler
	rec      *Record
	call     call.Request
	route    *route.Route
	service  *route.Service
	ws       *route.Workspace // nil on public routes
	deadline time.Duration    // from rec.Start
	method   string
	target   string
	host     string
	header   http.Header
	body     []byte
	print    uint64

	tried       map[string]bool
	ran         bool        // a server may have run the request
	lastID      string      // of the last event that was passed on
	headWritten bool        // the caller has the head of the answer
	kept        *keptAnswer // a server's failure, passed on if nothing better comes
	finished    bool
	entry       *load.Entry // of the attempt under way
}

// admit checks a request before any server is involved.
func (h *Handler) admit(w http.ResponseWriter, r *http.Request, rec *Record) (*query, *rejection) {
	view := h.Catalog.View()
	age, confirmed := h.Catalog.Age()
	rec.StoreRevision, rec.ConfirmedAge = view.Revision, age
	if view.Table == nil || !confirmed {
		return nil, notRun(ReasonNoConfig, noConfigRetry)
	}
	rec.ConfigVersion = view.Table.Version()
	request, err := h.Dialect.ParseRequest(r.Header)
	rec.ID = request.ID
	if err != nil {
		return nil, refuse(http.StatusBadRequest, ReasonBadHeader)
	}
	rt := view.Table.Match(r.Host, r.URL.Path)
	if rt == nil {
		return nil, refuse(http.StatusNotFound, ReasonNoRoute)
	}
	rec.Route = rt.Name
	q := &query{
		h: h, rec: rec, call: request, route: rt,
		method: r.Method, target: r.RequestURI, host: r.Host, header: r.Header,
		tried: make(map[string]bool),
	}
	if view.Table.NeedsKeys() && !rt.Public {
		if !h.leaseHolds() {
			return nil, notRun(ReasonKeyLeaseExpired, leaseRetry)
		}
		q.ws = view.Table.Workspace(request.Key)
		if q.ws == nil {
			return nil, refuse(http.StatusUnauthorized, ReasonUnknownKey)
		}
		rec.Workspace = q.ws.Name
	}
	q.service = view.Table.Service(rt.Service(request.ID))
	if q.service == nil {
		return nil, notRun(ReasonNoServer, noServerRetry)
	}
	rec.Service = q.service.Name
	if shared := q.call.SharedParts(); len(shared) > 0 {
		rec.PromptKey = warm.KeyOf(shared[len(shared)-1])
	}
	q.deadline = deadline(request.Deadline, rt.Timeout)
	if reject := q.readBody(w, r, view.Table.Limits().BodyBytes); reject != nil {
		return nil, reject
	}
	q.print = suspect.Fingerprint(r.Host, r.URL.Path, request.Key, q.body)
	if h.Suspects.ShouldRefuse(q.print) {
		return nil, notRun(ReasonCrashesServers, 0)
	}
	if left, draining := h.Draining(); draining && q.longest() > left {
		return nil, notRun(ReasonDraining, drainRetry)
	}
	h.Budget.RecordRequest(q.service.Name)
	return q, nil
}

// longest estimates how long the request may take.
func (q *query) longest() time.Duration {
	if q.route.Kind != route.Stream || q.call.MaxOutputTokens == 0 {
		return q.deadline
	}
	return min(q.deadline, promptTime+time.Duration(q.call.MaxOutputTokens)*tokenTime)
}

// deadline is the shorter of what the caller and the route allow.
func deadline(caller, timeout time.Duration) time.Duration {
	d := caller
	if d <= 0 || timeout > 0 && timeout < d {
		d = timeout
	}
	if d <= 0 {
		d = defaultDeadline
	}
	return d
}

func (q *query) readBody(w http.ResponseWriter, r *http.Request, limit int64) *rejection {
	if r.ContentLength == 0 {
		return nil
	}
	src := io.Reader(r.Body)
	if limit > 0 {
		src = http.MaxBytesReader(w, r.Body, limit)
	}
	var err error
	if r.ContentLength > 0 && (limit <= 0 || r.ContentLength <= limit) {
		q.body = make([]byte, r.ContentLength)
		_, err = io.ReadFull(src, q.body)
	} else {
		q.body, err = io.ReadAll(src)
	}
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return refuse(http.StatusRequestEntityTooLarge, ReasonBodyTooLarge)
	case err != nil:
		return refuse(http.StatusBadRequest, ReasonBodyUnreadable)
	}
	return nil
}

// leaseHolds tells whether the configuration was confirmed recently enough for
// its API keys to be accepted.
func (h *Handler) leaseHolds() bool {
	if h.Settings.KeyLease <= 0 {
		return true
	}
	age, ok := h.Catalog.Age()
	return ok && age < h.Settings.KeyLease-keyLeaseMargin
}

// stillAllowed checks, just before a request is sent, that the configuration
// in force still gives the key to the same workspace.
func (q *query) stillAllowed() *rejection {
	if q.ws == nil {
		return nil
	}
	if !q.h.leaseHolds() {
		return notRun(ReasonKeyLeaseExpired, leaseRetry)
	}
	ws := q.h.Catalog.View().Table.Workspace(q.call.Key)
	if ws == nil || ws.Name != q.ws.Name {
		return refuse(http.StatusUnauthorized, ReasonUnknownKey)
	}
	return nil
}

// remaining returns the time until the deadline.
func (q *query) remaining() time.Duration {
	return q.deadline - time.Since(q.rec.Start)
}

func (q *query) priority() int {
	if q.ws != nil && q.ws.HasPriority {
		return q.ws.Priority
	}
	return q.route.Priority
}

// rejection is a final answer of the gateway's own.
type rejection struct {
	status     int
	reason     Reason
	retryAfter time.Duration // 0: not told
}

const (
	noConfigRetry = 300 * time.Millisecond
	leaseRetry    = 500 * time.Millisecond
	noServerRetry = 200 * time.Millisecond
	fullRetry     = 100 * time.Millisecond
	drainRetry    = 20 * time.Millisecond // another daemon serves at once
)

func refuse(status int, reason Reason) *rejection {
	return &rejection{status: status, reason: reason}
}

// notRun promises that the request has not run and never will.
func notRun(reason Reason, retryAfter time.Duration) *rejection {
	return &rejection{status: http.StatusServiceUnavailable, reason: reason, retryAfter: retryAfter}
}

func (j *rejection) write(w http.ResponseWriter, rec *Record) {
	rec.Status, rec.Reason = j.status, j.reason
	if j.status == http.StatusServiceUnavailable {
		rec.Outcome = OutcomeNotRun
	}
	if j.retryAfter > 0 {
		w.Header().Set("Retry-After", strconv.FormatFloat(j.retryAfter.Seconds(), 'f', 3, 64))
	}
	w.Header().Set("Content-Length", "0")
	w.WriteHeader(j.status)
}
