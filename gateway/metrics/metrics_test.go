package metrics

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
)

// render returns the registry's metrics in the Prometheus text format.
func render(r *Registry) string {
	w := httptest.NewRecorder()
	r.ServeHTTP(w, nil)
	return w.Body.String()
}

func TestServeHTTP_WritesCountersGaugesAndHistograms(t *testing.T) {
	is := is.New(t)
	r := New()
	r.Gauge("peers", func() float64 { return 8 })
	r.Count("dials")
	r.Request("s", "answered", "", 30*time.Millisecond, 70*time.Millisecond)
	r.Request("s", "not_run", "no_server", 0, time.Millisecond)
	text := render(r)
	for _, line := range []string{
		`cassialatch_requests_total{service="s",outcome="answered",reason=""} 1`,
		`cassialatch_dials_total 1`,
		`cassialatch_peers 8`,
		`cassialatch_first_byte_seconds_bucket{service="s",le="0.025"} 0`,
		`cassialatch_first_byte_seconds_bucket{service="s",le="0.05"} 1`,
		`cassialatch_first_byte_seconds_count{service="s"} 1`,
		`cassialatch_request_seconds_bucket{service="s",le="+Inf"} 2`,
	} {
		is.True(strings.Contains(text, line+"\n"))
	}
}

// Load pattern: many short-lived services, each with requests of its own. The
// memory of the registry must not grow with their number.
func TestRequest_LimitsNumberOfSeries(t *testing.T) {
	is := is.New(t)
	r := New()
	for i := range 10 * maxSeries {
		r.Request(fmt.Sprint("s", i), "answered", "", time.Millisecond, time.Millisecond)
	}
	is.True(strings.Count(render(r), "cassialatch_requests_total{") <= maxSeries+1)
	is.True(len(r.total) <= maxSeries+1)
}

// stalledWriter is an http.ResponseWriter whose client has stopped reading.
type stalledWriter struct {
	http.ResponseWriter
	stalled chan struct{} // closed when the first write has begun
	resume  chan struct{} // closed to let writes continue
	once    sync.Once
}

func (w *stalledWriter) Write(p []byte) (int, error) {
	w.once.Do(func() { close(w.stalled) })
	<-w.resume
	return w.ResponseWriter.Write(p)
}

// Guards against requests that get no answer because a client of the metrics has
// stopped reading: each request is recorded before its response is sent.
func TestServeHTTP_StalledClientDoesNotBlockRequests(t *testing.T) {
	is := is.New(t)
	r := New()
	r.Request("s", "answered", "", time.Millisecond, time.Millisecond)
	w := &stalledWriter{ResponseWriter: httptest.NewRecorder(), stalled: make(chan struct{}), resume: make(chan struct{})}
	served := make(chan struct{})
	go func() {
		defer close(served)
		r.ServeHTTP(w, nil)
	}()
	<-w.stalled
	recorded := make(chan struct{})
	go func() {
		defer close(recorded)
		r.Request("s", "answered", "", time.Millisecond, time.Millisecond)
		r.Count("dials")
	}()
	select {
	case <-recorded:
	case <-time.After(10 * time.Second): // only ends a hang
		t.Error("requests can't be recorded while a client of the metrics does not read")
	}
	close(w.resume)
	<-served
	<-recorded
	is.True(strings.Contains(render(r), `cassialatch_dials_total 1`))
}
