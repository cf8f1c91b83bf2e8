package backend

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"cassialatch.dev/outcome"
	"cassialatch.dev/wire/engineapi"
)

// hangTimeout ends a call that would otherwise last for ever.
const hangTimeout = 20 * time.Second

// sendRaw is a backend server that responds to the first request with the given
// bytes. It returns its address and a channel that is closed when the client has
// closed the connection.
func sendRaw(t *testing.T, response string) (address string, closed <-chan struct{}) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	done := make(chan struct{})
	go func() {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		defer close(done)
		defer conn.Close()
		in := bufio.NewReader(conn)
		if _, err := http.ReadRequest(in); err != nil {
			return
		}
		_, _ = io.WriteString(conn, response)
		_, _ = io.Copy(io.Discard, in) // until the client closes the connection
	}()
	return listener.Addr().String(), done
}

// largeHeads are responses with more headers than the limit, each with the end of a
// sound response.
func largeHeads(end string) map[string]string {
	fill := func(s string) string { return strings.Repeat(s, maxHeaderBytes/len(s)+1) }
	return map[string]string{
		"headers": "HTTP/1.1 200 OK\r\n" + fill("A: b\r\n") + end,
		"header":  "HTTP/1.1 200 OK\r\nA: " + fill("b") + "\r\n" + end,
		"1xx":     fill("HTTP/1.1 103 Early Hints\r\n\r\n") + "HTTP/1.1 200 OK\r\n" + end,
	}
}

// A server in trouble sends interim responses or headers without end.
func TestClientDoRejectsLargeHead(t *testing.T) {
	for name, response := range largeHeads("Content-Length: 2\r\n\r\n{}") {
		for _, idempotent := range []bool{true, false} {
			t.Run(name, func(t *testing.T) {
				is := is.New(t)
				address, closed := sendRaw(t, response)
				client := NewClient(nil)
				defer client.Close()
				ctx, cancel := context.WithTimeout(t.Context(), hangTimeout)
				defer cancel()
				sink := &fakeSink{}
				_, err := client.Do(ctx, Call{Address: address, Method: http.MethodGet, Path: "/", Idempotent: idempotent}, sink)
				e := outcome.From(err)
				is.Equal(e.Outcome, outcome.Unknown)
				is.Equal(e.Code, outcome.CodeBackendFailed)
				is.Equal(sink.heads, 0)
				<-closed
			})
		}
	}
}

// A load report or the response to an order from a server in trouble.
func TestClientReportAndOrderRejectLargeHead(t *testing.T) {
	for name, response := range largeHeads("Content-Length: 2\r\n\r\n{}") {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			client := NewClient(nil)
			defer client.Close()
			ctx, cancel := context.WithTimeout(t.Context(), hangTimeout)
			defer cancel()
			address, closed := sendRaw(t, response)
			_, err := client.Report(ctx, address)
			is.True(err != nil)
			<-closed
			address, closed = sendRaw(t, response)
			is.True(client.Order(ctx, address, engineapi.Order{}) != nil)
			<-closed
		})
	}
}

// A load report without end, or one whose end does not arrive.
func TestClientReportEndsEarly(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\n\r\n"
	t.Run("endless", func(t *testing.T) {
		is := is.New(t)
		client := NewClient(nil)
		defer client.Close()
		ctx, cancel := context.WithTimeout(t.Context(), hangTimeout)
		defer cancel()
		address, closed := sendRaw(t, head+`{"instance":"`+strings.Repeat("x", 2*maxReportBytes))
		_, err := client.Report(ctx, address)
		var invalid *ReportError
		is.True(errors.As(err, &invalid))
		is.NoErr(ctx.Err())
		<-closed
	})
	t.Run("trickle", func(t *testing.T) {
		is := is.New(t)
		client := NewClient(nil)
		defer client.Close()
		ctx, cancel := context.WithCancel(t.Context())
		closed := make(chan struct{})
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			defer close(closed)
			_, _ = io.WriteString(w, `{"instance":"`)
			_ = http.NewResponseController(w).Flush()
			cancel() // as the timeout of a report does
			<-r.Context().Done()
		}))
		defer server.Close()
		_, err := client.Report(ctx, server.Listener.Addr().String())
		is.True(errors.Is(err, context.Canceled))
		<-closed
	})
}

// A body without end is forwarded in small parts until the context of the call ends.
func TestClientDoEndsEndlessBodyWithContext(t *testing.T) {
	for _, contentType := range []string{eventStream, "application/json"} {
		t.Run(contentType, func(t *testing.T) {
			is := is.New(t)
			closed := make(chan struct{})
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				defer close(closed)
				w.Header().Set("Content-Type", contentType)
				for r.Context().Err() == nil {
					_, _ = io.WriteString(w, strings.Repeat("x", 1<<10)) // a line without end
				}
			}))
			defer server.Close()
			client := NewClient(nil)
			defer client.Close()
			ctx, cancel := context.WithCancel(t.Context())
			sink := &partSink{cancel: cancel}
			_, err := client.Do(ctx, Call{Address: server.Listener.Addr().String(), Method: http.MethodGet, Path: "/"}, sink)
			e := outcome.From(err)
			is.Equal(e.Outcome, outcome.Unknown)
			is.Equal(e.Code, outcome.CodeCallerGone)
			is.True(sink.largest <= 2*responseBufferLen)
			<-closed
		})
	}
}

// partSink records the largest part that it receives, and ends the call once it has
// received much more than any buffer holds.
type partSink struct {
	largest, received int
	cancel            context.CancelFunc
}

// Head implements Sink.
func (*partSink) Head(int, http.Header) error { return nil }

// Data implements Sink.
func (s *partSink) Data(p []byte) error {
	s.largest = max(s.largest, len(p))
	if s.received += len(p); s.received > 1<<20 {
		s.cancel()
	}
	return nil
}

// A redirect must not make a daemon take another server's load report for that of
// the server it asked, or send the order to another server.
func TestClientFollowsNoRedirect(t *testing.T) {
	is := is.New(t)
	asked := make(chan string, 2)
	other := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		asked <- r.URL.Path
		_, _ = io.WriteString(w, "{}")
	}))
	defer other.Close()
	server := httptest.NewServer(http.RedirectHandler(other.URL, http.StatusTemporaryRedirect))
	defer server.Close()
	client := NewClient(nil)
	defer client.Close()
	address := server.Listener.Addr().String()
	_, err := client.Report(t.Context(), address)
	var status *StatusError
	is.True(errors.As(err, &status))
	is.True(errors.As(client.Order(t.Context(), address, engineapi.Order{}), &status))
	is.Equal(len(asked), 0)
}
