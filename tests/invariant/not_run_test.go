package invariant

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"cassialatch.dev/fleet/backend"
	"cassialatch.dev/outcome"
	"cassialatch.dev/standin/plainservice"
	"cassialatch.dev/tests/harness"
)

// rawServer is a TCP server that counts the bytes it reads from its connections.
type rawServer struct {
	net.Listener
	read atomic.Int64
}

// newRawServer starts a server that calls serve for each connection and closes
// the connection when serve returns.
func newRawServer(t *testing.T, serve func(conn net.Conn, in *bufio.Reader)) *rawServer {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &rawServer{Listener: listener}
	var wg sync.WaitGroup
	wg.Go(func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			wg.Go(func() {
				defer conn.Close()
				serve(conn, bufio.NewReader(&countingReader{conn, &s.read}))
			})
		}
	})
	t.Cleanup(func() { listener.Close(); wg.Wait() })
	return s
}

// countingReader adds the number of bytes read to n.
type countingReader struct {
	io.Reader
	n *atomic.Int64
}

func (c *countingReader) Read(p []byte) (int, error) {
	n, err := c.Reader.Read(p)
	c.n.Add(int64(n))
	return n, err
}

// nopSink is a backend.Sink that discards the response.
type nopSink struct{}

func (nopSink) Head(int, http.Header) error { return nil }
func (nopSink) Data([]byte) error           { return nil }

func TestNotRunMeansNoByteArrived(t *testing.T) {
	const bodySize = 8 << 20 // exceeds the socket buffers
	readAll := func(in *bufio.Reader) {
		if req, err := http.ReadRequest(in); err == nil {
			_, _ = io.Copy(io.Discard, req.Body)
		}
	}
	cases := []struct {
		name  string
		serve func(conn net.Conn, in *bufio.Reader)
		want  outcome.Outcome // if empty, depends on whether the server read a byte
	}{
		{"dial refused", nil, outcome.NotRun},
		{"closed at accept", func(net.Conn, *bufio.Reader) {}, ""},
		{"closed within the headers", func(_ net.Conn, in *bufio.Reader) { _, _ = in.ReadByte() }, outcome.Unknown},
		{"closed within the body", func(_ net.Conn, in *bufio.Reader) { _, _ = io.CopyN(io.Discard, in, bodySize/2) }, outcome.Unknown},
		{"closed before the response", func(_ net.Conn, in *bufio.Reader) { readAll(in) }, outcome.Unknown},
		{"closed within the response", func(conn net.Conn, in *bufio.Reader) {
			readAll(in)
			fmt.Fprint(conn, "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf")
		}, outcome.Unknown},
	}
	for _, c := range cases {
		for _, idempotent := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, idempotent %t", c.name, idempotent), func(t *testing.T) {
				is := is.New(t)
				server := newRawServer(t, c.serve)
				if c.serve == nil {
					server.Close()
				}
				client := backend.NewClient(nil)
				defer client.Close()
				_, err := client.Do(context.Background(), backend.Call{
					Address: server.Addr().String(), Method: "POST", Path: "/bookings",
					Body: make([]byte, bodySize), Idempotent: idempotent,
				}, nopSink{})
				got := outcome.From(err)
				is.True(c.want == "" || got.Outcome == c.want)
				is.True(got.Outcome != outcome.NotRun || server.read.Load() == 0)
			})
		}
	}
}

