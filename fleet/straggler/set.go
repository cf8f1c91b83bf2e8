package straggler

import (
	"sync"
	"time"
)

// Set holds one detector for each model, so that backend servers of different
// models are not compared. It is safe for concurrent use.
type Set struct {
	opts Options
	now  func() time.Time

	mu        sync.Mutex
	detectors map[string]*Detector
}

// NewSet returns an empty set; a nil clock takes time.Now.
func NewSet(o Options, now func() time.Time) *Set {
	return &Set{opts: o, now: now, detectors: make(map[string]*Detector)}
}

// Detector returns the detector of a model. Models come from the configuration,
// which bounds their number.
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
