package metrics

import (
	"fmt"
	"net/http/httptest"
	"strings"
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