// An http.Transport resends a request on its own if a reused connection closes
// before the response and the request has an Idempotency-Key. The service may then
// run a call twice although the daemon sent it once. Each case first shows how many
// copies such a transport sends.
func TestCallIsSentOnceDespiteTransportRetry(t *testing.T) {
	cases := []struct {
		name, method, key, body string
		transportCopies         int32 // copies that an http.Transport with keep-alives sends
	}{
		{"key", "POST", "k", "{}", 2},
		{"key, no body", "DELETE", "k", "", 2},
		{"no key, no body", "DELETE", "", "", 1},
		{"no key", "POST", "", "{}", 1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			var copies atomic.Int32
			server := newRawServer(t, func(conn net.Conn, in *bufio.Reader) {
				for {
					req, err := http.ReadRequest(in)
					if err != nil {
						return
					}
					_, _ = io.Copy(io.Discard, req.Body)
					if req.URL.Path == "/probe" {
						copies.Add(1)
						return // closes the connection without a response
					}
					fmt.Fprint(conn, "HTTP/1.1 204 No Content\r\n\r\n")
				}
			})
			header := http.Header{}
			if c.key != "" {
				header.Set(outcome.HeaderIdempotencyKey, c.key)
			}
			transport := &http.Transport{}
			defer transport.CloseIdleConnections()
			for _, path := range []string{"/warm", "/probe"} {
				req, err := http.NewRequest(c.method, "http://"+server.Addr().String()+path, strings.NewReader(c.body))
				is.NoErr(err)
				req.Header = header.Clone()
				if resp, err := transport.RoundTrip(req); err == nil {
					resp.Body.Close()
				}
			}
			is.Equal(copies.Swap(0), c.transportCopies)

			client := backend.NewClient(nil)
			defer client.Close()
			for _, path := range []string{"/warm", "/probe"} {
				_, _ = client.Do(context.Background(), backend.Call{
					Address: server.Addr().String(), Method: c.method, Path: path, Header: header, Body: []byte(c.body),
				}, nopSink{})
			}
			is.Equal(copies.Load(), int32(1))
		})
	}
}

// chatRequest returns a streamed chat request with an id.
func chatRequest(id string) request {
	return request{
		method: "POST", path: "/v1/chat/completions", id: id,
		body: `{"model":"` + harness.Model + `","stream":true,"max_tokens":8,"messages":[{"role":"user","content":"` + id + `"}]}`,
	}
}

// chatStarts returns how often the engines together started a chat.
func chatStarts(f *harness.Fleet, id string) int {
	n := 0
	for _, e := range f.Engines {
		n += e.Stats().StartedByRequest[id]
	}
	return n
}

// chatsInEngines returns the number of chats that are running or waiting on the
// engines.
func chatsInEngines(f *harness.Fleet) int {
	n := 0
	for _, e := range f.Engines {
		s := e.Stats()
		n += s.Running + s.Waiting
	}
	return n
}

// slowEnginesBy slows all engines down by a factor; 1 restores their speed.
func slowEnginesBy(f *harness.Fleet, factor float64) {
	for _, e := range f.Engines {
		e.SetSlowdown(factor)
	}
}

func TestChatReportedNotRunNeverRan(t *testing.T) {
	t.Parallel()
	f := harness.Start(t, harness.Options{Daemons: 3, Engines: 2})
	entry, homes := f.Daemons[2:], f.Daemons[:2] // the engines are in the zones of the first two daemons
	cases := []struct {
		name      string
		interrupt func() // called while the chat runs, before its first token
		want      outcome.Outcome
	}{
		{"homes unreachable", func() { f.Network.Partition(entry, homes) }, outcome.Unknown},
		{"engine closes its connections", func() {
			for _, e := range f.Engines {
				e.Server.CloseClientConnections()
			}
		}, ""},
		{"engines crash", func() {
			for _, e := range f.Engines {
				e.Crash()
			}
		}, ""},
	}
	for i, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			r := chatRequest(fmt.Sprintf("chat-%d", i))
			slowEnginesBy(f, 5000)
			responses := make(chan response, 1)
			go func() { responses <- send(entry[0], r) }()
			f.Eventually("chat running", func() bool { return chatsInEngines(f) > 0 && chatStarts(f, r.id) > 0 })
			c.interrupt()
			slowEnginesBy(f, 1)
			got := <-responses
			checkNotRun(t, f, r.id, got)
			if c.want != "" && got.outcome != c.want {
				t.Errorf("unexpected outcome: %+v", got)
			}
			f.Network.Heal(entry, homes)
			f.Eventually("all daemons see each other alive", func() bool { return allAlive(f.Daemons) })
		})
	}
	t.Run("caller disconnects within the body", func(t *testing.T) { sendHalfBody(t, f) })
	t.Run("engines stopped", func(t *testing.T) {
		for _, e := range f.Engines {
			e.Server.Close()
		}
		checkNotRun(t, f, "gone", send(entry[0], chatRequest("gone")))
	})
}

