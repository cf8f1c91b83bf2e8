package upstream

import (
	"context"
	"errors"
	"io"
	"net"
	"strings"
	"syscall"
	"testing"

	"github.com/matryer/is"

	"cassialatch.dev/gateway/catalog"
	"cassialatch.dev/standin/rawserver"
)

// unsentBody is a request body whose write lasts until the server reads it or the connection
// ends.
var unsentBody = strings.Repeat("u", rawserver.UnreadBytes)

// respondEarly starts a server that responds with the bytes while a body is being sent, and
// then passes the connection to end.
func respondEarly(t *testing.T, response string, end func(c *net.TCPConn)) *catalog.Server {
	return &catalog.Server{ID: "a", Address: rawserver.Start(t, response, end)}
}

// Guards against a response without a length that looks complete after its connection was
// reset: the kernel reports a reset once, and the write of the request had received it. The
// test reads the body only then.
func TestSend_ResetThatTheWriteReportsEndsNoResponse(t *testing.T) {
	for name, response := range map[string]string{
		"no length":   "HTTP/1.1 200 OK\r\nId: 1\r\n\r\npart",
		"empty":       "HTTP/1.1 200 OK\r\nId: 1\r\n\r\n",
		"HTTP/1.0":    "HTTP/1.0 200 OK\r\nId: 1\r\n\r\npart",
		"with length": "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 5\r\n\r\npart",
		"chunks":      "HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n4\r\npart\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			p := NewPool(dialect{})
			reset := make(chan struct{})
			s := respondEarly(t, response, func(c *net.TCPConn) {
				<-reset
				rawserver.Reset(c)
			})
			resp, err := p.Send(context.Background(), s, request("1", unsentBody))
			is.NoErr(err)
			close(reset)
			<-resp.pending.done
			is.True(errors.Is(resp.pending.err, syscall.ECONNRESET))
			body, err := io.ReadAll(resp.Body)
			is.True(strings.HasPrefix("part", string(body)))
			is.True(err != nil)  // the response is not complete
			is.True(resp.Lost()) // the server's side ended it
			resp.Abort()
			is.Equal(p.OpenConns(), 0)
		})
	}
}

// A server may send a complete response without a length before it has read the request, and
// then read on, stop reading, or close the connection.
func TestSend_AcceptsCompleteEarlyResponse(t *testing.T) {
	stopped := make(chan struct{})
	t.Cleanup(func() { close(stopped) })
	for name, end := range map[string]func(c *net.TCPConn){
		"reads on": rawserver.ReadOn,
		"stops":    func(*net.TCPConn) { <-stopped },
		"resets":   rawserver.Reset,
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			p := NewPool(dialect{})
			s := respondEarly(t, "HTTP/1.1 200 OK\r\nId: 1\r\n\r\nwhole", func(c *net.TCPConn) {
				_ = c.CloseWrite()
				end(c)
			})
			body, err := exchange(p, s, request("1", unsentBody))
			is.NoErr(err)
			is.Equal(body, "whole")
			is.Equal(p.OpenConns(), 0)
		})
	}
}

// Guards against a complete response that is lost because the connection was reset after the
// server had closed its side of it.
func TestSend_ResetAfterTheEndHarmsNoResponse(t *testing.T) {
	is := is.New(t)
	p := NewPool(dialect{})
	reset := make(chan struct{})
	s := respondEarly(t, "HTTP/1.1 200 OK\r\nId: 1\r\n\r\nwhole", func(c *net.TCPConn) {
		_ = c.CloseWrite()
		<-reset
		rawserver.Reset(c)
	})
	resp, err := p.Send(context.Background(), s, request("1", unsentBody))
	is.NoErr(err)
	close(reset)
	<-resp.pending.done
	is.True(resp.pending.err != nil)
	body, err := io.ReadAll(resp.Body)
	is.NoErr(err)
	is.Equal(string(body), "whole")
	resp.Release()
}
