// Package metric measures what a daemon does, by workspace and class, and
// serves it to Prometheus through tally.
//
// The number of series is bounded. The busiest workspaces have a label of their
// own and all others share "other". A workspace that loses its label takes its
// series with it: they are closed and no longer served, and counting starts at
// zero should it return, as after a restart.
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
	// Other is the label of workspaces and classes without one of their own.
	Other = "other"

	prefix         = "cassialatch"
	maxClasses     = 8
	maxLabelBytes  = 64
	reportInterval = time.Second // from tally's counts to what Handler serves
)

// OptionsError tells that Options can't be used.
type OptionsError struct{ MaxWorkspaces int }

// Error implements error.
func (e *OptionsError) Error() string {
	return fmt.Sprintf("metric: MaxWorkspaces is %d, want zero or more", e.MaxWorkspaces)
}

// RegisterError tells that a metric could not be registered.
type RegisterError struct{ cause error }

// Error implements error.
func (e *RegisterError) Error() string { return "metric: cannot register: " + e.cause.Error() }

// Unwrap returns the cause.
func (e *RegisterError) Unwrap() error { return e.cause }

// Options bound the metrics.
type Options struct {
	MaxWorkspaces int // most workspaces with series of their own
}

// Metrics is safe for concurrent use.
type Metrics struct {
	reporter tallyprom.Reporter
	root     tally.Scope
	closer   interface{ Close() error }
	vectors  *vectors
	control  *control

	// table is read without a lock for each token; mu guards its replacement.
	table atomic.Pointer[table]

	mu      sync.Mutex
	busiest *busiest
}

// New returns Metrics that report until Close.
func New(opts Options) (*Metrics, error) {
	if opts.MaxWorkspaces < 0 {
		return nil, &OptionsError{MaxWorkspaces: opts.MaxWorkspaces}
	}
	reporter := tallyprom.NewReporter(tallyprom.Options{Registerer: prom.NewRegistry()})
	vectors, err := register(reporter)
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
		busiest:  newBusiest(opts.MaxWorkspaces),
	}
	m.table.Store(newTable())
	return m, nil
}

// Close reports what was counted and stops reporting.
func (m *Metrics) Close() error { return m.closer.Close() }

// Handler serves the metrics in Prometheus' text format. What was counted in
// the last second may be missing.
func (m *Metrics) Handler() http.Handler { return m.reporter.HTTPHandler() }

// RecordQueueWait records how long a request waited for its admission. It is called
// once for each request that was admitted.
func (m *Metrics) RecordQueueWait(ws, class string, d time.Duration) {
	m.find(ws, class).queueWait.RecordDuration(d)
}

// RecordFirstToken records the time from arrival to the first token of an answer.
func (m *Metrics) RecordFirstToken(ws, class string, d time.Duration) {
	m.find(ws, class).firstToken.RecordDuration(d)
}

// RecordBetweenTokens records the time between two tokens of an answer.
func (m *Metrics) RecordBetweenTokens(ws, class string, d time.Duration) {
	m.find(ws, class).betweenTokens.RecordDuration(d)
}

// RecordResponseTime records the time from arrival to the end of a whole answer.
func (m *Metrics) RecordResponseTime(ws, class string, d time.Duration) {
	m.find(ws, class).answer.RecordDuration(d)
}

// RecordOutcome counts how a request ended. It is called exactly once for each
// request, and decides which workspaces have series of their own; what is
// recorded for a workspace before its first RecordOutcome counts under "other". The
// empty workspace, that of requests refused before theirs was known, is "other".
func (m *Metrics) RecordOutcome(ws, class string, o outcome.Outcome, code outcome.Code) {
	if ws != "" && ws != Other {
		m.mu.Lock()
		m.apply(m.busiest.record(ws))
		m.mu.Unlock()
	}
	m.find(ws, class).outcome(o, code).Inc(1)
}

// find returns the series of a workspace and class.
func (m *Metrics) find(ws, class string) *series {
	t := m.table.Load()
	if s, ok := t.series[key{ws, class}]; ok {
		return s
	}
	if s, ok := t.series[t.label(ws, class)]; ok {
		return s
	}
	return m.create(ws, class)
}

// create adds the series. Only labelled workspaces and the first maxClasses
// classes have series, so the table is bounded.
func (m *Metrics) create(ws, class string) *series {
	m.mu.Lock()
	defer m.mu.Unlock()
	next := m.table.Load().clone()
	if len(next.classes) < maxClasses {
		next.classes[class] = struct{}{}
	}
	k := next.label(ws, class)
	if s, ok := next.series[k]; ok {
		return s
	}
	s := newSeries(m.root, k)
	next.series[k] = s
	m.table.Store(next)
	return s
}

// apply moves a label. The series of a workspace that gained one are made when
// first used; those of the one that lost it are closed. m.mu is held.
func (m *Metrics) apply(c change) {
	if c == (change{}) {
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
		m.vectors.drop(c.demoted)
	}
}
