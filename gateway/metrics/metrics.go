// Package metrics counts requests and measures latencies, by route class and
// outcome, and serves them in the text format that Prometheus reads.
//
// It stands in for tally in the gateway, whose memory is paid by the byte: the
// reporter behind tally needs several times the memory of all that is counted
// here. The number of series is bounded.
package metrics

import (
	"fmt"
	"io"
	"net/http"
	"sort"
	"sync"
	"time"
)

// maxSeries bounds the combinations of labels; those beyond share "other".
const maxSeries = 128

// bounds of the histograms' buckets, in seconds.
var bounds = [...]float64{0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.8, 1.5, 3, 6, 12}

// labels name a series.
type labels struct {
	service string
	outcome string
	reason  string
}

type histogram struct {
	buckets [len(bounds) + 1]uint64
	sum     float64
	count   uint64
}

func (h *histogram) observe(d time.Duration) {
	s := d.Seconds()
	i := sort.SearchFloat64s(bounds[:], s)
	h.buckets[i]++
	h.sum += s
	h.count++
}

// Registry is safe for concurrent use.
type Registry struct {
	mu       sync.Mutex
	requests map[labels]uint64
	first    map[string]*histogram // by service
	whole    map[string]*histogram // by service
	counters map[string]uint64
	gauges   map[string]func() float64
}

// New returns an empty registry.
func New() *Registry {
	return &Registry{
		requests: make(map[labels]uint64),
		first:    make(map[string]*histogram),
		whole:    make(map[string]*histogram),
		counters: make(map[string]uint64),
		gauges:   make(map[string]func() float64),
	}
}

// Gauge serves the value that a function returns. It is called before Handler.
func (r *Registry) Gauge(name string, value func() float64) { r.gauges[name] = value }

// Count adds one to a counter.
func (r *Registry) Count(name string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.counters[name]++
}

// Request counts a request that has ended. first is the time until the first
// byte of the answer, 0 if there was none.
func (r *Registry) Request(service, outcome, reason string, first, took time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	l := labels{service: service, outcome: outcome, reason: reason}
	if _, ok := r.requests[l]; !ok && len(r.requests) >= maxSeries {
		l = labels{service: "other", outcome: outcome}
	}
	r.requests[l]++
	if first > 0 {
		find(r.first, l.service).observe(first)
	}
	find(r.whole, l.service).observe(took)
}

func find(m map[string]*histogram, key string) *histogram {
	h, ok := m[key]
	if !ok {
		h = &histogram{}
		m[key] = h
	}
	return h
}

// ServeHTTP implements http.Handler.
func (r *Registry) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "text/plain; version=0.0.4")
	r.mu.Lock()
	defer r.mu.Unlock()
	for l, n := range r.requests {
		fmt.Fprintf(w, "cassialatch_requests_total{service=%q,outcome=%q,reason=%q} %d\n", l.service, l.outcome, l.reason, n)
	}
	for name, n := range r.counters {
		fmt.Fprintf(w, "cassialatch_%s_total %d\n", name, n)
	}
	for name, value := range r.gauges {
		fmt.Fprintf(w, "cassialatch_%s %g\n", name, value())
	}
	writeHistograms(w, "cassialatch_first_byte_seconds", r.first)
	writeHistograms(w, "cassialatch_request_seconds", r.whole)
}

func writeHistograms(w io.Writer, name string, all map[string]*histogram) {
	for service, h := range all {
		var total uint64
		for i, le := range bounds {
			total += h.buckets[i]
			fmt.Fprintf(w, "%s_bucket{service=%q,le=\"%g\"} %d\n", name, service, le, total)
		}
		fmt.Fprintf(w, "%s_bucket{service=%q,le=\"+Inf\"} %d\n", name, service, h.count)
		fmt.Fprintf(w, "%s_sum{service=%q} %g\n%s_count{service=%q} %d\n", name, service, h.sum, name, service, h.count)
	}
}
