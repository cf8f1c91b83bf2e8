package ingress

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"time"

	"cassialatch.dev/gateway/clientlimit"
)

// Limits that apply before a request is matched to a route. They are constants, and
// higher than the limits of the configuration, because the configuration can change
// while connections are open.
const (
	MaxHeaderBytes = 64 << 10
	HeaderTimeout  = 10 * time.Second
)

// ErrStopped is the cause with which Server.Stop ends the contexts of requests.
var ErrStopped = errors.New("ingress: server stopped")

// Server accepts connections from callers. A request that it has read is always
// passed to the handler, also if its connection is being closed as idle or the
// server is being stopped.
type Server struct {
	http *http.Server
	// cancel ends the contexts of all requests.
	cancel context.CancelCauseFunc

	mu       sync.Mutex
	listener net.Listener
	limit    time.Duration                // idle timeout of the last call of CloseIdle
	idle     map[net.Conn]*idleConnection // connections without a request
	busy     map[net.Conn]struct{}        // connections with a request in flight
	stopping bool
	empty    chan struct{} // closed when there are no connections after Stop was called
}

// idleConnection describes a connection without a request.
type idleConnection struct {
	since   time.Time
	limit   time.Duration // idle timeout in force when it became idle
	expired bool          // its read deadline has been set to the past
}

// NewServer returns a server that passes requests to the handler.
func NewServer(h http.Handler) *Server {
	s := &Server{
		idle:  make(map[net.Conn]*idleConnection),
		busy:  make(map[net.Conn]struct{}),
		empty: make(chan struct{}),
	}
	var ctx context.Context
	ctx, s.cancel = context.WithCancelCause(context.Background())
	s.http = &http.Server{
		BaseContext:       func(net.Listener) context.Context { return ctx },
		ConnContext:       clientlimit.ConnContext,
		Handler:           clientlimit.Handler(h),
		MaxHeaderBytes:    MaxHeaderBytes,
		ReadHeaderTimeout: HeaderTimeout,
		WriteTimeout:      ownWriteTimeout, // removed for requests that are admitted
		ConnState:         s.connState,
	}
	return s
}

// Serve accepts connections from the listener until Stop is called, and then
// returns http.ErrServerClosed.
func (s *Server) Serve(l net.Listener) error {
	s.mu.Lock()
	s.listener = l
	s.mu.Unlock()
	err := s.http.Serve(l)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stopping {
		return http.ErrServerClosed
	}
	return err
}

// Stop closes the listener and the idle connections and ends the contexts of the
// requests in flight with the cause ErrStopped. When their handlers have returned,
// but at the latest after the timeout, it closes the remaining connections.
func (s *Server) Stop(timeout time.Duration) {
	s.beginStop()
	s.cancel(ErrStopped)
	s.awaitEmpty(timeout)
	s.http.Close()
}

// awaitEmpty waits until there are no connections, but at most for the timeout.
// It expires idle connections repeatedly, since net/http resets the read deadline
// of a connection just after it has reported it as idle.
func (s *Server) awaitEmpty(timeout time.Duration) {
	const interval = 5 * time.Millisecond
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	end := time.After(timeout)
	for {
		select {
		case <-s.empty:
			return
		case <-end:
			return
		case <-ticker.C:
			s.expireIdle()
		}
	}
}

// expireIdle makes net/http close all idle connections.
func (s *Server) expireIdle() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c, idle := range s.idle {
		expire(c, idle)
	}
}

// beginStop closes the listener and the idle connections.
func (s *Server) beginStop() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stopping = true
	if s.listener != nil {
		s.listener.Close()
	}
	for c, idle := range s.idle {
		expire(c, idle)
	}
	s.closeIfEmpty()
}

// closeIfEmpty closes s.empty if the server is stopping and has no connections.
func (s *Server) closeIfEmpty() {
	if !s.stopping || len(s.idle)+len(s.busy) > 0 {
		return
	}
	select {
	case <-s.empty:
	default:
		close(s.empty)
	}
}

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
	clientlimit.ConnState(c, state)
	s.mu.Lock()
	defer s.mu.Unlock()
	idle := s.idle[c]
	delete(s.idle, c)
	delete(s.busy, c)
	switch state {
	case http.StateNew, http.StateIdle:
		s.idle[c] = &idleConnection{since: time.Now(), limit: s.limit}
		if s.stopping {
			c.Close()
		}
	case http.StateActive:
		s.busy[c] = struct{}{}
		if idle != nil && idle.expired {
			// The request was read before the deadline took effect. The deadline
			// must not end its handling.
			_ = c.SetReadDeadline(time.Time{})
		}
	}
	s.closeIfEmpty()
}
