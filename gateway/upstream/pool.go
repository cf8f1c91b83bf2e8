// Package upstream sends requests to backend servers and tells for each what
// the server may have seen of it.
//
// Nothing is repeated here. Connections are kept, since new ones are dear to
// servers; answers that belong to no request of ours are skipped by the
// request id that servers echo.
package upstream

import (
	"context"
	"sync"
	"time"

	"cassialatch.dev/gateway/call"
	"cassialatch.dev/gateway/catalog"
)

const (
	// idleMargin is how long before the server's idle timeout a connection is
	// no longer used.
	idleMargin = 700 * time.Millisecond
	// defaultIdle is used where the server doesn't tell its idle timeout.
	defaultIdle = 4 * time.Second
	maxIdle     = 30 * time.Second
)

// Pool keeps connections to backend servers. It is safe for concurrent use.
type Pool struct {
	dialect call.Dialect
	// OnDial is called after each attempt to open a connection.
	OnDial func(err error)

	mu    sync.Mutex
	hosts map[string]*host // by server ID
}

type host struct {
	idle []*conn // the last used one is the last
	open int
}

// NewPool returns an empty pool.
func NewPool(d call.Dialect) *Pool {
	return &Pool{dialect: d, hosts: make(map[string]*host)}
}

// get returns a kept connection or opens one. maxConns bounds this daemon's
// connections to the server; 0 is no bound.
func (p *Pool) get(ctx context.Context, s *catalog.Server, maxConns int) (*conn, error) {
	if c := p.takeIdle(s.ID); c != nil {
		return c, nil
	}
	if !p.reserve(s.ID, maxConns) {
		return nil, ErrTooManyConns
	}
	c, err := dial(ctx, s.Address)
	if p.OnDial != nil {
		p.OnDial(err)
	}
	if err != nil {
		p.forget(s.ID)
		return nil, err
	}
	return c, nil
}

func (p *Pool) takeIdle(id string) *conn {
	for {
		c := p.popIdle(id)
		if c == nil {
			return nil
		}
		if time.Now().Before(c.idleUntil) && c.usable() {
			return c
		}
		c.tcp.Close()
		p.forget(id)
	}
}

func (p *Pool) popIdle(id string) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	h := p.hosts[id]
	if h == nil || len(h.idle) == 0 {
		return nil
	}
	last := len(h.idle) - 1
	c := h.idle[last]
	h.idle[last] = nil
	h.idle = h.idle[:last]
	return c
}

// reserve counts a connection that is about to be opened.
func (p *Pool) reserve(id string, maxConns int) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	h := p.hosts[id]
	if h == nil {
		h = &host{}
		p.hosts[id] = h
	}
	if maxConns > 0 && h.open >= maxConns {
		return false
	}
	h.open++
	return true
}

// forget counts a connection that is closed.
func (p *Pool) forget(id string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	h := p.hosts[id]
	if h.open--; h.open <= 0 && len(h.idle) == 0 {
		delete(p.hosts, id)
	}
}

// put keeps a connection for the next request.
func (p *Pool) put(id string, c *conn, idle time.Duration) {
	if idle <= 0 {
		idle = defaultIdle
	}
	idle = min(idle, maxIdle) - idleMargin
	if idle <= 0 {
		c.tcp.Close()
		p.forget(id)
		return
	}
	c.idleUntil = time.Now().Add(idle)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.hosts[id].idle = append(p.hosts[id].idle, c)
}

// Expire closes idle connections that are no longer usable, and those to
// servers that are no longer listed.
func (p *Pool) Expire(listed func(id string) bool) {
	now := time.Now()
	for id, c := range p.expired(now, listed) {
		for _, old := range c {
			old.tcp.Close()
			p.forget(id)
		}
	}
}

func (p *Pool) expired(now time.Time, listed func(id string) bool) map[string][]*conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	expired := make(map[string][]*conn)
	for id, h := range p.hosts {
		keep := h.idle[:0]
		for _, c := range h.idle {
			if now.Before(c.idleUntil) && listed(id) {
				keep = append(keep, c)
			} else {
				expired[id] = append(expired[id], c)
			}
		}
		clear(h.idle[len(keep):])
		h.idle = keep
	}
	return expired
}

// OpenConns returns the number of open connections.
func (p *Pool) OpenConns() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := 0
	for _, h := range p.hosts {
		n += h.open
	}
	return n
}
