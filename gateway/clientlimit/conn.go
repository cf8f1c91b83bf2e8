package clientlimit

import (
	"net"
	"time"

	"cassialatch.dev/gateway/memory"
)

// state is what a connection waits for.
type state uint8

const (
	stateIdle    state = iota // for the first byte of a request
	stateHead                 // for the rest of a request head
	stateBody                 // for the rest of a request body
	stateRequest              // for the response: a head was read, and no body is waited for
	stateClosing              // for the caller, which net/http lets receive the last response
)

// class is the retention class of a connection: those of a lower one are evicted first.
type class int

const (
	closing     class = iota
	waitingLong       // for the rest of a head or body, for at least stallTime
	idleLong
	recent     // waiting or idle for a shorter time
	notReading // has not read a part of its response for at least writeStallTime
	neverEvicted
)

// writeStallTime is how long a caller must not have read its response before the connection
// may be evicted. The request may have run, so it is evicted only after all others.
const writeStallTime = time.Second

// longAgo is a read deadline that ends a read at once. net/http uses the same one.
var longAgo = time.Unix(1, 0)

// notCounted is the value of Conn.deadlineCalls after a read.
const notCounted = -1

// Conn is a connection of a caller. What it waits for is known from the states that
// net/http reports to ConnState, and from BeginBody and EndBody.
//
// To evict it, its reads are ended. Closing it here would break off a request that net/http
// has read and not reported yet; such a request is served.
type Conn struct {
	net.Conn
	table *Table

	// Guarded by table.mu.
	index        int // in table.conns; -1 if it is closed
	state        state
	since        time.Time // since when it is in the state; of a body, when a part of it last arrived
	evicted      bool      // for another connection
	cause        Cause     // why reads fail; empty if they don't
	reported     bool      // a read has failed because of that
	readDeadline time.Time // as requested; is not set while evicted
	head         memory.Account
	scan         headScan
	// deadlineCalls counts the read deadlines that were set since it became idle and before
	// it was read from again, or is notCounted. net/http sets one when it waits for a request
	// and another when it has found one.
	deadlineCalls int8
	writingSince  time.Time // of the write in progress; zero if there is none
	pipelined     bool      // the next request was found in the buffer of net/http
}

// class returns the retention class. table.mu must be held.
func (c *Conn) class(now time.Time) class {
	switch {
	case c.evicted:
		return neverEvicted
	case c.state == stateRequest && !c.writingSince.IsZero() && now.Sub(c.writingSince) >= writeStallTime:
		return notReading
	case c.state == stateRequest:
		return neverEvicted
	case c.state == stateClosing:
		return closing
	case now.Sub(c.since) < stallTime:
		return recent
	case c.state == stateIdle:
		return idleLong
	}
	return waitingLong
}

// evict ends the reads of the connection, or its stalled write. table.mu must be held.
func (c *Conn) evict() {
	if c.state == stateClosing {
		c.Conn.Close() // nothing reads
		c.table.removeLocked(c)
		return
	}
	c.evicted, c.cause = true, CauseConnections
	c.table.evicting++
	if c.state == stateRequest { // its write is stalled
		_ = c.Conn.SetWriteDeadline(longAgo)
	}
	// It fails only if the connection is closed already.
	_ = c.Conn.SetReadDeadline(longAgo)
}

// keep revokes an eviction. table.mu must be held.
func (c *Conn) keep() {
	c.evicted, c.cause = false, ""
	c.table.evicting--
	// It fails only if the connection is closed already.
	_ = c.Conn.SetReadDeadline(c.readDeadline)
}

// Read implements net.Conn. After a limit was reached it returns a *net.OpError that wraps a
// *ClosedError; net/http then closes the connection without a response.
func (c *Conn) Read(p []byte) (int, error) {
	if err := c.beginRead(); err != nil {
		return 0, err
	}
	n, err := c.Conn.Read(p)
	if limitErr := c.endRead(p[:n], err); limitErr != nil {
		return 0, limitErr
	}
	return n, err
}

// Write implements net.Conn. It takes note of how long the caller does not read.
func (c *Conn) Write(p []byte) (int, error) {
	c.setWriting(c.table.options.Now())
	defer c.setWriting(time.Time{})
	return c.Conn.Write(p)
}

