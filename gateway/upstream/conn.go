package upstream

import (
	"bufio"
	"context"
	"errors"
	"io"
	"math"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"cassialatch.dev/gateway/boottime"
	"cassialatch.dev/gateway/catalog"
	"cassialatch.dev/wire/tcpend"
)

const (
	dialTimeout = 400 * time.Millisecond
	// tcpUserTimeout is how long sent data may stay unacknowledged before the
	// kernel closes the connection. It covers servers that have lost power and
	// network partitions.
	tcpUserTimeout    = 1200 * time.Millisecond
	keepAliveIdle     = time.Second
	keepAliveInterval = 500 * time.Millisecond
	keepAliveCount    = 2
	readBufferSize    = 2 << 10
)

// conn is one connection to a backend server.
type conn struct {
	tcp       *net.TCPConn
	stream    *tcpend.Conn     // reads from and writes to tcp
	br        *bufio.Reader    // reads from Read, which applies readLimit
	readLimit int64            // bytes that may still be read from stream
	head      []byte           // of the latest response, before it is parsed
	unparsed  []byte           // bytes that were read for the head, and come first in Read
	lost      bool             // the server's side has ended the connection
	used      bool             // a request was sent on it
	idleUntil boottime.Instant // not reused from then on

	incarnation catalog.Incarnation // of the server, as listed when the connection was opened
}

// dial opens a connection with TCP keep-alive and TCP_USER_TIMEOUT set.
func dial(ctx context.Context, address string) (*conn, error) {
	d := net.Dialer{
		Timeout: dialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable:   true,
			Idle:     keepAliveIdle,
			Interval: keepAliveInterval,
			Count:    keepAliveCount,
		},
		Control: setUserTimeout,
	}
	c, err := d.DialContext(ctx, "tcp4", address)
	if err != nil {
		return nil, err
	}
	tcp := c.(*net.TCPConn)
	stream, err := tcpend.New(tcp)
	if err != nil {
		tcp.Close()
		return nil, err
	}
	conn := &conn{tcp: tcp, stream: stream, readLimit: math.MaxInt64}
	conn.br = bufio.NewReaderSize(conn, readBufferSize)
	return conn, nil
}

// Read implements io.Reader. It returns ErrHeadTooLarge once the read limit is
// used up.
func (c *conn) Read(p []byte) (int, error) {
	if len(c.unparsed) > 0 {
		n := copy(p, c.unparsed)
		c.unparsed = c.unparsed[n:]
		return n, nil
	}
	if c.readLimit <= 0 {
		return 0, ErrHeadTooLarge
	}
	if int64(len(p)) > c.readLimit {
		p = p[:c.readLimit]
	}
	n, err := c.stream.Read(p)
	c.readLimit -= int64(n)
	if err != nil {
		c.lost = endedByPeer(err)
	}
	return n, err
}

// endedByPeer reports whether an error of a connection says that the other side has closed
// or reset it. A connection that has timed out is no sign of that: its path may be cut.
func endedByPeer(err error) bool {
	return errors.Is(err, io.EOF) || errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE)
}

// unread reports whether bytes have been read from the connection that belong to no
// response yet.
func (c *conn) unread() bool { return len(c.unparsed) > 0 || c.br.Buffered() > 0 }

// setUserTimeout sets TCP_USER_TIMEOUT. It implements net.Dialer.Control.
func setUserTimeout(_, _ string, raw syscall.RawConn) error {
	var optErr error
	err := raw.Control(func(fd uintptr) {
		ms := int(tcpUserTimeout / time.Millisecond)
		optErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, ms)
	})
	if err != nil {
		return err
	}
	return optErr
}

// check reports whether an idle connection can be reused, and whether the server has
// closed it. Data that arrives while no request is in flight belongs to no response, so
// a connection that has unread data must not be reused.
func (c *conn) check() (usable, closed bool) {
	if c.unread() {
		return false, false
	}
	raw, err := c.tcp.SyscallConn()
	if err != nil {
		return false, false
	}
	var n int
	var readErr error
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		n, _, readErr = unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		return true
	})
	if err != nil {
		return false, false
	}
	end := readErr == nil && n == 0
	return errors.Is(readErr, unix.EAGAIN), end || errors.Is(readErr, unix.ECONNRESET)
}

// abort closes the connection with a TCP reset, so that the server stops work
// on the request at once.
func (c *conn) abort() {
	// If SO_LINGER can't be set, Close ends the connection with a FIN instead.
	_ = c.tcp.SetLinger(0)
	c.tcp.Close()
}
