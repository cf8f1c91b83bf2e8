package ingress

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"cassialatch.dev/gateway/clientlimit"
	"cassialatch.dev/gateway/memory"
)

// rawCaller is a caller that sends requests byte by byte.
type rawCaller struct {
	t    *testing.T
	conn net.Conn
	br   *bufio.Reader
}

// dialRaw connects a caller to the fixture's handler.
func (f *fixture) dialRaw(t *testing.T) *rawCaller { return dialRaw(t, f.Listener) }

// dialRaw connects a caller to a listener.
func dialRaw(t *testing.T, l net.Listener) *rawCaller {
	c, err := net.Dial("tcp4", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	if err := c.SetReadDeadline(time.Now().Add(20 * time.Second)); err != nil { // only ends a hang
		t.Fatal(err)
	}
	return &rawCaller{t: t, conn: c, br: bufio.NewReader(c)}
}

// send sends the head of a request with the header line that frames its body, and
// then the bytes of the body.
func (c *rawCaller) send(framing, body string) { c.sendTo("/safe/x", framing, body) }

// sendTo sends a request like send to a path.
func (c *rawCaller) sendTo(path, framing, body string) {
	head := "POST " + path + " HTTP/1.1\r\nHost: 127.0.0.1\r\nId: r1\r\nKey: key\r\n" + framing + "\r\n\r\n"
	if _, err := io.WriteString(c.conn, head+body); err != nil {
		c.t.Fatal(err)
	}
}

// receive returns the status of the next response.
func (c *rawCaller) receive() int {
	resp, err := http.ReadResponse(c.br, nil)
	if err != nil {
		c.t.Error("no response: ", err)
		return 0
	}
	defer resp.Body.Close()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		c.t.Error(err)
	}
	return resp.StatusCode
}

// Load pattern: callers with slow links send large bodies at the same time.
// Guards against a process that is killed since the bodies exceed its memory.
func TestHandlerRejectsBodiesThatExceedMemory(t *testing.T) {
	const size = 40 << 10
	body := strings.Repeat("x", size)
	// A body takes the size of its buffer, and as much must remain free. The buffer of a
	// body of unknown length is 64 KiB here.
	for _, framing := range []struct {
		name, header, body string
		memory             int64 // for bodies: room for one
	}{
		{"length", fmt.Sprintf("Content-Length: %d", size), body, 80 << 10},
		{"chunked", "Transfer-Encoding: chunked", fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", size, body), 128 << 10},
	} {
		t.Run(framing.name, func(t *testing.T) {
			is := is.New(t)
			b := startBackend(t, respondOK)
			f := newFixture(t, b)
			frozen := time.Now() // no body stalls
			f.handler.Bodies = newBodies(framing.memory, func() time.Time { return frozen })
			slow := f.dialRaw(t)
			slow.send(fmt.Sprintf("Content-Length: %d", size), body[1:])
			for f.handler.Bodies.Used() == 0 {
				time.Sleep(time.Millisecond)
			}

			other := f.dialRaw(t)
			other.send(framing.header, framing.body)
			is.Equal(other.receive(), http.StatusServiceUnavailable)
			small := f.dialRaw(t)
			small.send("Content-Length: 4", "body")
			is.Equal(small.receive(), http.StatusOK)
			is.Equal(b.runs.Load(), int32(1))

			_, err := io.WriteString(slow.conn, "x") // its last byte
			is.NoErr(err)
			is.Equal(slow.receive(), http.StatusOK)
			for f.handler.Bodies.Used() != 0 {
				time.Sleep(time.Millisecond)
			}
			another := f.dialRaw(t)
			another.send(framing.header, framing.body)
			is.Equal(another.receive(), http.StatusOK)
		})
	}
}

// Load pattern: callers announce large bodies and send little of them. Guards against
// memory that is allocated and counted before it is needed, so that the bodies of others
// are refused.
func TestHandlerCountsOnlyWhatHasArrivedOfBodies(t *testing.T) {
	is := is.New(t)
	b := startBackend(t, respondOK)
	f := newFixture(t, b)
	frozen := time.Now() // no body stalls
	f.handler.Bodies = newBodies(256<<10, func() time.Time { return frozen })
	const callers, announced, sent = 20, 1 << 20, 6 << 10
	for range callers {
		f.dialRaw(t).sendTo("/slow/x", fmt.Sprintf("Content-Length: %d", announced), strings.Repeat("x", sent))
	}
	const counted = 4 << 10                 // of a buffer of 8 KiB
	end := time.Now().Add(20 * time.Second) // only ends a hang
	for f.handler.Bodies.Used() < callers*counted && time.Now().Before(end) {
		time.Sleep(time.Millisecond)
	}
	is.Equal(f.handler.Bodies.Used(), int64(callers*counted))
	ordinary := f.dialRaw(t)
	body := strings.Repeat("y", 14<<10)
	ordinary.send(fmt.Sprintf("Content-Length: %d", len(body)), body)
	is.Equal(ordinary.receive(), http.StatusOK)
	is.Equal(b.runs.Load(), int32(1))
}

// arrivals counts the bytes that handlers have read of bodies and taken note of.
type arrivals struct{ n atomic.Int64 }

// count returns a handler like h whose bodies are counted.
func (a *arrivals) count(h http.Handler) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		r.Body = &countedBody{ReadCloser: r.Body, arrivals: a}
		h.ServeHTTP(w, r)
	}
}

