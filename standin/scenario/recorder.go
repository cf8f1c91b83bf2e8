package scenario

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"cassialatch.dev/outcome"
	"cassialatch.dev/standin/caller"
	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/cockroachdb/errors"
)

// Range and precision of the latency histograms.
const (
	minMicros          = 1
	maxMicros          = int64(10 * time.Minute / time.Microsecond)
	significantFigures = 3
)

// histograms holds the latencies of one class.
type histograms struct {
	firstToken    *hdrhistogram.Histogram // time to the first token, or to the complete response of a service
	betweenTokens *hdrhistogram.Histogram // time between tokens
}

// recorder counts requests by result and records latencies. It is safe for
// concurrent use.
type recorder struct {
	mu      sync.Mutex
	start   time.Time
	total   Summary // counts only
	codes   map[outcome.Code]int
	classes map[string]*histograms
}

func newRecorder() *recorder {
	return &recorder{start: time.Now(), codes: map[outcome.Code]int{}, classes: map[string]*histograms{}}
}

func (r *recorder) recordSent() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.total.Sent++
}

func (r *recorder) recordAnswered() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.total.Answered++
}

func (r *recorder) recordRetries(n int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.total.Retries += n
}

// recordChat counts a complete chat response and records its latencies.
// contextTokens is the number of tokens of the previous turn, prompt and response
// together; it is used only for a follow-up turn.
func (r *recorder) recordChat(class string, resp caller.ChatResponse, followUp bool, contextTokens int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.total.Answered++
	r.total.PromptTokens += resp.Usage.PromptTokens
	r.total.CachedTokens += resp.Usage.CachedTokens
	if followUp {
		r.total.Returning++
		if resp.Usage.CachedTokens >= contextTokens {
			r.total.Warm++
		}
	}
	h := r.histogramsFor(class)
	recordDuration(h.firstToken, resp.FirstToken)
	for _, gap := range resp.Gaps {
		recordDuration(h.betweenTokens, gap)
	}
}

// recordServiceTime records the time to a complete response of a plain service.
func (r *recorder) recordServiceTime(class string, d time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	recordDuration(r.histogramsFor(class).firstToken, d)
}

// recordFailure counts a request without a complete and valid response.
func (r *recorder) recordFailure(err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	var invalid *caller.InvalidResponseError
	var duplicate *DuplicateRunError
	var status *caller.StatusError
	switch {
	case errors.As(err, &invalid):
		r.countDefect(invalid.Defect)
	case errors.As(err, &duplicate):
		r.total.Duplicates++
	case errors.As(err, &status):
		r.total.Rejected++
	default:
		r.countOutcome(outcome.From(err))
	}
}

func (r *recorder) countDefect(d caller.Defect) {
	switch d {
	case caller.DefectAborted:
		r.total.Cut++
	case caller.DefectTruncated:
		r.total.Truncated++
	case caller.DefectMismatched:
		r.total.Crossed++
	}
}

func (r *recorder) countOutcome(e *outcome.Error) {
	r.codes[e.Code]++
	if e.Outcome == outcome.NotRun {
		r.total.Refused++
		return
	}
	r.total.Unknown++
}

func (r *recorder) histogramsFor(name string) *histograms {
	if h, ok := r.classes[name]; ok {
		return h
	}
	h := &histograms{
		firstToken:    hdrhistogram.New(minMicros, maxMicros, significantFigures),
		betweenTokens: hdrhistogram.New(minMicros, maxMicros, significantFigures),
	}
	r.classes[name] = h
	return h
}

func recordDuration(h *hdrhistogram.Histogram, d time.Duration) {
	// A value within the range of the histogram is always recorded.
	_ = h.RecordValue(min(maxMicros, max(minMicros, d.Microseconds())))
}

// summary returns the counts and latencies so far.
func (r *recorder) summary(name string) Summary {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.total
	s.Name = name
	s.Lost = s.Cut + s.Truncated + s.Crossed
	s.Seconds = time.Since(r.start).Seconds()
	for code, n := range r.codes {
		s.Codes = append(s.Codes, CodeCount{Code: code, Count: n})
	}
	slices.SortFunc(s.Codes, func(a, b CodeCount) int { return cmp.Compare(a.Code, b.Code) })
	for class, h := range r.classes {
		s.Classes = append(s.Classes, ClassLatency{Class: class, FirstToken: percentiles(h.firstToken), BetweenTokens: percentiles(h.betweenTokens)})
	}
	slices.SortFunc(s.Classes, func(a, b ClassLatency) int { return cmp.Compare(a.Class, b.Class) })
	return s
}

func percentiles(h *hdrhistogram.Histogram) Percentiles {
	ms := func(p float64) float64 { return float64(h.ValueAtPercentile(p)) / 1000 }
	return Percentiles{Count: h.TotalCount(), P50Ms: ms(50), P95Ms: ms(95), P99Ms: ms(99)}
}
