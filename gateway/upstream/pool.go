// Package upstream sends HTTP/1.1 requests to backend servers over pooled
// connections.
//
// A request is sent at most once: the package never retries, and a failed Send
// reports whether the server may have received any of the request, so that the
// caller can decide on a retry. Connections are reused, since opening one is
// costly for a server. Servers echo the request ID, and a response with the ID
// of another request is skipped.
//
// A Pool is safe for concurrent use. A Response is not, except that Abort may be
// called at any time, and Release and Abort more than once.
package upstream

import (
	"context"
	"errors"
	"sync"
	"syscall"
	"time"

	"cassialatch.dev/gateway/boottime"
	"cassialatch.dev/gateway/call"
	"cassialatch.dev/gateway/catalog"
)

const (
	// idleMargin is how long before the server's idle timeout the pool stops
	// reusing a connection: from the timeout on the server may close it.
	idleMargin = 700 * time.Millisecond
	// defaultIdleTimeout applies if the server's response has no Keep-Alive timeout.
	defaultIdleTimeout = 4 * time.Second
	// maxIdleTimeout caps the idle timeout that a server announces.
	maxIdleTimeout = 30 * time.Second
)

// Pool holds the open connections to backend servers and reuses idle ones. It
// is safe for concurrent use.
type Pool struct {
	dialect call.Dialect
	clock   boottime.Clock // of idle timeouts, which pass at the servers during a suspend too
	// OnDial, if not nil, is called after each attempt to open a connection, with
	// its error. It must be set before the first Send.
	OnDial func(err error)

	mu      sync.Mutex
	servers map[string]*serverConns // by server ID
}

// serverConns holds the connections to one server.
type serverConns struct {
	idle []*conn // the most recently used one is last
	open int     // idle, in use and being opened
}

// NewPool returns an empty pool that reads responses with the dialect d.
func NewPool(d call.Dialect) *Pool {
	return &Pool{dialect: d, clock: boottime.Now, servers: make(map[string]*serverConns)}
}

// get returns an idle connection or opens one. maxConns limits this daemon's
// connections to the server; 0 means no limit.
func (p *Pool) get(ctx context.Context, s *catalog.Server, maxConns int) (*conn, error) {
	if c, _ := p.takeIdle(s.Incarnation()); c != nil {
		return c, nil
	}
	return p.open(ctx, s, maxConns)
}

// open opens a connection.
func (p *Pool) open(ctx context.Context, s *catalog.Server, maxConns int) (*conn, error) {
	if !p.reserveSlot(s.ID, maxConns) {
		return nil, ErrTooManyConns
	}
	c, err := dial(ctx, s.Address)
	if p.OnDial != nil {
		p.OnDial(err)
	}
	if err != nil {
		p.releaseSlot(s.ID)
		return nil, err
	}
	c.incarnation = s.Incarnation()
	return c, nil
}

// Listening is whether a server accepts connections.
type Listening string

// States of a server's listener.
const (
	ListeningUnknown Listening = "unknown" // no answer in time, or this daemon could not ask
	ListeningYes     Listening = "yes"
	ListeningNo      Listening = "no" // its machine refuses connections: the process has ended
)

// probeTimeout limits how long Probe waits for a connection.
const probeTimeout = 50 * time.Millisecond

// Probe finds out whether the server accepts connections. A new one is kept for the
// next request. A server that has just crashed refuses connections; one that has only
// broken off a response accepts them. A server that is slow or behind a partition does
// neither.
func (p *Pool) Probe(ctx context.Context, s *catalog.Server, maxConns int) Listening {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	c, err := p.open(ctx, s, maxConns)
	switch {
	case err == nil:
		p.put(s.ID, c, 0)
		return ListeningYes
	case errors.Is(err, syscall.ECONNREFUSED):
		return ListeningNo
	}
	return ListeningUnknown
}

