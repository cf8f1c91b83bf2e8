package kit

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Request is a request as a backend server has received it.
type Request struct {
	Method string
	Target string // as on the wire
	Header []string
	Body   []byte
}

// Get returns the first value of a header; empty if there is none.
func (r *Request) Get(name string) string {
	for _, line := range r.Header {
		n, v, _ := strings.Cut(line, ":")
		if strings.EqualFold(n, name) {
			return strings.TrimSpace(v)
		}
	}
	return ""
}

// Run is a request that a server has begun to work on.
type Run struct {
	Request
	ID     string // of the request
	Server string
	At     time.Time
}

// Ledger records the runs at all servers of a fleet. It is safe for concurrent use.
type Ledger struct {
	mu   sync.Mutex
	runs map[string][]Run // by ID of the request
}

// Add records a run.
func (l *Ledger) Add(r Run) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.runs == nil {
		l.runs = make(map[string][]Run)
	}
	l.runs[r.ID] = append(l.runs[r.ID], r)
}

// Of returns the runs of a request.
func (l *Ledger) Of(id string) []Run {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.runs[id]
}

// Server is a backend server that keeps channels open.
type Server struct {
	ID, Service, Addr string
	Born              int64
	Slots             int // as registered
	Ledger            *Ledger
	// Work is called for each run. It writes the response to w and returns whether the
	// channel stays open. If it is nil, Respond is used.
	Work func(s *Server, w net.Conn, r *Request, id string) bool

	l     net.Listener
	store *Store
	stop  chan struct{}
	left  chan struct{} // closed when the entry is removed
	leave sync.Once

	mu    sync.Mutex
	conns map[net.Conn]bool
}

// CloseConns resets all connections of the server.
func (s *Server) CloseConns() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		_ = c.(*net.TCPConn).SetLinger(0)
		c.Close()
	}
}

// track adds a connection to those that CloseConns resets, or removes it.
func (s *Server) track(c net.Conn, open bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if open {
		s.conns[c] = true
		return
	}
	delete(s.conns, c)
}

// bornAt is the start of the first server; each further one starts a millisecond later.
var bornAt = time.Now().UnixMilli()

// AddServer starts a server of a service and registers it in the store.
func (f *Fleet) AddServer(id, service string, ledger *Ledger) (*Server, error) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &Server{ID: id, Service: service, Addr: l.Addr().String(), Born: bornAt + int64(len(f.Servers)), Slots: 16, Ledger: ledger, l: l, store: f.Store, stop: make(chan struct{}), left: make(chan struct{}), conns: make(map[net.Conn]bool)}
	f.Servers = append(f.Servers, s)
	go s.serve()
	s.Register()
	go s.heartbeat()
	return s, nil
}

// Register writes the server's entry.
func (s *Server) Register() {
	s.store.PutJSON("servers/"+s.ID, map[string]any{
		"service": s.Service, "address": s.Addr, "zone": "sala-tintes", "version": "v1", "slots": s.Slots, "state": "ready",
		"coldRemainingMs": 0, "sequence": time.Now().UnixMilli() - bornAt, "born": s.Born,
	})
}

// heartbeat registers the server again every 1.2 s.
func (s *Server) heartbeat() {
	t := time.NewTicker(1200 * time.Millisecond)
	defer t.Stop()
	for {
		select {
		case <-s.stop:
			return
		case <-s.left:
			return
		case <-t.C:
			s.Register()
		}
	}
}

// Leave removes the server's entry and returns when that was acknowledged. The server goes on
// serving. It never reports that it drains, as the page allows.
func (s *Server) Leave() time.Time {
	s.leave.Do(func() { close(s.left) })
	return s.store.Delete("servers/" + s.ID)
}

// Close stops the server.
func (s *Server) Close() {
	select {
	case <-s.stop:
	default:
		close(s.stop)
		s.l.Close()
	}
}

func (s *Server) serve() {
	for {
		c, err := s.l.Accept()
		if err != nil {
			return
		}
		go s.serveConn(c)
	}
}

func (s *Server) serveConn(c net.Conn) {
	defer c.Close()
	s.track(c, true)
	defer s.track(c, false)
	br := bufio.NewReader(c)
	for {
		r, err := readRequest(br)
		if err != nil {
			return
		}
		id := r.Get("Cassialatch-Attempt-Id")
		switch expected := r.Get("Cassialatch-Expected-Instance"); {
		case expected != "" && expected != s.ID:
			fmt.Fprintf(c, "HTTP/1.1 421 Misdirected Request\r\nCassialatch-Attempt-Id: %s\r\nCassialatch-Instance-Id: %s\r\nContent-Length: 0\r\n\r\n", id, s.ID)
			continue
		case r.Target == "/kv-list":
			io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: 36\r\n\r\n{\"epoch\":1,\"nextToken\":1,\"held\":[]}\n")
			continue
		case r.Target == "/healthz":
			fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nCassialatch-Instance-Id: %s\r\nContent-Length: 0\r\n\r\n", s.ID)
			continue
		}
		s.Ledger.Add(Run{Request: *r, ID: id, Server: s.ID, At: time.Now()})
		work := s.Work
		if work == nil {
			work = func(s *Server, w net.Conn, r *Request, id string) bool { return s.Respond(w, r, id) }
		}
		if !work(s, c, r, id) {
			return
		}
	}
}

// Respond writes an ordinary signed response.
func (s *Server) Respond(w net.Conn, r *Request, id string) bool {
	body := Body(id)
	_, err := fmt.Fprintf(w, "HTTP/1.1 200 OK\r\nCassialatch-Attempt-Id: %s\r\nCassialatch-Response-Signature: %s.%s\r\nKeep-Alive: timeout=10\r\nContent-Type: text/plain\r\nContent-Length: %d\r\n\r\n%s", id, s.ID, id, len(body), body)
	return err == nil
}

// readRequest reads a request with a length or in chunks.
func readRequest(br *bufio.Reader) (*Request, error) {
	line, err := readLine(br)
	if err != nil {
		return nil, err
	}
	// The target is what stands between the method and the protocol.
	method, rest, ok := strings.Cut(line, " ")
	i := strings.LastIndex(rest, " ")
	if !ok || i < 0 {
		return nil, fmt.Errorf("malformed request line %q", line)
	}
	r := &Request{Method: method, Target: rest[:i]}
	for {
		line, err := readLine(br)
		if err != nil {
			return nil, err
		}
		if line == "" {
			break
		}
		r.Header = append(r.Header, line)
	}
	if strings.EqualFold(r.Get("Transfer-Encoding"), "chunked") {
		return r, r.readChunks(br)
	}
	n, _ := strconv.Atoi(r.Get("Content-Length"))
	r.Body = make([]byte, n)
	_, err = io.ReadFull(br, r.Body)
	return r, err
}

func (r *Request) readChunks(br *bufio.Reader) error {
	for {
		line, err := readLine(br)
		if err != nil {
			return err
		}
		n, err := strconv.ParseInt(strings.TrimSpace(strings.Split(line, ";")[0]), 16, 32)
		if err != nil {
			return err
		}
		chunk := make([]byte, n)
		if _, err := io.ReadFull(br, chunk); err != nil {
			return err
		}
		r.Body = append(r.Body, chunk...)
		if _, err := readLine(br); err != nil || n == 0 {
			return err
		}
	}
}

func readLine(br *bufio.Reader) (string, error) {
	line, err := br.ReadString('\n')
	return strings.TrimRight(line, "\r\n"), err
}
