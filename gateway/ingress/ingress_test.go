package ingress

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"cassialatch.dev/gateway/cacheindex"
)

func TestHandlerForwardsResponse(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, startBackend(t, respondOK))
	resp, body, err := f.do(t, "/unsafe/x")
	is.NoErr(err)
	is.Equal(resp.StatusCode, http.StatusOK)
	is.Equal(body, "fine")
	is.Equal(resp.Header.Get("Signature"), "x")
}

// A connection that breaks after the request was written leaves the outcome
// unknown. The request must not be retried nor reported as not run.
func TestHandlerReportsBrokenUnsafeRequestAsUnknownWithoutRetry(t *testing.T) {
	is := is.New(t)
	a, b := startBackend(t, resetConn), startBackend(t, resetConn)
	f := newFixture(t, a, b)
	resp, _, err := f.do(t, "/unsafe/x")
	is.NoErr(err)
	is.Equal(resp.StatusCode, http.StatusBadGateway)
	is.Equal(a.runs.Load()+b.runs.Load(), int32(1))
}

func TestHandlerRetriesBrokenSafeRequest(t *testing.T) {
	is := is.New(t)
	broken, working := startBackend(t, resetConn), startBackend(t, respondOK)
	f := newFixture(t, broken, working)
	for range 5 {
		resp, _, err := f.do(t, "/safe/x")
		is.NoErr(err)
		is.Equal(resp.StatusCode, http.StatusOK)
	}
}

func TestHandlerRetriesRefusedUnsafeRequest(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, startBackend(t, refuseRequest), startBackend(t, respondOK))
	for range 4 {
		resp, _, err := f.do(t, "/unsafe/x")
		is.NoErr(err)
		is.Equal(resp.StatusCode, http.StatusOK)
	}
}

func TestHandlerReportsNotRunIfAllServersRefuse(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, startBackend(t, refuseRequest), startBackend(t, refuseRequest))
	resp, _, err := f.do(t, "/unsafe/x")
	is.NoErr(err)
	is.Equal(resp.StatusCode, http.StatusServiceUnavailable)
	is.True(resp.Header.Get("Retry-After") != "")
	is.Equal(resp.Header.Get("Signature"), "")
}

// If an attempt breaks, the refusal of the retry by another server must not
// change the outcome to not run.
func TestHandlerReportsUnknownIfRefusalFollowsBrokenAttempt(t *testing.T) {
	is := is.New(t)
	var first atomic.Bool
	script := func(b *backend, req *http.Request, c net.Conn) {
		if first.CompareAndSwap(false, true) {
			resetConn(b, req, c)
			return
		}
		refuseRequest(b, req, c)
	}
	f := newFixture(t, startBackend(t, script), startBackend(t, script), startBackend(t, script))
	resp, _, err := f.do(t, "/safe/x")
	is.NoErr(err)
	is.Equal(resp.StatusCode, http.StatusBadGateway)
}

func TestHandlerReportsNotRunWithoutServers(t *testing.T) {
	is := is.New(t)
	f := newFixture(t)
	resp, _, err := f.do(t, "/unsafe/x")
	is.NoErr(err)
	is.Equal(resp.StatusCode, http.StatusServiceUnavailable)
}

// A response to another request on the same connection must not reach the caller.
func TestHandlerSkipsResponseToOtherRequest(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, startBackend(t, func(_ *backend, req *http.Request, c net.Conn) {
		writeResponse(c, "another", "", "stray")
		writeResponse(c, req.Header.Get("Id"), "", "mine")
	}))
	_, body, err := f.do(t, "/unsafe/x")
	is.NoErr(err)
	is.Equal(body, "mine")
}

func TestHandlerRejectsUnsignedSuccess(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, startBackend(t, func(_ *backend, req *http.Request, c net.Conn) {
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: 2\r\n\r\nno", req.Header.Get("Id"))
	}))
	resp, _, err := f.do(t, "/unsafe/x")
	is.NoErr(err)
	is.Equal(resp.StatusCode, http.StatusBadGateway)
}

func TestHandlerRejectsTruncatedResponse(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, startBackend(t, func(_ *backend, req *http.Request, c net.Conn) {
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nId: %s\r\nSignature: x\r\nContent-Length: 10\r\n\r\nhalf", req.Header.Get("Id"))
		c.Close()
	}))
	resp, _, err := f.do(t, "/unsafe/x")
	is.NoErr(err)
	is.Equal(resp.StatusCode, http.StatusBadGateway)
}

