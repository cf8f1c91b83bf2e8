package ingress

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
)

// gatedListener accepts connections whose next read can be held back after it
// has taken bytes from the network.
type gatedListener struct {
	net.Listener
	armed   atomic.Bool
	read    chan struct{} // receives a value once a read is held back
	release chan struct{} // closed to let it return
}

func (l *gatedListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &gatedConn{Conn: c, l: l}, nil
}

type gatedConn struct {
	net.Conn
	l *gatedListener
}

func (c *gatedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 && c.l.armed.CompareAndSwap(true, false) {
		c.l.read <- struct{}{}
		<-c.l.release
	}
	return n, err
}

// startServer serves the handler on a loopback address until the test ends.
func startServer(t *testing.T, h http.HandlerFunc) (*Server, *gatedListener) {
	inner, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	l := &gatedListener{Listener: inner, read: make(chan struct{}), release: make(chan struct{})}
	s := NewServer(h)
	var wg sync.WaitGroup
	wg.Go(func() { _ = s.Serve(l) })
	t.Cleanup(func() {
		s.Stop(0)
		wg.Wait()
	})
	return s, l
}

// keptConn is a caller's connection that is used for several requests.
type keptConn struct {
	net.Conn
	br *bufio.Reader
}

func dialKept(t *testing.T, address string) *keptConn {
	c, err := net.Dial("tcp4", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	return &keptConn{Conn: c, br: bufio.NewReader(c)}
}

// do sends a request and reads the response. It returns the status, or an error
// if the connection ends without a complete response.
func (c *keptConn) do() (int, error) {
	if err := c.send(); err != nil {
		return 0, err
	}
	return c.receive()
}

func (c *keptConn) send() error {
	_, err := io.WriteString(c, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	return err
}

func (c *keptConn) receive() (int, error) {
	resp, err := http.ReadResponse(c.br, nil)
	if err != nil {
		return 0, err
	}
	_, err = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode, err
}

// awaitClose calls CloseIdle until the connection ends, and returns the error of
// reading from it. One call is not enough: net/http resets the read deadline just
// after it has reported a connection as idle.
func (c *keptConn) awaitClose(s *Server) error {
	ended := make(chan error, 1)
	go func() {
		_, err := c.br.ReadByte()
		ended <- err
	}()
	for {
		select {
		case err := <-ended:
			return err
		default:
			s.CloseIdle(time.Nanosecond)
			time.Sleep(time.Millisecond)
		}
	}
}

// waitIdle returns once the server has no request in flight.
func waitIdle(s *Server) {
	for s.Active() > 0 {
		time.Sleep(time.Millisecond)
	}
}

// Guards against the loss of a request that the daemon has read from a kept
// connection, at the moment at which the connection's idle timeout ends.
func TestCloseIdle_ServesRequestThatWasJustRead(t *testing.T) {
	is := is.New(t)
	s, l := startServer(t, func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	c := dialKept(t, l.Addr().String())
	status, err := c.do()
	is.NoErr(err)
	is.Equal(status, http.StatusOK)
	waitIdle(s)

	l.armed.Store(true)
	is.NoErr(c.send())
	<-l.read
	s.CloseIdle(time.Nanosecond)
	close(l.release)
	status, err = c.receive()
	is.NoErr(err) // the request was read, so it must be answered
	is.Equal(status, http.StatusOK)
}

// Guards against the loss of requests that arrive on kept connections while
// expired ones are being closed: those that a handler has started must end with
// a response.
func TestCloseIdle_AnswersEachRequestItHandles(t *testing.T) {
	is := is.New(t)
	var handled, answered atomic.Int64
	s, l := startServer(t, func(w http.ResponseWriter, r *http.Request) {
		handled.Add(1)
		w.WriteHeader(http.StatusOK)
	})
	const callers, requests = 16, 200
	var wg sync.WaitGroup
	for range callers {
		wg.Go(func() {
			c := dialKept(t, l.Addr().String())
			for range requests {
				if status, err := c.do(); err == nil && status == http.StatusOK {
					answered.Add(1)
					continue
				}
				c.Close()
				c = dialKept(t, l.Addr().String())
			}
		})
	}
	done := make(chan struct{})
	go func() {
		wg.Wait()
		close(done)
	}()
	for {
		s.CloseIdle(time.Nanosecond)
		select {
		case <-done:
			is.Equal(answered.Load(), handled.Load()) // requests handled without a response to their caller
			return
		default:
		}
	}
}

// Guards against connections that are closed under callers which still rely on
// the idle timeout of the previous configuration.
func TestCloseIdle_LoweredLimitAppliesFromTheNextRequest(t *testing.T) {
	is := is.New(t)
	s, l := startServer(t, func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	is.Equal(s.CloseIdle(time.Hour), 0)
	c := dialKept(t, l.Addr().String())
	_, err := c.do()
	is.NoErr(err)
	waitIdle(s)
	is.Equal(s.CloseIdle(time.Nanosecond), 0)
	_, err = c.do()
	is.NoErr(err)
	waitIdle(s)
	is.Equal(s.CloseIdle(time.Nanosecond), 1)
	is.Equal(c.awaitClose(s), io.EOF)
}

// Guards against requests that are in flight at the end of a drain and whose
// connections are closed without a response.
func TestStop_RequestsInFlightGetResponse(t *testing.T) {
	is := is.New(t)
	started := make(chan struct{})
	s, l := startServer(t, func(w http.ResponseWriter, r *http.Request) {
		close(started)
		<-r.Context().Done()
		if errors.Is(context.Cause(r.Context()), ErrStopped) {
			w.WriteHeader(http.StatusBadGateway)
		}
	})
	c := dialKept(t, l.Addr().String())
	is.NoErr(c.send())
	<-started
	s.Stop(time.Minute)
	status, err := c.receive()
	is.NoErr(err)
	is.Equal(status, http.StatusBadGateway)
}

// Guards against a request that is read while the server is stopped and whose
// connection is closed as idle.
func TestStop_ServesRequestThatWasJustRead(t *testing.T) {
	is := is.New(t)
	s, l := startServer(t, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Connection", "close")
		w.WriteHeader(http.StatusServiceUnavailable)
	})
	c := dialKept(t, l.Addr().String())
	l.armed.Store(true)
	is.NoErr(c.send())
	<-l.read
	stopped := make(chan struct{})
	go func() {
		s.Stop(time.Minute)
		close(stopped)
	}()
	for !s.isStopping() {
		time.Sleep(time.Millisecond)
	}
	close(l.release)
	status, err := c.receive()
	is.NoErr(err)
	is.Equal(status, http.StatusServiceUnavailable)
	<-stopped
}

// isStopping reports whether Stop has closed the listener and the idle connections.
func (s *Server) isStopping() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.stopping
}

// deadlineListener accepts connections and calls its hooks, once, when net/http
// removes a read deadline.
type deadlineListener struct {
	net.Listener
	armed         atomic.Bool
	before, after func()
}

func (l *deadlineListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &deadlineConn{Conn: c, l: l}, nil
}

type deadlineConn struct {
	net.Conn
	l *deadlineListener
}

func (c *deadlineConn) SetReadDeadline(d time.Time) error {
	if !d.IsZero() || !c.l.armed.CompareAndSwap(true, false) {
		return c.Conn.SetReadDeadline(d)
	}
	c.l.before()
	defer c.l.after()
	return c.Conn.SetReadDeadline(d)
}

// Guards against a body that can't be read since the connection expired just
// after the head of its request was read.
func TestCloseIdle_ReadsBodyOfRequestThatWasJustRead(t *testing.T) {
	is := is.New(t)
	inner, err := net.Listen("tcp4", "127.0.0.1:0")
	is.NoErr(err)
	l := &deadlineListener{Listener: inner, before: func() {}}
	s := NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			w.WriteHeader(http.StatusBadRequest)
		}
	}))
	expired := make(chan int, 1)
	l.after = func() { expired <- s.CloseIdle(time.Nanosecond) }
	l.armed.Store(true)
	var wg sync.WaitGroup
	wg.Go(func() { _ = s.Serve(l) })
	t.Cleanup(func() {
		s.Stop(0)
		wg.Wait()
	})
	c := dialKept(t, inner.Addr().String())
	_, err = io.WriteString(c, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nbo")
	is.NoErr(err)
	is.Equal(<-expired, 1) // between the head and the handler
	_, err = io.WriteString(c, "dy")
	is.NoErr(err)
	status, err := c.receive()
	is.NoErr(err)
	is.Equal(status, http.StatusOK)
}

