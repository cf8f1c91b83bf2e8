package ingress

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"cassialatch.dev/gateway/avoid"
	"cassialatch.dev/gateway/boottime"
	"cassialatch.dev/gateway/cacheindex"
	"cassialatch.dev/gateway/call"
	"cassialatch.dev/gateway/catalog"
	"cassialatch.dev/gateway/clientlimit"
	"cassialatch.dev/gateway/health"
	"cassialatch.dev/gateway/load"
	"cassialatch.dev/gateway/memory"
	"cassialatch.dev/gateway/placement"
	"cassialatch.dev/gateway/quarantine"
	"cassialatch.dev/gateway/retry"
	"cassialatch.dev/gateway/route"
	"cassialatch.dev/gateway/upstream"
	"cassialatch.dev/gateway/warmup"
)

// twoParts holds the prompt of requests whose Parts header does not list any IDs.
var twoParts = call.Request{Parts: []call.Part{{ID: 1, Tokens: 500}, {ID: 2, Tokens: 300}}, PromptTokens: 800}

// dialect is a minimal call.Dialect.
type dialect struct{}

func (dialect) ParseRequest(h http.Header) (call.Request, error) {
	r := call.Request{ID: h.Get("Id"), Key: h.Get("Key"), ResumeAfter: h.Get("Last-Event-Id")}
	if d, err := time.ParseDuration(h.Get("Deadline")); err == nil {
		r.Deadline = d
	}
	// The header is absent if the number of tokens is not bounded.
	_, _ = fmt.Sscan(h.Get("Max-Tokens"), &r.MaxOutputTokens)
	switch parts := h.Get("Parts"); {
	case strings.Contains(parts, ","):
		for p := range strings.SplitSeq(parts, ",") {
			var id uint64
			if _, err := fmt.Sscan(p, &id); err != nil {
				return r, err
			}
			r.Parts = append(r.Parts, call.Part{ID: id, Tokens: 100})
			r.PromptTokens += 100
		}
	case parts != "":
		r.Parts, r.PromptTokens = twoParts.Parts, twoParts.PromptTokens
	}
	return r, nil
}

func (dialect) OutboundHeader(h http.Header, a call.Attempt) http.Header {
	return http.Header{"Id": h["Id"], "Server": {a.ServerID}, "Last-Event-Id": {a.ResumeAfter}, "Workspace": {a.Workspace}, "Parts": h["Parts"]}
}

func (dialect) ParseResponse(resp *http.Response) call.ResponseHead {
	// The header is absent if the server does not ask for a pause.
	pause, _ := time.ParseDuration(resp.Header.Get("Pause"))
	return call.ResponseHead{
		Status:      resp.StatusCode,
		RequestID:   resp.Header.Get("Id"),
		Signed:      resp.Header.Get("Signature") != "",
		NotExecuted: resp.Header.Get("Not-Executed") != "",
		Pause:       pause,
		Leaving:     resp.Header.Get("Leaving") != "",
		IdleTimeout: 30 * time.Second,
	}
}

func (dialect) StripInternal(http.Header) {}

// backend is a backend server that handles each request by its script.
type backend struct {
	address string
	runs    atomic.Int32 // requests received
	stop    func()       // closes the listener
	stopped atomic.Bool
}

// startBackend starts a backend whose script writes responses to the connection.
func startBackend(t *testing.T, script func(b *backend, req *http.Request, c net.Conn)) *backend {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	b := &backend{address: l.Addr().String()}
	b.stop = func() {
		b.stopped.Store(true)
		l.Close()
	}
	var wg sync.WaitGroup
	wg.Go(func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			wg.Go(func() {
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
					b.runs.Add(1)
					script(b, req, c)
				}
			})
		}
	})
	t.Cleanup(func() { l.Close() })
	return b
}

// writeResponse writes a signed response; extra holds further header lines.
func writeResponse(c net.Conn, id, extra, body string) {
	fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nId: %s\r\nSignature: x\r\n%sContent-Length: %d\r\n\r\n%s", id, extra, len(body), body)
}

func respondOK(_ *backend, req *http.Request, c net.Conn) {
	writeResponse(c, req.Header.Get("Id"), "", "fine")
}

func resetConn(_ *backend, _ *http.Request, c net.Conn) {
	c.(*net.TCPConn).SetLinger(0)
	c.Close()
}

func refuseRequest(_ *backend, req *http.Request, c net.Conn) {
	fmt.Fprintf(c, "HTTP/1.1 503 Full\r\nId: %s\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n", req.Header.Get("Id"))
}

type records struct {
	mu  sync.Mutex
	all []Record
}

func (r *records) Record(rec *Record) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.all = append(r.all, *rec)
}

// wait waits until n records are there and returns them.
func (r *records) wait(n int) []Record {
	for {
		r.mu.Lock()
		all := slices.Clone(r.all)
		r.mu.Unlock()
		if len(all) >= n {
			return all
		}
		time.Sleep(time.Millisecond)
	}
}

// with returns the records with a reason.
func (r *records) with(reason Reason) []Record {
	return slices.DeleteFunc(r.wait(0), func(rec Record) bool { return rec.Reason != reason })
}

type fixture struct {
	*httptest.Server
	handler     *Handler
	records     *records
	catalog     *catalog.Catalog
	clockOffset atomic.Int64 // offset of the clock, in nanoseconds
}

