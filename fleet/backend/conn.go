package backend

import (
	"context"
	"net"
	"net/http/httptrace"
	"sync"
	"sync/atomic"
)

// countedConn counts the bytes written to a backend server, so that "not run"
// is said only where none was.
type countedConn struct {
	net.Conn
	written atomic.Uint64
}

// Write implements net.Conn. It counts before it writes: a failed write may
// have sent some bytes.
func (c *countedConn) Write(p []byte) (int, error) {
	c.written.Add(uint64(len(p)))
	return c.Conn.Write(p)
}

// dial opens a counted connection.
func dial(dialer *net.Dialer) func(ctx context.Context, network, address string) (net.Conn, error) {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dialer.DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &countedConn{Conn: conn}, nil
	}
}

// use is one connection that a request was given and how much had been written
// to it before.
type use struct {
	conn   *countedConn
	before uint64
}

// writeTrace tells whether any byte of one request was written. The transport
// may try more than one connection.
type writeTrace struct {
	mu   sync.Mutex
	uses []use
}

// context returns a context that makes the transport report to the trace.
func (t *writeTrace) context(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: t.gotConn})
}

// gotConn notes a connection. The transport writes to it only afterwards.
func (t *writeTrace) gotConn(info httptrace.GotConnInfo) {
	conn, ok := info.Conn.(*countedConn)
	if !ok {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.uses = append(t.uses, use{conn: conn, before: conn.written.Load()})
}

// wrote reports whether any byte may have been sent.
func (t *writeTrace) wrote() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, u := range t.uses {
		if u.conn.written.Load() > u.before {
			return true
		}
	}
	return false
}
