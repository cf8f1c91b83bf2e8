package daemon

import (
	"bytes"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"golang.org/x/sys/unix"

	"cassialatch.dev/gateway/clientlimit"
	"cassialatch.dev/gateway/eventlog"
)

func TestSettings_DeriveLimits(t *testing.T) {
	const mib = 1 << 20
	for name, c := range map[string]struct {
		settings    Settings
		connections int
		body, head  int64
	}{
		"no limits":         {Settings{}, 0, 0, 0},
		"memory":            {Settings{MemoryBytes: 160 * mib}, 1280, 24 * mib, 16 * mib},
		"descriptors":       {Settings{MaxFiles: 2870}, 1335, 0, 0},
		"both, memory":      {Settings{MemoryBytes: 160 * mib, MaxFiles: 8192}, 1280, 24 * mib, 16 * mib},
		"both, descriptors": {Settings{MemoryBytes: 320 * mib, MaxFiles: 2870}, 1335, 48 * mib, 32 * mib},
		"least":             {Settings{MaxFiles: 100}, 64, 0, 0},
		"command line": {
			Settings{MemoryBytes: 160 * mib, MaxFiles: 2870, MaxConnections: 10, MaxBodyMemory: 11, MaxHeadMemory: 12}, 10, 11, 12,
		},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(c.settings.maxConnections(), c.connections)
			is.Equal(c.settings.bodyMemory(), c.body)
			is.Equal(c.settings.headMemory(), c.head)
		})
	}
}

// startEndpoint serves an endpoint on a loopback address and returns the address.
func startEndpoint(t *testing.T, maxConns int) string {
	d := New(Settings{Name: "d"}, Adapter{})
	l := listen(t)
	address := l.Addr().String()
	l.Close()
	h := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("X", strings.Repeat("x", 2<<10))
	})
	if err := d.listen(endpoint{"readiness", address, maxConns, h}); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { d.auxServers[0].Close() })
	return address
}

// dial connects to an address.
func dial(t *testing.T, address string) net.Conn {
	c, err := net.Dial("tcp4", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	if err := c.SetDeadline(time.Now().Add(20 * time.Second)); err != nil { // only ends a hang
		t.Fatal(err)
	}
	return c
}

// Load pattern: groups of callers stop half-way at an endpoint other than the frontend.
// Guards against connections without limit, and against ordinary callers that find no room.
func TestEndpoint_ServesWhileCallersStop(t *testing.T) {
	for name, start := range map[string]string{
		"silent":      "",
		"head":        "GET / HTTP/1.1\r\nHost: h\r\n" + strings.Repeat("a:\r\n", 500),
		"rest of it":  "GET / HTTP/1.1\r\nHost: h\r\n\r\nGET",
		"large heads": "GET / HTTP/1.1\r\nHost: h\r\nX: " + strings.Repeat("x", auxHeaderBytes) + strings.Repeat("x", 64<<10),
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			const limit = 64
			address := startEndpoint(t, limit)
			var conns []net.Conn
			for range 4 * limit {
				c := dial(t, address)
				_, _ = io.WriteString(c, start) // fails if it is closed by now
				conns = append(conns, c)
			}
			resp, err := http.Get("http://" + address)
			is.NoErr(err)
			resp.Body.Close()
			is.Equal(resp.StatusCode, http.StatusOK)
			closed := make(chan bool, len(conns))
			for _, c := range conns {
				go func() {
					_, err := io.Copy(io.Discard, c)
					timeout, ok := err.(net.Error)
					closed <- !ok || !timeout.Timeout()
				}()
			}
			for range 3 * limit { // as many are too many
				is.True(<-closed)
			}
		})
	}
}

// Load pattern: callers send many requests ahead to an endpoint and read no responses, or
// stop within a body. Guards against connections that are held until the caller goes.
func TestEndpoint_EndsRequestsOfCallersThatStop(t *testing.T) {
	address := startEndpoint(t, 64)
	t.Run("not reading", func(t *testing.T) {
		t.Parallel()
		is := is.New(t)
		c := dial(t, address)
		is.NoErr(c.(*net.TCPConn).SetReadBuffer(4 << 10))
		var err error
		for err == nil {
			_, err = io.WriteString(c, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
		}
		timeout, ok := err.(net.Error)
		is.True(!ok || !timeout.Timeout()) // the connection is closed
	})
	t.Run("body", func(t *testing.T) {
		t.Parallel()
		is := is.New(t)
		c := dial(t, address)
		_, err := io.WriteString(c, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nbod")
		is.NoErr(err)
		_, err = io.Copy(io.Discard, c)
		timeout, ok := err.(net.Error)
		is.True(!ok || !timeout.Timeout()) // the connection is closed
	})
}

// Load pattern: callers send requests ahead faster than they are handled. Guards against
// memory of the kernel for each connection that counts as memory of the process.
func TestListenTCP_LimitsUnreadBytes(t *testing.T) {
	is := is.New(t)
	d := New(Settings{Name: "d"}, Adapter{})
	d.settings.MemoryBytes = 136 << 20
	l, err := d.listenTCP("127.0.0.1:0")
	is.NoErr(err)
	defer l.Close()
	c := dial(t, l.Addr().String())
	accepted, err := l.Accept()
	is.NoErr(err)
	defer accepted.Close()
	raw, err := accepted.(*net.TCPConn).SyscallConn()
	is.NoErr(err)
	var size int
	is.NoErr(raw.Control(func(fd uintptr) {
		size, err = unix.GetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF)
	}))
	is.NoErr(err)
	is.Equal(size, 2*receiveBuffer) // as Linux reports it
	_, err = c.Write(make([]byte, 14<<10))
	is.NoErr(err)
	_, err = io.ReadFull(accepted, make([]byte, 14<<10))
	is.NoErr(err)
}

// buffer is a destination of log lines.
type buffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (b *buffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.b.Write(p)
}

// Load pattern: limits close many connections a second. Guards against a log line for each,
// and against connections that are not counted.
func TestClientClosed_LogsOnceInInterval(t *testing.T) {
	is := is.New(t)
	d := New(Settings{Name: "d"}, Adapter{})
	var out buffer
	writer := eventlog.NewWriter(&out)
	d.log = eventlog.New(writer, "d")
	for range 10 {
		d.clientClosed("directory", clientlimit.CauseConnections)
		d.clientClosed(frontendEndpoint, clientlimit.CauseBodyStalled)
	}
	d.closings.loggedAt = d.closings.loggedAt.Add(-closingLogInterval)
	d.clientClosed(frontendEndpoint, clientlimit.CauseHeadMemory)
	writer.Close(10 * time.Second)
	text := out.b.String()
	is.Equal(strings.Count(text, `"event":"client_closed"`), 2)
	is.True(strings.Contains(text, `"endpoint":"directory","cause":"connections","closed":1`))
	is.True(strings.Contains(text, `"endpoint":"frontend","cause":"head_memory","closed":20`))

	resp := httptest.NewRecorder()
	d.metrics.ServeHTTP(resp, nil)
	for _, line := range []string{
		"cassialatch_clients_closed_connections_total 10",
		"cassialatch_clients_closed_body_stalled_total 10",
		"cassialatch_clients_closed_head_memory_total 1",
		"cassialatch_client_connections 0",
		"cassialatch_head_memory_bytes 0",
	} {
		is.True(strings.Contains(resp.Body.String(), line+"\n")) // the name of the metric
	}
}
