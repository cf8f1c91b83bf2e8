package plainservice_test

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"cassialatch.dev/outcome"
	"cassialatch.dev/standin/plainservice"
	"cassialatch.dev/wire/engineapi"
	"github.com/matryer/is"
)

func serve(t *testing.T, c plainservice.Config) (*plainservice.Service, string) {
	s := plainservice.New(c)
	server := httptest.NewUnstartedServer(s)
	server.Listener = s.WrapListener(server.Listener)
	server.Start()
	t.Cleanup(server.Close)
	return s, server.URL
}

// book posts one booking over a new connection.
func book(url, id string, headers ...string) (status int, body string, err error) {
	req, err := http.NewRequest(http.MethodPost, url+"/bookings", strings.NewReader(`{"id":"`+id+`"}`))
	if err != nil {
		return 0, "", err
	}
	for i := 0; i < len(headers); i += 2 {
		req.Header.Set(headers[i], headers[i+1])
	}
	resp, err := (&http.Transport{DisableKeepAlives: true}).RoundTrip(req)
	if err != nil {
		return 0, "", err
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	return resp.StatusCode, string(b), err
}

func TestService_LedgerCountsEachRun(t *testing.T) {
	is := is.New(t)
	s, url := serve(t, plainservice.Config{})
	for range 2 {
		_, _, err := book(url, "b1", outcome.HeaderIdempotencyKey, "k")
		is.NoErr(err)
	}
	is.Equal(s.Ledger().Bookings["b1"], 2)
}

func TestService_CheckedKeyRunsOnceWithSameResponse(t *testing.T) {
	is := is.New(t)
	s, url := serve(t, plainservice.Config{CheckKey: true})
	_, first, err := book(url, "b1", outcome.HeaderIdempotencyKey, "k")
	is.NoErr(err)
	_, second, err := book(url, "b1", outcome.HeaderIdempotencyKey, "k")
	is.NoErr(err)
	is.Equal(first, second)
	is.Equal(s.Ledger().Bookings["b1"], 1)
	is.Equal(s.Ledger().Replayed, 1)
}

func TestService_CheckedFenceRefusesOldNumber(t *testing.T) {
	is := is.New(t)
	s, url := serve(t, plainservice.Config{CheckFence: true})
	_, _, err := book(url, "b1", engineapi.HeaderFence, "7")
	is.NoErr(err)
	status, _, err := book(url, "b2", engineapi.HeaderFence, "6")
	is.NoErr(err)
	is.Equal(status, http.StatusConflict)
	is.Equal(s.Ledger().Bookings["b2"], 0)
}

func TestService_CallRunsOnlyIfFaultIsInResponse(t *testing.T) {
	runs := map[plainservice.FaultPoint]int{
		plainservice.FaultAtAccept:     0,
		plainservice.FaultAfterHeaders: 0,
		plainservice.FaultAfterBody:    0,
		plainservice.FaultInResponse:   1,
	}
	for point, want := range runs {
		t.Run(string(point), func(t *testing.T) {
			is := is.New(t)
			s, url := serve(t, plainservice.Config{})
			s.InjectFaults(point, 1)
			_, _, err := book(url, "b1")
			is.True(err != nil)
			is.Equal(s.Ledger().Bookings["b1"], want)
			_, _, err = book(url, "b2")
			is.NoErr(err) // exactly one fault was injected
		})
	}
}
