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

// FaultPoint is the point of a call at which a fault closes the connection.
type FaultPoint string

// Fault points, in the order in which a call reaches them.
const (
	FaultAtAccept     FaultPoint = "accept"  // when the connection is accepted; requires WrapListener
	FaultAfterHeaders FaultPoint = "headers" // the headers have been read; the call does not run
	FaultAfterBody    FaultPoint = "body"    // the body has been read; the call does not run
	FaultInResponse   FaultPoint = "answer"  // the call has run and half of the response has been sent
)

// faultInjector counts the calls that are still to fail. It is safe for concurrent
// use.
type faultInjector struct {
	mu        sync.Mutex
	point     FaultPoint
	remaining int
}

func (f *faultInjector) arm(p FaultPoint, n int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.point, f.remaining = p, n
}

// consume reports whether a call at point p is to fail and, if so, decrements the
// number of remaining faults.
func (f *faultInjector) consume(p FaultPoint) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.remaining == 0 || f.point != p {
		return false
	}
	f.remaining--
	return true
}

// InjectFaults closes the connection of each of the next n calls at point p. It
// replaces the faults that remain from earlier calls of InjectFaults.
func (s *Service) InjectFaults(p FaultPoint, n int) { s.faults.arm(p, n) }

// WrapListener wraps l to inject the faults of FaultAtAccept. Each connection counts
// as a call, including those for control calls.
func (s *Service) WrapListener(l net.Listener) net.Listener {
	return &faultListener{Listener: l, faults: &s.faults}
}

type faultListener struct {
	net.Listener
	faults *faultInjector
}

// Accept implements net.Listener.
func (l *faultListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil || !l.faults.consume(FaultAtAccept) {
			return conn, err
		}
		_ = conn.Close()
	}
}

// SetSlowdown multiplies the configured delay by factor. It replaces the previous
// factor.
func (s *Service) SetSlowdown(factor float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.slowdown = factor
}

// SetLeaving sets the leaving flag of load reports.
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

// Load returns the current load.
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
	s.mux.HandleFunc("POST /control/break", s.postBreak)
}

func (s *Service) postBreak(w http.ResponseWriter, r *http.Request) {
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
