package upstream

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strings"
	"sync"

	"cassialatch.dev/gateway/call"
	"cassialatch.dev/gateway/catalog"
)

// ErrTooManyConns tells that the server would not accept another connection.
var ErrTooManyConns = errors.New("upstream: as many connections to the server as it accepts")

// Error tells that there is no usable answer.
type Error struct {
	Sent  bool // the server may have seen some of the request
	Cause error
}

// Error implements error.
func (e *Error) Error() string {
	if e.Sent {
		return "upstream: no answer: " + e.Cause.Error()
	}
	return "upstream: not sent: " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Cause }

// MismatchedResponseError tells that a server answers requests that were not sent.
type MismatchedResponseError struct{ Skipped int }

// Error implements error.
func (e *MismatchedResponseError) Error() string {
	return fmt.Sprintf("upstream: %d answers on the connection belong to other requests", e.Skipped)
}

// maxStray bounds the answers to other requests that are skipped.
const maxStray = 4

// maxStrayBytes bounds the body of an answer that is skipped.
const maxStrayBytes = 1 << 20

// inlineBody is the size up to which a request is written before its answer is
// read: it fits the buffers of a connection.
const inlineBody = 4 << 10

// Request is a request to a backend server.
type Request struct {
	ID       string
	Method   string
	Target   string // path and query, as the caller sent them
	Host     string
	Header   http.Header
	Body     []byte
	MaxConns int // this daemon's connections to the server; 0: no bound
}

// Response is the head of an answer and the way to its body. Exactly one of
// Keep and Abort must be called.
type Response struct {
	call.ResponseHead
	Header http.Header
	Body   io.Reader
	// Framed tells that the end of the body is marked, by a length or by chunks.
	Framed bool

	pool    *Pool
	server  string
	conn    *conn
	resp    *http.Response
	written *writing
	stop    func() bool
	once    sync.Once
}

// writing is the transfer of a request that goes on while its answer is read.
type writing struct {
	done chan struct{}
	n    int
	err  error
}

// Send sends a request and reads the head of its answer. The context bounds
// the whole exchange: when it ends, the connection is reset.
func (p *Pool) Send(ctx context.Context, s *catalog.Server, out *Request) (*Response, error) {
	c, err := p.get(ctx, s, out.MaxConns)
	if err != nil {
		return nil, &Error{Cause: err}
	}
	stop := context.AfterFunc(ctx, c.abort)
	a := &Response{pool: p, server: s.ID, conn: c, stop: stop}
	if a.written, err = write(c, out); err != nil {
		a.Abort()
		return nil, &Error{Sent: a.written.n > 0, Cause: err}
	}
	if err := a.readHead(out); err != nil {
		a.Abort()
		return nil, &Error{Sent: true, Cause: err}
	}
	return a, nil
}

// write sends the request. A long one is sent in the background, since a
// server may answer before it has read it.
func write(c *conn, out *Request) (*writing, error) {
	w := &writing{done: make(chan struct{})}
	raw, err := encode(out)
	if err != nil {
		close(w.done)
		return w, err
	}
	if len(raw) <= inlineBody {
		defer close(w.done)
		w.n, w.err = c.tcp.Write(raw)
		return w, w.err
	}
	go func() {
		defer close(w.done)
		w.n, w.err = c.tcp.Write(raw)
	}()
	return w, nil
}

func encode(out *Request) ([]byte, error) {
	req := &http.Request{
		Method:        out.Method,
		URL:           &url.URL{Opaque: out.Target, Host: out.Host},
		Host:          out.Host,
		Header:        out.Header,
		ContentLength: int64(len(out.Body)),
	}
	if len(out.Body) > 0 {
		req.Body = io.NopCloser(bytes.NewReader(out.Body))
	}
	if _, ok := out.Header["User-Agent"]; !ok {
		out.Header["User-Agent"] = nil // net/http adds one otherwise
	}
	var buf bytes.Buffer
	buf.Grow(len(out.Body) + 1024)
	if err := req.Write(&buf); err != nil {
		return nil, err
	}
	return buf.Bytes(), nil
}

// readHead reads the head of the answer to this request, past answers to
// others.
func (a *Response) readHead(out *Request) error {
	for skipped := 0; ; skipped++ {
		resp, err := http.ReadResponse(a.conn.br, &http.Request{Method: out.Method})
		if err != nil {
			return err
		}
		if resp.StatusCode < http.StatusOK {
			continue
		}
		reply := a.pool.dialect.ParseResponse(resp)
		if reply.RequestID == "" || reply.RequestID == out.ID {
			a.ResponseHead, a.Header, a.Body, a.resp = reply, resp.Header, resp.Body, resp
			a.Framed = resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0
			return nil
		}
		if skipped == maxStray {
			return &MismatchedResponseError{Skipped: skipped}
		}
		n, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxStrayBytes))
		if err != nil {
			return err
		}
		if n == maxStrayBytes || resp.Close {
			return &MismatchedResponseError{Skipped: skipped + 1}
		}
	}
}

// Release gives the connection back for the next request, if the body was read to
// its end and the server keeps it open.
func (a *Response) Release() {
	a.once.Do(func() {
		if !a.stop() || !a.reusable() {
			a.conn.abort()
			a.pool.forget(a.server)
			return
		}
		a.pool.put(a.server, a.conn, a.IdleTimeout)
	})
}

func (a *Response) reusable() bool {
	select {
	case <-a.written.done:
	default:
		return false // the server answered before it had read the request
	}
	if a.written.err != nil || a.resp.Close || !a.Framed || a.conn.br.Buffered() > 0 {
		return false
	}
	return !strings.EqualFold(a.Header.Get("Connection"), "close")
}

// Abort resets the connection, which ends the server's work.
func (a *Response) Abort() {
	a.once.Do(func() {
		a.stop()
		a.conn.abort()
		<-a.written.done
		a.pool.forget(a.server)
	})
}
