package soak

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptrace"
	"os"
	"sync"
	"time"
)

// idleConns is the idle connections of persistent callers to one daemon.
type idleConns struct {
	mu    sync.Mutex
	conns map[net.Conn]struct{}
}

func (g *idleConns) add(c net.Conn) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.conns == nil {
		g.conns = make(map[net.Conn]struct{})
	}
	g.conns[c] = struct{}{}
}

func (g *idleConns) remove(c net.Conn) {
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.conns, c)
}

// wake ends the pauses on all idle connections.
func (g *idleConns) wake() {
	g.mu.Lock()
	defer g.mu.Unlock()
	for c := range g.conns {
		// It fails only for a closed connection, whose pause has ended.
		_ = c.SetReadDeadline(time.Now())
	}
}

// persistentCaller keeps one connection to one daemon open as long as the daemon
// does, and pauses between requests for about the configured idle timeout. When
// the daemon closes an idle connection, the callers with other idle connections to
// it send their next requests at once, so that requests cross the closes.
type persistentCaller struct {
	*caller
	daemon *daemon

	conn       net.Conn // nil: not connected
	reader     *bufio.Reader
	lastOfConn bool // the last response announced the end of the connection
}

// newPersistentCaller returns a persistent caller of a daemon. Its deadline is
// short enough for its requests to be admitted while the daemon drains.
func newPersistentCaller(f *fleet, name string, rng *rand.Rand, results *resultList, d *daemon) *persistentCaller {
	p := &persistentCaller{caller: newCaller(f, name, rng, results), daemon: d}
	p.deadline = 1500 * time.Millisecond
	p.choose = func(context.Context) string { return p.daemon.frontend() }
	p.do = p.exchange
	return p
}

// run sends requests until the context is canceled.
func (p *persistentCaller) run(ctx context.Context) {
	const redialDelay = 50 * time.Millisecond
	for n := 0; ctx.Err() == nil; n++ {
		if !p.connect(ctx) {
			time.Sleep(redialDelay)
			continue
		}
		if !p.pause() {
			p.disconnect()
			continue
		}
		r := p.sendOnce(ctx, fmt.Sprintf("%s-%d", p.name, n), p.randomKind(), p.f.randomKey(p.rng))
		if p.lastOfConn || r.status <= 0 {
			p.disconnect()
		}
	}
	p.disconnect()
}

// randomKind returns one of the kinds, in one of six cases slowStream.
func (p *persistentCaller) randomKind() string {
	if p.rng.IntN(6) == 0 {
		return slowStream
	}
	return kinds[p.rng.IntN(len(kinds))]
}

// connect opens a connection if there is none. The connection is closed when the
// context is canceled.
func (p *persistentCaller) connect(ctx context.Context) bool {
	if p.conn != nil {
		return true
	}
	dialCtx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	conn, err := dialCaller(dialCtx, "tcp4", p.daemon.frontend())
	if err != nil {
		return false
	}
	context.AfterFunc(ctx, func() { conn.Close() })
	p.conn, p.reader, p.lastOfConn = conn, bufio.NewReader(conn), false
	return true
}

func (p *persistentCaller) disconnect() {
	if p.conn != nil {
		p.conn.Close()
		p.conn = nil
	}
}

// pause leaves the connection idle. It returns false if the daemon has closed it.
func (p *persistentCaller) pause() bool {
	const maxPause = 2500 * time.Millisecond
	pause := min(time.Duration((0.2+p.rng.Float64())*float64(p.f.idleTimeout())), maxPause)
	if err := p.conn.SetReadDeadline(time.Now().Add(pause)); err != nil {
		return false
	}
	p.daemon.idle.add(p.conn)
	_, err := p.reader.Peek(1)
	p.daemon.idle.remove(p.conn)
	switch {
	case errors.Is(err, os.ErrDeadlineExceeded):
		return true
	case err == nil:
		p.f.t.Errorf("%s received bytes without a request", p.name)
	}
	p.daemon.idle.wake()
	return false
}

// exchange sends a request over the connection and returns the response.
func (p *persistentCaller) exchange(req *http.Request) (*http.Response, error) {
	deadline, _ := req.Context().Deadline()
	if err := p.conn.SetDeadline(deadline); err != nil {
		return nil, err
	}
	if err := req.Write(p.conn); err != nil {
		return nil, err
	}
	httptrace.ContextClientTrace(req.Context()).WroteRequest(httptrace.WroteRequestInfo{})
	resp, err := http.ReadResponse(p.reader, req)
	if err != nil {
		return nil, err
	}
	p.lastOfConn = resp.Close
	return resp, nil
}
