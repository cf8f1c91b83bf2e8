// Package platform is a stand-in for the platform: it serves the protocol of
// wire/platformapi and has control endpoints that publish documents, change
// the VM list and switch faults on and off.
//
//	PUT    /control/documents/{name}?version=N  body TOML; without N one above the last
//	PUT    /control/vms                         body JSON array of VMs
//	POST   /control/vms/{id}/state?state=S      live or leaving
//	DELETE /control/vms/{id}
//	POST   /control/outage?on=BOOL              closes the connection of each read
//	POST   /control/stale?on=BOOL               serves what is published now, whatever follows
//	GET    /control/calls                       Calls
package platform

import (
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"cassialatch.dev/standin/internal/respond"
	"cassialatch.dev/wire/platformapi"
	"golang.org/x/time/rate"
)

// maxWait bounds how long one watch may wait.
const maxWait = 5 * time.Minute

// Config says how the platform behaves.
type Config struct {
	VMLag          time.Duration // readers see a changed VM list this late
	ReadsPerSecond float64       // over all readers; zero: no limit
}

// Calls counts the reads since the start, a waiting watch as one.
type Calls struct {
	Documents   uint64 `json:"documents"`
	VMs         uint64 `json:"vms"`
	Limited     uint64 `json:"limited"` // answered 429
	Dropped     uint64 `json:"dropped"` // closed by an outage
	NotModified uint64 `json:"not_modified"`
}

// counters are the Calls being counted.
type counters struct {
	documents, vms, limited, dropped, notModified atomic.Uint64
}

// Platform is the stand-in. It is an http.Handler.
type Platform struct {
	store   *store
	limiter *rate.Limiter
	calls   counters
	mux     *http.ServeMux
}

// New returns a platform that publishes nothing yet.
func New(c Config) *Platform {
	p := &Platform{store: newStore(c.VMLag), limiter: newLimiter(c.ReadsPerSecond), mux: http.NewServeMux()}
	p.mux.HandleFunc("GET /v1/documents/{name...}", p.getDocument)
	p.mux.HandleFunc("GET /v1/vms", p.getVMs)
	p.controlRoutes()
	return p
}

func newLimiter(readsPerSecond float64) *rate.Limiter {
	if readsPerSecond <= 0 {
		return rate.NewLimiter(rate.Inf, 0)
	}
	return rate.NewLimiter(rate.Limit(readsPerSecond), max(1, int(readsPerSecond)))
}

// ServeHTTP implements http.Handler.
func (p *Platform) ServeHTTP(w http.ResponseWriter, r *http.Request) { p.mux.ServeHTTP(w, r) }

// PutDocument publishes body under name and returns the new document. Version
// 0 means one above the last.
func (p *Platform) PutDocument(name, body string, version uint64) platformapi.Document {
	return p.store.putDocument(name, body, version)
}

// PutVMs replaces the VM list; readers see the first list at once and later
// ones after the lag.
func (p *Platform) PutVMs(vms []platformapi.VM) { p.store.putVMs(vms) }

// SetState changes the state of one VM and tells whether it is listed.
func (p *Platform) SetState(id string, state platformapi.State) bool {
	return p.store.setState(id, state)
}

// RemoveVM takes one VM off the list and tells whether it was listed.
func (p *Platform) RemoveVM(id string) bool { return p.store.removeVM(id) }

// SetOutage switches an outage on or off; waiting watches are dropped too.
func (p *Platform) SetOutage(on bool) { p.store.setOutage(on) }

// SetStale makes the platform serve what is published now, or the newest again.
func (p *Platform) SetStale(on bool) { p.store.setStale(on) }

// Calls returns the counted reads.
func (p *Platform) Calls() Calls {
	return Calls{
		Documents:   p.calls.documents.Load(),
		VMs:         p.calls.vms.Load(),
		Limited:     p.calls.limited.Load(),
		Dropped:     p.calls.dropped.Load(),
		NotModified: p.calls.notModified.Load(),
	}
}

func (p *Platform) getDocument(w http.ResponseWriter, r *http.Request) {
	p.calls.documents.Add(1)
	name := r.PathValue("name")
	p.read(w, r, func(s snapshot) (uint64, any) {
		doc := s.documents[name]
		return doc.Version, doc
	})
}

func (p *Platform) getVMs(w http.ResponseWriter, r *http.Request) {
	p.calls.vms.Add(1)
	p.read(w, r, func(s snapshot) (uint64, any) { return s.vms.Version, s.vms })
}

// read answers one read or watch. pick returns a value and its version, 0
// when there is none.
func (p *Platform) read(w http.ResponseWriter, r *http.Request, pick func(snapshot) (uint64, any)) {
	if p.store.isOut() {
		p.drop()
	}
	if !p.limiter.Allow() {
		p.calls.limited.Add(1)
		http.Error(w, "too many reads", http.StatusTooManyRequests)
		return
	}
	watch, err := parseWatch(r)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	p.await(w, r, watch, pick)
}

func (p *Platform) await(w http.ResponseWriter, r *http.Request, watch watch, pick func(snapshot) (uint64, any)) {
	timeout := time.NewTimer(watch.wait)
	defer timeout.Stop()
	for {
		view, changed := p.store.view()
		version, value := pick(view)
		switch {
		case p.store.isOut():
			p.drop()
		case version == 0:
			http.Error(w, "not published", http.StatusNotFound)
			return
		case !watch.on || version > watch.after:
			respond.JSON(w, value)
			return
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		case <-timeout.C:
			p.calls.notModified.Add(1)
			w.WriteHeader(http.StatusNotModified)
			return
		}
	}
}

// drop closes the connection.
func (p *Platform) drop() {
	p.calls.dropped.Add(1)
	respond.Abort()
}

// watch is what a read waits for.
type watch struct {
	on    bool
	after uint64
	wait  time.Duration
}

func parseWatch(r *http.Request) (watch, error) {
	query := r.URL.Query()
	if !query.Has("after") {
		return watch{}, nil
	}
	after, err := strconv.ParseUint(query.Get("after"), 10, 64)
	if err != nil {
		return watch{}, &QueryError{Parameter: "after", cause: err}
	}
	if !query.Has("wait_ms") {
		return watch{on: true, after: after}, nil
	}
	ms, err := strconv.ParseUint(query.Get("wait_ms"), 10, 31)
	if err != nil {
		return watch{}, &QueryError{Parameter: "wait_ms", cause: err}
	}
	return watch{on: true, after: after, wait: min(maxWait, time.Duration(ms)*time.Millisecond)}, nil
}

// QueryError is a query parameter that cannot be read.
type QueryError struct {
	Parameter string
	cause     error
}

// Error implements error.
func (e *QueryError) Error() string { return "query parameter " + e.Parameter + ": " + e.cause.Error() }

// Unwrap returns the cause.
func (e *QueryError) Unwrap() error { return e.cause }
