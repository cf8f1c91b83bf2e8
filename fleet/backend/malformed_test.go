package backend

import (
	"context"
	"net/http"
	"testing"

	"github.com/matryer/is"

	"cassialatch.dev/outcome"
	"cassialatch.dev/standin/rawserver"
	"cassialatch.dev/wire/engineapi"
)

// Guards against a malformed response that is forwarded.
func TestClientDo_RejectsMalformedResponse(t *testing.T) {
	for name, response := range rawserver.Malformed("{}") {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			client := NewClient(nil)
			defer client.Close()
			ctx, cancel := context.WithTimeout(t.Context(), hangTimeout)
			defer cancel()
			sink := &fakeSink{}
			address := rawserver.Start(t, response, rawserver.ReadOn)
			_, err := client.Do(ctx, Call{Address: address, Method: http.MethodGet, Path: "/"}, sink)
			is.True(err != nil)
			is.NoErr(ctx.Err()) // ends at once
			is.Equal(outcome.From(err).Outcome, outcome.Unknown)
			if name == "trailer" { // the rest has been forwarded
				is.Equal(outcome.From(err).Code, outcome.CodeResponseTruncated)
				return
			}
			is.Equal(outcome.From(err).Code, outcome.CodeBackendFailed)
			is.Equal(sink.heads, 0)
		})
	}
}

// Guards against a malformed load report, and a malformed response to an order that is taken
// for its acceptance.
func TestClientReportAndOrder_RejectMalformedResponse(t *testing.T) {
	for name, response := range rawserver.Malformed("{}") {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			client := NewClient(nil)
			defer client.Close()
			address := rawserver.Start(t, response, rawserver.ReadOn)
			_, err := client.Report(t.Context(), address)
			is.True(err != nil)
			if name != "trailer" { // the body of a response to an order says nothing
				is.True(client.Order(t.Context(), address, engineapi.Order{}) != nil)
			}
		})
	}
}

// Guards against a load report that is used although its response breaks off or goes on after
// the JSON value.
func TestClientReport_RejectsBrokenBody(t *testing.T) {
	for name, response := range rawserver.Broken("{}") {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			client := NewClient(nil)
			defer client.Close()
			_, err := client.Report(t.Context(), rawserver.Start(t, response, rawserver.Close))
			is.True(err != nil)
		})
	}
}