// wait returns when n bytes have arrived.
func (a *arrivals) wait(n int64) {
	for a.n.Load() < n {
		time.Sleep(time.Millisecond)
	}
}

type countedBody struct {
	io.ReadCloser
	arrivals *arrivals
	last     int // result of the last read
}

// Read counts the result of the read before, which its caller has handled by now.
func (b *countedBody) Read(p []byte) (int, error) {
	b.arrivals.n.Add(int64(b.last))
	var err error
	b.last, err = b.ReadCloser.Read(p)
	return b.last, err
}

// Load pattern: bodies of legal size that stop just before the end fill the memory for
// bodies. Guards against ordinary bodies being refused until the deadline of those; against
// eviction of a body that makes progress; and against an evicted request that is passed on.
func TestHandlerEvictsStalledBodies(t *testing.T) {
	for _, chunked := range []bool{false, true} {
		t.Run(fmt.Sprint("chunked=", chunked), func(t *testing.T) {
			is := is.New(t)
			b := startBackend(t, respondOK)
			f := newFixture(t, b)
			var clock atomic.Int64
			start := time.Now()
			f.handler.Bodies = newBodies(256<<10, func() time.Time { return start.Add(time.Duration(clock.Load())) })
			var arrived arrivals
			f.Server = httptest.NewServer(arrived.count(f.handler))
			t.Cleanup(f.Close)
			const size = 64 << 10
			framing, body := fmt.Sprintf("Content-Length: %d", size), strings.Repeat("x", size)
			if chunked {
				framing, body = "Transfer-Encoding: chunked", fmt.Sprintf("%x\r\n%s\r\n1", size-1, body[1:])
			}
			var stalled []*rawCaller
			for range 2 {
				c := f.dialRaw(t)
				c.sendTo("/slow/x", framing, body[:len(body)-1])
				stalled = append(stalled, c)
				arrived.wait(int64(len(stalled)) * (size - 1))
				clock.Add(int64(time.Millisecond)) // the first one stalls for longest
			}
			clock.Add(int64(time.Second))
			moving := f.dialRaw(t)
			moving.sendTo("/slow/x", fmt.Sprintf("Content-Length: %d", size), strings.Repeat("x", size-1))
			arrived.wait(3 * (size - 1))

			other := f.dialRaw(t)
			other.sendTo("/slow/x", fmt.Sprintf("Content-Length: %d", size), strings.Repeat("x", size))
			is.Equal(other.receive(), http.StatusOK)
			is.Equal(stalled[0].receive(), http.StatusRequestTimeout)
			_, err := stalled[0].br.ReadByte()
			is.True(err != nil) // its connection is closed

			_, err = io.WriteString(moving.conn, "x") // its last byte
			is.NoErr(err)
			is.Equal(moving.receive(), http.StatusOK)
			is.Equal(b.runs.Load(), int32(2))
			evicted := f.records.with(ReasonBodyStalled)
			is.True(len(evicted) >= 1)
			for _, r := range evicted {
				is.Equal(r.Outcome, OutcomeNotRun)
			}
		})
	}
}

// Load pattern: callers stop within a body until no more connections are permitted. Guards
// against an evicted request that is passed on, or whose caller is not told that it was not.
func TestServer_EvictedBodyIsNotRun(t *testing.T) {
	is := is.New(t)
	b := startBackend(t, respondOK)
	f := newFixture(t, b)
	clients := clientlimit.NewTable(clientlimit.Options{
		MaxConns: 1, Heads: memory.NewBudget(0), Now: time.Now, OnClose: func(clientlimit.Cause) {},
	})
	s := NewServer(f.handler)
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	is.NoErr(err)
	var arrived arrivals
	s.http.Handler = arrived.count(s.http.Handler)
	var wg sync.WaitGroup
	wg.Go(func() { _ = s.Serve(clients.Listener(l)) })
	t.Cleanup(func() {
		s.Stop(0)
		wg.Wait()
	})
	stalled := dialRaw(t, l)
	stalled.sendTo("/slow/x", "Content-Length: 5", "body")
	arrived.wait(4)
	ordinary := dialRaw(t, l)
	ordinary.send("Content-Length: 4", "body")
	is.Equal(ordinary.receive(), http.StatusOK)
	is.Equal(stalled.receive(), http.StatusRequestTimeout)
	is.Equal(b.runs.Load(), int32(1))
	is.Equal(f.records.with(ReasonBodyStalled)[0].Outcome, OutcomeNotRun)
}

// Load pattern: callers stop within a body and keep the connection open. Guards
// against requests that stay in flight without an answer after their deadline.
func TestHandlerRejectsBodyThatIsNotReceivedInTime(t *testing.T) {
	is := is.New(t)
	b := startBackend(t, respondOK)
	f := newFixture(t, b)
	c := f.dialRaw(t)
	c.send("Deadline: 50ms\r\nContent-Length: 4", "bod")
	is.Equal(c.receive(), http.StatusRequestTimeout)
	is.Equal(b.runs.Load(), int32(0))
	f.Close() // waits for the handler
	is.Equal(f.records.all[0].Outcome, OutcomeNotRun)
	is.Equal(f.records.all[0].Reason, ReasonBodyTimeout)
}
