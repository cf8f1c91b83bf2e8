package scenario

import (
	"fmt"
	"io"

	"cassialatch.dev/outcome"
)

// Summary counts how the requests of a run ended. Each request sent that has
// ended is counted once among Answered, Refused, Unknown, Rejected,
// Duplicates, Cut, Truncated and Crossed.
type Summary struct {
	Name         string         `json:"name"`
	Seconds      float64        `json:"seconds"`
	Sent         int            `json:"sent"`
	Answered     int            `json:"answered"`   // whole and verified
	Returning    int            `json:"returning"`  // answered turns after a chat's first
	Warm         int            `json:"warm"`       // of these, with the turn before all cached
	Refused      int            `json:"refused"`    // not run, after all attempts
	Unknown      int            `json:"unknown"`    // may have run
	Rejected     int            `json:"rejected"`   // the plain service answered another status than 200
	Duplicates   int            `json:"duplicates"` // ran more than once
	Cut          int            `json:"cut"`        // the connection ended within the answer
	Truncated    int            `json:"truncated"`  // a clean end before the answer was whole
	Crossed      int            `json:"crossed"`    // another request's answer
	Lost         int            `json:"lost"`       // cut, truncated and crossed together
	Retries      int            `json:"retries"`    // attempts after the first
	PromptTokens int            `json:"prompt_tokens"`
	CachedTokens int            `json:"cached_tokens"`
	Codes        []CodeCount    `json:"codes"` // of refused and unknown requests
	Classes      []ClassLatency `json:"classes"`
}

// CodeCount is how often a code ended a request.
type CodeCount struct {
	Code  outcome.Code `json:"code"`
	Count int          `json:"count"`
}

// ClassLatency is the latency of one class as callers see it. Plain service
// calls have the whole answer's time under FirstToken.
type ClassLatency struct {
	Class         string      `json:"class"`
	FirstToken    Percentiles `json:"first_token"`
	BetweenTokens Percentiles `json:"between_tokens"`
}

// Percentiles of a latency.
type Percentiles struct {
	Count int64   `json:"count"`
	P50Ms float64 `json:"p50_ms"`
	P95Ms float64 `json:"p95_ms"`
	P99Ms float64 `json:"p99_ms"`
}

// Failed tells whether a promise to callers was broken.
func (s Summary) Failed() bool { return s.Lost > 0 || s.Duplicates > 0 }

// Progress returns the counts in one line.
func (s Summary) Progress() string {
	return fmt.Sprintf("%5.1fs sent %d, answered whole %d, warm %d of %d, refused %d, unknown %d, lost %d",
		s.Seconds, s.Sent, s.Answered, s.Warm, s.Returning, s.Refused, s.Unknown, s.Lost)
}

// Write writes the summary for people to read.
func (s Summary) Write(w io.Writer) {
	fmt.Fprintf(w, "%s: %.1f s\n", s.Name, s.Seconds)
	fmt.Fprintf(w, "  sent              %7d   (further attempts %d)\n", s.Sent, s.Retries)
	fmt.Fprintf(w, "  answered whole    %7d\n", s.Answered)
	fmt.Fprintf(w, "  warm turns        %7d   of %d returning turns; %d of %d prompt tokens cached\n", s.Warm, s.Returning, s.CachedTokens, s.PromptTokens)
	fmt.Fprintf(w, "  refused, not run  %7d\n", s.Refused)
	fmt.Fprintf(w, "  outcome unknown   %7d\n", s.Unknown)
	fmt.Fprintf(w, "  lost              %7d   (cut %d, truncated %d, crossed %d)\n", s.Lost, s.Cut, s.Truncated, s.Crossed)
	fmt.Fprintf(w, "  ran twice         %7d\n", s.Duplicates)
	fmt.Fprintf(w, "  rejected          %7d   (by the plain service)\n", s.Rejected)
	for _, c := range s.Codes {
		fmt.Fprintf(w, "    %-26s %d\n", c.Code, c.Count)
	}
	fmt.Fprintf(w, "  %-10s %8s  %-28s %s\n", "class", "answers", "first token p50/p95/p99 ms", "between tokens p50/p95/p99 ms")
	for _, c := range s.Classes {
		fmt.Fprintf(w, "  %-10s %8d  %-28s %s\n", c.Class, c.FirstToken.Count, c.FirstToken, c.BetweenTokens)
	}
}

// String implements fmt.Stringer.
func (p Percentiles) String() string {
	if p.Count == 0 {
		return "-"
	}
	return fmt.Sprintf("%.1f / %.1f / %.1f", p.P50Ms, p.P95Ms, p.P99Ms)
}
