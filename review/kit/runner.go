package kit

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"
)

// Beat is the interval at which a runner writes its entry.
const Beat = 1200 * time.Millisecond

// Conn is a channel to a runner on which a request has arrived. The head of the
// request has been read, its body has not.
type Conn struct {
	net.Conn
	R      *bufio.Reader
	Runner *Runner
}

// Runner is a stand-in of one incarnation of a backend server. Serve handles one
// request and returns whether the channel is kept.
type Runner struct {
	ID      string
	Zone    string
	Service string
	Addr    string
	Born    int64
	Serve   func(c *Conn, req *http.Request) (keep bool)

	site     *Site
	listener net.Listener
	stop     chan struct{}
	mu       sync.Mutex
	state    string
	conns    map[net.Conn]bool
	sequence int
}

// StartRunner starts runner n of a service on a free port and registers it.
func (s *Site) StartRunner(n int, service string, serve func(c *Conn, req *http.Request) bool) (*Runner, error) {
	l, err := net.Listen("tcp4", s.IP(100+n)+":0")
	if err != nil {
		return nil, err
	}
	r := &Runner{
		ID: fmt.Sprintf("i-%s%d", service, n), Zone: Zone(n), Service: service, Addr: l.Addr().String(), Born: time.Now().UnixMilli(), Serve: serve,
		site: s, listener: l, stop: make(chan struct{}), state: "ready", conns: make(map[net.Conn]bool),
	}
	go r.accept()
	go r.beat()
	return r, nil
}

// SetState changes the state that the runner reports and writes its entry.
func (r *Runner) SetState(state string) {
	r.mu.Lock()
	r.state = state
	r.mu.Unlock()
	r.register()
}

// Crash ends the runner: its listener and channels are closed, and its entry stays.
func (r *Runner) Crash() {
	close(r.stop)
	r.listener.Close()
	r.mu.Lock()
	defer r.mu.Unlock()
	for c := range r.conns {
		c.Close()
	}
}

func (r *Runner) register() {
	r.mu.Lock()
	r.sequence++
	entry := map[string]any{
		"service": r.Service, "address": r.Addr, "zone": r.Zone, "version": "v1", "slots": 64, "state": r.state,
		"coldRemainingMs": 0, "sequence": r.sequence, "born": r.Born,
	}
	r.mu.Unlock()
	r.site.Store.Put("servers/"+r.ID, entry)
}

func (r *Runner) beat() {
	t := time.NewTicker(Beat)
	defer t.Stop()
	for {
		r.register()
		select {
		case <-r.stop:
			return
		case <-t.C:
		}
	}
}

func (r *Runner) accept() {
	for {
		c, err := r.listener.Accept()
		if err != nil {
			return
		}
		r.mu.Lock()
		r.conns[c] = true
		r.mu.Unlock()
		go r.serveConn(c)
	}
}

func (r *Runner) serveConn(c net.Conn) {
	defer func() {
		r.mu.Lock()
		delete(r.conns, c)
		r.mu.Unlock()
		c.Close()
	}()
	conn := &Conn{Conn: c, R: bufio.NewReaderSize(c, 4<<10), Runner: r}
	for {
		req, err := http.ReadRequest(conn.R)
		if err != nil {
			return
		}
		if expected := req.Header.Get("Cassialatch-Expected-Instance"); expected != "" && expected != r.ID {
			_, _ = fmt.Fprintf(c, "HTTP/1.1 421 Misdirected Request\r\nCassialatch-Attempt-Id: %s\r\nCassialatch-Instance-Id: %s\r\nContent-Length: 0\r\n\r\n",
				req.Header.Get("Cassialatch-Attempt-Id"), r.ID)
			return
		}
		if req.URL.Path == "/kv-list" {
			const list = `{"epoch":1,"nextToken":1,"held":[]}`
			_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", len(list), list)
			continue
		}
		if !r.Serve(conn, req) {
			return
		}
	}
}

// Head returns the head of a signed response.
func (r *Runner) Head(req *http.Request, status int, more string) string {
	id := req.Header.Get("Cassialatch-Attempt-Id")
	return fmt.Sprintf("HTTP/1.1 %d %s\r\nCassialatch-Attempt-Id: %s\r\nCassialatch-Response-Signature: %s.%s\r\nKeep-Alive: timeout=10\r\n%s\r\n",
		status, http.StatusText(status), id, r.ID, id, more)
}
