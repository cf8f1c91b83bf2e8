package engine

import (
	"context"
	"sync"

	"cassialatch.dev/wire/engineapi"
)

// stream holds the events of a response generated so far. Several readers can
// follow it concurrently.
type stream struct {
	cancel context.CancelFunc // cancels the request

	mu      sync.Mutex
	events  []engineapi.StreamEvent
	ended   bool
	err     error // why the stream ended early, if it did
	readers int
	changed chan struct{}
}

func newStream(cancel context.CancelFunc) *stream {
	return &stream{cancel: cancel, changed: make(chan struct{})}
}

func (s *stream) append(e engineapi.StreamEvent) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.events = append(s.events, e)
	s.broadcast()
}

func (s *stream) end(err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ended, s.err = true, err
	s.broadcast()
}

func (s *stream) broadcast() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// progress is the state of a stream from a reader's position on.
type progress struct {
	events  []engineapi.StreamEvent
	ended   bool
	err     error
	changed <-chan struct{} // closed at the next change
}

func (s *stream) progressFrom(position int) progress {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := progress{ended: s.ended, err: s.err, changed: s.changed}
	if position < len(s.events) {
		p.events = s.events[position:]
	}
	return p
}

// follow calls emit for each event from position on until the stream ends. It
// returns an error if the stream ended early, emit failed or ctx ended.
func (s *stream) follow(ctx context.Context, position int, emit func(engineapi.StreamEvent) error) error {
	for {
		p := s.progressFrom(position)
		for _, e := range p.events {
			if err := emit(e); err != nil {
				return err
			}
		}
		position += len(p.events)
		if p.ended {
			return p.err
		}
		select {
		case <-p.changed:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

func (s *stream) attach() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.readers++
}

func (s *stream) detach() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.readers--
}

func (s *stream) cancelIfUnread() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.readers == 0 && !s.ended {
		s.cancel()
	}
}
