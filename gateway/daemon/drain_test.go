package daemon

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// shortGrace is a grace period that leaves little time for requests in flight.
const shortGrace = closeMargin + 100*time.Millisecond

// startServer starts a server that reads one request, writes the response and
// keeps the connection open. It sends on received when it has done so.
func startServer(t *testing.T, response string) (address string, received <-chan struct{}) {
	l := listen(t)
	done := make(chan struct{}, 1)
	go func() {
		c, err := l.Accept()
		if err != nil {
			return
		}
		defer c.Close()
		br := bufio.NewReader(c)
		if _, err := http.ReadRequest(br); err != nil {
			return
		}
		if _, err := io.WriteString(c, response); err != nil {
			return
		}
		done <- struct{}{}
		// The read ends when the daemon resets the connection.
		_, _ = br.ReadByte()
	}()
	return l.Addr().String(), done
}

// exchange sends a request for the path to the frontend and returns the response, its body,
// and the error from reading either.
func exchange(t *testing.T, frontend, path string) (*http.Response, string, error) {
	c, err := net.Dial("tcp4", frontend)
	if err != nil {
		t.Error(err)
		return nil, "", err
	}
	defer c.Close()
	fmt.Fprintf(c, "GET %s HTTP/1.1\r\nHost: gateway\r\n\r\n", path)
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return nil, "", err
	}
	body, err := io.ReadAll(resp.Body)
	return resp, string(body), err
}

// A request that was sent to a server and has no response yet at the end of the
// drain must get one; its connection must not be closed without a response.
func TestDrainRespondsToRequestThatServerHasNotAnswered(t *testing.T) {
	is := is.New(t)
	server, received := startServer(t, "")
	l := listen(t)
	d := newDaemon(t, shortGrace, l, server)
	var wg sync.WaitGroup
	wg.Go(func() {
		<-received
		d.drain()
	})
	resp, _, err := exchange(t, l.Addr().String(), "/unsafe/x")
	wg.Wait()
	is.NoErr(err)
	is.Equal(resp.StatusCode, http.StatusBadGateway)
}

// A stream that is still in progress at the end of the drain must be broken off,
// so that it can't be mistaken for a complete one.
func TestDrainAbortsStreamInProgress(t *testing.T) {
	is := is.New(t)
	event := "id: 1\ndata: 1\n\n"
	head := "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
	server, _ := startServer(t, fmt.Sprintf("%s%x\r\n%s\r\n", head, len(event), event))
	l := listen(t)
	d := newDaemon(t, shortGrace, l, server)
	c, err := net.Dial("tcp4", l.Addr().String())
	is.NoErr(err)
	defer c.Close()
	_, err = io.WriteString(c, "GET /stream/x HTTP/1.1\r\nHost: gateway\r\n\r\n")
	is.NoErr(err)
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	is.NoErr(err)
	first := make([]byte, len(event))
	_, err = io.ReadFull(resp.Body, first)
	is.NoErr(err)
	is.Equal(string(first), event)
	d.drain()
	_, err = io.ReadAll(resp.Body)
	is.Equal(err, io.ErrUnexpectedEOF)
}

// Guards against requests that a short grace period allows to end and that are
// broken off since a fixed time is kept back.
func TestDrainUsesMostOfShortGracePeriod(t *testing.T) {
	is := is.New(t)
	is.Equal(longestDrain(8*time.Second), 8*time.Second-closeMargin)
	is.Equal(longestDrain(3*time.Second), 2500*time.Millisecond)
}

// pipeListener accepts the server ends of in-memory connections.
type pipeListener struct {
	conns  chan net.Conn
	closed chan struct{}
	once   sync.Once
}

func (l *pipeListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *pipeListener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return nil
}

func (l *pipeListener) Addr() net.Addr { return &net.TCPAddr{} }

// A request that arrives when the drain may end at any moment must not be
// admitted: it could be cut off by the end, although the grace period has not
// passed.
func TestDrainAdmitsNoRequestAfterItsMinimum(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		l := &pipeListener{conns: make(chan net.Conn), closed: make(chan struct{})}
		d := newDaemon(t, time.Minute, l, "")
		caller, server := net.Pipe()
		l.conns <- server
		// The body is not complete, so this request is in flight.
		_, err := io.WriteString(caller, "POST /unsafe/x HTTP/1.1\r\nHost: gateway\r\nContent-Length: 2\r\n\r\n1")
		is.NoErr(err)
		var wg sync.WaitGroup
		wg.Go(d.drain)
		time.Sleep(minDrain - time.Second)
		before, _ := d.drainTimeLeft()
		time.Sleep(2 * time.Second)
		after, draining := d.drainTimeLeft()
		caller.Close()
		wg.Wait()
		is.True(before > 0)
		is.True(draining)
		is.True(after <= 0)
	})
}
