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
	tagWay       = "way"
)

// Names of metrics, without the prefix.
const (
	nameFirstToken    = "first_token_seconds"
	nameBetweenTokens = "between_tokens_seconds"
	nameQueueWait     = "queue_wait_seconds"
	nameAnswer        = "answer_seconds"
	nameOutcomes      = "requests_total"
)

// buckets suit times from one token (milliseconds) to a long answer (minutes).
var buckets = tally.DurationBuckets{
	time.Millisecond, 2 * time.Millisecond, 5 * time.Millisecond,
	10 * time.Millisecond, 20 * time.Millisecond, 50 * time.Millisecond,
	100 * time.Millisecond, 200 * time.Millisecond, 500 * time.Millisecond,
	time.Second, 2 * time.Second, 5 * time.Second,
	10 * time.Second, 20 * time.Second, time.Minute,
	2 * time.Minute, 5 * time.Minute, 15 * time.Minute,
}

// series are the metrics of one workspace and class.
type series struct {
	scope         tally.Scope
	firstToken    tally.Histogram
	betweenTokens tally.Histogram
	queueWait     tally.Histogram
	answer        tally.Histogram

	mu       sync.Mutex
	outcomes map[ending]tally.Counter
	closed   bool
}

// ending is how a request ended.
type ending struct {
	outcome outcome.Outcome
	code    outcome.Code
}

func newSeries(root tally.Scope, k key) *series {
	scope := root.Tagged(map[string]string{tagWorkspace: tagValue(k.workspace), tagClass: tagValue(k.class)})
	return &series{
		scope:         scope,
		firstToken:    scope.Histogram(nameFirstToken, buckets),
		betweenTokens: scope.Histogram(nameBetweenTokens, buckets),
		queueWait:     scope.Histogram(nameQueueWait, buckets),
		answer:        scope.Histogram(nameAnswer, buckets),
		outcomes:      make(map[ending]tally.Counter),
	}
}

// outcome returns the counter of an ending. Codes are constants of package
// outcome, so there are few.
func (s *series) outcome(o outcome.Outcome, code outcome.Code) tally.Counter {
	s.mu.Lock()
	defer s.mu.Unlock()
	e := ending{o, code}
	if c, ok := s.outcomes[e]; ok {
		return c
	}
	if s.closed {
		return tally.NoopScope.Counter(nameOutcomes) // the label was lost meanwhile
	}
	c := s.endingScope(e).Counter(nameOutcomes)
	s.outcomes[e] = c
	return c
}

func (s *series) endingScope(e ending) tally.Scope {
	return s.scope.Tagged(map[string]string{tagOutcome: string(e.outcome), tagCode: string(e.code)})
}

// close ends the scopes, which tally would report for ever otherwise.
func (s *series) close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	for e := range s.outcomes {
		closeScope(s.endingScope(e))
	}
	closeScope(s.scope)
}

func closeScope(s tally.Scope) {
	if c, ok := s.(io.Closer); ok {
		_ = c.Close() // fails only for the root
	}
}

// vectors are the Prometheus side of the series by workspace. They are kept to
// drop the children of workspaces without a label, which tally does not.
type vectors struct {
	histograms []*prom.HistogramVec
	outcomes   *prom.CounterVec
}

// register declares the series by workspace with their help texts.
func register(r tallyprom.Reporter) (*vectors, error) {
	v := &vectors{}
	for _, h := range []struct{ name, help string }{
		{nameFirstToken, "Time from arrival of a request to the first token of its answer."},
		{nameBetweenTokens, "Time between two tokens of an answer."},
		{nameQueueWait, "Time that an admitted request waited for its admission."},
		{nameAnswer, "Time from arrival of a request to the end of its whole answer."},
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

// drop ends the serving of a workspace's series.
func (v *vectors) drop(workspace string) {
	match := prom.Labels{tagWorkspace: tagValue(workspace)}
	for _, h := range v.histograms {
		h.DeletePartialMatch(match)
	}
	v.outcomes.DeletePartialMatch(match)
}
