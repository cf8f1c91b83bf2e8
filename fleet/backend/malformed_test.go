package backend

import (
	"context"
	"net/http"
	"testing"

	"github.com/matryer/is"

	"cassialatch.dev/outcome"
	"cassialatch.dev/wire/engineapi"
)

// malformedHeads are responses whose heads HTTP/1.1 does not allow.
var malformedHeads = map[string]string{
	"status 000":             "HTTP/1.1 000 Odd\r\nContent-Length: 2\r\n\r\n{}",
	"status 101":             "HTTP/1.1 101 Switching Protocols\r\nConnection: Upgrade\r\nUpgrade: x\r\n\r\n",
	"version":                "HTTP/2.0 200 OK\r\nContent-Length: 2\r\n\r\n{}",
	"blank in a field name":  "HTTP/1.1 200 OK\r\nX Y: 1\r\nContent-Length: 2\r\n\r\n{}",
	"blank after the length": "HTTP/1.1 200 OK\r\nContent-Length : 1\r\nContent-Length: 2\r\n\r\n{}",
	"informational response": "HTTP/1.1 103 Early Hints\r\nX Y: 1\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}",
}

// malformedTrailer is a response with a trailer field that HTTP/1.1 does not allow.
const malformedTrailer = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n0\r\nX Y: 1\r\n\r\n"

// call sends a call to a server that responds with the bytes, and returns its error.
func call(t *testing.T, response string, sink Sink) *outcome.Error {
	is := is.New(t)
	is.Helper()
	address, closed := sendRaw(t, response)
	client := NewClient(nil)
	defer client.Close()
	ctx, cancel := context.WithTimeout(t.Context(), hangTimeout)
	defer cancel()
	_, err := client.Do(ctx, Call{Address: address, Method: http.MethodGet, Path: "/"}, sink)
	is.True(err != nil)
	is.NoErr(ctx.Err()) // ends at once
	<-closed
	return outcome.From(err)
}

// Guards against a malformed response that is forwarded.
func TestClientDo_RejectsMalformedResponse(t *testing.T) {
	for name, response := range malformedHeads {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			sink := &fakeSink{}
			err := call(t, response, sink)
			is.Equal(err.Outcome, outcome.Unknown)
			is.Equal(err.Code, outcome.CodeBackendFailed)
			is.Equal(sink.heads, 0)
		})
	}
	t.Run("trailer", func(t *testing.T) {
		is := is.New(t)
		err := call(t, malformedTrailer, &fakeSink{})
		is.Equal(err.Outcome, outcome.Unknown)
		is.Equal(err.Code, outcome.CodeResponseTruncated)
	})
}

// Guards against a malformed load report, and a malformed response to an order that is taken
// for its acceptance.
func TestClientReportAndOrder_RejectMalformedResponse(t *testing.T) {
	client := NewClient(nil)
	defer client.Close()
	report := func(t *testing.T, response string) error {
		address, _ := sendRaw(t, response)
		_, err := client.Report(t.Context(), address)
		return err
	}
	for name, response := range malformedHeads {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			is.True(report(t, response) != nil)
			address, _ := sendRaw(t, response)
			is.True(client.Order(t.Context(), address, engineapi.Order{}) != nil)
		})
	}
	t.Run("trailer", func(t *testing.T) {
		is := is.New(t)
		is.True(report(t, malformedTrailer) != nil)
	})
}
