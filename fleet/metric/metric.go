// Package metric collects the metrics of a daemon, by workspace and class, and
// exposes them to Prometheus through tally.
//
// The number of series is bounded. The busiest workspaces have a label of their
// own and all others share the label "other". When a workspace loses its label,
// its series are closed and no longer exposed. If it regains the label, they
// start at zero, as after a restart.
package metric

import (
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	prom "github.com/prometheus/client_golang/prometheus"
	"github.com/uber-go/tally/v4"
	tallyprom "github.com/uber-go/tally/v4/prometheus"

	"cassialatch.dev/outcome"
)

const (
	// Other is the label value of workspaces and classes that have none of their
	// own.
	Other = "other"

	prefix         = "cassialatch"
	maxClasses     = 8
	maxLabelBytes  = 64
	reportInterval = time.Second // interval at which tally updates what Handler serves
)

// OptionsError reports invalid Options.
type OptionsError struct{ MaxWorkspaces int }

// Error implements error.
func (e *OptionsError) Error() string {
	return fmt.Sprintf("metric: invalid MaxWorkspaces %d: must not be negative", e.MaxWorkspaces)
}

// RegisterError reports that a metric could not be registered with Prometheus.
type RegisterError struct{ cause error }

// Error implements error.
func (e *RegisterError) Error() string { return "metric: register metric: " + e.cause.Error() }

// Unwrap returns the cause.
func (e *RegisterError) Unwrap() error { return e.cause }

// Options configure Metrics.
type Options struct {
	MaxWorkspaces int // maximum number of workspaces with series of their own
}

// Metrics collects the metrics of one daemon. It is safe for concurrent use.
type Metrics struct {
	reporter tallyprom.Reporter
	root     tally.Scope
	closer   interface{ Close() error }
	vectors  *vectors
	control  *control

	// table is read for each token, so without a lock. mu guards its replacement.
	table atomic.Pointer[table]

	mu   sync.Mutex
	topK *topK
}

// New returns Metrics whose reporting runs until Close.
func New(opts Options) (*Metrics, error) {
	if opts.MaxWorkspaces < 0 {
		return nil, &OptionsError{MaxWorkspaces: opts.MaxWorkspaces}
	}
	reporter := tallyprom.NewReporter(tallyprom.Options{Registerer: prom.NewRegistry()})
	vectors, err := registerVectors(reporter)
	if err != nil {
		return nil, &RegisterError{cause: err}
	}
	root, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix:                 prefix,
		CachedReporter:         reporter,
		Separator:              tallyprom.DefaultSeparator,
		OmitCardinalityMetrics: true,
	}, reportInterval)
	m := &Metrics{
		reporter: reporter,
		root:     root,
		closer:   closer,
		vectors:  vectors,
		control:  newControl(root),
		topK:     newTopK(opts.MaxWorkspaces),
	}
	m.table.Store(newTable())
	return m, nil
}

// Close reports all outstanding counts and stops reporting.
func (m *Metrics) Close() error { return m.closer.Close() }

// Handler returns an HTTP handler that serves the metrics in the Prometheus text
// format. Values of the last second may be missing.
func (m *Metrics) Handler() http.Handler { return m.reporter.HTTPHandler() }

// RecordQueueWait records how long a request waited for admission. It must be
// called once for each admitted request.
func (m *Metrics) RecordQueueWait(ws, class string, d time.Duration) {
	m.find(ws, class).queueWait.RecordDuration(d)
}

// RecordFirstToken records the time from the arrival of a request to the first
// token of its response.
func (m *Metrics) RecordFirstToken(ws, class string, d time.Duration) {
	m.find(ws, class).firstToken.RecordDuration(d)
}

// RecordBetweenTokens records the time between two tokens of a response.
func (m *Metrics) RecordBetweenTokens(ws, class string, d time.Duration) {
	m.find(ws, class).betweenTokens.RecordDuration(d)
}

// RecordResponseTime records the time from the arrival of a request to the end of
// a complete response.
func (m *Metrics) RecordResponseTime(ws, class string, d time.Duration) {
	m.find(ws, class).responseTime.RecordDuration(d)
}

// RecordOutcome counts a request by its outcome and code. It must be called
// exactly once for each request, since its counts decide which workspaces have
// series of their own. Values recorded for a workspace before its first
// RecordOutcome count under "other". So do values for the empty workspace, which
// is that of requests refused before their workspace was known.
func (m *Metrics) RecordOutcome(ws, class string, o outcome.Outcome, code outcome.Code) {
	if ws != "" && ws != Other {
		m.mu.Lock()
		m.apply(m.topK.record(ws))
		m.mu.Unlock()
	}
	m.find(ws, class).outcome(o, code).Inc(1)
}

// find returns the series under which a workspace and class are recorded.
func (m *Metrics) find(ws, class string) *series {
	t := m.table.Load()
	if s, ok := t.series[seriesKey{ws, class}]; ok {
		return s
	}
	if s, ok := t.series[t.keyFor(ws, class)]; ok {
		return s
	}
	return m.create(ws, class)
}

// create adds the series of a workspace and class. Only labelled workspaces and
// the first maxClasses classes have series of their own, so the table is bounded.
func (m *Metrics) create(ws, class string) *series {
	m.mu.Lock()
	defer m.mu.Unlock()
	next := m.table.Load().clone()
	if len(next.classes) < maxClasses {
		next.classes[class] = struct{}{}
	}
	k := next.keyFor(ws, class)
	if s, ok := next.series[k]; ok {
		return s
	}
	s := newSeries(m.root, k)
	next.series[k] = s
	m.table.Store(next)
	return s
}

// apply applies a change of labels. The series of a workspace that gains a label
// are created when first used. Those of the one that loses it are closed. The
// caller must hold m.mu.
func (m *Metrics) apply(c labelChange) {
	if c == (labelChange{}) {
		return
	}
	next := m.table.Load().clone()
	next.labelled[c.promoted] = struct{}{}
	closed := next.remove(c.demoted)
	m.table.Store(next)
	for _, s := range closed {
		s.close()
	}
	if c.demoted != "" {
		m.vectors.remove(c.demoted)
	}
}
