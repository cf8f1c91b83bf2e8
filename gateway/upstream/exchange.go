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
	"cassialatch.dev/gateway/memory"
)

// ErrTooManyConns is returned when the pool already holds Request.MaxConns
// connections to the server.
var ErrTooManyConns = errors.New("upstream: connection limit of the server reached")

// maxErrorText limits the text of a cause in bytes, since the errors of net/http
// quote what the server sent.
const maxErrorText = 256

// Error is returned by Send when there is no usable response.
type Error struct {
	Sent bool // the server may have received some of the request
	// Lost is set if the server's side ended the connection, rather than fall silent or
	// send bytes that are no response.
	Lost  bool
	Cause error
}

// Error implements error.
func (e *Error) Error() string {
	cause := e.Cause.Error()
	if len(cause) > maxErrorText {
		cause = cause[:maxErrorText] + "..."
	}
	if e.Sent {
		return "upstream: no answer: " + cause
	}
	return "upstream: not sent: " + cause
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Cause }

// MismatchedResponseError is returned when a connection delivers responses with
// the IDs of other requests and the response to the request was not reached.
type MismatchedResponseError struct{ Skipped int }

// Error implements error.
func (e *MismatchedResponseError) Error() string {
	return fmt.Sprintf("upstream: %d responses on the connection belong to other requests", e.Skipped)
}

// ErrNoResponseID is the cause of an Error if a response does not name its request
// and may belong to an earlier one on the connection, so that this one may be running.
// A refusal without an ID is not believed on any connection.
var ErrNoResponseID = errors.New("upstream: response without a request ID")

// maxMismatched limits the responses to other requests that are skipped.
const maxMismatched = 4

// maxMismatchedBody limits the body of a skipped response, in bytes.
const maxMismatchedBody = 1 << 20

// maxSyncWrite is the size in bytes up to which a request is written before its
// response is read. It fits the socket buffers of a connection, so the write
// does not block on a server that responds first.
const maxSyncWrite = 4 << 10

// Request is a request to a backend server.
type Request struct {
	ID       string
	Method   string
	Target   string // path and query, exactly as the caller sent them
	Host     string
	Header   http.Header
	Body     []byte
	MaxConns int // limit of this daemon's connections to the server; 0: no limit
	// Memory is what the request holds of responses; what their heads take is added. A
	// head for which it has no room is an Error with the cause memory.ErrFull. It may be
	// nil.
	Memory *memory.Account
}

// Response is the head of a backend server's response and a reader of its body.
// The caller must call Release or Abort once it has finished with the body; the
// first call counts, later ones do nothing.
type Response struct {
	call.ResponseHead
	Header http.Header
	Body   io.Reader
	// Framed reports whether the body ends at a Content-Length or with the last
	// chunk, rather than with the connection.
	Framed bool

	pool    *Pool
	server  string
	conn    *conn
	resp    *http.Response
	pending *pendingWrite
	stop    func() bool
	once    sync.Once
}

// pendingWrite is the write of a request, which may still be in progress while
// the response is read.
type pendingWrite struct {
	done chan struct{} // closed when the write has ended
	n    int           // bytes written; valid once done is closed
	err  error         // valid once done is closed
}

// Send sends a request and reads the head of its response. The context covers
// the body too: when it ends before Release or Abort, the connection is reset.
// Every error is of type *Error.
func (p *Pool) Send(ctx context.Context, s *catalog.Server, req *Request) (*Response, error) {
	c, err := p.get(ctx, s, req.MaxConns)
	if err != nil {
		return nil, &Error{Cause: err}
	}
	stop := context.AfterFunc(ctx, c.abort)
	r := &Response{pool: p, server: s.ID, conn: c, stop: stop}
	if r.pending, err = writeRequest(c, req); err != nil {
		r.Abort()
		return nil, &Error{Sent: r.pending.n > 0, Lost: endedByPeer(err), Cause: err}
	}
	if err := r.readHead(req); err != nil {
		r.Abort()
		return nil, &Error{Sent: true, Lost: c.lost, Cause: err}
	}
	return r, nil
}

