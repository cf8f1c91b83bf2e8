package clientlimit

import (
	"net"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"cassialatch.dev/gateway/memory"
)

// stubConn is a connection without a network.
type stubConn struct {
	net.Conn
	mu       sync.Mutex
	deadline time.Time // for reads
	closed   bool

	writeDeadline time.Time
}

func (c *stubConn) SetWriteDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.writeDeadline = t
	return nil
}

func (c *stubConn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.deadline = t
	return nil
}

func (c *stubConn) Read(p []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.deadline.Equal(longAgo) {
		return 0, &net.OpError{Op: "read", Err: errTimeout{}}
	}
	return copy(p, "GET /"), nil
}

func (c *stubConn) Close() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	return nil
}

func (*stubConn) LocalAddr() net.Addr { return nil }

func (*stubConn) RemoteAddr() net.Addr { return nil }

type errTimeout struct{}

func (errTimeout) Error() string { return "timeout" }

func (errTimeout) Timeout() bool { return true }

// closings counts the connections that limits close.
type closings struct {
	mu sync.Mutex
	n  map[Cause]int
}

func (c *closings) add(cause Cause) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.n == nil {
		c.n = make(map[Cause]int)
	}
	c.n[cause]++
}

func (c *closings) of(cause Cause) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.n[cause]
}

// newStubTable returns a table whose clock only moves when it is told to.
func newStubTable(maxConns int) (*Table, *fakeClock, *closings) {
	clock, closed := &fakeClock{t: time.Unix(1000, 0)}, &closings{}
	return NewTable(Options{MaxConns: maxConns, Heads: memory.NewBudget(0), Now: clock.now, OnClose: closed.add}), clock, closed
}

// Conn states of the tests, each reached as net/http and the handler reach it.
var reach = map[string]func(*Conn){
	"silent": func(*Conn) {},
	"head":   func(c *Conn) { readHead(c) },
	"body": func(c *Conn) {
		readHead(c)
		ConnState(c, http.StateActive)
		c.BeginBody()
	},
	"request": func(c *Conn) {
		readHead(c)
		ConnState(c, http.StateActive)
	},
	"whole": func(c *Conn) {
		readHead(c)
		ConnState(c, http.StateActive)
		c.BeginBody()
		_ = c.EndBody() // fails only for evicted connections
	},
	"closing": func(c *Conn) {
		readHead(c)
		ConnState(c, http.StateActive)
		_ = c.CloseWrite() // the stub has no sending side
	},
	"idle": func(c *Conn) {
		readHead(c)
		ConnState(c, http.StateActive)
		ConnState(c, http.StateIdle)
	},
}

func readHead(c *Conn) {
	_, _ = c.Read(make([]byte, 10)) // fails only for evicted connections
}

// Load pattern: more connections than the limit, of callers that stop half-way, are silent,
// or wait for a response. Guards against the eviction of a connection whose request was
// read, and of an active caller before one that waits for nothing or has stopped.
func TestTable_EvictionOrder(t *testing.T) {
	const short, long = stallTime / 10, stallTime
	for name, c := range map[string]struct {
		states []string // reached from the last to the first
		after  time.Duration
		victim int // index; -1: the new connection is closed
	}{
		"stalled head before idle":      {[]string{"silent", "head", "idle"}, long, 1},
		"stalled body before idle":      {[]string{"silent", "body", "idle"}, long, 1},
		"longest stalled first":         {[]string{"body", "head", "body", "idle"}, long, 2},
		"longest first, if all short":   {[]string{"idle", "body", "head"}, short, 2},
		"longest idle first":            {[]string{"idle", "idle", "idle", "request"}, long, 2},
		"short wait before none":        {[]string{"whole", "body", "head", "request"}, short, 2},
		"closing before stalled":        {[]string{"idle", "closing", "body", "head"}, long, 1},
		"request and whole body remain": {[]string{"request", "whole", "request"}, long, -1},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			table, clock, closed := newStubTable(len(c.states))
			var conns []*Conn
			for range c.states {
				conns = append(conns, table.add(&stubConn{}))
			}
			for i, s := range slices.Backward(c.states) {
				clock.advance(time.Millisecond)
				reach[s](conns[i])
			}
			clock.advance(c.after)
			added := table.add(&stubConn{})
			is.Equal(added == nil, c.victim < 0)
			for i, conn := range conns {
				is.Equal(conn.evicted || conn.index < 0, i == c.victim)
			}
			if added == nil {
				return
			}
			if c.states[c.victim] == "closing" {
				is.True(conns[c.victim].Conn.(*stubConn).closed)
				is.Equal(table.Open(), len(c.states))
				return
			}
			_, err := conns[c.victim].Read(make([]byte, 10))
			is.True(err != nil)
			is.Equal(closed.of(CauseConnections), 1)
			is.Equal(table.Open(), len(c.states)+1)
			conns[c.victim].Close()
			conns[c.victim].Close()
			is.Equal(table.Open(), len(c.states))
			is.Equal(table.evicting, 0)
		})
	}
}