// Guards against an idle connection that stays open until the timeout of Stop,
// since net/http has removed the read deadline that ends it.
func TestStop_ClosesConnectionThatHasJustBecomeIdle(t *testing.T) {
	is := is.New(t)
	inner, err := net.Listen("tcp4", "127.0.0.1:0")
	is.NoErr(err)
	l := &deadlineListener{Listener: inner, after: func() {}}
	s := NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		l.armed.Store(true) // for the deadline that is removed after the response
		w.WriteHeader(http.StatusOK)
	}))
	var wg sync.WaitGroup
	l.before = func() {
		if s.Active() > 0 { // net/http removes a deadline also at the end of the handler
			l.armed.Store(true)
			return
		}
		wg.Go(func() { s.Stop(time.Minute) })
		for !s.isStopping() {
			time.Sleep(time.Millisecond)
		}
	}
	wg.Go(func() { _ = s.Serve(l) })
	c := dialKept(t, inner.Addr().String())
	_, err = c.do()
	is.NoErr(err)
	ended := make(chan error, 1)
	go func() {
		_, err := c.br.ReadByte()
		ended <- err
	}()
	select {
	case err := <-ended:
		is.Equal(err, io.EOF)
	case <-time.After(20 * time.Second): // only ends a hang
		t.Error("the connection is not closed")
	}
	s.http.Close()
	wg.Wait()
}
