package clientlimit

import (
	"bytes"
	"context"
	"net"
	"net/http"
)

const (
	// maxHeadLines limits the lines of a request head. Callers send a few dozen.
	maxHeadLines = 512
	// byteCharge and lineCharge are what a byte and a line of a head are charged. net/http
	// holds the line and its copy in a string, and for a line an entry of a map and a slice.
	byteCharge = 2
	lineCharge = 128 // bytes
	// bufferedBytes and bufferedLines are the most that the buffer of net/http holds of a
	// pipelined request: a line has at least 3 bytes.
	bufferedBytes = 4 << 10
	bufferedLines = bufferedBytes / 3
)

// headScan finds the end of a request head in what is read, and counts its bytes and lines.
type headScan struct {
	// within is set if the first line does not begin the head: net/http has read a part of it
	// with the request before.
	within bool
	bytes  int64
	lines  int
	begun  bool // a line that is not empty has ended
	text   bool // the current line is not empty
	cr     bool // the current line began with a carriage return
	ended  bool
}

// add counts the bytes up to the end of the head. If the head seemed to have ended, it has
// not, since net/http has read on.
func (s *headScan) add(b []byte) {
	s.ended = false
	for len(b) > 0 && !s.ended {
		i := bytes.IndexByte(b, '\n')
		if i < 0 {
			s.addText(b)
			return
		}
		s.addText(b[:i])
		s.endLine()
		b = b[i+1:]
	}
}

// addText counts a part of a line.
func (s *headScan) addText(b []byte) {
	if len(b) == 0 {
		return
	}
	s.bytes += int64(len(b))
	onlyCR := !s.text && !s.cr && len(b) == 1 && b[0] == '\r'
	s.text = s.text || !onlyCR
	s.cr = s.cr || onlyCR
}

// endLine counts the end of a line. An empty line ends the head, unless it is before it.
func (s *headScan) endLine() {
	s.bytes++
	s.lines++
	s.ended = !s.text && (s.begun || s.within)
	s.begun = s.begun || s.text
	s.text, s.cr = false, false
}

// charge returns the bytes that the head is charged. What net/http may have read of it
// before is not known, so the most is charged.
func (s *headScan) charge() int64 {
	charge := headCharge(s.bytes, s.lines)
	if s.within {
		charge += headCharge(bufferedBytes, bufferedLines)
	}
	return charge
}

// headCharge returns the bytes that a head is charged.
func headCharge(bytes int64, lines int) int64 {
	return byteCharge*bytes + lineCharge*int64(lines)
}

// connKey is the key of a connection in the context of its requests.
type connKey struct{}

// ConnContext is used as http.Server.ConnContext. It lets FromContext find the connection.
func ConnContext(ctx context.Context, c net.Conn) context.Context {
	if c, ok := c.(*Conn); ok {
		return context.WithValue(ctx, connKey{}, c)
	}
	return ctx
}

// FromContext returns the connection of a request, nil if it is not in a Table.
func FromContext(ctx context.Context) *Conn {
	c, _ := ctx.Value(connKey{}).(*Conn)
	return c
}

// ConnState is used as http.Server.ConnState, or called by it. Connections that are not in a
// Table are ignored.
func ConnState(c net.Conn, state http.ConnState) {
	conn, ok := c.(*Conn)
	if !ok {
		return
	}
	switch state {
	case http.StateActive:
		conn.requestRead()
	case http.StateIdle:
		conn.becomeIdle()
	}
}

// Handler returns a handler that applies the limits on request heads to pipelined requests,
// whose heads net/http may have read with the request before, and passes requests on to h.
func Handler(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if c := FromContext(r.Context()); c != nil && !c.chargePipelined(r) {
			panic(http.ErrAbortHandler) // closes the connection without a response
		}
		h.ServeHTTP(w, r)
	})
}

// chargePipelined replaces the charge of a pipelined request by that of its head, which is
// known now. It returns false if a limit is exceeded.
func (c *Conn) chargePipelined(r *http.Request) bool {
	c.table.mu.Lock()
	if !c.pipelined {
		c.table.mu.Unlock()
		return true
	}
	size, lines := headSize(r)
	switch {
	case lines > maxHeadLines:
		c.cause = CauseHeadLines
	case c.head.Resize(headCharge(size, lines)) != nil:
		c.cause = CauseHeadMemory
	}
	return c.unlockClosed() == nil
}

// headSize returns the bytes and lines of the head of a request.
func headSize(r *http.Request) (size int64, lines int) {
	size = int64(len(r.Method) + len(r.RequestURI))
	lines = 2 // the request line and the empty line at the end
	for name, values := range r.Header {
		lines += len(values)
		for _, v := range values {
			size += int64(len(name) + len(v))
		}
	}
	return size, lines
}
