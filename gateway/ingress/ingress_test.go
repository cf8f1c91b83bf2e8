package ingress

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"cassialatch.dev/gateway/boottime"
	"cassialatch.dev/gateway/call"
	"cassialatch.dev/gateway/catalog"
	"cassialatch.dev/gateway/health"
	"cassialatch.dev/gateway/load"
	"cassialatch.dev/gateway/retry"
	"cassialatch.dev/gateway/route"
	"cassialatch.dev/gateway/suspect"
	"cassialatch.dev/gateway/upstream"
	"cassialatch.dev/gateway/warm"
)

// twoParts is the prompt of requests that name their parts.
var twoParts = call.Request{Parts: []call.Part{{ID: 1, Tokens: 500}, {ID: 2, Tokens: 300}}, PromptTokens: 800}

// dialect is a small stand-in for a deployment's adapter.
type dialect struct{}

func (dialect) ParseRequest(h http.Header) (call.Request, error) {
	r := call.Request{ID: h.Get("Id"), Key: h.Get("Key"), ResumeAfter: h.Get("Last-Event-Id")}
	if d, err := time.ParseDuration(h.Get("Deadline")); err == nil {
		r.Deadline = d
	}
	if h.Get("Parts") != "" {
		r.Parts, r.PromptTokens = twoParts.Parts, twoParts.PromptTokens
	}
	return r, nil
}

func (dialect) OutboundHeader(h http.Header, a call.Attempt) http.Header {
	return http.Header{"Id": h["Id"], "Server": {a.ServerID}, "Last-Event-Id": {a.ResumeAfter}, "Workspace": {a.Workspace}}
}

func (dialect) ParseResponse(resp *http.Response) call.ResponseHead {
	return call.ResponseHead{
		Status:      resp.StatusCode,
		RequestID:   resp.Header.Get("Id"),
		Signed:      resp.Header.Get("Signature") != "",
		NotExecuted: resp.Header.Get("Not-Executed") != "",
		IdleTimeout: 30 * time.Second,
	}
}

func (dialect) StripInternal(http.Header) {}

// backend is a backend server that answers each request as its script says.
type backend struct {
	address string
	runs    atomic.Int32
}

