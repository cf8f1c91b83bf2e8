package peers

import (
	"context"
	"errors"
	"net"
	"strings"
	"testing"

	"github.com/matryer/is"

	"cassialatch.dev/gateway/boottime"
	"cassialatch.dev/gateway/catalog"
	"cassialatch.dev/standin/rawserver"
)

// checkFetchFails checks that the state of a peer with the address can't be fetched, for a
// reason that the error names.
func checkFetchFails(t *testing.T, address string) {
	is := is.New(t)
	is.Helper()
	host, port, err := net.SplitHostPort(address)
	is.NoErr(err)
	got := &adopted{}
	f := NewFetcher(catalog.New(boottime.Now), boottime.Now, port, got, &fetchLog{})
	err = f.fetch(t.Context(), host)
	var fetchErr *FetchError
	is.True(errors.As(err, &fetchErr))
	is.True(fetchErr.Cause != nil)
	is.True(!strings.Contains(err.Error(), "nil"))
	is.True(!errors.Is(err, context.DeadlineExceeded)) // rejected at once
	is.Equal(got.state.Revision, int64(0))
}

// Guards against a response that breaks off, or goes on, after a JSON value and is taken for a
// complete state.
func TestFetch_RejectsBrokenBody(t *testing.T) {
	for name, response := range rawserver.Broken(stateJSON) {
		t.Run(name, func(t *testing.T) { checkFetchFails(t, rawserver.Start(t, response, rawserver.Close)) })
	}
}

// Guards against a malformed response, of a peer in trouble or of something else at its
// address, that is taken for the peer's state.
func TestFetch_RejectsMalformedResponse(t *testing.T) {
	for name, response := range rawserver.Malformed(stateJSON) {
		t.Run(name, func(t *testing.T) { checkFetchFails(t, rawserver.Start(t, response, rawserver.ReadOn)) })
	}
}
