package plainservice

import (
	"maps"
	"net"
	"net/http"
	"strconv"
	"sync"

	"cassialatch.dev/standin/internal/respond"
	"cassialatch.dev/wire/engineapi"
)

// FaultPoint is where a call's connection is closed.
type FaultPoint string

// Break points, in the order in which a call reaches them.
const (
	FaultAtAccept     FaultPoint = "accept"  // when the connection comes; needs Listener
	FaultAfterHeaders FaultPoint = "headers" // headers read; does not run
	FaultAfterBody    FaultPoint = "body"    // body read; does not run
	FaultInResponse   FaultPoint = "answer"  // ran; half of the answer sent
)

// breaker counts down the calls to break.
type breaker struct {
	mu    sync.Mutex
	point FaultPoint
	left  int
}

func (b *breaker) arm(p FaultPoint, n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.point, b.left = p, n
}

// take tells whether a call at point p is to be broken, and counts it.
func (b *breaker) take(p FaultPoint) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.left == 0 || b.point != p {
		return false
	}
	b.left--
	return true
}

// InjectFaults closes the connection of the next n calls at point p.
func (s *Service) InjectFaults(p FaultPoint, n int) { s.breaks.arm(p, n) }

// WrapListener wraps l so that BreakAccept works. It counts connections, those
// for control calls too.
func (s *Service) WrapListener(l net.Listener) net.Listener {
	return &breakingListener{Listener: l, breaks: &s.breaks}
}

type breakingListener struct {
	net.Listener
	breaks *breaker
}

// Accept implements net.Listener.
func (l *breakingListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil || !l.breaks.take(FaultAtAccept) {
			return conn, err
		}
		_ = conn.Close()
	}
}

// SetSlowdown multiplies the delay by factor.
func (s *Service) SetSlowdown(factor float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.slow = factor
}

// SetLeaving makes the reports say whether the service is leaving.
func (s *Service) SetLeaving(on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leaving = on
}

// Ledger returns a copy of the ledger.
func (s *Service) Ledger() Ledger {
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.ledger
	l.Bookings = maps.Clone(l.Bookings)
	l.Shipments = maps.Clone(l.Shipments)
	l.Releases = maps.Clone(l.Releases)
	return l
}

// Load returns the service's load.
func (s *Service) Load() engineapi.LoadReport {
	s.mu.Lock()
	defer s.mu.Unlock()
	return engineapi.LoadReport{Instance: s.config.Instance, Running: s.running, Leaving: s.leaving}
}

func (s *Service) controlRoutes() {
	s.mux.HandleFunc("GET /v1/load", func(w http.ResponseWriter, _ *http.Request) { respond.JSON(w, s.Load()) })
	s.mux.HandleFunc("GET /control/ledger", func(w http.ResponseWriter, _ *http.Request) { respond.JSON(w, s.Ledger()) })
	s.mux.HandleFunc("POST /control/slow", func(w http.ResponseWriter, r *http.Request) {
		if factor, ok := respond.ParseFactor(w, r); ok {
			s.SetSlowdown(factor)
		}
	})
	s.mux.HandleFunc("POST /control/leaving", func(w http.ResponseWriter, r *http.Request) {
		if on, ok := respond.ParseSwitch(w, r); ok {
			s.SetLeaving(on)
		}
	})
	s.mux.HandleFunc("POST /control/break", s.controlBreak)
}

func (s *Service) controlBreak(w http.ResponseWriter, r *http.Request) {
	n := 1
	if text := r.URL.Query().Get("n"); text != "" {
		parsed, err := strconv.Atoi(text)
		if err != nil || parsed < 0 {
			http.Error(w, "n must be a count", http.StatusBadRequest)
			return
		}
		n = parsed
	}
	point := FaultPoint(r.URL.Query().Get("at"))
	switch point {
	case FaultAtAccept, FaultAfterHeaders, FaultAfterBody, FaultInResponse:
		s.InjectFaults(point, n)
	default:
		http.Error(w, "at must be accept, headers, body or answer", http.StatusBadRequest)
	}
}
