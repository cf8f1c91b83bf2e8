package caller_test

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"

	"cassialatch.dev/outcome"
	"cassialatch.dev/standin/caller"
	"cassialatch.dev/standin/engine"
	"cassialatch.dev/wire/engineapi"
	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
)

// newClient starts a server for each handler, as a daemon, and an entry address
// that lists them, and returns a client that uses them.
func newClient(t *testing.T, handlers ...http.HandlerFunc) *caller.Client {
	endpoints := caller.Endpoints{TTLMs: 60_000, Tickets: []string{"t1", "t2"}}
	for _, h := range handlers {
		server := httptest.NewServer(h)
		t.Cleanup(server.Close)
		endpoints.Addresses = append(endpoints.Addresses, caller.Address{Address: server.Listener.Addr().String()})
	}
	entry := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_ = json.NewEncoder(w).Encode(endpoints)
	}))
	t.Cleanup(entry.Close)
	h := caller.NewHTTPClient()
	t.Cleanup(h.CloseIdleConnections)
	return caller.New(h, "w", []string{entry.Listener.Addr().String()}, rand.New(rand.NewPCG(1, 1)))
}

func refuse(o outcome.Outcome, code outcome.Code) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set(outcome.HeaderOutcome, string(o))
		w.Header().Set(outcome.HeaderCode, string(code))
		w.WriteHeader(outcome.Status(code))
	}
}

func abort(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }

var chatCall = caller.ChatCall{
	Request:   engineapi.ChatRequest{Messages: []engineapi.Message{{Role: "user", Content: "hi"}}, MaxTokens: 3},
	RequestID: "r1",
}

// streamHandler responds with a stream of the given words. The response is
// complete unless a flag is set.
type streamHandler struct {
	words       []string
	noEndMarker bool
	noTrailer   bool
	aborted     bool
	skipSeq     bool // skip the first sequence number
}

func (s streamHandler) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set(outcome.HeaderChat, "token")
	for i, word := range s.words {
		if i > 0 {
			word = " " + word
		}
		event := engineapi.StreamEvent{Seq: i, Choices: []engineapi.Choice{{Delta: &engineapi.Message{Content: word}}}}
		if s.skipSeq {
			event.Seq++
		}
		body, _ := json.Marshal(event)
		fmt.Fprintf(w, "data: %s\n\n", body)
	}
	_ = http.NewResponseController(w).Flush() // trailers require a chunked response
	if s.aborted {
		abort(w, nil)
	}
	if !s.noEndMarker {
		fmt.Fprintf(w, "data: %s\n\n", engineapi.StreamDone)
	}
	if !s.noTrailer {
		w.Header().Set(http.TrailerPrefix+outcome.HeaderOutcome, string(outcome.Answered))
	}
}

func TestClientChat_AcceptsOnlyCompleteMatchingResponse(t *testing.T) {
	words := engine.ExpectedWords(chatCall.Request)
	tests := map[string]struct {
		stream streamHandler
		defect caller.Defect // empty: none
	}{
		"complete":           {streamHandler{words: words}, ""},
		"aborted":            {streamHandler{words: words, aborted: true}, caller.DefectAborted},
		"words missing":      {streamHandler{words: words[:2]}, caller.DefectTruncated},
		"end marker missing": {streamHandler{words: words, noEndMarker: true}, caller.DefectTruncated},
		"trailer missing":    {streamHandler{words: words, noTrailer: true}, caller.DefectTruncated},
		"other response":     {streamHandler{words: []string{"x", "y", "z"}}, caller.DefectMismatched},
		"too long":           {streamHandler{words: append(words[:3:3], "x")}, caller.DefectMismatched},
		"events skipped":     {streamHandler{words: words, skipSeq: true}, caller.DefectMismatched},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			response, err := newClient(t, test.stream.ServeHTTP).Chat(context.Background(), chatCall)
			var invalid *caller.InvalidResponseError
			if test.defect == "" {
				is.NoErr(err)
				is.Equal(response.Content, strings.Join(words, " "))
				is.Equal(response.Token, "token")
				return
			}
			is.True(errors.As(err, &invalid))
			is.Equal(invalid.Defect, test.defect)
		})
	}
}

