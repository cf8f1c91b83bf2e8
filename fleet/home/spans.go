package home

import (
	"slices"
	"sync"
	"time"
)

// Times of spans.
const (
	arrivalTime = 200 * time.Millisecond // by then a request that was sent is at the backend server
	spanKeep    = 15 * time.Second       // longer than any report is late
)

// span is the time for which one request of this daemon was in flight.
type span struct {
	start time.Time
	end   time.Time // zero: still in flight
}

// spans remembers this daemon's requests of the last seconds, so that a late
// report of a backend server can be compared with what was in flight when it
// was made.
type spans struct {
	now func() time.Time

	mu  sync.Mutex
	all []*span // by start
}

// begin notes the start of a request.
func (s *spans) begin() *span {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pruneLocked()
	begun := &span{start: s.now()}
	s.all = append(s.all, begun)
	return begun
}

// finish notes the end of a request.
func (s *spans) finish(ended *span) {
	s.mu.Lock()
	defer s.mu.Unlock()
	ended.end = s.now()
}

// pruneLocked forgets requests that ended long ago. The caller holds s.mu.
func (s *spans) pruneLocked() {
	oldest := s.now().Add(-spanKeep)
	s.all = slices.DeleteFunc(s.all, func(sp *span) bool {
		return !sp.end.IsZero() && sp.end.Before(oldest)
	})
}

// covering returns how many requests were at the backend server at time t for
// certain: they had been sent well before and had not ended.
func (s *spans) covering(t time.Time) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	latest := t.Add(-arrivalTime)
	n := 0
	for _, sp := range s.all {
		if !sp.start.After(latest) && (sp.end.IsZero() || sp.end.After(t)) {
			n++
		}
	}
	return n
}
