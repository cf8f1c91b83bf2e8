package home

import (
	"slices"
	"sync"
	"time"
)

// Times of spans.
const (
	arrivalTime = 2 * time.Second  // by then a request that was sent is at the backend server
	spanPrune   = time.Second      // between two looks for requests to forget
	spanKeep    = 15 * time.Second // longer than any report is late
)

// span is the time for which one request of this daemon was in flight.
type span struct {
	start    time.Time
	answered time.Time // when its answer began; zero: not yet
	end      time.Time // zero: still in flight
}

// at reports whether the request was at the backend server at time t for
// certain: its answer had begun, or it had been sent long before.
func (sp *span) at(t time.Time) bool {
	begun := !sp.answered.IsZero() && !sp.answered.After(t)
	sent := !sp.start.After(t.Add(-arrivalTime))
	return (begun || sent) && (sp.end.IsZero() || sp.end.After(t))
}

// spans remembers this daemon's requests of the last seconds, so that a late
// report of a backend server can be compared with what was in flight when it
// was made.
type spans struct {
	now func() time.Time

	mu     sync.Mutex
	all    []*span // by start
	pruned time.Time
}

// begin notes the start of a request.
func (s *spans) begin() *span {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	s.pruneLocked(now)
	begun := &span{start: now}
	s.all = append(s.all, begun)
	return begun
}

// answer notes that the answer to a request has begun.
func (s *spans) answer(begun *span) {
	s.mu.Lock()
	defer s.mu.Unlock()
	begun.answered = s.now()
}

// finish notes the end of a request.
func (s *spans) finish(ended *span) {
	s.mu.Lock()
	defer s.mu.Unlock()
	ended.end = s.now()
}

// pruneLocked forgets requests that ended long ago, now and then. The caller
// holds s.mu.
func (s *spans) pruneLocked(now time.Time) {
	if now.Sub(s.pruned) < spanPrune {
		return
	}
	s.pruned = now
	oldest := now.Add(-spanKeep)
	s.all = slices.DeleteFunc(s.all, func(sp *span) bool {
		return !sp.end.IsZero() && sp.end.Before(oldest)
	})
}

// covering returns how many requests were at the backend server at time t for
// certain.
func (s *spans) covering(t time.Time) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for _, sp := range s.all {
		if sp.at(t) {
			n++
		}
	}
	return n
}
