// Package callers tests the responses to invalid requests and the handling of
// callers that are slow or disconnect.
package callers

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/goleak"

	"cassialatch.dev/config/setting"
	"cassialatch.dev/outcome"
	"cassialatch.dev/standin/engine"
	"cassialatch.dev/tests/harness"
)

const chatPath = "/v1/chat/completions"

// validChat is the body of a valid chat request.
const validChat = `{"model":"klang-model","messages":[{"role":"user","content":"hei"}],"max_tokens":4,"stream":true}`

// response is the result of a request as its caller received it.
type response struct {
	status  int
	header  http.Header
	code    outcome.Code
	outcome outcome.Outcome
}

// sendRequest sends one request and decodes the error body, if there is one.
func sendRequest(t *testing.T, address, method, path, workspace string, body io.Reader, header http.Header) response {
	t.Helper()
	req, err := http.NewRequest(method, "http://"+address+path, body)
	if err != nil {
		t.Fatal(err)
	}
	if header != nil {
		req.Header = header
	}
	req.Header.Set(outcome.HeaderWorkspace, workspace)
	req.Close = true
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	var errorBody struct {
		Error struct {
			Code    outcome.Code    `json:"code"`
			Outcome outcome.Outcome `json:"outcome"`
		} `json:"error"`
	}
	if resp.StatusCode >= http.StatusBadRequest {
		if err := json.NewDecoder(resp.Body).Decode(&errorBody); err != nil && resp.Header.Get(outcome.HeaderCode) != "" {
			t.Fatal(err)
		}
	}
	return response{status: resp.StatusCode, header: resp.Header, code: errorBody.Error.Code, outcome: errorBody.Error.Outcome}
}

func TestInvalidRequestsAreRefusedAsNotRun(t *testing.T) {
	f := harness.Start(t, harness.Options{Daemons: 1, Engines: 1, Services: 1, ModifySettings: func(s *setting.Settings) {
		s.Limits.MaxBodyBytes = 4096
	}})
	address := f.Daemons[0].Settings.Listen.Caller
	long := strings.Repeat("x", 5000)
	for _, tc := range []struct {
		name, method, path, workspace, body string
		status                              int
		code                                outcome.Code
	}{
		{"malformed JSON", "POST", chatPath, "skule", `{"model":`, 400, outcome.CodeBadRequest},
		{"more than one value", "POST", chatPath, "skule", validChat + "{}", 400, outcome.CodeBadRequest},
		{"no messages", "POST", chatPath, "skule", `{"model":"klang-model"}`, 400, outcome.CodeBadRequest},
		{"wrong type", "POST", chatPath, "skule", `{"model":7,"messages":[]}`, 400, outcome.CodeBadRequest},
		{"body too large", "POST", chatPath, "skule", `{"model":"` + long + `"}`, 413, outcome.CodeBodyTooLarge},
		{"unknown model", "POST", chatPath, "skule", `{"model":"m","messages":[{"role":"user","content":"a"}]}`, 404, outcome.CodeUnknownModel},
		{"unknown workspace", "POST", chatPath, "nobody", validChat, 403, outcome.CodeUnknownWorkspace},
		{"no workspace", "POST", chatPath, "", validChat, 403, outcome.CodeUnknownWorkspace},
		{"unknown service", "GET", "/svc/nothing/a", "skule", "", 404, outcome.CodeUnknownService},
		{"unknown path", "GET", "/v2/anything", "skule", "", 404, outcome.CodeUnknownService},
		{"booking without a ticket", "POST", "/svc/arkiv-app/bookings", "skule", `{"id":"a"}`, 428, outcome.CodeTicketRequired},
	} {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			got := sendRequest(t, address, tc.method, tc.path, tc.workspace, strings.NewReader(tc.body), nil)
			is.Equal(got.status, tc.status)
			is.Equal(got.code, tc.code)
			is.Equal(got.outcome, outcome.NotRun)
			is.Equal(got.header.Get(outcome.HeaderOutcome), string(outcome.NotRun))
		})
	}
	t.Run("forged ticket", func(t *testing.T) {
		is := is.New(t)
		header := http.Header{outcome.HeaderTicket: {"k1.forged"}}
		got := sendRequest(t, address, "POST", "/svc/arkiv-app/bookings", "skule", strings.NewReader(`{"id":"a"}`), header)
		is.Equal(got.code, outcome.CodeTicketInvalid)
		is.Equal(got.outcome, outcome.NotRun)
	})
	t.Run("oversized header", func(t *testing.T) {
		is := is.New(t)
		header := http.Header{"X-Long": {strings.Repeat("x", 1<<20)}}
		got := sendRequest(t, address, "POST", chatPath, "skule", strings.NewReader(validChat), header)
		is.Equal(got.status, http.StatusRequestHeaderFieldsTooLarge)
	})
	is := is.New(t)
	is.Equal(f.Engines[0].Stats().Started, 0) // no request was forwarded
	is.Equal(len(f.Services[0].Ledger().Bookings), 0)
}

