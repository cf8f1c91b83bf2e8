package backend

import (
	"net"
	"net/http"
	"testing"

	"github.com/matryer/is"

	"cassialatch.dev/outcome"
	"cassialatch.dev/standin/rawserver"
)

// unreadBody is a request body whose write lasts until the connection ends.
var unreadBody = make([]byte, rawserver.UnreadBytes)

// headSink reports when it has received the head of a response.
type headSink struct {
	fakeSink
	received chan struct{}
}

// Head implements Sink.
func (s *headSink) Head(status int, h http.Header) error {
	s.received <- struct{}{}
	return s.fakeSink.Head(status, h)
}

// Load pattern: long requests to a server that responds at once and breaks off while they are
// being sent. Guards against a part of a response without a length that is taken for the whole:
// the kernel reports a reset once only, also to a write. Which of read and write is told of it
// is not determined, so the call is repeated.
func TestClientDo_ResetDuringUploadEndsNoResponse(t *testing.T) {
	const calls = 1000
	is := is.New(t)
	sink := &headSink{received: make(chan struct{}, 1)}
	address := rawserver.Start(t, "HTTP/1.1 200 OK\r\n\r\npart", func(c *net.TCPConn) {
		<-sink.received
		rawserver.Reset(c)
	})
	client := NewClient(nil)
	defer client.Close()
	whole := 0
	for range calls {
		_, err := client.Do(t.Context(), Call{Address: address, Method: http.MethodPost, Path: "/", Body: unreadBody}, sink)
		if err == nil {
			whole++
			continue
		}
		is.Equal(outcome.From(err).Outcome, outcome.Unknown)
	}
	is.Equal(sink.heads, calls)
	is.Equal(whole, 0) // responses that look complete
}

// A server may send its whole response, also one without a length, while a long request is
// still being sent, and read on.
func TestClientDo_ForwardsCompleteEarlyResponse(t *testing.T) {
	is := is.New(t)
	address := rawserver.Start(t, "HTTP/1.1 200 OK\r\n\r\nwhole", func(c *net.TCPConn) {
		_ = c.CloseWrite()
		rawserver.ReadOn(c)
	})
	client := NewClient(nil)
	defer client.Close()
	sink := &fakeSink{}
	_, err := client.Do(t.Context(), Call{Address: address, Method: http.MethodPost, Path: "/", Body: unreadBody}, sink)
	is.NoErr(err)
	is.Equal(string(sink.data), "whole")
}