// Guards against a request that is lost because its connection was evicted just after its
// head was read.
func TestTable_RequestThatWasReadIsNotCut(t *testing.T) {
	is := is.New(t)
	table, clock, closed := newStubTable(1)
	inner := &stubConn{}
	c := table.add(inner)
	is.NoErr(c.SetReadDeadline(clock.now().Add(time.Minute)))
	readHead(c)
	is.True(table.add(&stubConn{}) != nil)
	is.True(c.evicted)
	is.NoErr(c.SetReadDeadline(time.Time{})) // by net/http, which has parsed the head
	is.Equal(inner.deadline, longAgo)
	ConnState(c, http.StateActive)
	is.True(!c.evicted)
	is.Equal(inner.deadline, time.Time{})
	_, err := c.Read(make([]byte, 10))
	is.NoErr(err)
	is.Equal(closed.of(CauseConnections), 0)
	is.Equal(table.evicting, 0)
}

// Load pattern: callers that read no responses hold all connections until the deadlines of
// their requests. Guards against the refusal of ordinary callers meanwhile, and against the
// eviction of a caller that waits for its response or has only just stopped reading.
func TestTable_EvictsCallersThatDoNotRead(t *testing.T) {
	is := is.New(t)
	table, clock, _ := newStubTable(2)
	waits, stalled := table.add(&stubConn{}), table.add(&stubConn{})
	reach["request"](waits)
	reach["request"](stalled)
	stalled.setWriting(clock.now())
	clock.advance(writeStallTime / 2)
	is.True(table.add(&stubConn{}) == nil)
	clock.advance(writeStallTime / 2)
	is.True(table.add(&stubConn{}) != nil)
	is.True(stalled.evicted)
	is.True(!waits.evicted)
	is.Equal(stalled.Conn.(*stubConn).writeDeadline, longAgo)
}

// Guards against a request that is run although its caller was told, or will see, that it
// was not, since its connection was evicted while the last of the body arrived.
func TestTable_EvictedBodyIsNotComplete(t *testing.T) {
	is := is.New(t)
	table, _, closed := newStubTable(1)
	c := table.add(&stubConn{})
	reach["body"](c)
	is.True(table.add(&stubConn{}) != nil)
	is.True(c.EndBody() != nil)
	_, err := c.Read(make([]byte, 10))
	is.True(err != nil)
	is.Equal(closed.of(CauseConnections), 1) // counted once
}

// Load pattern: new connections arrive faster than evicted ones are closed. Guards against
// descriptors and memory that grow without limit.
func TestTable_LimitsEvictedConnectionsThatAreOpen(t *testing.T) {
	is := is.New(t)
	const limit = 64
	table, _, _ := newStubTable(limit)
	rejected := 0
	for range limit + maxEvicting + 1 {
		if table.add(&stubConn{}) == nil {
			rejected++
		}
	}
	is.Equal(rejected, 1)
	is.Equal(table.Open(), limit+maxEvicting)
	for _, c := range table.conns {
		if c.evicted {
			c.Close()
			break
		}
	}
	is.True(table.add(&stubConn{}) != nil)
}

func TestTable_WithoutLimit(t *testing.T) {
	is := is.New(t)
	table, _, _ := newStubTable(0)
	for range 1000 {
		is.True(table.add(&stubConn{}) != nil)
	}
	is.Equal(table.evicting, 0)
}
