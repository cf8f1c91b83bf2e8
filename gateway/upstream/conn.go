package upstream

import (
	"bufio"
	"context"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	dialTimeout = 400 * time.Millisecond
	// unackedTimeout ends a connection whose peer acknowledges nothing, such as
	// a server that has lost power or lies behind a partition.
	unackedTimeout = 1200 * time.Millisecond
	keepAliveIdle  = time.Second
	keepAliveEvery = 500 * time.Millisecond
	keepAliveCount = 2
	readBufferSize = 2 << 10
)

// conn is one connection to a backend server.
type conn struct {
	tcp       *net.TCPConn
	br        *bufio.Reader
	idleUntil time.Time // the server may close it from then on
}

func dial(ctx context.Context, address string) (*conn, error) {
	d := net.Dialer{
		Timeout: dialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable:   true,
			Idle:     keepAliveIdle,
			Interval: keepAliveEvery,
			Count:    keepAliveCount,
		},
		Control: setUserTimeout,
	}
	c, err := d.DialContext(ctx, "tcp4", address)
	if err != nil {
		return nil, err
	}
	tcp := c.(*net.TCPConn)
	return &conn{tcp: tcp, br: bufio.NewReaderSize(tcp, readBufferSize)}, nil
}

func setUserTimeout(_, _ string, raw syscall.RawConn) error {
	var failure error
	err := raw.Control(func(fd uintptr) {
		ms := int(unackedTimeout / time.Millisecond)
		failure = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, ms)
	})
	if err != nil {
		return err
	}
	return failure
}

// usable tells whether an idle connection is still open and silent. Bytes that
// came without a request belong to no answer.
func (c *conn) usable() bool {
	if c.br.Buffered() > 0 {
		return false
	}
	raw, err := c.tcp.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, err := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		quiet = err == unix.EAGAIN
		return true
	})
	return err == nil && quiet
}

// abort resets the connection, so that the server stops work at once.
func (c *conn) abort() {
	// Without the option the connection is closed in the ordinary way.
	_ = c.tcp.SetLinger(0)
	c.tcp.Close()
}
