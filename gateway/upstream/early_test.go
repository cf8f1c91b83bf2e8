package upstream

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"strings"
	"syscall"
	"testing"

	"github.com/matryer/is"

	"cassialatch.dev/gateway/catalog"
)

// unsentBody is a request body that exceeds the socket buffers of a connection, so that its
// write lasts until the server reads it or the connection ends.
var unsentBody = strings.Repeat("u", 6<<20)

// respondEarly starts a server that reads the head of a request, responds with the bytes
// while the body is being sent, and then passes the connection to end.
func respondEarly(t *testing.T, response string, end func(c *net.TCPConn)) *catalog.Server {
	s, _ := listen(t, func(c net.Conn, br *bufio.Reader) {
		defer c.Close()
		for line := ""; line != "\r\n"; {
			var err error
			if line, err = br.ReadString('\n'); err != nil {
				return
			}
		}
		if _, err := io.WriteString(c, response); err == nil {
			end(c.(*net.TCPConn))
		}
	})
	return s
}

// resetConn closes the connection with a TCP reset.
func resetConn(c *net.TCPConn) {
	_ = c.SetLinger(0)
	c.Close()
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
				resetConn(c)
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
		"reads on": func(c *net.TCPConn) { _, _ = io.Copy(io.Discard, c) },
		"stops":    func(*net.TCPConn) { <-stopped },
		"resets":   resetConn,
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
		resetConn(c)
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
