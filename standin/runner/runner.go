// Package runner is a stand-in for a backend server on the users' platform,
// written from its published protocol. What it does follows from the path of a
// request: /safe/ and /unsafe/ answer with a short body, /stream/ with events.
package runner

import (
	"fmt"
	"hash/fnv"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	workTime  = 4 * time.Millisecond
	eventTime = 4 * time.Millisecond
	maxEvents = 40
)

// Ledger counts how often each request ran, on all runners together. It is
// safe for concurrent use.
type Ledger struct {
	mu   sync.Mutex
	runs map[string]int
	last map[string]time.Time
}

// NewLedger returns an empty ledger.
func NewLedger() *Ledger {
	return &Ledger{runs: make(map[string]int), last: make(map[string]time.Time)}
}

func (l *Ledger) ran(id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.runs[id]++
	l.last[id] = time.Now()
}

// Runs returns how often a request ran and when it last began.
func (l *Ledger) Runs(id string) (int, time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.runs[id], l.last[id]
}

// Runner is one incarnation of a backend server. It is an http.Handler.
type Runner struct {
	ID     string
	Ledger *Ledger
}

// EventCount returns the number of events that a request's stream has.
func EventCount(requestID string) int {
	h := fnv.New32a()
	// A hash never fails to take bytes.
	_, _ = h.Write([]byte(requestID))
	return int(h.Sum32()%maxEvents) + 2
}

// Event returns one event of a request's stream.
func Event(requestID string, n int) string {
	return fmt.Sprintf("id: %d\ndata: %s-%d\n\n", n, requestID, n)
}

// Body returns the body of a request that is not a stream.
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
	r.Ledger.ran(id)
	h.Set("Cassialatch-Response-Signature", r.ID+"."+id)
	if strings.HasPrefix(req.URL.Path, "/stream/") {
		r.stream(w, req, id)
		return
	}
	time.Sleep(workTime)
	fmt.Fprint(w, Body(id))
}

func (r *Runner) stream(w http.ResponseWriter, req *http.Request, id string) {
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
			return // the caller has gone
		}
		time.Sleep(eventTime)
	}
}