func TestHandlerResumesBrokenStreamOnOtherServer(t *testing.T) {
	is := is.New(t)
	var first atomic.Bool
	script := func(b *backend, req *http.Request, c net.Conn) {
		if first.CompareAndSwap(false, true) {
			streamEvents(3, 6, false)(b, req, c)
			return
		}
		streamEvents(6, 6, true)(b, req, c)
	}
	f := newFixture(t, startBackend(t, script), startBackend(t, script))
	_, body, err := f.do(t, "/stream/x")
	is.NoErr(err)
	want := ""
	for id := 1; id <= 6; id++ {
		want += fmt.Sprintf("id: %d\ndata: %d\n\n", id, id)
	}
	is.Equal(body, want)
	is.Equal(f.records.all[0].Resumptions, 1)
}

func TestHandlerAbortsBrokenStreamIfNotResumable(t *testing.T) {
	is := is.New(t)
	a, b := startBackend(t, streamEvents(3, 6, false)), startBackend(t, streamEvents(3, 6, false))
	f := newFixture(t, a, b)
	_, _, err := f.do(t, "/once/x")
	is.True(err != nil)
	is.Equal(a.runs.Load()+b.runs.Load(), int32(1))
}

// Load pattern: the store is unavailable for longer than the lease on API keys.
// Requests with a key must no longer be sent; requests to public routes are.
func TestHandlerRejectsKeysAfterLeaseExpiry(t *testing.T) {
	is := is.New(t)
	b := startBackend(t, respondOK)
	f := newFixture(t, b)
	f.clockOffset.Store(int64(5 * time.Second))
	resp, _, err := f.do(t, "/safe/x")
	is.NoErr(err)
	is.Equal(resp.StatusCode, http.StatusServiceUnavailable)
	is.Equal(b.runs.Load(), int32(0))
	resp, _, err = f.do(t, "/public/x")
	is.NoErr(err)
	is.Equal(resp.StatusCode, http.StatusOK)
}

func TestHandlerRejectsUnknownKeysAndRoutes(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, startBackend(t, respondOK))
	resp, _, err := f.do(t, "/safe/x", "Key", "stolen")
	is.NoErr(err)
	is.Equal(resp.StatusCode, http.StatusUnauthorized)
	resp, _, err = f.do(t, "/nowhere/x")
	is.NoErr(err)
	is.Equal(resp.StatusCode, http.StatusNotFound)
}

func TestHandlerEnforcesDeadline(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, startBackend(t, func(*backend, *http.Request, net.Conn) { time.Sleep(3 * time.Second) }))
	resp, _, err := f.do(t, "/unsafe/x", "Deadline", "80ms")
	is.NoErr(err)
	is.Equal(resp.StatusCode, http.StatusGatewayTimeout)
}

// Load pattern: callers disconnect before they receive a response. The connection
// to the server must be closed, so that the server stops working on the request.
func TestHandlerClosesServerConnectionWhenCallerDisconnects(t *testing.T) {
	is := is.New(t)
	running, ended := make(chan struct{}), make(chan struct{})
	f := newFixture(t, startBackend(t, func(_ *backend, _ *http.Request, c net.Conn) {
		close(running)
		var b [1]byte
		// The read ends when the gateway resets the connection.
		_, _ = c.Read(b[:])
		close(ended)
	}))
	ctx, cancel := context.WithCancel(context.Background())
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, f.URL+"/unsafe/x", nil)
	is.NoErr(err)
	req.Header.Set("Key", "key")
	go func() {
		<-running
		cancel()
	}()
	_, err = http.DefaultTransport.RoundTrip(req)
	is.True(err != nil)
	<-ended
}

