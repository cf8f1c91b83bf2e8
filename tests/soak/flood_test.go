package soak

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"cassialatch.dev/standin/metastore"
	"cassialatch.dev/standin/runner"
)

const (
	floodMemoryMB = 184 // of the daemon
	floodCallers  = 1200
	floodSize     = 250 << 10 // of what a server sends at once
	floodPause    = 300 * time.Millisecond
	floodDeadline = 6 * time.Second
)

// floods are what servers send without end after the empty line, if any, of a head that
// names the request: start, and then drip again and again.
var floods = map[string]struct{ head, start, drip string }{
	"body":         {"HTTP/1.1 200 OK\r\n%sContent-Length: 1000000\r\n\r\n", strings.Repeat("x", floodSize), "x"},
	"error":        {"HTTP/1.1 500 Broken\r\n%sContent-Length: 1000000\r\n\r\n", strings.Repeat("x", floodSize), "x"},
	"open-body":    {"HTTP/1.1 200 OK\r\n%s\r\n", strings.Repeat("x", floodSize), "x"},
	"fast-body":    {"HTTP/1.1 200 OK\r\n%s\r\n", strings.Repeat("x", floodSize), strings.Repeat("x", floodSize)},
	"chunks":       {"HTTP/1.1 200 OK\r\n%sTransfer-Encoding: chunked\r\n\r\n", strings.Repeat("1\r\nx\r\n", floodSize/6), "1\r\nx\r\n"},
	"trailers":     {"HTTP/1.1 200 OK\r\n%sTransfer-Encoding: chunked\r\n\r\n0\r\n", headerLines(60 << 10), "x"},
	"head":         {"HTTP/1.1 200 OK\r\n%s", headerLines(60 << 10), "x"},
	"long-line":    {"HTTP/1.1 200 OK\r\n%sx: ", strings.Repeat("x", 60<<10), "x"},
	"interim-head": {"HTTP/1.1 100 Continue\r\n%s", headerLines(60 << 10), "x"},
	"interim":      {"", strings.Repeat("HTTP/1.1 102 Processing\r\n\r\n", 2000), "x"},
	"event":        {"HTTP/1.1 200 OK\r\n%s\r\n", "data: " + strings.Repeat("x", floodSize), "x"},
	"events":       {"HTTP/1.1 200 OK\r\n%s\r\n", strings.Repeat("data: x\n\n", floodSize/9), "data: x\n\n"},
	"refusal":      {"HTTP/1.1 503 Full\r\n%sCassialatch-Not-Executed: 1\r\n\r\n", strings.Repeat("x", floodSize), "x"},
	"busy":         {"HTTP/1.1 503 Full\r\n%s\r\n", strings.Repeat("x", floodSize), "x"},
}

// headerLines returns many short lines of a head, no two of one name.
func headerLines(size int) string {
	var b strings.Builder
	for n := 0; b.Len() < size; n++ {
		fmt.Fprintf(&b, "%x:\r\n", n)
	}
	return b.String()
}

// floodServer is a backend server that answers each request as the last part of its path
// says.
type floodServer struct {
	net.Listener
	ran sync.Map // IDs of the requests that were run
}

func (s *floodServer) run() {
	for {
		c, err := s.Accept()
		if err != nil {
			return
		}
		go s.serve(c)
	}
}

// serve reads a request and writes until the gateway closes the connection.
func (s *floodServer) serve(c net.Conn) {
	defer c.Close()
	req, err := http.ReadRequest(bufio.NewReader(c))
	if err != nil {
		return
	}
	if req.URL.Path == "/kv-list" {
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 11\r\n\r\n{\"held\":[]}")
		return
	}
	name := req.URL.Path[strings.LastIndex(req.URL.Path, "/")+1:]
	id := req.Header.Get("Cassialatch-Attempt-Id")
	if name != "refusal" {
		s.ran.Store(id, true)
	}
	f := floods[name]
	head := strings.Replace(f.head, "%s", fmt.Sprintf("Cassialatch-Attempt-Id: %s\r\nCassialatch-Response-Signature: x.%s\r\n", id, id), 1)
	_, err = io.WriteString(c, head+f.start)
	for err == nil {
		if len(f.drip) < floodSize {
			time.Sleep(floodPause)
		}
		_, err = io.WriteString(c, f.drip)
	}
}

// floodFleet is one daemon before servers that send without end, and a sound one of
// another service.
type floodFleet struct {
	*daemon
	server *floodServer
}

func newFloodFleet(t *testing.T, slot int) *floodFleet {
	store := metastore.New()
	front := httptest.NewServer(store)
	t.Cleanup(func() {
		front.CloseClientConnections()
		front.Close()
	})
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	f := &floodFleet{server: &floodServer{Listener: l}}
	go f.server.run()
	plain := httptest.NewServer(&runner.Runner{ID: "i-plain", Ledger: runner.NewLedger()})
	t.Cleanup(plain.Close)
	register := func(id, service, address string) {
		store.Put("servers/"+id, fmt.Appendf(nil, `{"service":%q,"address":%q,"zone":"a","slots":2000,"state":"ready","born":1,"sequence":1}`, service, address))
	}
	register("i-flood", "flood", l.Addr().String())
	register("i-plain", "plain", strings.TrimPrefix(plain.URL, "http://"))
	route := func(name, kind, service string) string {
		return fmt.Sprintf(`{"name":%q,"host":"soak.example","pathPrefix":"/%s/","type":%q,"timeoutMs":%d,"service":%q,"maxAttempts":1,"resumable":true}`,
			name, name, kind, floodDeadline.Milliseconds(), service)
	}
	store.Put("op/config", fmt.Appendf(nil, `{"version":1,"routes":[%s,%s,%s,%s],"services":[{"name":"flood","maxConns":5000},{"name":"plain","maxConns":200}],
		"limits":{"maxBodyBytes":65536,"idleTimeoutMs":15000},"tenants":[{"name":"w","apiKeys":["key-0"]}]}`,
		route("unsafe", "unsafe", "flood"), route("safe", "safe", "flood"), route("stream", "streaming", "flood"), route("plain", "safe", "plain")))
	dir := logDir(t)
	f.daemon = newDaemon(t, dir, daemonIP(slot, 0), 0, newProxy(t, strings.TrimPrefix(front.URL, "http://")), slot, 4*time.Second, floodMemoryMB)
	f.disturbances = new(disturbances)
	go f.supervise(binary)
	if !(&fleet{daemons: []*daemon{f.daemon}}).awaitReady(20 * time.Second) {
		t.Fatal("the daemon did not become ready")
	}
	return f
}