func TestClientChat_RetriesRefusedRequest(t *testing.T) {
	is := is.New(t)
	complete := streamHandler{words: engine.ExpectedWords(chatCall.Request)}
	c := newClient(t, refuse(outcome.NotRun, outcome.CodeOverloaded), complete.ServeHTTP)
	_, err := c.Chat(context.Background(), chatCall)
	is.NoErr(err)
	is.Equal(c.Retries(), 1)
}

func TestClientChat_NoRetryAfterUnknownOutcome(t *testing.T) {
	for name, first := range map[string]http.HandlerFunc{
		"outcome unknown":    refuse(outcome.Unknown, outcome.CodeBackendFailed),
		"connection aborted": abort,
		"no outcome header":  func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusBadGateway) },
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			c := newClient(t, first, func(http.ResponseWriter, *http.Request) { t.Error("request was retried") })
			_, err := c.Chat(context.Background(), chatCall)
			is.Equal(outcome.From(err).Outcome, outcome.Unknown)
		})
	}
}

func TestClientCall_ReusesTicketAfterUnknownOutcome(t *testing.T) {
	is := is.New(t)
	var mu sync.Mutex
	var tickets []string
	recordTicket := func(next http.HandlerFunc) http.HandlerFunc {
		return func(w http.ResponseWriter, r *http.Request) {
			mu.Lock()
			tickets = append(tickets, r.Header.Get(outcome.HeaderTicket))
			mu.Unlock()
			next(w, r)
		}
	}
	c := newClient(t,
		recordTicket(abort),
		recordTicket(refuse(outcome.NotRun, outcome.CodeTicketExpired)),
		recordTicket(func(w http.ResponseWriter, _ *http.Request) { fmt.Fprint(w, "{}") }))
	book := caller.ServiceCall{Service: "arkiv-app", Method: http.MethodPost, Path: "/bookings", Body: []byte("{}")}
	response, err := c.Call(context.Background(), book)
	is.NoErr(err)
	is.Equal(response.Status, http.StatusOK)
	is.Equal(tickets, []string{"t1", "t1", "t1"})
}

func TestClientCall_UsesNewTicketAfterRefusal(t *testing.T) {
	for _, code := range []outcome.Code{outcome.CodeTicketExpired, outcome.CodeOverloaded} {
		t.Run(string(code), func(t *testing.T) {
			is := is.New(t)
			c := newClient(t, refuse(outcome.NotRun, code), func(w http.ResponseWriter, r *http.Request) {
				fmt.Fprint(w, r.Header.Get(outcome.HeaderTicket))
			})
			response, err := c.Call(context.Background(), caller.ServiceCall{Method: http.MethodPost, Path: "/bookings"})
			is.NoErr(err)
			is.Equal(string(response.Body), "t2")
		})
	}
}

func TestClientCall_OutcomeStaysUnknownAfterLaterRefusal(t *testing.T) {
	is := is.New(t)
	c := newClient(t, abort, refuse(outcome.NotRun, outcome.CodeForbidden))
	_, err := c.Call(context.Background(), caller.ServiceCall{Method: http.MethodPost, Path: "/bookings"})
	is.Equal(outcome.From(err).Outcome, outcome.Unknown)
}

func TestWaitReady_ReturnsWhenDaemonIsReady(t *testing.T) {
	is := is.New(t)
	var polls atomic.Int32
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if polls.Add(1) == 1 {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	}))
	defer server.Close()
	is.NoErr(caller.WaitReady(context.Background(), http.DefaultClient, []string{server.Listener.Addr().String()}))
	is.Equal(polls.Load(), int32(2))
}
