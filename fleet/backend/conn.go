package backend

import (
	"context"
	"net"
	"net/http/httptrace"
	"sync"
	"sync/atomic"

	"cassialatch.dev/wire/tcpend"
)

// countedConn counts the bytes written to a backend server. The outcome "not
// run" requires that none was written.
type countedConn struct {
	net.Conn
	written atomic.Uint64
}

// Write implements net.Conn. It counts the bytes before it writes them, because
// a failed write may have sent some of them.
func (c *countedConn) Write(p []byte) (int, error) {
	c.written.Add(uint64(len(p)))
	return c.Conn.Write(p)
}

// countingDial returns a dial function for http.Transport whose connections are
// countedConns, on which a reset does not look like the end of a response.
func countingDial(dialer *net.Dialer) func(ctx context.Context, network, address string) (net.Conn, error) {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dialer.DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		checked, err := tcpend.New(conn.(*net.TCPConn))
		if err != nil {
			conn.Close()
			return nil, err
		}
		return &countedConn{Conn: checked}, nil
	}
}

// connUse is a connection that was assigned to a request, with the number of
// bytes written to it before.
type connUse struct {
	conn          *countedConn
	writtenBefore uint64
}

// writeTrace records whether any byte of one request was written, on any of the
// connections that the transport tried.
type writeTrace struct {
	mu   sync.Mutex
	uses []connUse
}

// attach returns a context that makes the transport report the connections of
// the request to t.
func (t *writeTrace) attach(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: t.gotConn})
}

// gotConn records a connection. The transport calls it before it writes the
// request to the connection.
func (t *writeTrace) gotConn(info httptrace.GotConnInfo) {
	conn, ok := info.Conn.(*countedConn)
	if !ok {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.uses = append(t.uses, connUse{conn: conn, writtenBefore: conn.written.Load()})
}

// wrote reports whether any byte may have been sent.
func (t *writeTrace) wrote() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, u := range t.uses {
		if u.conn.written.Load() > u.writtenBefore {
			return true
		}
	}
	return false
}