// setWriting records since when a write is in progress.
func (c *Conn) setWriting(since time.Time) {
	c.table.mu.Lock()
	defer c.table.mu.Unlock()
	c.writingSince = since
}

// beginRead returns an error if nothing may be read any more.
func (c *Conn) beginRead() error {
	c.table.mu.Lock()
	c.deadlineCalls = notCounted
	return c.unlockClosed()
}

// endRead takes note of what was read. It returns an error if a limit has been reached, or
// has ended the read.
func (c *Conn) endRead(b []byte, err error) error {
	c.table.mu.Lock()
	if len(b) > 0 {
		c.receive(b)
	}
	if c.evicted && err == nil { // the next read fails
		c.table.mu.Unlock()
		return nil
	}
	return c.unlockClosed()
}

// unlockClosed releases table.mu and returns the error for a connection that a limit closes;
// nil if there is none.
func (c *Conn) unlockClosed() error {
	cause, first := c.cause, !c.reported
	c.reported = cause != ""
	c.table.mu.Unlock()
	if cause == "" {
		return nil
	}
	if first {
		c.table.options.OnClose(cause)
	}
	return &net.OpError{Op: "read", Net: "tcp", Source: c.LocalAddr(), Addr: c.RemoteAddr(), Err: &ClosedError{Cause: cause}}
}

// receive takes note of bytes that were read. table.mu must be held.
func (c *Conn) receive(b []byte) {
	switch c.state {
	case stateRequest:
		return
	case stateBody:
		c.since = c.table.options.Now()
		return
	case stateIdle:
		c.state, c.since = stateHead, c.table.options.Now()
		c.scan = headScan{within: c.pipelined}
	}
	c.scan.add(b)
	switch {
	case c.scan.lines > maxHeadLines:
		c.cause = CauseHeadLines
	case c.head.Resize(c.scan.charge()) != nil:
		c.cause = CauseHeadMemory
	}
}

// SetReadDeadline implements net.Conn.
func (c *Conn) SetReadDeadline(t time.Time) error {
	c.table.mu.Lock()
	defer c.table.mu.Unlock()
	c.readDeadline = t
	if c.deadlineCalls != notCounted && !t.Equal(longAgo) {
		c.deadlineCalls++
		c.pipelined = c.deadlineCalls > 1
	}
	if c.evicted {
		return nil
	}
	return c.Conn.SetReadDeadline(t)
}

// CloseWrite closes the sending side, which net/http does before it closes a connection
// whose caller still sends.
func (c *Conn) CloseWrite() error {
	c.table.mu.Lock()
	if !c.evicted {
		c.state, c.since = stateClosing, c.table.options.Now()
		c.table.trim()
	}
	c.table.mu.Unlock()
	if tcp, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return tcp.CloseWrite()
	}
	return nil
}

// Close implements net.Conn.
func (c *Conn) Close() error {
	err := c.Conn.Close()
	c.table.remove(c)
	return err
}

// requestRead records that a request head was read. table.mu is acquired.
func (c *Conn) requestRead() {
	c.table.mu.Lock()
	defer c.table.mu.Unlock()
	if c.evicted && !c.reported {
		c.keep()
	}
	c.state = stateRequest
}

// becomeIdle records that a request has ended, and with it the charge of its head.
func (c *Conn) becomeIdle() {
	c.table.mu.Lock()
	defer c.table.mu.Unlock()
	c.state, c.since = stateIdle, c.table.options.Now()
	c.head.Close()
	c.deadlineCalls, c.pipelined = 0, false
	c.table.trim()
}

// BeginBody records that the rest of the request body is waited for, so that the connection
// may be evicted. It does nothing if c is nil.
func (c *Conn) BeginBody() {
	if c == nil {
		return
	}
	c.table.mu.Lock()
	defer c.table.mu.Unlock()
	c.state, c.since = stateBody, c.table.options.Now()
	c.table.trim()
}

// EndBody records that the body of the request was read to its end. It returns an error that
// wraps a *ClosedError if the connection was evicted before. It does nothing if c is nil.
func (c *Conn) EndBody() error {
	if c == nil {
		return nil
	}
	c.table.mu.Lock()
	if c.cause == "" {
		c.state = stateRequest
	}
	return c.unlockClosed()
}
