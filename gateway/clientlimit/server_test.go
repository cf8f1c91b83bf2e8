package clientlimit

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"cassialatch.dev/gateway/memory"
)

// testServer is a server of net/http whose connections are in a table.
type testServer struct {
	table   *Table
	heads   *memory.Budget
	closed  *closings
	address string
}

// startServer starts a server with limits that responds to each request with status 204, or
// 200 to those with a body.
func startServer(t *testing.T, maxConns int, headMemory int64) *testServer {
	s := &testServer{heads: memory.NewBudget(headMemory), closed: &closings{}}
	s.table = NewTable(Options{MaxConns: maxConns, Heads: s.heads, Now: time.Now, OnClose: s.closed.add})
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s.address = l.Addr().String()
	server := &http.Server{
		ReadHeaderTimeout: time.Minute,
		MaxHeaderBytes:    64 << 10,
		ConnState:         ConnState,
		ConnContext:       ConnContext,
		Handler: Handler(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			conn := FromContext(r.Context())
			conn.BeginBody()
			n, err := io.Copy(io.Discard, r.Body)
			switch {
			case errors.Join(err, conn.EndBody()) != nil:
				w.WriteHeader(http.StatusRequestTimeout)
			case n == 0:
				w.WriteHeader(http.StatusNoContent)
			}
		})),
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = server.Serve(s.table.Listener(l))
	}()
	t.Cleanup(func() {
		server.Close()
		<-done
	})
	return s
}

// client is a caller's connection.
type client struct {
	t *testing.T
	net.Conn
	br *bufio.Reader
}

func (s *testServer) dial(t *testing.T) *client {
	c, err := net.Dial("tcp4", s.address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	if err := c.SetDeadline(time.Now().Add(20 * time.Second)); err != nil { // only ends a hang
		t.Fatal(err)
	}
	return &client{t: t, Conn: c, br: bufio.NewReader(c)}
}

// send writes to the server; it fails if the server has closed the connection.
func (c *client) send(s string) { _, _ = io.WriteString(c, s) }

// status reads a response and returns its status; 0 if there is none.
func (c *client) status() int {
	resp, err := http.ReadResponse(c.br, nil)
	if err != nil {
		return 0
	}
	defer resp.Body.Close()
	_, _ = io.Copy(io.Discard, resp.Body) // of a length that is known
	return resp.StatusCode
}

// closedWithoutResponse waits until the server closes the connection, and reports whether it
// has sent nothing.
func (c *client) closedWithoutResponse() bool {
	n, err := io.Copy(io.Discard, c.br)
	return n == 0 && !errors.Is(err, os.ErrDeadlineExceeded)
}

const get = "GET / HTTP/1.1\r\nHost: h\r\n"

// shortLines returns n header lines of 4 bytes.
func shortLines(n int) string { return strings.Repeat("a:\r\n", n) }

// awaitTrue waits for a condition.
func awaitTrue(t *testing.T, what string, condition func() bool) {
	t.Helper()
	for end := time.Now().Add(20 * time.Second); !condition(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) { // only ends a hang
			t.Fatal("never: " + what)
		}
	}
}

// Load pattern: a large group of callers connects and is silent. Guards against connections
// without limit, and against a group that keeps ordinary callers out.
func TestServer_ServesOrdinaryCallerAtConnectionLimit(t *testing.T) {
	for name, start := range map[string]string{
		"silent":         "",
		"part of a head": "GET / HT",
		"part of a body": "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nx",
		"whole requests": get + "\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			const limit = 64
			s := startServer(t, limit, 0)
			for range 4 * limit {
				s.dial(t).send(start)
			}
			c := s.dial(t)
			c.send(get + "\r\n")
			is.Equal(c.status(), http.StatusNoContent)
			awaitTrue(t, "few connections are open", func() bool { return s.table.Open() <= limit })
			is.True(s.closed.of(CauseConnections) > 0)
			c.send(get + "\r\n") // the connection is kept
			is.Equal(c.status(), http.StatusNoContent)
		})
	}
}

