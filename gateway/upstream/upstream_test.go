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

type dialect struct{}

func (dialect) ParseRequest(http.Header) (call.Request, error)           { return call.Request{}, nil }
func (dialect) OutboundHeader(h http.Header, _ call.Attempt) http.Header { return h }
func (dialect) StripInternal(http.Header)                                {}
func (dialect) ParseResponse(r *http.Response) call.ResponseHead {
	return call.ResponseHead{Status: r.StatusCode, RequestID: r.Header.Get("Id"), IdleTimeout: time.Minute}
}

// listen serves each connection with the script.
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
		reply := fmt.Sprintf("%s %s %s", req.Method, req.RequestURI, body)
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: %d\r\n\r\n%s", req.Header.Get("Id"), len(reply), reply)
	}
}

func request(id, body string) *Request {
	return &Request{ID: id, Method: http.MethodPost, Target: "/p/x?q=1%2F", Host: "h.example",
		Header: http.Header{"Id": {id}}, Body: []byte(body)}
}

// exchange sends a request, reads its answer and keeps the connection.
func exchange(p *Pool, s *catalog.Server, out *Request) (string, error) {
	a, err := p.Send(context.Background(), s, out)
	if err != nil {
		return "", err
	}
	body, err := io.ReadAll(a.Body)
	a.Release()
	return string(body), err
}

func TestAConnectionIsKeptAndThePathIsUnchanged(t *testing.T) {
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

func TestARequestToAClosedPortWasNotSent(t *testing.T) {
	is := is.New(t)
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	is.NoErr(err)
	address := l.Addr().String()
	l.Close()
	_, err = NewPool(dialect{}).Send(context.Background(), &catalog.Server{ID: "a", Address: address}, request("1", ""))
	var failure *Error
	is.True(errors.As(err, &failure))
	is.True(!failure.Sent)
}

func TestAResetAfterTheRequestMayHaveRun(t *testing.T) {
	is := is.New(t)
	s, _ := listen(t, func(c net.Conn, br *bufio.Reader) {
		// The request is read, then the connection closed.
		_, _ = http.ReadRequest(br)
		c.Close()
	})
	_, err := NewPool(dialect{}).Send(context.Background(), s, request("1", ""))
	var failure *Error
	is.True(errors.As(err, &failure))
	is.True(failure.Sent)
}

// Bytes that come while no request is under way belong to no answer: the
// connection is not used again.
func TestAConnectionWithStrayBytesIsNotUsedAgain(t *testing.T) {
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

// A server that answers before it has read a long body must not get other bytes
// where the rest of the body is due.
func TestAnEarlyAnswerEndsTheConnection(t *testing.T) {
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
		a, err := p.Send(context.Background(), s, request("1", long))
		is.NoErr(err)
		is.Equal(a.Status, http.StatusRequestEntityTooLarge)
		a.Release()
	}
	is.Equal(conns.Load(), int32(2))
}

func TestConnectionsToAServerAreBounded(t *testing.T) {
	is := is.New(t)
	s, _ := listen(t, echo)
	p := NewPool(dialect{})
	out := request("1", "")
	out.MaxConns = 1
	a, err := p.Send(context.Background(), s, out)
	is.NoErr(err)
	_, err = p.Send(context.Background(), s, out)
	is.True(errors.Is(err, ErrTooManyConns))
	a.Abort()
	_, err = exchange(p, s, out)
	is.NoErr(err)
}

func TestTheEndOfTheContextResetsTheConnection(t *testing.T) {
	is := is.New(t)
	gone := make(chan struct{})
	s, _ := listen(t, func(c net.Conn, br *bufio.Reader) {
		if _, err := http.ReadRequest(br); err != nil {
			return
		}
		// Ends when the other side resets the connection.
		_, _ = br.ReadByte()
		close(gone)
	})
	ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	_, err := NewPool(dialect{}).Send(ctx, s, request("1", ""))
	is.True(err != nil)
	<-gone
}
