// Package platform simulates the platform for tests, benchmarks and demos. It serves
// the protocol of wire/platformapi. Control endpoints publish documents, change the
// VM list and switch faults on and off. A Platform is safe for concurrent use.
//
//	PUT    /control/documents/{name}?version=N  TOML body; default version: last one plus 1
//	PUT    /control/vms                         JSON array of VMs
//	POST   /control/vms/{id}/state?state=S      live or leaving
//	DELETE /control/vms/{id}
//	POST   /control/outage?on=BOOL              closes the connection of each read and watch
//	POST   /control/stale?on=BOOL               serves the present documents and VM list despite changes
//	GET    /control/calls                       returns Calls
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

// maxWait bounds the waiting time of a watch.
const maxWait = 5 * time.Minute

// Config sets the behavior of a platform.
type Config struct {
	VMLag          time.Duration // delay until readers see a changed VM list
	ReadsPerSecond float64       // limit over all readers; 0: no limit
}

// Calls counts the reads since the start. A watch counts as one read.
type Calls struct {
	Documents   uint64 `json:"documents"`
	VMs         uint64 `json:"vms"`
	Limited     uint64 `json:"limited"` // rejected with status 429
	Dropped     uint64 `json:"dropped"` // connections closed in an outage
	NotModified uint64 `json:"not_modified"`
}

// counters holds the counters behind Calls.
type counters struct {
	documents, vms, limited, dropped, notModified atomic.Uint64
}

// Platform is a simulated platform. It implements http.Handler.
type Platform struct {
	store   *store
	limiter *rate.Limiter
	calls   counters
	mux     *http.ServeMux
}

// New returns a platform without documents and VM list.
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

// PutDocument publishes body under name and returns the new document. For version
// 0, the new version is the last one plus 1.
func (p *Platform) PutDocument(name, body string, version uint64) platformapi.Document {
	return p.store.putDocument(name, body, version)
}

// PutVMs replaces the VM list. Readers see the first list immediately and later
// ones after Config.VMLag.
func (p *Platform) PutVMs(vms []platformapi.VM) { p.store.putVMs(vms) }

// SetState changes the state of a VM. It reports false if the VM is not listed.
func (p *Platform) SetState(id string, state platformapi.State) bool {
	return p.store.setState(id, state)
}

// RemoveVM removes a VM from the list. It reports false if the VM is not listed.
func (p *Platform) RemoveVM(id string) bool { return p.store.removeVM(id) }

// SetOutage switches an outage on or off. During an outage the connection of each
// read is closed, as are those of waiting watches.
func (p *Platform) SetOutage(on bool) { p.store.setOutage(on) }

// SetStale makes the platform serve the present documents and VM list despite later
// changes or, if off, the latest ones again.
func (p *Platform) SetStale(on bool) { p.store.setStale(on) }

// Calls returns the number of reads so far.
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

// read serves a read or a watch. pick returns a value and its version, which is 0
// if the value has not been published.
func (p *Platform) read(w http.ResponseWriter, r *http.Request, pick func(snapshot) (uint64, any)) {
	if p.store.inOutage() {
		p.dropConnection()
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
	p.waitForVersion(w, r, watch, pick)
}

func (p *Platform) waitForVersion(w http.ResponseWriter, r *http.Request, watch watch, pick func(snapshot) (uint64, any)) {
	timeout := time.NewTimer(watch.wait)
	defer timeout.Stop()
	for {
		view, changed := p.store.view()
		version, value := pick(view)
		switch {
		case p.store.inOutage():
			p.dropConnection()
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

// dropConnection closes the connection.
func (p *Platform) dropConnection() {
	p.calls.dropped.Add(1)
	respond.Abort()
}

// watch holds the watch parameters of a read.
type watch struct {
	on    bool   // false for a plain read
	after uint64 // wait for a version above this one
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

// QueryError reports an invalid query parameter.
type QueryError struct {
	Parameter string
	cause     error
}

// Error implements error.
func (e *QueryError) Error() string { return "query parameter " + e.Parameter + ": " + e.cause.Error() }

// Unwrap returns the cause.
func (e *QueryError) Unwrap() error { return e.cause }
