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

// rawServer hands each connection to serve and counts the bytes read.
type rawServer struct {
	net.Listener
	read atomic.Int64
}

// newRawServer listens; serve closes the connection by returning.
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

// countingReader counts what was read.
type countingReader struct {
	io.Reader
	n *atomic.Int64
}

func (c *countingReader) Read(p []byte) (int, error) {
	n, err := c.Reader.Read(p)
	c.n.Add(int64(n))
	return n, err
}

// blind is a backend.Sink.
type blind struct{}

func (blind) Head(int, http.Header) error { return nil }
func (blind) Data([]byte) error           { return nil }

func TestNotRunMeansThatNoByteArrived(t *testing.T) {
	const big = 8 << 20 // more than the socket buffers hold
	whole := func(in *bufio.Reader) {
		if req, err := http.ReadRequest(in); err == nil {
			_, _ = io.Copy(io.Discard, req.Body)
		}
	}
	cases := []struct {
		name  string
		serve func(conn net.Conn, in *bufio.Reader)
		want  outcome.Outcome // empty: as the bytes say
	}{
		{"dial refused", nil, outcome.NotRun},
		{"closed at accept", func(net.Conn, *bufio.Reader) {}, ""},
		{"closed in the headers", func(_ net.Conn, in *bufio.Reader) { _, _ = in.ReadByte() }, outcome.Unknown},
		{"closed in the body", func(_ net.Conn, in *bufio.Reader) { _, _ = io.CopyN(io.Discard, in, big/2) }, outcome.Unknown},
		{"closed before the answer", func(_ net.Conn, in *bufio.Reader) { whole(in) }, outcome.Unknown},
		{"closed in the answer", func(conn net.Conn, in *bufio.Reader) {
			whole(in)
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
					Body: make([]byte, big), Idempotent: idempotent,
				}, blind{})
				told := outcome.From(err)
				is.True(c.want == "" || told.Outcome == c.want)
				is.True(told.Outcome != outcome.NotRun || server.read.Load() == 0)
			})
		}
	}
}

func TestCallIsSentOnceWhereTheTransportWouldRepeatIt(t *testing.T) {
	cases := []struct {
		name, method, key, body string
		pooled                  int32 // copies that a pooled transport sends
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
						return // the connection ends without an answer
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
			is.Equal(copies.Swap(0), c.pooled)

			client := backend.NewClient(nil)
			defer client.Close()
			for _, path := range []string{"/warm", "/probe"} {
				_, _ = client.Do(context.Background(), backend.Call{
					Address: server.Addr().String(), Method: c.method, Path: path, Header: header, Body: []byte(c.body),
				}, blind{})
			}
			is.Equal(copies.Load(), int32(1))
		})
	}
}

// chat returns a chat with an id.
func chat(id string) request {
	return request{
		method: "POST", path: "/v1/chat/completions", id: id,
		body: `{"model":"` + harness.Model + `","stream":true,"max_tokens":8,"messages":[{"role":"user","content":"` + id + `"}]}`,
	}
}

// started returns how often a chat began on any engine.
func started(f *harness.Fleet, id string) int {
	n := 0
	for _, e := range f.Engines {
		n += e.Stats().StartedByRequest[id]
	}
	return n
}

// engineWork returns how many chats the engines hold.
func engineWork(f *harness.Fleet) int {
	n := 0
	for _, e := range f.Engines {
		s := e.Stats()
		n += s.Running + s.Waiting
	}
	return n
}

// slowEngines makes engines slower by a factor.
func slowEngines(f *harness.Fleet, factor float64) {
	for _, e := range f.Engines {
		e.SetSlowdown(factor)
	}
}