// Load pattern: heads of many short lines that stop before their end. Guards against their
// memory without limit, against ordinary heads being refused, against a response to a head
// that was cut off, and against a charge that is not returned.
func TestServer_LimitsMemoryOfHeads(t *testing.T) {
	is := is.New(t)
	const limit, callers, lines = 1 << 20, 100, 400
	s := startServer(t, 0, limit)
	var clients []*client
	for range callers {
		c := s.dial(t)
		c.send(get + shortLines(lines))
		clients = append(clients, c)
	}
	perHead := headCharge(int64(len(get)+4*lines), lines+2) - freeHeadBytes
	fitting := int(limit / perHead)
	awaitTrue(t, "heads are refused", func() bool { return s.closed.of(CauseHeadMemory) >= callers-fitting })
	is.True(s.heads.Used() <= limit)
	is.True(s.heads.Used() > limit-perHead)

	c := s.dial(t)
	c.send(get + shortLines(50) + "\r\n")
	is.Equal(c.status(), http.StatusNoContent)
	closed := 0
	for _, c := range clients {
		c.send("\r\n")
		status := c.status()
		is.True(status == 0 || status == http.StatusNoContent)
		if status == 0 {
			closed++
			is.True(c.closedWithoutResponse())
		}
	}
	is.True(closed >= callers-fitting)
	is.True(closed < callers)
	awaitTrue(t, "all is returned with the connections open", func() bool { return s.heads.Used() == 0 })
}

// Load pattern: heads of legal size with very many lines. Guards against the memory of a
// single head, which is 15 times its size, and for as long as its request lasts.
func TestServer_LimitsLinesOfHead(t *testing.T) {
	is := is.New(t)
	s := startServer(t, 0, 0)
	c := s.dial(t)
	c.send(get + shortLines(maxHeadLines-3) + "\r\n")
	is.Equal(c.status(), http.StatusNoContent)
	c.send(get + shortLines(maxHeadLines))
	is.True(c.closedWithoutResponse())
	is.Equal(s.closed.of(CauseHeadLines), 1)
}

// Guards against a limit on lines that applies to bodies, which arrive with the head.
func TestServer_DoesNotCountLinesOfBody(t *testing.T) {
	is := is.New(t)
	s := startServer(t, 0, 64<<10)
	body := strings.Repeat("\n", 64<<10)
	c := s.dial(t)
	for range 3 {
		c.send(fmt.Sprintf("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", len(body), body))
		is.Equal(c.status(), http.StatusOK)
	}
	chunks := fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", len(body), body)
	for range 3 {
		c.send("POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n" + chunks)
		is.Equal(c.status(), http.StatusOK)
	}
	is.Equal(s.heads.Used(), int64(0))
}

// Load pattern: requests that are sent ahead, whose heads net/http reads with the request
// before. Guards against heads that are not counted or limited because of that, and against
// ordinary requests that are sent ahead being refused.
func TestServer_LimitsPipelinedHeads(t *testing.T) {
	is := is.New(t)
	const limit = 1 << 20
	s := startServer(t, 0, limit)
	c := s.dial(t)
	c.send(strings.Repeat(get+"\r\n", 100))
	for range 100 {
		is.Equal(c.status(), http.StatusNoContent)
	}
	is.Equal(s.heads.Used(), int64(0))

	many := s.dial(t)
	many.send(get + "\r\n" + get + shortLines(maxHeadLines) + "\r\n")
	is.Equal(many.status(), http.StatusNoContent)
	is.True(many.closedWithoutResponse())
	is.Equal(s.closed.of(CauseHeadLines), 1)

	var parts []*client
	for range 50 {
		part := s.dial(t)
		part.send(get + "\r\n" + get + shortLines(900))
		is.Equal(part.status(), http.StatusNoContent)
		part.send("a") // of a head that began in the buffer
		parts = append(parts, part)
	}
	awaitTrue(t, "heads are refused", func() bool { return s.closed.of(CauseHeadMemory) > len(parts)/2 })
	is.True(s.heads.Used() <= limit)
	for _, part := range parts {
		part.Close()
	}
	awaitTrue(t, "all is returned", func() bool { return s.heads.Used() == 0 })
}

// Guards against a head whose end is found too early or too late, by how it is split.
func TestHeadScan_FindsEnd(t *testing.T) {
	for _, c := range []struct {
		head  string
		lines int
	}{
		{"GET / HTTP/1.1\r\nHost: h\r\n\r\n", 3},
		{"GET / HTTP/1.1\nHost: h\n\n", 3},
		{"\r\nGET / HTTP/1.1\r\n\r\n", 3},
		{"GET / HTTP/1.1\r\n \r\n\r\r\n\r\n", 4},
	} {
		for split := range len(c.head) {
			is := is.New(t)
			var s headScan
			s.add([]byte(c.head[:split]))
			is.True(!s.ended)
			s.add([]byte(c.head[split:] + "body\n\nbody"))
			is.True(s.ended)
			is.Equal(s.lines, c.lines)
			is.Equal(s.bytes, int64(len(c.head)))
		}
	}
}
