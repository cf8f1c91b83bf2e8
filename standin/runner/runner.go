// Package runner simulates a backend server of the users' platform for tests. It
// implements the platform's published protocol. The path of a request selects the
// response: /safe/ and /unsafe/ return a short body, /stream/ and /slow/ return
// events.
package runner

import (
	"fmt"
	"hash/fnv"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	workTime      = 4 * time.Millisecond  // duration of a request that is not a stream
	eventTime     = 4 * time.Millisecond  // pause after each event
	slowEventTime = 50 * time.Millisecond // the same for /slow/
	maxEvents     = 40
)

// Ledger records the runs of each request, and the refusals, on all runners that share
// it. It is safe for concurrent use.
type Ledger struct {
	mu       sync.Mutex
	runs     map[string][]Run
	refusals map[string][]Run
}

// Run is the start of one run of a request.
type Run struct {
	Runner string // ID of the runner
	Start  time.Time
}

// NewLedger returns an empty ledger.
func NewLedger() *Ledger {
	return &Ledger{runs: make(map[string][]Run), refusals: make(map[string][]Run)}
}

func (l *Ledger) recordRun(id, runner string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.runs[id] = append(l.runs[id], Run{Runner: runner, Start: time.Now()})
}

// Runs returns the runs of a request, oldest first.
func (l *Ledger) Runs(id string) []Run {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Clone(l.runs[id])
}

func (l *Ledger) recordRefusal(id, runner string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.refusals[id] = append(l.refusals[id], Run{Runner: runner, Start: time.Now()})
}

// Refusals returns the refusals of a request by paused runners, oldest first.
func (l *Ledger) Refusals(id string) []Run {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Clone(l.refusals[id])
}

// Mode is how a Runner treats requests.
type Mode int32

// Modes.
const (
	Serving Mode = iota
	Leaving      // responses say that the runner is leaving
	Paused       // requests are refused for PauseTime
)

// PauseTime is the time that a paused runner asks for with each refusal.
const PauseTime = time.Second

// Runner is one incarnation of a backend server. It implements http.Handler.
type Runner struct {
	ID     string
	Ledger *Ledger
	// CrashPart is the ID of a part of prompts. When the runner begins to respond to a
	// request with this part, it calls Crash and breaks off. Empty: never.
	CrashPart string
	Crash     func()

	mode atomic.Int32
}

// SetMode sets the mode. A new Runner is in mode Serving.
func (r *Runner) SetMode(m Mode) { r.mode.Store(int32(m)) }

// EventCount returns the number of events in the stream of a request.
func EventCount(requestID string) int {
	h := fnv.New32a()
	// Writes to a hash never fail.
	_, _ = h.Write([]byte(requestID))
	return int(h.Sum32()%maxEvents) + 2
}

// Event returns the text of event n in the stream of a request. Events are numbered
// from 1.
func Event(requestID string, n int) string {
	return fmt.Sprintf("id: %d\ndata: %s-%d\n\n", n, requestID, n)
}

// Body returns the response body of a request that is not a stream.
func Body(requestID string) string { return "done " + requestID }

// ServeHTTP implements http.Handler.
func (r *Runner) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	id := req.Header.Get("Cassialatch-Attempt-Id")
	h := w.Header()
	h.Set("Cassialatch-Attempt-Id", id)
	h.Set("Keep-Alive", "timeout=10")
	if expected := req.Header.Get("Cassialatch-Expected-Instance"); expected != "" && expected != r.ID {
		h.Set("Cassialatch-Instance-Id", r.ID)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if req.URL.Path == "/kv-list" {
		fmt.Fprint(w, `{"held":[]}`)
		return
	}
	switch Mode(r.mode.Load()) {
	case Leaving:
		h.Set("Server-Leaving", "1")
	case Paused:
		r.Ledger.recordRefusal(id, r.ID)
		h.Set("Cassialatch-Not-Executed", "1")
		h.Set("Retry-After", strconv.FormatFloat(PauseTime.Seconds(), 'f', -1, 64))
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	r.Ledger.recordRun(id, r.ID)
	if r.crashes(req) {
		r.Crash()
		panic(http.ErrAbortHandler)
	}
	h.Set("Cassialatch-Response-Signature", r.ID+"."+id)
	switch {
	case strings.HasPrefix(req.URL.Path, "/stream/"):
		r.stream(w, req, id, eventTime)
		return
	case strings.HasPrefix(req.URL.Path, "/slow/"):
		r.stream(w, req, id, slowEventTime)
		return
	}
	time.Sleep(workTime)
	fmt.Fprint(w, Body(id))
}

// crashes reports whether the prompt of a request has the part CrashPart.
func (r *Runner) crashes(req *http.Request) bool {
	if r.CrashPart == "" {
		return false
	}
	for part := range strings.SplitSeq(req.Header.Get("Cassialatch-Prompt-Prefix"), ",") {
		if id, _, _ := strings.Cut(part, ":"); id == r.CrashPart {
			return true
		}
	}
	return false
}

func (r *Runner) stream(w http.ResponseWriter, req *http.Request, id string, pause time.Duration) {
	after := 0
	if last := req.Header.Get("Last-Event-Id"); last != "" {
		n, err := strconv.Atoi(last)
		if err != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		after = n
	}
	w.Header().Set("Content-Type", "text/event-stream")
	for n := after + 1; n <= EventCount(id); n++ {
		fmt.Fprint(w, Event(id, n))
		if http.NewResponseController(w).Flush() != nil || req.Context().Err() != nil {
			return // the caller has disconnected
		}
		time.Sleep(pause)
	}
}
