package ingress

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Load pattern: callers stop reading within a stream and keep the connection open,
// or are partitioned. Guards against requests that stay in flight after their
// deadline, with their connections and through the whole drain.
func TestHandlerEndsStreamOfCallerThatDoesNotRead(t *testing.T) {
	is := is.New(t)
	event := "id: 1\ndata: " + strings.Repeat("x", 16<<10) + "\n\n"
	b := startBackend(t, func(_ *backend, req *http.Request, c net.Conn) {
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nId: %s\r\nSignature: x\r\nTransfer-Encoding: chunked\r\n\r\n", req.Header.Get("Id"))
		for {
			if _, err := fmt.Fprintf(c, "%x\r\n%s\r\n", len(event), event); err != nil {
				return
			}
		}
	})
	f := newFixture(t, b)
	c := f.dialRaw(t)
	is.NoErr(c.conn.(*net.TCPConn).SetReadBuffer(4 << 10))
	c.sendTo("/once/x", "Content-Length: 0", "")
	ended := make(chan Outcome, 1)
	go func() { ended <- f.records.wait(1)[0].Outcome }()
	select {
	case outcome := <-ended:
		is.Equal(outcome, OutcomeAborted) // by the gateway, at the deadline
	case <-time.After(20 * time.Second): // only ends a hang
		t.Error("the request has not ended")
		c.conn.Close()
	}
}

// smallSendBuffer is used as a hook for the states of connections. It lets little be
// written to a caller that does not read.
func smallSendBuffer(c net.Conn, state http.ConnState) {
	if tcp, ok := c.(*net.TCPConn); ok && state == http.StateNew {
		_ = tcp.SetWriteBuffer(4 << 10) // larger buffers only take longer to fill
	}
}

// pipeline sends a request over and over without reading the responses, until the
// connection ends. It returns false if that does not happen.
func pipeline(t *testing.T, address, request string) bool {
	is := is.New(t)
	c, err := net.Dial("tcp4", address)
	is.NoErr(err)
	defer c.Close()
	is.NoErr(c.(*net.TCPConn).SetReadBuffer(4 << 10))
	is.NoErr(c.SetWriteDeadline(time.Now().Add(20 * time.Second))) // only ends a hang
	for err == nil {
		_, err = io.WriteString(c, request)
	}
	t.Log(err)
	timeout, ok := err.(net.Error)
	return !ok || !timeout.Timeout()
}

// Load pattern: callers send many requests ahead on a connection and read no responses.
// Guards against connections that are held, each with a request, until the caller goes: the
// end of a response was written without a deadline.
func TestHandlerEndsPipelineOfCallerThatDoesNotRead(t *testing.T) {
	is := is.New(t)
	body := strings.Repeat("x", 3<<10) // is written when the handler has returned
	b := startBackend(t, func(_ *backend, req *http.Request, c net.Conn) {
		writeResponse(c, req.Header.Get("Id"), "", body)
	})
	f := newFixture(t, b)
	f.Server = httptest.NewUnstartedServer(f.handler)
	f.Server.Config.ConnState = smallSendBuffer
	f.Server.Start()
	t.Cleanup(f.Close)
	for _, path := range []string{"/safe/x", "/none"} {
		request := "GET " + path + " HTTP/1.1\r\nHost: 127.0.0.1\r\nId: r1\r\nKey: key\r\n\r\n"
		is.True(pipeline(t, f.Listener.Addr().String(), request))
	}
}

// Guards against responses that are written without a deadline because no handler of this
// package has set one, such as those of net/http to a head that it can't parse.
func TestServerLimitsWritesWithoutHandler(t *testing.T) {
	is := is.New(t)
	_, l := startServer(t, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("X", strings.Repeat("x", 2<<10))
		w.WriteHeader(http.StatusNotFound)
	})
	is.True(pipeline(t, l.Addr().String(), "GET / HTTP/1.1\r\nHost: h\r\n\r\n"))
}

// Load pattern: callers stop within the body of a request that is rejected without it.
// Guards against connections, and their rejections, that are held until the caller goes:
// net/http reads the rest of the body first, without a deadline.
func TestHandlerDoesNotWaitForBodyOfRejectedRequest(t *testing.T) {
	chunk := fmt.Sprintf("%x\r\n%s\r\n", 32<<10, strings.Repeat("x", 32<<10))
	for name, c := range map[string]struct {
		path, framing, body string
		status              int
	}{
		"no route":         {"/none", "Content-Length: 4", "bod", http.StatusNotFound},
		"no route, chunks": {"/none", "Transfer-Encoding: chunked", "4\r\nbod", http.StatusNotFound},
		"large":            {"/safe/x", "Content-Length: 100000000", "bod", http.StatusRequestEntityTooLarge},
		"large, chunks":    {"/safe/x", "Transfer-Encoding: chunked", strings.Repeat(chunk, 33), http.StatusRequestEntityTooLarge},
		"continue":         {"/none", "Expect: 100-continue\r\nContent-Length: 4", "", http.StatusNotFound},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			f := newFixture(t, startBackend(t, respondOK))
			caller := f.dialRaw(t)
			caller.sendTo(c.path, c.framing, c.body)
			is.Equal(caller.receive(), c.status)
			_, err := caller.br.ReadByte()
			timeout, ok := err.(net.Error)
			is.True(err != nil && !(ok && timeout.Timeout())) // the connection is closed
		})
	}
}

// Guards against connections that can't be reused after a small request was rejected whose
// body has arrived, or arrives soon.
func TestHandlerReusesConnectionAfterRejectedBody(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, startBackend(t, respondOK))
	caller := f.dialRaw(t)
	for range 3 {
		caller.sendTo("/none", "Content-Length: 4", "body")
		is.Equal(caller.receive(), http.StatusNotFound)
		caller.sendTo("/none", "Content-Length: 4", "bo")
		time.Sleep(50 * time.Millisecond)
		_, err := io.WriteString(caller.conn, "dy")
		is.NoErr(err)
		is.Equal(caller.receive(), http.StatusNotFound)
		time.Sleep(restTimeout + 100*time.Millisecond) // the limit is gone
		caller.send("Content-Length: 4", "body")
		is.Equal(caller.receive(), http.StatusOK)
	}
}