func TestSlowRequestBodyTimesOutAsNotRun(t *testing.T) {
	is := is.New(t)
	f := harness.Start(t, harness.Options{Daemons: 1, Engines: 1, ModifySettings: func(s *setting.Settings) {
		s.Limits.BodyTimeout = 200 * time.Millisecond
	}})
	conn, err := net.Dial("tcp", f.Daemons[0].Settings.Listen.Caller)
	is.NoErr(err)
	defer conn.Close()
	fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: a\r\n%s: skule\r\nContent-Length: 100\r\n\r\n{", chatPath, outcome.HeaderWorkspace)
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	is.NoErr(err)
	defer resp.Body.Close()
	is.Equal(resp.StatusCode, http.StatusRequestTimeout)
	is.Equal(resp.Header.Get(outcome.HeaderOutcome), string(outcome.NotRun))
	is.Equal(f.Engines[0].Stats().Started, 0)
}

func TestCallerDisconnectCancelsEngineStream(t *testing.T) {
	is := is.New(t)
	slow := engine.DefaultConfig()
	slow.DecodePerToken = 20 * time.Millisecond
	f := harness.Start(t, harness.Options{Daemons: 3, Engines: 3, Engine: slow})
	for _, d := range f.Daemons { // each chat enters the fleet at a different daemon, but has the same home
		ctx, cancel := context.WithCancel(context.Background())
		body := strings.Replace(validChat, `"max_tokens":4`, `"max_tokens":5000`, 1)
		req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+d.Settings.Listen.Caller+chatPath, strings.NewReader(body))
		is.NoErr(err)
		req.Header.Set(outcome.HeaderWorkspace, "skule")
		resp, err := http.DefaultClient.Do(req)
		is.NoErr(err)
		_, err = io.ReadFull(resp.Body, make([]byte, 64))
		is.NoErr(err)
		cancel()
		resp.Body.Close()
	}
	f.Eventually("engines cancelled the requests", func() bool {
		cancelled := 0
		for _, e := range f.Engines {
			cancelled += e.Stats().Cancelled
		}
		return cancelled == len(f.Daemons)
	})
}

func TestStoppedFleetLeaksNoGoroutines(t *testing.T) {
	ignore := goleak.IgnoreCurrent()
	t.Run("fleet", func(t *testing.T) {
		f := harness.Start(t, harness.Options{Daemons: 3, Engines: 2, Services: 1})
		for _, body := range []string{validChat, "{"} {
			sendRequest(t, f.Daemons[0].Settings.Listen.Caller, "POST", chatPath, "skule", bytes.NewReader([]byte(body)), nil)
		}
	})
	http.DefaultClient.CloseIdleConnections()
	goleak.VerifyNone(t, ignore)
}

// The first copy of a booking runs at one daemon. A second daemon that refuses a
// later copy at its own rate limit must not report the booking as not run.
func TestRefusedResendOfBookingIsNotReportedNotRun(t *testing.T) {
	is := is.New(t)
	f := harness.Start(t, harness.Options{Daemons: 2, Services: 1, Base: harness.BaseDocument + "requests_per_sec = 1.0\nburst = 1\n"})
	entry := struct {
		Tickets []string `json:"tickets"`
	}{}
	first, second := f.Daemons[0].Settings.Listen.Caller, f.Daemons[1].Settings.Listen.Caller
	resp, err := http.Get("http://" + first + "/v1/entry?tickets=1")
	is.NoErr(err)
	is.NoErr(json.NewDecoder(resp.Body).Decode(&entry))
	resp.Body.Close()
	book := func(address string) response {
		header := http.Header{outcome.HeaderTicket: entry.Tickets}
		return sendRequest(t, address, "POST", "/svc/arkiv-app/bookings", "skule", strings.NewReader(`{"id":"a"}`), header)
	}
	is.Equal(book(first).status, http.StatusOK)
	refused := false
	for range 5 { // the second daemon refuses some of them because of its own rate limit
		got := book(second)
		refused = refused || got.status >= http.StatusBadRequest
		is.True(got.outcome != outcome.NotRun)
	}
	is.True(refused)
	is.Equal(f.Services[0].Ledger().Bookings["a"], 1)
}