// call sends a request on a connection of its own. It returns the response, whose body has
// not been read.
func (f *floodFleet) call(ctx context.Context, path, id string) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+f.frontend()+path, strings.NewReader("body"))
	if err != nil {
		return nil, err
	}
	req.Host, req.Close = "soak.example", true
	req.Header.Set("Cassialatch-Attempt-Id", id)
	req.Header.Set("Cassialatch-Deadline-Ms", fmt.Sprint(floodDeadline.Milliseconds()))
	req.Header.Set("Authorization", "Bearer key-0")
	return (&http.Transport{DisableKeepAlives: true}).RoundTrip(req)
}

// process returns the ID of the daemon's process and its peak resident memory, in bytes.
func (f *floodFleet) process(t *testing.T) (pid int, peak int64) {
	f.mu.Lock()
	pid = f.cmd.Process.Pid
	f.mu.Unlock()
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		t.Fatal(err)
	}
	for line := range strings.Lines(string(status)) {
		if _, err := fmt.Sscanf(line, "VmHWM: %d kB", &peak); err == nil {
			return pid, peak << 10
		}
	}
	t.Fatal("no VmHWM in the status of the process")
	return 0, 0
}

// Load pattern: 1,200 callers at once, of whom half do not read, get responses that never
// end, each part of which may be the one without an end, sent at once or a byte now and
// then. Guards against a process that needs more memory than its VM has and is ended, with
// the requests of everyone; against refusing other services meanwhile; and against reporting
// what has run as not run.
func TestSoak_FloodsStayWithinMemory(t *testing.T) {
	const firstSlot = 180 // above those of the other soaks
	slot := firstSlot
	all := []string{"all"}
	for name := range floods {
		all = append(all, name)
	}
	if !*floodEach {
		all = all[:1]
	}
	for _, name := range all {
		slot++
		t.Run(name, func(t *testing.T) { floodWith(t, slot, name) })
	}
}

// floodWith lets servers answer with one flood, or with all of them in turn.
func floodWith(t *testing.T, slot int, name string) {
	is := is.New(t)
	f := newFloodFleet(t, slot)
	pid, before := f.process(t)
	var names []string
	for n := range floods {
		if name == "all" || name == n {
			names = append(names, n)
		}
	}
	ctx, cancel := context.WithTimeout(t.Context(), 3*floodDeadline)
	defer cancel()
	var wg sync.WaitGroup
	var wrong atomic.Int32
	for n := range floodCallers {
		wg.Go(func() {
			route := []string{"unsafe", "safe", "stream"}[n%3]
			id := fmt.Sprint("flood-", n)
			resp, err := f.call(ctx, fmt.Sprintf("/%s/%s", route, names[n/6%len(names)]), id)
			if err != nil {
				return
			}
			defer resp.Body.Close()
			if _, ran := f.server.ran.Load(id); ran && resp.StatusCode == http.StatusServiceUnavailable {
				wrong.Add(1)
			}
			if n/3%2 == 0 {
				time.Sleep(floodDeadline + time.Second) // does not read
				return
			}
			_, _ = io.Copy(io.Discard, resp.Body) // broken off, as none ends
		})
	}
	served := f.callPlain(ctx, floodDeadline-time.Second)
	wg.Wait()
	after, peak := f.process(t)
	t.Logf("%s: peak %d MB, before %d MB, %d plain requests", name, peak>>20, before>>20, served)
	is.Equal(after, pid)               // the process has not ended
	is.True(peak <= floodMemoryMB<<20) // its VM has no more
	is.True(served > 0)                // callPlain has returned early otherwise
	is.Equal(wrong.Load(), int32(0))   // "not run" is true
	// The time of the floods may be over on a busy machine.
	last, cancelLast := context.WithTimeout(t.Context(), 3*floodDeadline)
	defer cancelLast()
	is.True(f.callPlain(last, time.Second) > 0)
}

// callPlain sends requests to the sound service for a while. It returns how many were
// served, and 0 if any was not.
func (f *floodFleet) callPlain(ctx context.Context, length time.Duration) int {
	end := time.Now().Add(length)
	n := 0
	for ; time.Now().Before(end); n++ {
		resp, err := f.call(ctx, "/plain/x", fmt.Sprint("plain-", n))
		if err != nil {
			return 0
		}
		body, err := io.ReadAll(resp.Body)
		resp.Body.Close()
		if err != nil || resp.StatusCode != http.StatusOK || string(body) != runner.Body(fmt.Sprint("plain-", n)) {
			return 0
		}
		time.Sleep(10 * time.Millisecond)
	}
	return n
}
