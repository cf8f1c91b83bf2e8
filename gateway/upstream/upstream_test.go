package upstream

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"cassialatch.dev/gateway/call"
	"cassialatch.dev/gateway/catalog"
)

// dialect reads the request ID from the header Id.
type dialect struct{}

func (dialect) ParseRequest(http.Header) (call.Request, error)           { return call.Request{}, nil }
func (dialect) OutboundHeader(h http.Header, _ call.Attempt) http.Header { return h }
func (dialect) StripInternal(http.Header)                                {}
func (dialect) ParseResponse(r *http.Response) call.ResponseHead {
	return call.ResponseHead{Status: r.StatusCode, RequestID: r.Header.Get("Id"), IdleTimeout: time.Minute}
}

// listen starts a server that runs the script on each connection. It returns
// the server and the number of connections accepted so far.
func listen(t *testing.T, script func(c net.Conn, br *bufio.Reader)) (*catalog.Server, *atomic.Int32) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	var conns atomic.Int32
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			conns.Add(1)
			go script(c, bufio.NewReader(c))
		}
	}()
	return &catalog.Server{ID: "a", Address: l.Addr().String()}, &conns
}

// echo responds to each request with its method, target and body.
func echo(c net.Conn, br *bufio.Reader) {
	for {
		req, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		body, err := io.ReadAll(req.Body)
		if err != nil {
			return
		}
		response := fmt.Sprintf("%s %s %s", req.Method, req.RequestURI, body)
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: %d\r\n\r\n%s", req.Header.Get("Id"), len(response), response)
	}
}

func request(id, body string) *Request {
	return &Request{ID: id, Method: http.MethodPost, Target: "/p/x?q=1%2F", Host: "h.example",
		Header: http.Header{"Id": {id}}, Body: []byte(body)}
}

// exchange sends a request, reads the response and releases the connection.
func exchange(p *Pool, s *catalog.Server, out *Request) (string, error) {
	resp, err := p.Send(context.Background(), s, out)
	if err != nil {
		return "", err
	}
	body, err := io.ReadAll(resp.Body)
	resp.Release()
	return string(body), err
}

func TestSend_ReusesConnectionAndKeepsTarget(t *testing.T) {
	is := is.New(t)
	s, conns := listen(t, echo)
	p := NewPool(dialect{})
	for i := range 5 {
		body, err := exchange(p, s, request(fmt.Sprint(i), "data"))
		is.NoErr(err)
		is.Equal(body, "POST /p/x?q=1%2F data")
	}
	is.Equal(conns.Load(), int32(1))
	is.Equal(p.OpenConns(), 1)
	p.Expire(func(string) bool { return false })
	is.Equal(p.OpenConns(), 0)
}

func TestSend_ReportsNotSentIfDialIsRefused(t *testing.T) {
	is := is.New(t)
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	is.NoErr(err)
	address := l.Addr().String()
	l.Close()
	_, err = NewPool(dialect{}).Send(context.Background(), &catalog.Server{ID: "a", Address: address}, request("1", ""))
	var sendErr *Error
	is.True(errors.As(err, &sendErr))
	is.True(!sendErr.Sent)
}

func TestSend_ReportsSentIfConnectionClosesAfterRequest(t *testing.T) {
	is := is.New(t)
	s, _ := listen(t, func(c net.Conn, br *bufio.Reader) {
		// Read the request, then close the connection without a response.
		_, _ = http.ReadRequest(br)
		c.Close()
	})
	_, err := NewPool(dialect{}).Send(context.Background(), s, request("1", ""))
	var sendErr *Error
	is.True(errors.As(err, &sendErr))
	is.True(sendErr.Sent)
}

// Data that arrives while no request is in flight belongs to no response, so
// the connection must not be reused.
func TestSend_DropsConnectionWithUnsolicitedData(t *testing.T) {
	is := is.New(t)
	s, conns := listen(t, func(c net.Conn, br *bufio.Reader) {
		for {
			if _, err := http.ReadRequest(br); err != nil {
				return
			}
			fmt.Fprint(c, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
			time.Sleep(20 * time.Millisecond)
			fmt.Fprint(c, "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nstray")
		}
	})
	p := NewPool(dialect{})
	for range 3 {
		body, err := exchange(p, s, request("1", ""))
		is.NoErr(err)
		is.Equal(body, "ok")
		time.Sleep(60 * time.Millisecond)
	}
	is.Equal(conns.Load(), int32(3))
}

// If a server responds before it has read a long body, the connection must not
// be reused: the server would read the next request as the rest of the body.
func TestRelease_ClosesConnectionAfterEarlyResponse(t *testing.T) {
	is := is.New(t)
	s, conns := listen(t, func(c net.Conn, br *bufio.Reader) {
		if _, err := http.ReadRequest(br); err != nil {
			return
		}
		fmt.Fprint(c, "HTTP/1.1 413 Too Large\r\nContent-Length: 0\r\n\r\n")
		time.Sleep(time.Second)
	})
	p := NewPool(dialect{})
	long := strings.Repeat("x", 16<<20)
	for range 2 {
		resp, err := p.Send(context.Background(), s, request("1", long))
		is.NoErr(err)
		is.Equal(resp.Status, http.StatusRequestEntityTooLarge)
		resp.Release()
	}
	is.Equal(conns.Load(), int32(2))
}

func TestSend_LimitsConnectionsPerServer(t *testing.T) {
	is := is.New(t)
	s, _ := listen(t, echo)
	p := NewPool(dialect{})
	out := request("1", "")
	out.MaxConns = 1
	resp, err := p.Send(context.Background(), s, out)
	is.NoErr(err)
	_, err = p.Send(context.Background(), s, out)
	is.True(errors.Is(err, ErrTooManyConns))
	resp.Abort()
	_, err = exchange(p, s, out)
	is.NoErr(err)
}

func TestSend_ResetsConnectionWhenContextEnds(t *testing.T) {
	is := is.New(t)
	reset := make(chan struct{})
	s, _ := listen(t, func(c net.Conn, br *bufio.Reader) {
		if _, err := http.ReadRequest(br); err != nil {
			return
		}
		// Blocks until the pool resets the connection.
		_, _ = br.ReadByte()
		close(reset)
	})
	ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	_, err := NewPool(dialect{}).Send(ctx, s, request("1", ""))
	is.True(err != nil)
	<-reset
}