// writeRequest sends the request. A request longer than maxSyncWrite is written
// in the background, since a server may respond before it has read all of it.
func writeRequest(c *conn, req *Request) (*pendingWrite, error) {
	w := &pendingWrite{done: make(chan struct{})}
	raw, err := encodeRequest(req)
	if err != nil {
		close(w.done)
		return w, err
	}
	if len(raw) <= maxSyncWrite {
		defer close(w.done)
		w.n, w.err = c.stream.Write(raw)
		return w, w.err
	}
	go func() {
		defer close(w.done)
		w.n, w.err = c.stream.Write(raw)
	}()
	return w, nil
}

// encodeRequest returns the request in the form that is sent.
func encodeRequest(r *Request) ([]byte, error) {
	req := &http.Request{
		Method:        r.Method,
		URL:           &url.URL{Opaque: r.Target, Host: r.Host},
		Host:          r.Host,
		Header:        r.Header,
		ContentLength: int64(len(r.Body)),
	}
	if len(r.Body) > 0 {
		req.Body = io.NopCloser(bytes.NewReader(r.Body))
	}
	if _, ok := r.Header["User-Agent"]; !ok {
		r.Header["User-Agent"] = nil // otherwise net/http adds its own
	}
	var buf bytes.Buffer
	buf.Grow(len(r.Body) + 1024)
	if err := req.Write(&buf); err != nil {
		return nil, err
	}
	return buf.Bytes(), nil
}

// readHead reads the head of the response to req. It skips responses to other
// requests.
func (r *Response) readHead(req *Request) error {
	held := req.Memory
	if held == nil {
		held = new(memory.Account)
	}
	reused := r.conn.used
	r.conn.used = true
	for skipped := 0; ; skipped++ {
		resp, err := r.conn.readResponse(req.Method, held)
		if err != nil {
			return err
		}
		head := r.pool.dialect.ParseResponse(resp)
		if head.RequestID == "" && req.ID != "" && (reused || head.NotExecuted) {
			return ErrNoResponseID
		}
		if head.RequestID == "" || head.RequestID == req.ID {
			r.ResponseHead, r.Header, r.Body, r.resp = head, resp.Header, resp.Body, resp
			r.Framed = resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0
			return nil
		}
		if skipped == maxMismatched || resp.Close {
			return &MismatchedResponseError{Skipped: skipped + 1}
		}
		n, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxMismatchedBody))
		if err != nil {
			return err
		}
		if n == maxMismatchedBody {
			return &MismatchedResponseError{Skipped: skipped + 1}
		}
	}
}

// Lost reports whether the server's side ended the connection while the body was read. If
// reading failed without that, the server fell silent or sent bytes that are no response.
func (r *Response) Lost() bool { return r.conn.lost }

// Release returns the connection to the pool if it can be reused, and resets it
// otherwise. The body must have been read to its end.
func (r *Response) Release() {
	r.once.Do(func() {
		if !r.stop() || !r.reusable() {
			r.conn.abort()
			r.pool.releaseSlot(r.server)
			return
		}
		r.pool.put(r.server, r.conn, r.IdleTimeout)
	})
}

// reusable reports whether another request may be sent on the connection: the
// request was written in full, the server keeps the connection open, and the
// buffer holds no more data.
func (r *Response) reusable() bool {
	select {
	case <-r.pending.done:
	default:
		return false // the server responded before it had read the whole request
	}
	if r.pending.err != nil || r.resp.Close || !r.Framed || r.conn.unread() {
		return false
	}
	return !strings.EqualFold(r.Header.Get("Connection"), "close")
}

// Abort resets the connection, which ends the server's work on the request.
func (r *Response) Abort() {
	r.once.Do(func() {
		r.stop()
		r.conn.abort()
		<-r.pending.done
		r.pool.releaseSlot(r.server)
	})
}