// CheckIdle reports whether the server has closed idle connections before their idle
// timeout, as one that restarts does. It looks at them only until it finds one that can
// be used for the next request. Connections that were opened to an earlier incarnation say
// nothing about this one.
func (p *Pool) CheckIdle(s catalog.Incarnation) (closedEarly bool) {
	c, closedEarly := p.takeIdle(s)
	if c != nil {
		p.pushIdle(s.ID, c)
	}
	return closedEarly
}

// takeIdle removes the most recently used idle connection that is still usable
// from the pool and closes those that are not. It returns nil if there is none.
// closedEarly reports whether the server has closed one that was opened to this
// incarnation before its idle timeout.
func (p *Pool) takeIdle(s catalog.Incarnation) (c *conn, closedEarly bool) {
	for {
		c := p.popIdle(s.ID)
		if c == nil {
			return nil, closedEarly
		}
		if p.clock() < c.idleUntil {
			usable, closed := c.check()
			if usable {
				return c, closedEarly
			}
			closedEarly = closedEarly || closed && c.incarnation == s
		}
		c.tcp.Close()
		p.releaseSlot(s.ID)
	}
}

// pushIdle adds an idle connection that is counted as open already.
func (p *Pool) pushIdle(id string, c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.servers[id].idle = append(p.servers[id].idle, c)
}

// popIdle removes the most recently used idle connection, usable or not.
func (p *Pool) popIdle(id string) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	sc := p.servers[id]
	if sc == nil || len(sc.idle) == 0 {
		return nil
	}
	last := len(sc.idle) - 1
	c := sc.idle[last]
	sc.idle[last] = nil
	sc.idle = sc.idle[:last]
	return c
}

// reserveSlot counts a connection that is about to be opened. It returns false
// if the server already has maxConns.
func (p *Pool) reserveSlot(id string, maxConns int) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	sc := p.servers[id]
	if sc == nil {
		sc = &serverConns{}
		p.servers[id] = sc
	}
	if maxConns > 0 && sc.open >= maxConns {
		return false
	}
	sc.open++
	return true
}

// releaseSlot uncounts a connection that was closed or could not be opened.
func (p *Pool) releaseSlot(id string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	sc := p.servers[id]
	if sc.open--; sc.open <= 0 && len(sc.idle) == 0 {
		delete(p.servers, id)
	}
}

// put returns a connection to the pool for reuse. idle is the server's idle
// timeout, 0 if unknown. The connection is closed if the timeout is too short
// for reuse.
func (p *Pool) put(id string, c *conn, idle time.Duration) {
	if idle <= 0 {
		idle = defaultIdleTimeout
	}
	idle = min(idle, maxIdleTimeout) - idleMargin
	if idle <= 0 {
		c.tcp.Close()
		p.releaseSlot(id)
		return
	}
	c.idleUntil = p.clock().Add(idle)
	p.pushIdle(id, c)
}

// Expire closes idle connections that have reached their idle timeout and those
// to servers for which listed returns false.
func (p *Pool) Expire(listed func(id string) bool) {
	for id, conns := range p.removeExpired(p.clock(), listed) {
		for _, c := range conns {
			c.tcp.Close()
			p.releaseSlot(id)
		}
	}
}

// removeExpired removes the connections that Expire closes from the pool and
// returns them by server ID.
func (p *Pool) removeExpired(now boottime.Instant, listed func(id string) bool) map[string][]*conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	expired := make(map[string][]*conn)
	for id, sc := range p.servers {
		remaining := sc.idle[:0]
		for _, c := range sc.idle {
			if now < c.idleUntil && listed(id) {
				remaining = append(remaining, c)
			} else {
				expired[id] = append(expired[id], c)
			}
		}
		clear(sc.idle[len(remaining):])
		sc.idle = remaining
	}
	return expired
}

// OpenConns returns the number of connections to all servers, including those
// that are being opened.
func (p *Pool) OpenConns() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := 0
	for _, sc := range p.servers {
		n += sc.open
	}
	return n
}
