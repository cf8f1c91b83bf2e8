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

// Server accepts connections from callers. A request that it has read is always
// passed to the handler, also if its connection is being closed as idle.
type Server struct {
	http *http.Server

	mu    sync.Mutex
	limit time.Duration                // idle timeout of the last call of CloseIdle
	idle  map[net.Conn]*idleConnection // connections without a request
	busy  map[net.Conn]struct{}        // connections with a request in flight
}

// idleConnection describes a connection without a request.
type idleConnection struct {
	since   time.Time
	limit   time.Duration // idle timeout in force when it became idle
	expired bool          // its read deadline has been set to the past
}

// NewServer returns a server that passes requests to the handler.
func NewServer(h http.Handler) *Server {
	s := &Server{idle: make(map[net.Conn]*idleConnection), busy: make(map[net.Conn]struct{})}
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

// CloseIdle closes connections that have been idle for at least the limit and for
// at least the limit that was in force when they became idle, since their callers
// may still rely on that one. A limit of 0 closes none. It returns the number of
// connections that it closes.
func (s *Server) CloseIdle(limit time.Duration) int {
	if limit <= 0 {
		return 0
	}
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.limit = limit
	n := 0
	for c, idle := range s.idle {
		if now.Sub(idle.since) < max(limit, idle.limit) {
			continue
		}
		if !idle.expired {
			n++
		}
		expire(c, idle)
	}
	return n
}

// expire makes net/http close an idle connection, by ending the read in which it
// waits for the next request. Closing the connection here would also break off a
// request that net/http has read but has not reported to connState yet.
func expire(c net.Conn, idle *idleConnection) {
	idle.expired = true
	// SetReadDeadline fails only on a connection that is closed already.
	_ = c.SetReadDeadline(time.Unix(1, 0))
}

// connState tracks which connections are idle and which have a request in flight.
func (s *Server) connState(c net.Conn, state http.ConnState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	idle := s.idle[c]
	delete(s.idle, c)
	delete(s.busy, c)
	switch state {
	case http.StateNew, http.StateIdle:
		s.idle[c] = &idleConnection{since: time.Now(), limit: s.limit}
	case http.StateActive:
		s.busy[c] = struct{}{}
		if idle != nil && idle.expired {
			// The request was read before the deadline took effect. The deadline
			// must not end its handling.
			_ = c.SetReadDeadline(time.Time{})
		}
	}
}