// Load pattern: a daemon drains while callers with a stale address list still send
// requests to it. Requests that may take longer than the time left must be
// rejected immediately without reaching a server.
func TestHandlerAcceptsOnlyShortRequestsWhileDraining(t *testing.T) {
	is := is.New(t)
	b := startBackend(t, respondOK)
	f := newFixture(t, b)
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

// Guards against callers that learn of a drain only by the connection's end, and
// may lose a request that they send at that moment.
func TestHandlerEndsConnectionOfRequestAcceptedBeforeDrain(t *testing.T) {
	is := is.New(t)
	var draining atomic.Bool
	b := startBackend(t, func(b *backend, req *http.Request, c net.Conn) {
		draining.Store(true)
		respondOK(b, req, c)
	})
	f := newFixture(t, b)
	f.handler.Draining = func() (time.Duration, bool) { return time.Minute, draining.Load() }
	resp, _, err := f.do(t, "/safe/x")
	is.NoErr(err)
	is.Equal(resp.StatusCode, http.StatusOK)
	is.True(resp.Close)
}

// A stream that the server computes more slowly than its number of tokens suggests
// must not be cut off by the end of the drain: only streams whose deadline ends
// before it may be admitted.
func TestHandlerRejectsStreamThatMayOutlastDrainDespiteFewTokens(t *testing.T) {
	is := is.New(t)
	b := startBackend(t, streamEvents(2, 2, true))
	f := newFixture(t, b)
	f.handler.Draining = func() (time.Duration, bool) { return 1900 * time.Millisecond, true }
	resp, _, err := f.do(t, "/stream/x", "Max-Tokens", "10")
	is.NoErr(err)
	is.Equal(resp.StatusCode, http.StatusServiceUnavailable)
	is.Equal(b.runs.Load(), int32(0))
	resp, _, err = f.do(t, "/stream/x", "Max-Tokens", "10", "Deadline", "1s")
	is.NoErr(err)
	is.Equal(resp.StatusCode, http.StatusOK)
}

// A request that still waits when the drain ends must be reported as not run, and
// must not be sent any more.
func TestHandlerDoesNotSendRequestThatWaitsAtEndOfDrain(t *testing.T) {
	is := is.New(t)
	b := startBackend(t, respondOK)
	f := newFixture(t, b)
	_, _, err := f.do(t, "/unsafe/x") // leaves an idle connection to the server
	is.NoErr(err)
	server, l := startServer(t, f.handler.ServeHTTP)
	f.URL = "http://" + l.Addr().String()
	f.handler.CachesKnown = make(chan struct{})
	f.handler.Draining = func() (time.Duration, bool) {
		server.cancel(ErrStopped) // as Server.Stop does
		return time.Minute, true
	}
	resp, _, err := f.do(t, "/unsafe/x", "Parts", "named")
	is.NoErr(err)
	is.Equal(resp.StatusCode, http.StatusServiceUnavailable)
	is.True(resp.Header.Get("Retry-After") != "")
	is.Equal(b.runs.Load(), int32(1))
}

// A request that crashes each server that runs it crashes three of them. All others of
// the same caller on the same path are served.
func TestHandlerRefusesRequestThatCrashesServers(t *testing.T) {
	for _, path := range []string{"/unsafe/x", "/safe/x"} {
		t.Run(path, func(t *testing.T) {
			is := is.New(t)
			var backends []*backend
			for range 9 {
				backends = append(backends, startBackend(t, func(b *backend, req *http.Request, c net.Conn) {
					if req.URL.RawQuery != "item=66" {
						respondOK(b, req, c)
						return
					}
					b.stop()
					resetConn(b, req, c)
				}))
			}
			f := newFixture(t, backends...)
			refused := 0
			for n := range 10 {
				resp, _, err := f.do(t, path+"?item=66")
				is.NoErr(err)
				if resp.StatusCode == http.StatusServiceUnavailable {
					refused++
				}
				resp, _, err = f.do(t, fmt.Sprintf("%s?item=%d", path, n))
				is.NoErr(err)
				is.Equal(resp.StatusCode, http.StatusOK)
			}
			is.Equal(stoppedBackends(backends), 3)
			is.True(refused >= 7)
		})
	}
}

func TestHandlerRefusesBodyOverLimit(t *testing.T) {
	is := is.New(t)
	b := startBackend(t, respondOK)
	f := newFixture(t, b)
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

// Load pattern: servers respond to some requests with errors. After an error, the
// prompt must not be recorded as pending on that server; otherwise later requests
// with the same prompt are sent there although its cache doesn't hold the prompt.
func TestHandlerClearsPendingPromptAfterServerError(t *testing.T) {
	is := is.New(t)
	failing := startBackend(t, func(_ *backend, req *http.Request, c net.Conn) {
		fmt.Fprintf(c, "HTTP/1.1 500 Broken\r\nId: %s\r\nContent-Length: 0\r\n\r\n", req.Header.Get("Id"))
	})
	f := newFixture(t, failing)
	_, _, err := f.do(t, "/once/x", "Parts", "named")
	is.NoErr(err)
	server := f.catalog.View().ByService["s"][0]
	coverage := make([]cacheindex.Coverage, 1)
	f.handler.CacheIndex.Lookup(twoParts.SharedParts(), []cacheindex.Holder{cacheindex.Holder(server.Tag())}, coverage)
	is.Equal(coverage[0].MissingTokens, twoParts.Parts[0].Tokens)
}
