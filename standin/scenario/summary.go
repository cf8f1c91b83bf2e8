package scenario

import (
	"fmt"
	"io"

	"cassialatch.dev/outcome"
)

// Summary holds the results of a run. Each completed request is counted in exactly
// one of Answered, Refused, Unknown, Rejected, Duplicates, Cut, Truncated and
// Crossed.
type Summary struct {
	Name         string         `json:"name"`
	Seconds      float64        `json:"seconds"`
	Sent         int            `json:"sent"`
	Answered     int            `json:"answered"`   // complete and verified responses
	Returning    int            `json:"returning"`  // answered follow-up turns of chats
	Warm         int            `json:"warm"`       // follow-up turns with all tokens of the previous turn cached
	Refused      int            `json:"refused"`    // not run in any attempt
	Unknown      int            `json:"unknown"`    // outcome unknown, may have run
	Rejected     int            `json:"rejected"`   // response of the plain service with a status other than 200
	Duplicates   int            `json:"duplicates"` // calls that ran more than once
	Cut          int            `json:"cut"`        // response ended early by the connection or the daemon
	Truncated    int            `json:"truncated"`  // response ended cleanly, but was incomplete
	Crossed      int            `json:"crossed"`    // response did not match the request
	Lost         int            `json:"lost"`       // sum of Cut, Truncated and Crossed
	Retries      int            `json:"retries"`    // attempts beyond the first of each request
	PromptTokens int            `json:"prompt_tokens"`
	CachedTokens int            `json:"cached_tokens"`
	Codes        []CodeCount    `json:"codes"` // of refused and unknown requests
	Classes      []ClassLatency `json:"classes"`
}

// CodeCount is the number of requests that failed with a code.
type CodeCount struct {
	Code  outcome.Code `json:"code"`
	Count int          `json:"count"`
}

// ClassLatency holds the latencies of one class as measured by the clients. For
// calls to plain services, FirstToken is the time to the complete response.
type ClassLatency struct {
	Class         string      `json:"class"`
	FirstToken    Percentiles `json:"first_token"`
	BetweenTokens Percentiles `json:"between_tokens"`
}

// Percentiles holds the percentiles of a latency in milliseconds.
type Percentiles struct {
	Count int64   `json:"count"`
	P50Ms float64 `json:"p50_ms"`
	P95Ms float64 `json:"p95_ms"`
	P99Ms float64 `json:"p99_ms"`
}

// Failed reports whether a guarantee of cassialatch to its callers was violated: a
// response was invalid, or a call ran more than once.
func (s Summary) Failed() bool { return s.Lost > 0 || s.Duplicates > 0 }

// Progress returns the counts as one line of text.
func (s Summary) Progress() string {
	return fmt.Sprintf("%5.1fs sent %d, answered whole %d, warm %d of %d, refused %d, unknown %d, lost %d",
		s.Seconds, s.Sent, s.Answered, s.Warm, s.Returning, s.Refused, s.Unknown, s.Lost)
}

// Write writes the summary as text.
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

// String implements fmt.Stringer. It returns the percentiles in milliseconds.
func (p Percentiles) String() string {
	if p.Count == 0 {
		return "-"
	}
	return fmt.Sprintf("%.1f / %.1f / %.1f", p.P50Ms, p.P95Ms, p.P99Ms)
}
