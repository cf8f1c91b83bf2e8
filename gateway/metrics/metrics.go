// Package metrics counts requests by service, outcome and reason, measures
// latencies by service, and serves them in the Prometheus text format.
//
// The gateway uses it instead of tally because its memory is paid for by the
// byte, and the reporter behind tally needs several times the memory of all
// series stored here. The number of request series and histograms is bounded.
package metrics

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"sort"
	"sync"
	"time"
)

// maxSeries limits the label combinations of request counters. Further ones are
// counted under the service "other".
const maxSeries = 128

// bucketBounds are the upper bounds of the histogram buckets, in seconds.
var bucketBounds = [...]float64{0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.8, 1.5, 3, 6, 12}

// seriesLabels identifies a request counter.
type seriesLabels struct {
	service string
	outcome string
	reason  string
}

type histogram struct {
	buckets [len(bucketBounds) + 1]uint64 // not cumulative; the last is +Inf
	sum     float64                       // seconds
	count   uint64
}

func (h *histogram) observe(d time.Duration) {
	s := d.Seconds()
	i := sort.SearchFloat64s(bucketBounds[:], s)
	h.buckets[i]++
	h.sum += s
	h.count++
}

// Registry holds the gateway's metrics and serves them over HTTP. It is safe for
// concurrent use, except for Gauge.
type Registry struct {
	mu        sync.Mutex
	requests  map[seriesLabels]uint64
	firstByte map[string]*histogram // by service
	total     map[string]*histogram // by service
	counters  map[string]uint64
	gauges    map[string]func() float64
}

// New returns an empty registry.
func New() *Registry {
	return &Registry{
		requests:  make(map[seriesLabels]uint64),
		firstByte: make(map[string]*histogram),
		total:     make(map[string]*histogram),
		counters:  make(map[string]uint64),
		gauges:    make(map[string]func() float64),
	}
}

// Gauge registers a gauge whose value is read by calling value. It must not be
// called once the registry serves requests.
func (r *Registry) Gauge(name string, value func() float64) { r.gauges[name] = value }

// Count adds one to the counter that is served as cassialatch_<name>_total.
func (r *Registry) Count(name string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.counters[name]++
}

// Request records a request that has ended. firstByte is the time to the first
// byte of the response, 0 if there was none.
func (r *Registry) Request(service, outcome, reason string, firstByte, duration time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	l := seriesLabels{service: service, outcome: outcome, reason: reason}
	if _, ok := r.requests[l]; !ok && len(r.requests) >= maxSeries {
		l = seriesLabels{service: "other", outcome: outcome}
	}
	r.requests[l]++
	if firstByte > 0 {
		histogramFor(r.firstByte, l.service).observe(firstByte)
	}
	histogramFor(r.total, l.service).observe(duration)
}

// histogramFor returns the histogram for the key and adds one if there is none.
func histogramFor(m map[string]*histogram, key string) *histogram {
	h, ok := m[key]
	if !ok {
		h = &histogram{}
		m[key] = h
	}
	return h
}

// ServeHTTP implements http.Handler. It writes all metrics in the Prometheus
// text format.
func (r *Registry) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	text := r.render()
	w.Header().Set("Content-Type", "text/plain; version=0.0.4")
	// A write fails if the client has disconnected; it asks again.
	_, _ = w.Write(text)
}

// render returns all metrics as text. It does not write to the client itself,
// since requests wait for r.mu.
func (r *Registry) render() []byte {
	r.mu.Lock()
	defer r.mu.Unlock()
	var b bytes.Buffer
	for l, n := range r.requests {
		fmt.Fprintf(&b, "cassialatch_requests_total{service=%q,outcome=%q,reason=%q} %d\n", l.service, l.outcome, l.reason, n)
	}
	for name, n := range r.counters {
		fmt.Fprintf(&b, "cassialatch_%s_total %d\n", name, n)
	}
	for name, value := range r.gauges {
		fmt.Fprintf(&b, "cassialatch_%s %g\n", name, value())
	}
	writeHistograms(&b, "cassialatch_first_byte_seconds", r.firstByte)
	writeHistograms(&b, "cassialatch_request_seconds", r.total)
	return b.Bytes()
}

func writeHistograms(w io.Writer, name string, all map[string]*histogram) {
	for service, h := range all {
		var total uint64
		for i, le := range bucketBounds {
			total += h.buckets[i]
			fmt.Fprintf(w, "%s_bucket{service=%q,le=\"%g\"} %d\n", name, service, le, total)
		}
		fmt.Fprintf(w, "%s_bucket{service=%q,le=\"+Inf\"} %d\n", name, service, h.count)
		fmt.Fprintf(w, "%s_sum{service=%q} %g\n%s_count{service=%q} %d\n", name, service, h.sum, name, service, h.count)
	}
}
