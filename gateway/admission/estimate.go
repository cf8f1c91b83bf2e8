package admission

import (
	"math/bits"
	"time"
)

const (
	// minRuns is the number of runs from which service times are estimated. Before,
	// everything is sent.
	minRuns = 8
	// lowWindow is the length of each of the two windows over which the least time is
	// taken.
	lowWindow = 15 * time.Second
	// maxGrowth limits by how much the least time of a window exceeds that of the
	// window before. In a long overload all runs wait at their server.
	maxGrowth = 1.5
	// meanRuns is the number of runs that means are taken over.
	meanRuns = 64
	// maxOutputRatio limits what a request's own estimate says about its length, since
	// it is mostly an upper bound.
	maxOutputRatio = 4
)

// Estimator learns how long the servers of a service take for a request, without what
// it waits there: up to the first event by the size of the prompt that they compute,
// and from then on by the tokens of the response.
//
// What a run has waited at its server can't be told from its work, and counts that
// say that it found a free slot may be old. So the time to the first event is the least
// of recent runs with a prompt of similar size. An estimate that is too low gets less
// refused. It is not safe for concurrent use.
type Estimator struct {
	runs   int
	first  [sizes]lowest
	rest   float64 // seconds after the first event, mean
	output float64 // tokens of the responses that rest is the mean of
	usual  float64 // seconds on a server, mean
}

// sizes is the number of prompt sizes that are distinguished: powers of two.
const sizes = 24

// sizeOf returns the index of the size of a prompt.
func sizeOf(tokens int) int { return min(bits.Len(uint(max(tokens, 0))), sizes-1) }

// lowest is the least value within the last two windows.
type lowest struct {
	since    time.Time // start of the current window; zero: no value
	current  time.Duration
	previous time.Duration // 0: none
}

// add adds a value.
func (l *lowest) add(d time.Duration, now time.Time) {
	d = max(d, 1)
	switch {
	case l.since.IsZero():
		l.since, l.current = now, d
	case now.Sub(l.since) >= lowWindow:
		l.since, l.previous = now, l.current
		l.current = min(d, time.Duration(maxGrowth*float64(l.previous)))
	default:
		l.current = min(l.current, d)
	}
}

// value returns the least value; 0 if there is none.
func (l *lowest) value() time.Duration {
	if l.previous > 0 {
		return min(l.previous, l.current)
	}
	return l.current
}

// Record adds a run.
func (e *Estimator) Record(run *Run, now time.Time) {
	e.first[sizeOf(run.PromptTokens)].add(run.First, now)
	rest, output := (run.Total - run.First).Seconds(), float64(run.OutputTokens)
	total := e.First(run.PromptTokens).Seconds() + rest
	if e.runs == 0 {
		e.rest, e.output, e.usual = rest, output, total
	}
	e.runs++
	e.rest += (rest - e.rest) / meanRuns
	e.output += (output - e.output) / meanRuns
	e.usual += (total - e.usual) / meanRuns
}

// Known reports whether there have been enough runs.
func (e *Estimator) Known() bool { return e.runs >= minRuns }

// First returns the expected time until the first event of a response, or until the
// response if it is not a stream. If there was no run with a prompt of that size, it is
// that of the next smaller one, or else of the next larger one.
func (e *Estimator) First(promptTokens int) time.Duration {
	size := sizeOf(promptTokens)
	for i := size; i >= 0; i-- {
		if v := e.first[i].value(); v > 0 {
			return v
		}
	}
	for i := size; i < sizes; i++ {
		if v := e.first[i].value(); v > 0 {
			return v
		}
	}
	return 0
}

// Rest returns the expected time from the first event of a response to its end. It is
// in proportion to the tokens if requests state them; 0: as usual.
func (e *Estimator) Rest(outputTokens int) time.Duration {
	if e.output < 1 || outputTokens <= 0 {
		return seconds(e.rest)
	}
	return seconds(e.rest * min(float64(outputTokens)/e.output, maxOutputRatio))
}

// Total returns the expected time until the end of a response.
func (e *Estimator) Total(promptTokens, outputTokens int) time.Duration {
	return e.First(promptTokens) + e.Rest(outputTokens)
}

// Usual returns the time that requests take on a server on average.
func (e *Estimator) Usual() time.Duration { return seconds(e.usual) }

// seconds converts a number of seconds, up to some days.
func seconds(s float64) time.Duration {
	return time.Duration(min(s, 1e6) * float64(time.Second))
}
