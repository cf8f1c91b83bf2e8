package metric

import (
	"io"
	"sync"
	"time"

	prom "github.com/prometheus/client_golang/prometheus"
	"github.com/uber-go/tally/v4"
	tallyprom "github.com/uber-go/tally/v4/prometheus"

	"cassialatch.dev/outcome"
)

// Tags of series.
const (
	tagWorkspace = "workspace"
	tagClass     = "class"
	tagOutcome   = "outcome"
	tagCode      = "code"
	tagKind      = "kind"
	tagDirection = "way"
)

// Names of metrics, without the prefix.
const (
	nameFirstToken    = "first_token_seconds"
	nameBetweenTokens = "between_tokens_seconds"
	nameQueueWait     = "queue_wait_seconds"
	nameResponseTime  = "answer_seconds"
	nameOutcomes      = "requests_total"
)

// buckets cover the times of one token (milliseconds) to those of a long response
// (minutes).
var buckets = tally.DurationBuckets{
	time.Millisecond, 2 * time.Millisecond, 5 * time.Millisecond,
	10 * time.Millisecond, 20 * time.Millisecond, 50 * time.Millisecond,
	100 * time.Millisecond, 200 * time.Millisecond, 500 * time.Millisecond,
	time.Second, 2 * time.Second, 5 * time.Second,
	10 * time.Second, 20 * time.Second, time.Minute,
	2 * time.Minute, 5 * time.Minute, 15 * time.Minute,
}

// series holds the metrics of one workspace and class.
type series struct {
	scope         tally.Scope
	firstToken    tally.Histogram
	betweenTokens tally.Histogram
	queueWait     tally.Histogram
	responseTime  tally.Histogram

	mu       sync.Mutex
	outcomes map[outcomeKey]tally.Counter
	closed   bool
}

// outcomeKey is the outcome of a request with its code.
type outcomeKey struct {
	outcome outcome.Outcome
	code    outcome.Code
}

func newSeries(root tally.Scope, k seriesKey) *series {
	scope := root.Tagged(map[string]string{tagWorkspace: tagValue(k.workspace), tagClass: tagValue(k.class)})
	return &series{
		scope:         scope,
		firstToken:    scope.Histogram(nameFirstToken, buckets),
		betweenTokens: scope.Histogram(nameBetweenTokens, buckets),
		queueWait:     scope.Histogram(nameQueueWait, buckets),
		responseTime:  scope.Histogram(nameResponseTime, buckets),
		outcomes:      make(map[outcomeKey]tally.Counter),
	}
}

// outcome returns the counter of an outcome and code. Codes are constants of
// package outcome, so the number of counters is small.
func (s *series) outcome(o outcome.Outcome, code outcome.Code) tally.Counter {
	s.mu.Lock()
	defer s.mu.Unlock()
	key := outcomeKey{o, code}
	if c, ok := s.outcomes[key]; ok {
		return c
	}
	if s.closed {
		return tally.NoopScope.Counter(nameOutcomes) // the workspace has lost its label
	}
	c := s.outcomeScope(key).Counter(nameOutcomes)
	s.outcomes[key] = c
	return c
}

// outcomeScope returns the scope of the counter of an outcome and code.
func (s *series) outcomeScope(key outcomeKey) tally.Scope {
	return s.scope.Tagged(map[string]string{tagOutcome: string(key.outcome), tagCode: string(key.code)})
}

// close closes the scopes, which tally would otherwise report until the end of
// the process.
func (s *series) close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	for key := range s.outcomes {
		closeScope(s.outcomeScope(key))
	}
	closeScope(s.scope)
}

func closeScope(s tally.Scope) {
	if c, ok := s.(io.Closer); ok {
		_ = c.Close() // only a root scope returns an error
	}
}

// vectors holds the Prometheus vectors of the series by workspace. They are
// needed to delete the children of workspaces that lost their label, which tally
// does not do.
type vectors struct {
	histograms []*prom.HistogramVec
	outcomes   *prom.CounterVec
}

// registerVectors registers the metrics by workspace with their help texts.
func registerVectors(r tallyprom.Reporter) (*vectors, error) {
	v := &vectors{}
	for _, h := range []struct{ name, help string }{
		{nameFirstToken, "Time from arrival of a request to the first token of its answer."},
		{nameBetweenTokens, "Time between two tokens of an answer."},
		{nameQueueWait, "Time that an admitted request waited for its admission."},
		{nameResponseTime, "Time from arrival of a request to the end of its whole answer."},
	} {
		timer, err := r.RegisterTimer(prefix+"_"+h.name, []string{tagWorkspace, tagClass}, h.help,
			&tallyprom.RegisterTimerOptions{
				TimerType:        tallyprom.HistogramTimerType,
				HistogramBuckets: buckets.AsValues(),
			})
		if err != nil {
			return nil, err
		}
		v.histograms = append(v.histograms, timer.Histogram)
	}
	var err error
	v.outcomes, err = r.RegisterCounter(prefix+"_"+nameOutcomes,
		[]string{tagWorkspace, tagClass, tagOutcome, tagCode}, "Requests by how they ended.")
	return v, err
}

// remove deletes the series of a workspace, so that they are no longer exposed.
func (v *vectors) remove(workspace string) {
	match := prom.Labels{tagWorkspace: tagValue(workspace)}
	for _, h := range v.histograms {
		h.DeletePartialMatch(match)
	}
	v.outcomes.DeletePartialMatch(match)
}
