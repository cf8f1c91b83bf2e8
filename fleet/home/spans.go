package home

import (
	"slices"
	"sync"
	"time"
)

// Durations for spans.
const (
	arrivalTime       = 2 * time.Second  // maximum time until a sent request arrives at the backend server
	spanPruneInterval = time.Second      // minimum time between removals of old spans
	spanRetention     = 15 * time.Second // longer than the maximum delay of a load report
)

// span is the time for which one request of this daemon was in flight.
type span struct {
	start     time.Time
	responded time.Time // when the response began; zero if it has not
	end       time.Time // zero while in flight
}

// atBackend reports whether the request was certainly at the backend server at time t:
// either its response had begun or it had been sent at least arrivalTime before, and it
// had not ended.
func (sp *span) atBackend(t time.Time) bool {
	begun := !sp.responded.IsZero() && !sp.responded.After(t)
	sent := !sp.start.After(t.Add(-arrivalTime))
	return (begun || sent) && (sp.end.IsZero() || sp.end.After(t))
}

// spanLog records the spans of this daemon's requests to a backend server in the last
// seconds. A delayed load report can thus be compared with the requests that were in
// flight when the backend server measured it. spanLog is safe for concurrent use.
type spanLog struct {
	now func() time.Time

	mu         sync.Mutex
	all        []*span // sorted by start
	lastPruned time.Time
}

// begin records the start of a request.
func (s *spanLog) begin() *span {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	s.pruneLocked(now)
	begun := &span{start: now}
	s.all = append(s.all, begun)
	return begun
}

// respond records that the response to a request has begun.
func (s *spanLog) respond(begun *span) {
	s.mu.Lock()
	defer s.mu.Unlock()
	begun.responded = s.now()
}

// finish records the end of a request.
func (s *spanLog) finish(ended *span) {
	s.mu.Lock()
	defer s.mu.Unlock()
	ended.end = s.now()
}

// pruneLocked removes spans that ended more than spanRetention ago, at most once per
// spanPruneInterval. The caller holds s.mu.
func (s *spanLog) pruneLocked(now time.Time) {
	if now.Sub(s.lastPruned) < spanPruneInterval {
		return
	}
	s.lastPruned = now
	oldest := now.Add(-spanRetention)
	s.all = slices.DeleteFunc(s.all, func(sp *span) bool {
		return !sp.end.IsZero() && sp.end.Before(oldest)
	})
}

// countAt returns the number of requests that were certainly at the backend server at
// time t.
func (s *spanLog) countAt(t time.Time) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for _, sp := range s.all {
		if sp.atBackend(t) {
			n++
		}
	}
	return n
}