func TestNotRunOfAChatIsTrue(t *testing.T) {
	t.Parallel()
	f := harness.Start(t, harness.Options{Daemons: 3, Engines: 2})
	entry, homes := f.Daemons[2:], f.Daemons[:2] // the engines' zones are those of the first two
	cases := []struct {
		name string
		then func() // while the chat runs, before its first token
		want outcome.Outcome
	}{
		{"homes cut off", func() { f.Network.Partition(entry, homes) }, outcome.Unknown},
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
			r := chat(fmt.Sprintf("chat-%d", i))
			slowEngines(f, 5000)
			told := make(chan reply, 1)
			go func() { told <- send(entry[0], r) }()
			f.Eventually("the chat runs", func() bool { return engineWork(f) > 0 && started(f, r.id) > 0 })
			c.then()
			slowEngines(f, 1)
			answer := <-told
			truthful(t, f, r.id, answer)
			if c.want != "" && answer.outcome != c.want {
				t.Errorf("the caller was told %+v", answer)
			}
			f.Network.Heal(entry, homes)
			f.Eventually("daemons hear each other", func() bool { return linked(f.Daemons) })
		})
	}
	t.Run("caller leaves within the body", func(t *testing.T) { halfBody(t, f) })
	t.Run("engines gone", func(t *testing.T) {
		for _, e := range f.Engines {
			e.Server.Close()
		}
		truthful(t, f, "gone", send(entry[0], chat("gone")))
	})
}

// truthful fails the test when a caller was told "not run" of a chat that ran.
func truthful(t *testing.T, f *harness.Fleet, id string, told reply) {
	t.Helper()
	if n := started(f, id); told.outcome == outcome.NotRun && n > 0 {
		t.Errorf("%s ran %d times; its caller was told %+v", id, n, told)
	}
}

// halfBody sends half of a request's body and no more.
func halfBody(t *testing.T, f *harness.Fleet) {
	is := is.New(t)
	r := chat("half")
	conn, err := net.Dial("tcp", f.Daemons[2].Settings.Listen.Caller)
	is.NoErr(err)
	defer conn.Close()
	fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: h\r\n%s: %s\r\n%s: half\r\nContent-Length: %d\r\n\r\n%s", r.path,
		outcome.HeaderWorkspace, harness.Workspace, outcome.HeaderRequestID, len(r.body), r.body[:len(r.body)/2])
	is.NoErr(conn.(*net.TCPConn).CloseWrite())
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	is.NoErr(err)
	is.Equal(read(resp).outcome, outcome.NotRun)
	is.Equal(started(f, "half"), 0)
}

func TestOutcomesStayTrueInAStormOfFailures(t *testing.T) {
	t.Parallel()
	const callers, each = 12, 12
	f := harness.Start(t, harness.Options{Daemons: 3, Engines: 3, Services: 2, Service: plainservice.Config{Delay: 5 * time.Millisecond}})
	ctx, cancel := context.WithCancel(context.Background())
	var storm, wg sync.WaitGroup
	storm.Go(func() { provoke(ctx, f) })
	counts := make(map[outcome.Outcome]int)
	var mu sync.Mutex
	var bookings []booked
	for c := range callers {
		wg.Go(func() {
			for i := range each {
				id := fmt.Sprintf("s%d-%d", c, i)
				told := send(f.Daemons[(c+i)%3], chat(id))
				truthful(t, f, id, told)
				b := booked{id: "b" + id}
				text := fresh(t, f.Daemons[i%3])
				for k := range 2 {
					b.told = append(b.told, send(f.Daemons[(c+k)%3], booking(b.id, text)))
				}
				mu.Lock()
				counts[told.outcome]++
				bookings = append(bookings, b)
				mu.Unlock()
			}
		})
	}
	wg.Wait()
	cancel()
	storm.Wait()
	refused := 0
	for _, b := range bookings {
		if ledger(t, runs(f, b.id), b.told...) {
			refused++
		}
	}
	t.Logf("chats: %v; %d of %d bookings could have run and were refused", counts, refused, len(bookings))
}

// booked is what the callers of one booking were told.
type booked struct {
	id   string
	told []reply
}

// provoke causes one failure after the other until ctx ends.
func provoke(ctx context.Context, f *harness.Fleet) {
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
			breakNext(f, points[random.IntN(len(points))], 2)
		}
		time.Sleep(20 * time.Millisecond)
		f.Network.Heal(side, other)
	}
	breakNext(f, "", 0)
}
