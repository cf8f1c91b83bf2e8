package ingress

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"cassialatch.dev/gateway/memory"
)

// rawCaller is a caller that sends requests byte by byte.
type rawCaller struct {
	t    *testing.T
	conn net.Conn
	br   *bufio.Reader
}

// dialRaw connects a caller to the fixture's handler.
func (f *fixture) dialRaw(t *testing.T) *rawCaller {
	c, err := net.Dial("tcp4", f.Listener.Addr().String())
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
	for _, framing := range []struct{ name, header, body string }{
		{"length", fmt.Sprintf("Content-Length: %d", size), body},
		{"chunked", "Transfer-Encoding: chunked", fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", size, body)},
	} {
		t.Run(framing.name, func(t *testing.T) {
			is := is.New(t)
			b := startBackend(t, respondOK)
			f := newFixture(t, b)
			f.handler.Bodies = memory.NewBudget(64 << 10)
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