// serve starts a backend; the script writes raw bytes.
func serve(t *testing.T, script func(b *backend, req *http.Request, c net.Conn)) *backend {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	b := &backend{address: l.Addr().String()}
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

func answer(c net.Conn, id, extra, body string) {
	fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nId: %s\r\nSignature: x\r\n%sContent-Length: %d\r\n\r\n%s", id, extra, len(body), body)
}

func whole(_ *backend, req *http.Request, c net.Conn) { answer(c, req.Header.Get("Id"), "", "fine") }

func reset(_ *backend, _ *http.Request, c net.Conn) {
	c.(*net.TCPConn).SetLinger(0)
	c.Close()
}

func refuseWork(_ *backend, req *http.Request, c net.Conn) {
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

type fixture struct {
	*httptest.Server
	handler *Handler
	records *records
	catalog *catalog.Catalog
	now     atomic.Int64 // added to the clock, in nanoseconds
}

var routes = []route.Route{
	{Name: "unsafe", Prefix: "/unsafe/", Kind: route.Unsafe, MaxAttempts: 3, Timeout: time.Second},
	{Name: "safe", Prefix: "/safe/", Kind: route.Safe, MaxAttempts: 3, Timeout: time.Second},
	{Name: "stream", Prefix: "/stream/", Kind: route.Stream, Resumable: true, MaxAttempts: 2, Timeout: 2 * time.Second},
	{Name: "once", Prefix: "/once/", Kind: route.Stream, MaxAttempts: 1, Timeout: 2 * time.Second},
	{Name: "public", Prefix: "/public/", Kind: route.Safe, Public: true, MaxAttempts: 1, Timeout: time.Second},
}

func start(t *testing.T, backends ...*backend) *fixture {
	f := &fixture{records: &records{}}
	clock := func() boottime.Instant { return boottime.Instant(time.Hour) + boottime.Instant(f.now.Load()) }
	f.catalog = catalog.New(clock)
	config := &route.Config{
		Version:    1,
		Services:   []route.Service{{Name: "s"}},
		Workspaces: []route.Workspace{{Name: "w", Keys: []string{"key"}}},
		Limits:     route.Limits{BodyBytes: 1 << 20},
	}
	for _, r := range routes {
		r.Host = "127.0.0.1"
		r.Targets = []route.Target{{Service: "s", Weight: 1}}
		config.Routes = append(config.Routes, r)
	}
	state := catalog.State{Revision: 1}
	for i, b := range backends {
		state.Servers = append(state.Servers, catalog.Server{ID: fmt.Sprint("b", i), Service: "s", Address: b.address})
	}
	f.catalog.Adopt(state, route.NewTable(config), clock())
	learned := make(chan struct{})
	close(learned)
	f.handler = &Handler{
		Dialect:         dialect{},
		Catalog:         f.catalog,
		Pool:            upstream.NewPool(dialect{}),
		Loads:           load.New(time.Now),
		Health:          health.New(time.Now),
		Budget:          retry.New(retry.Options{Ratio: 0.2, Slack: 100, Window: 10 * time.Second}, func() int { return 1 }, time.Now),
		Suspects:        suspect.New(time.Now),
		Warm:            warm.New(time.Now),
		FleetSize:       func() int { return 1 },
		Recorder:        f.records,
		Settings:        Settings{KeyLease: 5 * time.Second},
		TriggerExchange: func() {},
		CachesKnown:     learned,
		Draining:        func() (time.Duration, bool) { return 0, false },
	}
	f.Server = httptest.NewServer(f.handler)
	t.Cleanup(f.Close)
	return f
}

// do sends a request with a valid key. It returns the status, the body, and the
// error met while the body was read.
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

func TestAWholeAnswerIsPassedOn(t *testing.T) {
	is := is.New(t)
	f := start(t, serve(t, whole))
	resp, body, err := f.do(t, "/unsafe/x")
	is.NoErr(err)
	is.Equal(resp.StatusCode, http.StatusOK)
	is.Equal(body, "fine")
	is.Equal(resp.Header.Get("Signature"), "x")
}

// A connection that breaks after the request was written leaves its outcome
// unknown: it is neither run again nor said not to have run.
func TestABrokenUnsafeRequestIsUnknownAndNotRepeated(t *testing.T) {
	is := is.New(t)
	a, b := serve(t, reset), serve(t, reset)
	f := start(t, a, b)
	resp, _, err := f.do(t, "/unsafe/x")
	is.NoErr(err)
	is.Equal(resp.StatusCode, http.StatusBadGateway)
	is.Equal(a.runs.Load()+b.runs.Load(), int32(1))
}

func TestABrokenSafeRequestRunsElsewhere(t *testing.T) {
	is := is.New(t)
	broken, sound := serve(t, reset), serve(t, whole)
	f := start(t, broken, sound)
	for range 5 {
		resp, _, err := f.do(t, "/safe/x")
		is.NoErr(err)
		is.Equal(resp.StatusCode, http.StatusOK)
	}
}

func TestARefusalGoesElsewhereAlsoIfUnsafe(t *testing.T) {
	is := is.New(t)
	f := start(t, serve(t, refuseWork), serve(t, whole))
	for range 4 {
		resp, _, err := f.do(t, "/unsafe/x")
		is.NoErr(err)
		is.Equal(resp.StatusCode, http.StatusOK)
	}
}

func TestWhatAllServersRefuseHasNotRun(t *testing.T) {
	is := is.New(t)
	f := start(t, serve(t, refuseWork), serve(t, refuseWork))
	resp, _, err := f.do(t, "/unsafe/x")
	is.NoErr(err)
	is.Equal(resp.StatusCode, http.StatusServiceUnavailable)
	is.True(resp.Header.Get("Retry-After") != "")
	is.Equal(resp.Header.Get("Signature"), "")
}

// After a run that broke, a refusal elsewhere must not turn the outcome into
// "not run".
func TestARefusalAfterABrokenRunIsUnknown(t *testing.T) {
	is := is.New(t)
	var first atomic.Bool
	script := func(b *backend, req *http.Request, c net.Conn) {
		if first.CompareAndSwap(false, true) {
			reset(b, req, c)
			return
		}
		refuseWork(b, req, c)
	}
	f := start(t, serve(t, script), serve(t, script), serve(t, script))
	resp, _, err := f.do(t, "/safe/x")
	is.NoErr(err)
	is.Equal(resp.StatusCode, http.StatusBadGateway)
}

func TestWithoutAServerARequestHasNotRun(t *testing.T) {
	is := is.New(t)
	f := start(t)
	resp, _, err := f.do(t, "/unsafe/x")
	is.NoErr(err)
	is.Equal(resp.StatusCode, http.StatusServiceUnavailable)
}

func TestAnAnswerToAnotherRequestIsSkipped(t *testing.T) {
	is := is.New(t)
	f := start(t, serve(t, func(_ *backend, req *http.Request, c net.Conn) {
		answer(c, "another", "", "stray")
		answer(c, req.Header.Get("Id"), "", "mine")
	}))
	_, body, err := f.do(t, "/unsafe/x")
	is.NoErr(err)
	is.Equal(body, "mine")
}

func TestAnUnsignedSuccessIsNoAnswer(t *testing.T) {
	is := is.New(t)
	f := start(t, serve(t, func(_ *backend, req *http.Request, c net.Conn) {
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: 2\r\n\r\nno", req.Header.Get("Id"))
	}))
	resp, _, err := f.do(t, "/unsafe/x")
	is.NoErr(err)
	is.Equal(resp.StatusCode, http.StatusBadGateway)
}

func TestATruncatedAnswerIsNoAnswer(t *testing.T) {
	is := is.New(t)
	f := start(t, serve(t, func(_ *backend, req *http.Request, c net.Conn) {
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nId: %s\r\nSignature: x\r\nContent-Length: 10\r\n\r\nhalf", req.Header.Get("Id"))
		c.Close()
	}))
	resp, _, err := f.do(t, "/unsafe/x")
	is.NoErr(err)
	is.Equal(resp.StatusCode, http.StatusBadGateway)
}

// events answers with a stream that breaks off after some events; what follows
// Last-Event-Id is left out.
func events(to, total int, end bool) func(*backend, *http.Request, net.Conn) {
	return func(_ *backend, req *http.Request, c net.Conn) {
		after := 0
		// A whole stream has no such header.
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
		fmt.Fprintf(c, "%x\r\n%s\r\n", 6, "id: 99") // within an event
		time.Sleep(20 * time.Millisecond)
		reset(nil, nil, c)
	}
}

func TestABrokenStreamGoesOnElsewhereWithinOneAnswer(t *testing.T) {
	is := is.New(t)
	var first atomic.Bool
	script := func(b *backend, req *http.Request, c net.Conn) {
		if first.CompareAndSwap(false, true) {
			events(3, 6, false)(b, req, c)
			return
		}
		events(6, 6, true)(b, req, c)
	}
	f := start(t, serve(t, script), serve(t, script))
	_, body, err := f.do(t, "/stream/x")
	is.NoErr(err)
	want := ""
	for id := 1; id <= 6; id++ {
		want += fmt.Sprintf("id: %d\ndata: %d\n\n", id, id)
	}
	is.Equal(body, want)
	is.Equal(f.records.all[0].Resumptions, 1)
}

func TestABrokenStreamThatCannotBeResumedDoesNotLookWhole(t *testing.T) {
	is := is.New(t)
	a, b := serve(t, events(3, 6, false)), serve(t, events(3, 6, false))
	f := start(t, a, b)
	_, _, err := f.do(t, "/once/x")
	is.True(err != nil)
	is.Equal(a.runs.Load()+b.runs.Load(), int32(1))
}

// Load pattern: the store is away for longer than the lease on API keys. No
// request with a key is sent any more; public ones are.
func TestKeysEndWithTheLeaseOnTheirConfirmation(t *testing.T) {
	is := is.New(t)
	b := serve(t, whole)
	f := start(t, b)
	f.now.Store(int64(5 * time.Second))
	resp, _, err := f.do(t, "/safe/x")
	is.NoErr(err)
	is.Equal(resp.StatusCode, http.StatusServiceUnavailable)
	is.Equal(b.runs.Load(), int32(0))
	resp, _, err = f.do(t, "/public/x")
	is.NoErr(err)
	is.Equal(resp.StatusCode, http.StatusOK)
}

func TestUnknownKeysAndRoutes(t *testing.T) {
	is := is.New(t)
	f := start(t, serve(t, whole))
	resp, _, err := f.do(t, "/safe/x", "Key", "stolen")
	is.NoErr(err)
	is.Equal(resp.StatusCode, http.StatusUnauthorized)
	resp, _, err = f.do(t, "/nowhere/x")
	is.NoErr(err)
	is.Equal(resp.StatusCode, http.StatusNotFound)
}

func TestTheTimeoutEndsARequestInTime(t *testing.T) {
	is := is.New(t)
	f := start(t, serve(t, func(*backend, *http.Request, net.Conn) { time.Sleep(3 * time.Second) }))
	resp, _, err := f.do(t, "/unsafe/x", "Deadline", "80ms")
	is.NoErr(err)
	is.Equal(resp.StatusCode, http.StatusGatewayTimeout)
}

// Load pattern: callers leave before they are answered. The server's work ends
// with its connection.
func TestACallerThatLeavesFreesItsServer(t *testing.T) {
	is := is.New(t)
	running, ended := make(chan struct{}), make(chan struct{})
	f := start(t, serve(t, func(_ *backend, _ *http.Request, c net.Conn) {
		close(running)
		var b [1]byte
		// The read ends when the gateway resets the connection.
		_, _ = c.Read(b[:])
		close(ended)
	}))
	ctx, leave := context.WithCancel(context.Background())
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, f.URL+"/unsafe/x", nil)
	is.NoErr(err)
	req.Header.Set("Key", "key")
	go func() {
		<-running
		leave()
	}()
	_, err = http.DefaultTransport.RoundTrip(req)
	is.True(err != nil)
	<-ended
}

// Load pattern: a daemon drains while callers that keep an old address answer
// still come. What would outlast it is refused at once, and truly not run.
func TestADrainingDaemonTakesOnlyWhatItCanFinish(t *testing.T) {
	is := is.New(t)
	b := serve(t, whole)
	f := start(t, b)
	f.handler.Draining = func() (time.Duration, bool) { return 1500 * time.Millisecond, true }
	resp, _, err := f.do(t, "/safe/x")
	is.NoErr(err)
	is.Equal(resp.StatusCode, http.StatusOK)
	is.True(resp.Close)
	resp, _, err = f.do(t, "/stream/x")
	is.NoErr(err)
	is.Equal(resp.StatusCode, http.StatusServiceUnavailable)
	is.Equal(b.runs.Load(), int32(1))
}

func TestARequestThatBreaksServersIsRefused(t *testing.T) {
	is := is.New(t)
	b := serve(t, reset)
	f := start(t, b)
	for range 5 {
		_, _, err := f.do(t, "/unsafe/x")
		is.NoErr(err)
	}
	is.Equal(b.runs.Load(), int32(3))
}

func TestABodyOverTheLimitIsRefused(t *testing.T) {
	is := is.New(t)
	b := serve(t, whole)
	f := start(t, b)
	req, err := http.NewRequest(http.MethodPost, f.URL+"/safe/x", io.LimitReader(endless{}, 2<<20))
	is.NoErr(err)
	req.Header.Set("Key", "key")
	resp, err := http.DefaultTransport.RoundTrip(req)
	is.NoErr(err)
	resp.Body.Close()
	is.Equal(resp.StatusCode, http.StatusRequestEntityTooLarge)
	is.Equal(b.runs.Load(), int32(0))
}

type endless struct{}

func (endless) Read(p []byte) (int, error) { return len(p), nil }

// Load pattern: servers answer part of their requests with errors. The same
// prompt asked for again is not sent where it was refused for being there.
func TestAnErrorLeavesNoPromptPending(t *testing.T) {
	is := is.New(t)
	failing := serve(t, func(_ *backend, req *http.Request, c net.Conn) {
		fmt.Fprintf(c, "HTTP/1.1 500 Broken\r\nId: %s\r\nContent-Length: 0\r\n\r\n", req.Header.Get("Id"))
	})
	f := start(t, failing)
	_, _, err := f.do(t, "/once/x", "Parts", "named")
	is.NoErr(err)
	server := f.catalog.View().ByService["s"][0]
	have := make([]warm.Coverage, 1)
	f.handler.Warm.Lookup(twoParts.SharedParts(), []warm.Holder{warm.Holder(server.Tag())}, have)
	is.Equal(have[0].Missing, twoParts.Parts[0].Tokens)
}
