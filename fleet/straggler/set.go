package straggler

import (
	"sync"
	"time"
)

// Set holds one detector for each model, so that backend servers of different
// models are not compared with each other. It is safe for concurrent use.
type Set struct {
	opts Options
	now  func() time.Time

	mu        sync.Mutex
	detectors map[string]*Detector
}

// NewSet returns an empty set. If now is nil, time.Now is used.
func NewSet(o Options, now func() time.Time) *Set {
	return &Set{opts: o, now: now, detectors: make(map[string]*Detector)}
}

// Detector returns the detector of a model and creates it if necessary. Detectors
// are never removed; the number of models is bounded by the configuration.
func (s *Set) Detector(model string) *Detector {
	s.mu.Lock()
	defer s.mu.Unlock()
	d := s.detectors[model]
	if d == nil {
		d = New(s.opts, s.now)
		s.detectors[model] = d
	}
	return d
}
