package ingress

import (
	"net"
	"net/http"
	"sync"
	"time"
)

// Limits that apply before a request is matched to a route. They are constants, and
// higher than the limits of the configuration, because the configuration can change
// while connections are open.
const (
	maxHeaderBytes = 64 << 10
	headerTimeout  = 10 * time.Second
)

// Server accepts connections from callers.
type Server struct {
	http *http.Server

	mu   sync.Mutex
	idle map[net.Conn]time.Time // time at which the connection became idle
	busy map[net.Conn]struct{}  // connections with a request in flight
}

// NewServer returns a server that passes requests to the handler.
func NewServer(h http.Handler) *Server {
	s := &Server{idle: make(map[net.Conn]time.Time), busy: make(map[net.Conn]struct{})}
	s.http = &http.Server{
		Handler:           h,
		MaxHeaderBytes:    maxHeaderBytes,
		ReadHeaderTimeout: headerTimeout,
		ConnState:         s.connState,
	}
	return s
}

// Serve accepts connections from the listener until Close is called.
func (s *Server) Serve(l net.Listener) error { return s.http.Serve(l) }

// Close closes the listener and all connections at once.
func (s *Server) Close() error { return s.http.Close() }

// Active returns the number of connections with a request in flight.
func (s *Server) Active() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.busy)
}

// CloseIdle closes connections that have been idle for at least the limit. A
// limit of 0 closes none.
func (s *Server) CloseIdle(limit time.Duration) {
	if limit <= 0 {
		return
	}
	now := time.Now()
	s.mu.Lock()
	var expired []net.Conn
	for c, since := range s.idle {
		if now.Sub(since) >= limit {
			expired = append(expired, c)
		}
	}
	s.mu.Unlock()
	for _, c := range expired {
		c.Close()
	}
}

// connState tracks which connections are idle and which have a request in flight.
func (s *Server) connState(c net.Conn, state http.ConnState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.idle, c)
	delete(s.busy, c)
	switch state {
	case http.StateNew, http.StateIdle:
		s.idle[c] = time.Now()
	case http.StateActive:
		s.busy[c] = struct{}{}
	}
}
