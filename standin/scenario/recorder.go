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

// Bounds of the latency histograms.
const (
	lowestMicros  = 1
	highestMicros = int64(10 * time.Minute / time.Microsecond)
	precision     = 3 // significant figures
)

// histograms are the latencies of one class.
type histograms struct {
	first *hdrhistogram.Histogram // to the first token, or to the whole answer
	gaps  *hdrhistogram.Histogram // between tokens
}

// recorder counts how requests ended. It is safe for concurrent use.
type recorder struct {
	mu      sync.Mutex
	began   time.Time
	total   Summary // counts only
	codes   map[outcome.Code]int
	classes map[string]*histograms
}

func newRecorder() *recorder {
	return &recorder{began: time.Now(), codes: map[outcome.Code]int{}, classes: map[string]*histograms{}}
}

func (r *recorder) sent() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.total.Sent++
}

func (r *recorder) answered() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.total.Answered++
}

func (r *recorder) retried(n int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.total.Retries += n
}

// answeredChat counts a whole chat answer; earlier is the tokens of the turn
// before a returning one.
func (r *recorder) answeredChat(class string, a caller.ChatResponse, returning bool, earlier int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.total.Answered++
	r.total.PromptTokens += a.Usage.PromptTokens
	r.total.CachedTokens += a.Usage.CachedTokens
	if returning {
		r.total.Returning++
		if a.Usage.CachedTokens >= earlier {
			r.total.Warm++
		}
	}
	h := r.class(class)
	record(h.first, a.FirstToken)
	for _, gap := range a.Gaps {
		record(h.gaps, gap)
	}
}

// took records the time to a whole answer of a plain service.
func (r *recorder) took(class string, d time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	record(r.class(class).first, d)
}

// failed counts a request that was not answered whole.
func (r *recorder) failed(err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	var lost *caller.InvalidResponseError
	var duplicate *DuplicateRunError
	var status *caller.StatusError
	switch {
	case errors.As(err, &lost):
		r.countLoss(lost.Defect)
	case errors.As(err, &duplicate):
		r.total.Duplicates++
	case errors.As(err, &status):
		r.total.Rejected++
	default:
		r.countOutcome(outcome.From(err))
	}
}

func (r *recorder) countLoss(l caller.Defect) {
	switch l {
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

func (r *recorder) class(name string) *histograms {
	if h, ok := r.classes[name]; ok {
		return h
	}
	h := &histograms{
		first: hdrhistogram.New(lowestMicros, highestMicros, precision),
		gaps:  hdrhistogram.New(lowestMicros, highestMicros, precision),
	}
	r.classes[name] = h
	return h
}

func record(h *hdrhistogram.Histogram, d time.Duration) {
	// A value within the bounds is always recorded.
	_ = h.RecordValue(min(highestMicros, max(lowestMicros, d.Microseconds())))
}

// summary returns the counts so far.
func (r *recorder) summary(name string) Summary {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.total
	s.Name = name
	s.Lost = s.Cut + s.Truncated + s.Crossed
	s.Seconds = time.Since(r.began).Seconds()
	for code, n := range r.codes {
		s.Codes = append(s.Codes, CodeCount{Code: code, Count: n})
	}
	slices.SortFunc(s.Codes, func(a, b CodeCount) int { return cmp.Compare(a.Code, b.Code) })
	for class, h := range r.classes {
		s.Classes = append(s.Classes, ClassLatency{Class: class, FirstToken: percentiles(h.first), BetweenTokens: percentiles(h.gaps)})
	}
	slices.SortFunc(s.Classes, func(a, b ClassLatency) int { return cmp.Compare(a.Class, b.Class) })
	return s
}

func percentiles(h *hdrhistogram.Histogram) Percentiles {
	ms := func(p float64) float64 { return float64(h.ValueAtPercentile(p)) / 1000 }
	return Percentiles{Count: h.TotalCount(), P50Ms: ms(50), P95Ms: ms(95), P99Ms: ms(99)}
}
