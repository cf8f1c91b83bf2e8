package ingress

import (
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/matryer/is"

	"cassialatch.dev/gateway/call"
	"cassialatch.dev/gateway/upstream"
)

// panickingDialect panics in the method with the given name.
type panickingDialect struct {
	dialect
	method string
}

func (d panickingDialect) panicIn(method string) {
	if d.method == method {
		panic("fault in " + method)
	}
}

func (d panickingDialect) ParseRequest(h http.Header) (call.Request, error) {
	d.panicIn("ParseRequest")
	return d.dialect.ParseRequest(h)
}

func (d panickingDialect) ParseResponse(resp *http.Response) call.ResponseHead {
	d.panicIn("ParseResponse")
	return d.dialect.ParseResponse(resp)
}

func (d panickingDialect) StripInternal(h http.Header) {
	d.panicIn("StripInternal")
	d.dialect.StripInternal(h)
}

// newPanickingFixture returns a fixture whose dialect panics in the method.
func newPanickingFixture(t *testing.T, method string, backends ...*backend) *fixture {
	f := newFixture(t, backends...)
	f.handler.Dialect = panickingDialect{method: method}
	f.handler.Pool = upstream.NewPool(f.handler.Dialect)
	return f
}

// Guards against a connection that is closed without an answer when the handler
// panics before the request was sent to a server.
func TestHandlerReportsNotRunAfterPanicBeforeSend(t *testing.T) {
	is := is.New(t)
	b := startBackend(t, respondOK)
	f := newPanickingFixture(t, "ParseRequest", b)
	resp, _, err := f.do(t, "/unsafe/x")
	is.NoErr(err)
	is.Equal(resp.StatusCode, http.StatusServiceUnavailable)
	is.True(resp.Header.Get("Retry-After") != "")
	is.Equal(b.runs.Load(), int32(0))
	f.Close() // waits for the handler
	rec := f.records.all[0]
	is.Equal(rec.Outcome, OutcomeNotRun)
	is.Equal(rec.Reason, ReasonPanic)
	is.Equal(rec.Panic.Value, "fault in ParseRequest")
	is.True(strings.Contains(string(rec.Panic.Stack), "panicIn"))
}

// Guards against a connection that is closed without an answer, and against a
// promise that the request has not run, when the handler panics after the request
// was sent to a server.
func TestHandlerReportsUnknownAfterPanicAfterSend(t *testing.T) {
	for _, method := range []string{"ParseResponse", "StripInternal"} {
		for _, path := range []string{"/unsafe/x", "/safe/x", "/stream/x"} {
			t.Run(method+path, func(t *testing.T) {
				is := is.New(t)
				b := startBackend(t, streamEvents(2, 2, true))
				f := newPanickingFixture(t, method, b)
				resp, _, err := f.do(t, path)
				is.NoErr(err)
				is.Equal(resp.StatusCode, http.StatusBadGateway)
				is.Equal(resp.Header.Get("Signature"), "") // of the server's response
				is.Equal(b.runs.Load(), int32(1))
				f.Close()
				rec := f.records.all[0]
				is.Equal(rec.Outcome, OutcomeUnknown)
				is.Equal(rec.Reason, ReasonPanic)
				is.Equal(rec.Attempts[0].Reason, ReasonPanic)
			})
		}
	}
}

// Guards against a connection to a server that is counted for ever when the
// handler panics while it forwards the response.
func TestHandlerReleasesServerConnectionAfterPanic(t *testing.T) {
	is := is.New(t)
	f := newPanickingFixture(t, "StripInternal", startBackend(t, streamEvents(2, 2, true)))
	_, _, err := f.do(t, "/stream/x")
	is.NoErr(err)
	is.Equal(f.handler.Pool.OpenConns(), 0)
}

// panickingWriter panics when the first event of a stream has been sent.
type panickingWriter struct{ http.ResponseWriter }

func (w panickingWriter) FlushError() error {
	if err := http.NewResponseController(w.ResponseWriter).Flush(); err != nil {
		return err
	}
	panic("fault in a stream")
}

// Guards against a truncated stream that looks complete to the caller when the
// handler panics after the response has begun.
func TestHandlerAbortsStreamAfterPanic(t *testing.T) {
	is := is.New(t)
	b := startBackend(t, func(_ *backend, req *http.Request, c net.Conn) {
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nId: %s\r\nSignature: x\r\nTransfer-Encoding: chunked\r\n\r\n7\r\nid: 1\n\n\r\n0\r\n\r\n", req.Header.Get("Id"))
	})
	f := newFixture(t, b)
	f.Server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		f.handler.ServeHTTP(panickingWriter{w}, r)
	}))
	resp, body, err := f.do(t, "/once/x")
	is.Equal(resp.StatusCode, http.StatusOK)
	is.Equal(body, "id: 1\n\n")
	is.True(err != nil) // the stream has no end
	f.Close()
	rec := f.records.all[0]
	is.Equal(rec.Outcome, OutcomeAborted)
	is.Equal(rec.Reason, ReasonPanic)
	is.Equal(rec.Panic.Value, "fault in a stream")
}
