package kit

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"time"
)

// Answer is what a consumer has seen of the answer to a request.
type Answer struct {
	Status   int
	Header   http.Header
	Body     []byte
	Complete bool  // the whole answer has arrived
	Err      error // why it has not
	Took     time.Duration
}

// String implements fmt.Stringer.
func (a *Answer) String() string {
	switch {
	case a.Complete:
		return fmt.Sprintf("status %d, complete, %d bytes, after %d ms", a.Status, len(a.Body), a.Took.Milliseconds())
	case a.Status != 0:
		return fmt.Sprintf("status %d, broken off after %d bytes and %d ms: %v", a.Status, len(a.Body), a.Took.Milliseconds(), a.Err)
	}
	return fmt.Sprintf("no answer after %d ms: %v", a.Took.Milliseconds(), a.Err)
}

// NewID returns an attempt ID.
func NewID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// Channel is a consumer's channel to a gateway.
type Channel struct {
	net.Conn
	r *bufio.Reader
}

// Connect opens a channel. A consumer allows one second for it.
func Connect(address string) (*Channel, error) {
	c, err := net.DialTimeout("tcp4", address, time.Second)
	if err != nil {
		return nil, err
	}
	return &Channel{Conn: c, r: bufio.NewReader(c)}, nil
}

// Call sends a request and waits for its answer until the deadline and half a second
// more.
func (c *Channel) Call(method, path, id string, deadline time.Duration, body []byte, more string) *Answer {
	start := time.Now()
	a := &Answer{}
	defer func() { a.Took = time.Since(start) }()
	_ = c.SetDeadline(start.Add(deadline + 500*time.Millisecond))
	var b bytes.Buffer
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\nCassialatch-Attempt-Id: %s\r\nCassialatch-Deadline-Ms: %d\r\nAuthorization: Bearer %s\r\n%s",
		method, path, Host, id, deadline.Milliseconds(), Key, more)
	if method != http.MethodGet {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(body))
	}
	b.WriteString("\r\n")
	b.Write(body)
	if _, a.Err = c.Write(b.Bytes()); a.Err != nil {
		return a
	}
	resp, err := http.ReadResponse(c.r, &http.Request{Method: method})
	if err != nil {
		a.Err = err
		return a
	}
	a.Status, a.Header = resp.StatusCode, resp.Header
	a.Body, a.Err = io.ReadAll(resp.Body)
	a.Complete = a.Err == nil
	if a.Complete && a.Header.Get("Cassialatch-Attempt-Id") != "" && a.Header.Get("Cassialatch-Attempt-Id") != id {
		a.Err = errors.New("the answer has another ID")
	}
	return a
}
