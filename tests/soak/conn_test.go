package soak

import (
	"context"
	"errors"
	"io"
	"net"
	"syscall"
)

// callerConn is a caller's connection to a daemon. Its Read returns ECONNRESET
// instead of io.EOF if the daemon had closed the connection before the last bytes
// written reached it. The kernel then responds to them with a reset, after which
// writes fail; a probe shows this although Read reports the earlier close.
type callerConn struct{ net.Conn }

func dialCaller(ctx context.Context, network, address string) (net.Conn, error) {
	var d net.Dialer
	conn, err := d.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return callerConn{conn}, nil
}

// Read implements io.Reader.
func (c callerConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if err == io.EOF && n == 0 {
		if _, probeErr := c.Conn.Write([]byte("\r\n")); probeErr != nil {
			return 0, syscall.ECONNRESET
		}
	}
	return n, err
}

// unread reports whether an error shows that the daemon closed the connection
// without having read all that was written to it.
func unread(err error) bool {
	return errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE)
}
