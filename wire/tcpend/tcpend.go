// Package tcpend tells a TCP connection whose remote has closed its side from one that has
// failed.
//
// The kernel reports the failure of a connection, such as a reset or a timeout, only once: to
// the read or the write that comes first. If that is a write, the next read returns io.EOF, as
// if the remote had closed its side, and a response that ends with its connection looks
// complete although it was broken off.
package tcpend

import (
	"errors"
	"io"
	"net"
	"sync"
	"syscall"

	"golang.org/x/sys/unix"
)

// Conn is a TCP connection whose reads return io.EOF only if the remote has closed its side. If
// the connection has failed, they return the error that was reported to a write. Like every
// net.Conn, it is safe for concurrent use.
type Conn struct {
	net.Conn
	raw syscall.RawConn

	mu       sync.Mutex // held during a write
	writeErr error      // of the first write that failed
}

// New returns a Conn on a connection, which must not be written to by other means. The error
// is that of net.TCPConn.SyscallConn.
func New(c *net.TCPConn) (*Conn, error) {
	raw, err := c.SyscallConn()
	if err != nil {
		return nil, err
	}
	return &Conn{Conn: c, raw: raw}, nil
}

// Write implements net.Conn.
func (c *Conn) Write(p []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	n, err := c.Conn.Write(p)
	if c.writeErr == nil {
		c.writeErr = err
	}
	return n, err
}

// Read implements net.Conn. A read at the end of a failed connection waits for a write that is
// in progress, which the failure ends.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if errors.Is(err, io.EOF) {
		err = c.end()
	}
	return n, err
}

// end returns the error of a read for which the kernel has no more bytes.
func (c *Conn) end() error {
	failed, err := c.closedBothWays()
	if err != nil {
		return err
	}
	if !failed {
		return io.EOF
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	// A reset that follows the remote's regular end is reported as EPIPE.
	if c.writeErr == nil || errors.Is(c.writeErr, syscall.EPIPE) {
		return io.EOF
	}
	return c.writeErr
}

// closedBothWays reports whether nothing can be sent any more either. A remote that has only
// closed its side still receives.
func (c *Conn) closedBothWays() (bool, error) {
	var info *unix.TCPInfo
	var infoErr error
	err := c.raw.Control(func(fd uintptr) {
		info, infoErr = unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
	})
	if err := errors.Join(err, infoErr); err != nil {
		return false, err
	}
	return info.State == unix.BPF_TCP_CLOSE, nil
}