var routes = []route.Route{
	{Name: "unsafe", Prefix: "/unsafe/", Kind: route.Unsafe, MaxAttempts: 3, Timeout: time.Second},
	{Name: "safe", Prefix: "/safe/", Kind: route.Safe, MaxAttempts: 3, Timeout: time.Second},
	{Name: "stream", Prefix: "/stream/", Kind: route.Stream, Resumable: true, MaxAttempts: 2, Timeout: 2 * time.Second},
	{Name: "once", Prefix: "/once/", Kind: route.Stream, MaxAttempts: 1, Timeout: 2 * time.Second},
	{Name: "slow", Prefix: "/slow/", Kind: route.Unsafe, MaxAttempts: 3, Timeout: 20 * time.Second},
	{Name: "slow-safe", Prefix: "/slow-safe/", Kind: route.Safe, MaxAttempts: 3, Timeout: 20 * time.Second},
	{Name: "public", Prefix: "/public/", Kind: route.Safe, Public: true, MaxAttempts: 1, Timeout: time.Second},
}

// now is the clock of the catalog.
func (f *fixture) now() boottime.Instant {
	return boottime.Instant(time.Hour) + boottime.Instant(f.clockOffset.Load())
}

// fixtureConfig returns a configuration with the routes of the fixture.
func fixtureConfig(version int64, idleTimeout time.Duration) *route.Config {
	config := &route.Config{
		Version:    version,
		Services:   []route.Service{{Name: "s"}},
		Workspaces: []route.Workspace{{Name: "w", Keys: []string{"key"}}},
		Limits:     route.Limits{BodyBytes: 1 << 20, IdleTimeout: idleTimeout},
	}
	for _, r := range routes {
		r.Host = "127.0.0.1"
		r.Targets = []route.Target{{Service: "s", Weight: 1}}
		config.Routes = append(config.Routes, r)
	}
	return config
}

// newBodies returns an account of bodies; nothing counts its evictions.
func newBodies(limit int64, now func() time.Time) *clientlimit.Bodies {
	return clientlimit.NewBodies(limit, now, func(clientlimit.Cause) {})
}

// newFixture starts a handler with the backends as the servers of its service.
func newFixture(t testing.TB, backends ...*backend) *fixture {
	f := &fixture{records: &records{}}
	f.catalog = catalog.New(f.now)
	config := fixtureConfig(1, 0)
	state := catalog.State{Revision: 1}
	for i, b := range backends {
		state.Servers = append(state.Servers, catalog.Server{ID: fmt.Sprint("b", i), Service: "s", Address: b.address})
	}
	f.catalog.Adopt(state, route.NewTable(config), f.now())
	cachesKnown := make(chan struct{})
	close(cachesKnown)
	f.handler = &Handler{
		Dialect:         dialect{},
		Catalog:         f.catalog,
		Pool:            upstream.NewPool(dialect{}),
		Loads:           load.New(time.Now),
		Health:          health.New(time.Now),
		Avoid:           avoid.New(time.Now),
		Warmup:          warmup.New(time.Now, func() int { return 1 }, rand.Float64),
		Budget:          retry.New(retry.Options{Ratio: 0.2, Slack: 100, Window: 10 * time.Second}, func() int { return 1 }, time.Now),
		Quarantine:      quarantine.New(time.Now),
		CacheIndex:      cacheindex.New(time.Now),
		FleetSize:       func() int { return 1 },
		Jitter:          func() placement.Jitter { return nil },
		Recorder:        f.records,
		Settings:        Settings{KeyLease: 5 * time.Second},
		Bodies:          newBodies(0, time.Now),
		Responses:       memory.NewBudget(0),
		TriggerExchange: func() {},
		CachesKnown:     cachesKnown,
		Draining:        func() (time.Duration, bool) { return 0, false },
	}
	f.Server = httptest.NewServer(f.handler)
	t.Cleanup(f.Close)
	return f
}

// do sends a request with a valid key; header holds pairs of names and values. It
// returns the response, its body, and the error from sending the request or
// reading the body.
func (f *fixture) do(t *testing.T, path string, header ...string) (*http.Response, string, error) {
	req, err := http.NewRequest(http.MethodPost, f.URL+path, strings.NewReader("body"))
	if err != nil {
		t.Fatal(err)
	}
	req.Header.Set("Id", "r1")
	req.Header.Set("Key", "key")
	for i := 0; i+1 < len(header); i += 2 {
		req.Header.Set(header[i], header[i+1])
	}
	resp, err := http.DefaultTransport.RoundTrip(req)
	if err != nil {
		return nil, "", err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return resp, string(body), err
}

// streamEvents returns a script that sends the events after Last-Event-Id up to
// the event numbered to. It then ends the stream if end is set, or else resets
// the connection within an event.
func streamEvents(to, total int, end bool) func(*backend, *http.Request, net.Conn) {
	return func(_ *backend, req *http.Request, c net.Conn) {
		after := 0
		// The header is absent if the stream starts from the first event.
		_, _ = fmt.Sscan(req.Header.Get("Last-Event-Id"), &after)
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nId: %s\r\nSignature: x\r\nTransfer-Encoding: chunked\r\n\r\n", req.Header.Get("Id"))
		for id := after + 1; id <= min(to, total); id++ {
			event := fmt.Sprintf("id: %d\ndata: %d\n\n", id, id)
			fmt.Fprintf(c, "%x\r\n%s\r\n", len(event), event)
		}
		if end {
			fmt.Fprint(c, "0\r\n\r\n")
			return
		}
		fmt.Fprintf(c, "%x\r\n%s\r\n", 6, "id: 99") // incomplete event
		time.Sleep(20 * time.Millisecond)
		resetConn(nil, nil, c)
	}
}
