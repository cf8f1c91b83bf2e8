package ingress

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"cassialatch.dev/gateway/catalog"
	"cassialatch.dev/gateway/memory"
	"cassialatch.dev/gateway/route"
)

// held is what each server sends in these tests before it goes on with a byte now and then.
const held = 200 << 10

// trickle sends the start of a response, and then a byte now and then.
func trickle(start string) func(*backend, *http.Request, net.Conn) {
	return func(_ *backend, req *http.Request, c net.Conn) {
		_, err := io.WriteString(c, strings.Replace(start, "%s", "Id: "+req.Header.Get("Id")+"\r\nSignature: x\r\n", 1))
		for err == nil {
			time.Sleep(20 * time.Millisecond)
			_, err = io.WriteString(c, "x")
		}
	}
}

// Load pattern: many callers at once get responses of which much must be held before
// anything can be forwarded, and whose rest comes a byte now and then. Guards against a
// sum that grows with the number of callers, though each response is within its limit;
// against work that has run being reported as not run; and against memory that is not
// returned.
func TestHandler_LimitsMemoryOfAllResponses(t *testing.T) {
	const limit, callers = 1 << 20, 40
	ok, failed := "HTTP/1.1 200 OK\r\n%s", "HTTP/1.1 500 Broken\r\n%s"
	lines := strings.Repeat("a-rather-long-name-of-a-header: \r\n", 250)
	for name, c := range map[string]struct{ path, start string }{
		"plain response":    {"/unsafe/x", ok + "Content-Length: 1000000\r\n\r\n" + strings.Repeat("x", held)},
		"without a length":  {"/safe/x", ok + "\r\n" + strings.Repeat("x", held)},
		"chunks":            {"/safe/x", ok + "Transfer-Encoding: chunked\r\n\r\n" + strings.Repeat("400\r\n"+strings.Repeat("x", 1<<10)+"\r\n", held>>10)},
		"server error":      {"/unsafe/x", failed + "Content-Length: 1000000\r\n\r\n" + strings.Repeat("x", held)},
		"event":             {"/once/x", ok + "\r\ndata: " + strings.Repeat("x", held)},
		"event after one":   {"/once/x", ok + "\r\ndata: 1\n\ndata: " + strings.Repeat("x", held)},
		"head":              {"/unsafe/x", ok + lines + lines[:100]},
		"line of the head":  {"/unsafe/x", ok + "a: " + strings.Repeat("x", 60<<10)},
		"interim responses": {"/unsafe/x", "HTTP/1.1 100 Continue\r\n" + lines + "\r\nHTTP/1.1 100 Continue\r\n" + lines},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			b := startBackend(t, trickle(c.start))
			f := newFixture(t, b)
			f.handler.Responses = memory.NewBudget(limit)
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			statuses := make(chan int, callers)
			for n := range callers {
				go func() { statuses <- f.status(ctx, c.path, fmt.Sprint("r", n)) }()
			}
			for int(b.runs.Load())+len(statuses) < callers { // one that ended before has failed
				time.Sleep(time.Millisecond)
			}
			var peak int64
			// On a busy machine it takes a while until the responses are read.
			for i := 0; i < 100 || peak <= limit/4 && i < 5000; i++ {
				peak = max(peak, f.handler.Responses.Used())
				time.Sleep(2 * time.Millisecond)
			}
			t.Logf("%d bytes are held", peak)
			is.True(peak > limit/4)  // the load is there
			is.True(peak <= limit/2) // others find as much
			cancel()
			for range callers {
				is.True(<-statuses != http.StatusServiceUnavailable)
			}
			f.records.wait(callers)
			is.Equal(f.handler.Responses.Used(), int64(0))
		})
	}
}

// status sends a request and returns the status; 0 if there is none.
func (f *fixture) status(ctx context.Context, path, id string) int {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, f.URL+path, strings.NewReader("body"))
	if err != nil {
		return 0
	}
	req.Header.Set("Id", id)
	req.Header.Set("Key", "key")
	req.Header.Set("Deadline", "20s")
	resp, err := http.DefaultTransport.RoundTrip(req)
	if err != nil {
		return 0
	}
	defer resp.Body.Close()
	_, _ = io.Copy(io.Discard, resp.Body) // broken off in the end
	return resp.StatusCode
}

// addService adds a service with one server, and a safe route to it.
func (f *fixture) addService(name string, b *backend) {
	config := fixtureConfig(2, 0)
	config.Services = append(config.Services, route.Service{Name: name})
	config.Routes = append(config.Routes, route.Route{
		Name: name, Host: "127.0.0.1", Prefix: "/" + name + "/", Kind: route.Safe, MaxAttempts: 1, Timeout: time.Second,
		Targets: []route.Target{{Service: name, Weight: 1}},
	})
	state := catalog.State{Revision: 2}
	for _, s := range f.catalog.View().Servers {
		state.Servers = append(state.Servers, *s)
	}
	state.Servers = append(state.Servers, catalog.Server{ID: name, Service: name, Address: b.address})
	f.catalog.Adopt(state, route.NewTable(config), f.now())
}

// Guards against responses of sound servers that are lost, or cut, while those of another
// service take the memory: they are forwarded as they arrive.
func TestHandler_DeliversResponsesWhileMemoryIsFull(t *testing.T) {
	is := is.New(t)
	flood := startBackend(t, trickle("HTTP/1.1 200 OK\r\n%s\r\ndata: "+strings.Repeat("x", 30<<10)))
	body := strings.Repeat("y", 100<<10)
	sound := startBackend(t, func(_ *backend, req *http.Request, c net.Conn) {
		writeResponse(c, req.Header.Get("Id"), "", body)
	})
	f := newFixture(t, flood)
	f.addService("other", sound)
	f.handler.Responses = memory.NewBudget(64 << 10)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	for n := range 10 {
		go f.status(ctx, "/once/x", fmt.Sprint("r", n))
	}
	for flood.runs.Load() < 10 || f.handler.Responses.Used() == 0 {
		time.Sleep(time.Millisecond)
	}
	for range 20 {
		resp, got, err := f.do(t, "/other/x")
		is.NoErr(err)
		is.Equal(resp.StatusCode, http.StatusOK)
		is.Equal(got, body)
	}
}

// Guards against counting the start of a response, which was forwarded, until its end.
func TestHandler_ReturnsMemoryOfForwardedStart(t *testing.T) {
	is := is.New(t)
	b := startBackend(t, trickle("HTTP/1.1 200 OK\r\n%sContent-Length: 1000000\r\n\r\n"+strings.Repeat("x", held)))
	f := newFixture(t, b)
	f.handler.Responses = memory.NewBudget(100 << 10)
	req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, f.URL+"/slow/x", strings.NewReader("body"))
	is.NoErr(err)
	req.Header.Set("Key", "key")
	resp, err := http.DefaultTransport.RoundTrip(req)
	is.NoErr(err)
	defer resp.Body.Close()
	_, err = io.ReadFull(resp.Body, make([]byte, 64<<10))
	is.NoErr(err)
	for f.handler.Responses.Used() > 0 {
		time.Sleep(time.Millisecond)
	}
	f.records.mu.Lock()
	defer f.records.mu.Unlock()
	is.Equal(len(f.records.all), 0) // the response is still being forwarded
}