// checkNotRun fails the test if a chat was reported as not run although an engine
// started it.
func checkNotRun(t *testing.T, f *harness.Fleet, id string, got response) {
	t.Helper()
	if n := chatStarts(f, id); got.outcome == outcome.NotRun && n > 0 {
		t.Errorf("%s started %d times, but its response is %+v", id, n, got)
	}
}

// sendHalfBody sends a request with half of its body and closes the connection for
// writing. The request must be reported as not run and must not reach an engine.
func sendHalfBody(t *testing.T, f *harness.Fleet) {
	is := is.New(t)
	r := chatRequest("half")
	conn, err := net.Dial("tcp", f.Daemons[2].Settings.Listen.Caller)
	is.NoErr(err)
	defer conn.Close()
	fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: h\r\n%s: %s\r\n%s: half\r\nContent-Length: %d\r\n\r\n%s", r.path,
		outcome.HeaderWorkspace, harness.Workspace, outcome.HeaderRequestID, len(r.body), r.body[:len(r.body)/2])
	is.NoErr(conn.(*net.TCPConn).CloseWrite())
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	is.NoErr(err)
	is.Equal(readResponse(resp).outcome, outcome.NotRun)
	is.Equal(chatStarts(f, "half"), 0)
}

func TestOutcomesStayCorrectUnderFaults(t *testing.T) {
	t.Parallel()
	const callers, perCaller = 12, 12
	f := harness.Start(t, harness.Options{Daemons: 3, Engines: 3, Services: 2, Service: plainservice.Config{Delay: 5 * time.Millisecond}})
	ctx, cancel := context.WithCancel(context.Background())
	var injector, wg sync.WaitGroup
	injector.Go(func() { injectFaults(ctx, f) })
	counts := make(map[outcome.Outcome]int)
	var mu sync.Mutex
	var bookings []bookingResult
	for c := range callers {
		wg.Go(func() {
			for i := range perCaller {
				id := fmt.Sprintf("s%d-%d", c, i)
				got := send(f.Daemons[(c+i)%3], chatRequest(id))
				checkNotRun(t, f, id, got)
				b := bookingResult{id: "b" + id}
				ticket := newTicket(t, f.Daemons[i%3])
				for k := range 2 {
					b.responses = append(b.responses, send(f.Daemons[(c+k)%3], bookingRequest(b.id, ticket)))
				}
				mu.Lock()
				counts[got.outcome]++
				bookings = append(bookings, b)
				mu.Unlock()
			}
		})
	}
	wg.Wait()
	cancel()
	injector.Wait()
	refused := 0
	for _, b := range bookings {
		if checkOutcomes(t, bookingRuns(f, b.id), b.responses...) {
			refused++
		}
	}
	t.Logf("chat outcomes: %v; %d of %d bookings did not run although they could have", counts, refused, len(bookings))
}

// bookingResult holds the responses to the copies of one booking.
type bookingResult struct {
	id        string
	responses []response
}

// injectFaults injects one random fault after the other until ctx ends.
func injectFaults(ctx context.Context, f *harness.Fleet) {
	random := rand.New(rand.NewPCG(1, 2))
	points := []plainservice.FaultPoint{plainservice.FaultAtAccept, plainservice.FaultAfterHeaders, plainservice.FaultAfterBody, plainservice.FaultInResponse}
	for ctx.Err() == nil {
		one := random.IntN(3)
		side, other := f.Daemons[one:one+1], append(f.Daemons[:one:one], f.Daemons[one+1:]...)
		switch random.IntN(4) {
		case 0:
			f.Network.Partition(side, other)
		case 1:
			f.Engines[one].Crash()
		case 2:
			f.Engines[one].Server.CloseClientConnections()
		default:
			injectServiceFaults(f, points[random.IntN(len(points))], 2)
		}
		time.Sleep(20 * time.Millisecond)
		f.Network.Heal(side, other)
	}
	injectServiceFaults(f, "", 0)
}
