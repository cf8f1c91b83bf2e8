package soak

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

// callerConn is a caller's connection to a daemon. Its Read returns ECONNRESET instead
// of io.EOF if the daemon had closed the connection before the last bytes written
// reached it: its kernel then rejects them with a reset. Nothing is written once Read
// has returned io.EOF.
type callerConn struct {
	*net.TCPConn
	mu     sync.Mutex
	closed bool // by the daemon, as Read has found out
}

func dialCaller(ctx context.Context, network, address string) (net.Conn, error) {
	var d net.Dialer
	conn, err := d.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return &callerConn{TCPConn: conn.(*net.TCPConn)}, nil
}

// Read implements io.Reader.
func (c *callerConn) Read(b []byte) (int, error) {
	n, err := c.TCPConn.Read(b)
	if err != io.EOF || n > 0 {
		return n, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	if !c.delivered() {
		return 0, syscall.ECONNRESET
	}
	return 0, io.EOF
}

// Write implements io.Writer.
func (c *callerConn) Write(b []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return 0, syscall.EPIPE
	}
	return c.TCPConn.Write(b)
}

// delivered reports whether the daemon's kernel has accepted all that was written. It
// waits until this is decided.
func (c *callerConn) delivered() bool {
	raw, err := c.SyscallConn()
	if err != nil {
		return true
	}
	for {
		var info *unix.TCPInfo
		var infoErr error
		err := raw.Control(func(fd uintptr) { info, infoErr = unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO) })
		if err != nil || infoErr != nil {
			return true // closed by the caller itself
		}
		if info.Notsent_bytes == 0 && info.Bytes_acked+info.Bytes_retrans >= info.Bytes_sent {
			return true
		}
		if info.Notsent_bytes == 0 && info.Unacked == 0 {
			return false // a reset has emptied the queue
		}
		time.Sleep(time.Millisecond)
	}
}

// unread reports whether an error shows that the daemon closed the connection
// without having read the request.
func unread(err error) bool {
	return errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE) || errors.Is(err, errNotWritten)
}

// closingServer closes each connection while the next request on it may be in transit,
// and loses the responses to requests for /lose.
type closingServer struct {
	net.Listener
	read sync.Map // IDs of the requests that were read
}

func (s *closingServer) run() {
	for {
		c, err := s.Accept()
		if err != nil {
			return
		}
		go s.serve(c)
	}
}

func (s *closingServer) serve(c net.Conn) {
	defer c.Close()
	br := bufio.NewReader(c)
	for {
		req, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, req.Body); err != nil {
			return
		}
		s.read.Store(req.Header.Get("Id"), true)
		if req.URL.Path == "/lose" {
			return
		}
		fmt.Fprint(c, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
		idle := time.Duration(rand.IntN(2000)) * time.Microsecond
		if c.SetReadDeadline(time.Now().Add(idle)) != nil {
			return
		}
	}
}

// send sends a request and checks what an error says of it.
func (s *closingServer) send(t *testing.T, transport *http.Transport, path, id string) {
	req, err := http.NewRequest(http.MethodPost, "http://"+s.Addr().String()+path, strings.NewReader("body"))
	if err != nil {
		t.Error(err)
		return
	}
	req.Header.Set("Id", id)
	ctx, written := traceWrite(t.Context())
	resp, err := transport.RoundTrip(req.WithContext(ctx))
	if err == nil {
		resp.Body.Close()
		return
	}
	err = written.explain(err)
	_, read := s.read.Load(id)
	if !unread(err) && !read {
		t.Errorf("request %s was not read, but its error does not say so: %v", id, err)
	}
	if unread(err) && read {
		t.Errorf("request %s was read, but its error says the opposite: %v", id, err)
	}
}

// Guards against the report of a request as lost that crossed the close of an idle
// connection, and against an excuse for one that the server had read.
func TestCallerConn_TellsUnreadRequests(t *testing.T) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	s := &closingServer{Listener: l}
	go s.run()
	var wg sync.WaitGroup
	for g := range 64 {
		wg.Go(func() {
			transport := &http.Transport{DialContext: dialCaller}
			defer transport.CloseIdleConnections()
			for n := range 1000 {
				path := []string{"/x", "/x", "/x", "/lose"}[n%4]
				s.send(t, transport, path, fmt.Sprint(g, "-", n))
				time.Sleep(time.Duration(rand.IntN(2000)) * time.Microsecond)
			}
		})
	}
	wg.Wait()
}
