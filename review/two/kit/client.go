package kit

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"time"
)

// NewID returns the ID of a new request.
func NewID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// Answer is what a caller has got.
type Answer struct {
	Status int // 0: the channel ended without a complete answer
	Signed bool
	Header http.Header
	Body   string
	Err    error
	Took   time.Duration
}

// Conn is a caller's channel.
type Conn struct {
	net.Conn
	br *bufio.Reader
}

// Dial opens a channel to a gateway.
func Dial(address string) (*Conn, error) {
	c, err := net.DialTimeout("tcp4", address, time.Second)
	if err != nil {
		return nil, err
	}
	return &Conn{Conn: c, br: bufio.NewReader(c)}, nil
}

// Head returns the head of a request. key may be empty.
func Head(method, target, id, key string, deadline time.Duration, more ...string) string {
	h := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nCassialatch-Attempt-Id: %s\r\nCassialatch-Deadline-Ms: %d\r\n", method, target, Host, id, deadline.Milliseconds())
	if key != "" {
		h += "Authorization: Bearer " + key + "\r\n"
	}
	for _, m := range more {
		h += m + "\r\n"
	}
	return h
}

// Send sends a request with a body and reads the answer, for at most the given time.
func (c *Conn) Send(method, target, id, key, body string, deadline time.Duration, more ...string) Answer {
	raw := Head(method, target, id, key, deadline, more...)
	if body != "" || method == "POST" {
		raw += fmt.Sprintf("Content-Length: %d\r\n", len(body))
	}
	return c.SendRaw(method, raw+"\r\n"+body, deadline+2*time.Second)
}

// SendRaw sends bytes and reads one answer.
func (c *Conn) SendRaw(method, raw string, wait time.Duration) Answer {
	start := time.Now()
	_ = c.SetDeadline(start.Add(wait))
	if _, err := io.WriteString(c, raw); err != nil {
		return Answer{Err: err, Took: time.Since(start)}
	}
	resp, err := http.ReadResponse(c.br, &http.Request{Method: method})
	if err != nil {
		return Answer{Err: err, Took: time.Since(start)}
	}
	body, err := io.ReadAll(resp.Body)
	a := Answer{Status: resp.StatusCode, Header: resp.Header, Body: string(body), Err: err, Took: time.Since(start)}
	a.Signed = resp.Header.Get("Cassialatch-Response-Signature") != ""
	if err != nil {
		a.Status = 0
	}
	return a
}

// Once sends a request on a new channel.
func Once(address, method, target, id, key, body string, deadline time.Duration, more ...string) Answer {
	c, err := Dial(address)
	if err != nil {
		return Answer{Err: err}
	}
	defer c.Close()
	return c.Send(method, target, id, key, body, deadline, more...)
}
