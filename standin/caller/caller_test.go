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

// daemons is a fake fleet: an entry that names daemons, each of which is a
// handler.
func daemons(t *testing.T, handlers ...http.HandlerFunc) *caller.Client {
	answer := caller.Endpoints{TTLMs: 60_000, Tickets: []string{"t1", "t2"}}
	for _, h := range handlers {
		server := httptest.NewServer(h)
		t.Cleanup(server.Close)
		answer.Addresses = append(answer.Addresses, caller.Address{Address: server.Listener.Addr().String()})
	}
	entry := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_ = json.NewEncoder(w).Encode(answer)
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

var call = caller.ChatCall{
	Request:   engineapi.ChatRequest{Messages: []engineapi.Message{{Role: "user", Content: "hi"}}, MaxTokens: 3},
	RequestID: "r1",
}

// stream answers with the given words, whole unless a flag says otherwise.
type stream struct {
	words     []string
	noMark    bool
	noTrailer bool
	cut       bool
	skip      bool // one event number
}

func (s stream) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set(outcome.HeaderChat, "token")
	for i, word := range s.words {
		if i > 0 {
			word = " " + word
		}
		event := engineapi.StreamEvent{Seq: i, Choices: []engineapi.Choice{{Delta: &engineapi.Message{Content: word}}}}
		if s.skip {
			event.Seq++
		}
		body, _ := json.Marshal(event)
		fmt.Fprintf(w, "data: %s\n\n", body)
	}
	_ = http.NewResponseController(w).Flush() // trailers need a chunked answer
	if s.cut {
		abort(w, nil)
	}
	if !s.noMark {
		fmt.Fprintf(w, "data: %s\n\n", engineapi.StreamDone)
	}
	if !s.noTrailer {
		w.Header().Set(http.TrailerPrefix+outcome.HeaderOutcome, string(outcome.Answered))
	}
}

func TestOnlyTheWholeAnswerToItsOwnRequestIsTaken(t *testing.T) {
	words := engine.ExpectedWords(call.Request)
	tests := map[string]struct {
		stream stream
		loss   caller.Defect // empty: whole
	}{
		"whole":            {stream{words: words}, ""},
		"cut":              {stream{words: words, cut: true}, caller.DefectAborted},
		"words missing":    {stream{words: words[:2]}, caller.DefectTruncated},
		"end mark missing": {stream{words: words, noMark: true}, caller.DefectTruncated},
		"trailer missing":  {stream{words: words, noTrailer: true}, caller.DefectTruncated},
		"another's":        {stream{words: []string{"x", "y", "z"}}, caller.DefectMismatched},
		"too long":         {stream{words: append(words[:3:3], "x")}, caller.DefectMismatched},
		"events skipped":   {stream{words: words, skip: true}, caller.DefectMismatched},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			answer, err := daemons(t, test.stream.ServeHTTP).Chat(context.Background(), call)
			var lost *caller.InvalidResponseError
			if test.loss == "" {
				is.NoErr(err)
				is.Equal(answer.Content, strings.Join(words, " "))
				is.Equal(answer.Token, "token")
				return
			}
			is.True(errors.As(err, &lost))
			is.Equal(lost.Defect, test.loss)
		})
	}
}

func TestRefusedChatGoesElsewhere(t *testing.T) {
	is := is.New(t)
	whole := stream{words: engine.ExpectedWords(call.Request)}
	c := daemons(t, refuse(outcome.NotRun, outcome.CodeOverloaded), whole.ServeHTTP)
	_, err := c.Chat(context.Background(), call)
	is.NoErr(err)
	is.Equal(c.Retries(), 1)
}

func TestChatOfUnknownOutcomeIsNotRepeated(t *testing.T) {
	for name, first := range map[string]http.HandlerFunc{
		"said":    refuse(outcome.Unknown, outcome.CodeBackendFailed),
		"aborted": abort,
		"unsaid":  func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusBadGateway) },
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			c := daemons(t, first, func(http.ResponseWriter, *http.Request) { t.Error("repeated") })
			_, err := c.Chat(context.Background(), call)
			is.Equal(outcome.From(err).Outcome, outcome.Unknown)
		})
	}
}

func TestUnclearBookingIsSentAgainWithTheSameTicket(t *testing.T) {
	is := is.New(t)
	var mu sync.Mutex
	var tickets []string
	note := func(next http.HandlerFunc) http.HandlerFunc {
		return func(w http.ResponseWriter, r *http.Request) {
			mu.Lock()
			tickets = append(tickets, r.Header.Get(outcome.HeaderTicket))
			mu.Unlock()
			next(w, r)
		}
	}
	c := daemons(t,
		note(abort),
		note(refuse(outcome.NotRun, outcome.CodeTicketExpired)),
		note(func(w http.ResponseWriter, _ *http.Request) { fmt.Fprint(w, "{}") }))
	book := caller.ServiceCall{Service: "arkiv-app", Method: http.MethodPost, Path: "/bookings", Body: []byte("{}")}
	answer, err := c.Call(context.Background(), book)
	is.NoErr(err)
	is.Equal(answer.Status, http.StatusOK)
	is.Equal(tickets, []string{"t1", "t1", "t1"})
}

func TestRefusedBookingGetsAnotherTicket(t *testing.T) {
	for _, code := range []outcome.Code{outcome.CodeTicketExpired, outcome.CodeOverloaded} {
		t.Run(string(code), func(t *testing.T) {
			is := is.New(t)
			c := daemons(t, refuse(outcome.NotRun, code), func(w http.ResponseWriter, r *http.Request) {
				fmt.Fprint(w, r.Header.Get(outcome.HeaderTicket))
			})
			answer, err := c.Call(context.Background(), caller.ServiceCall{Method: http.MethodPost, Path: "/bookings"})
			is.NoErr(err)
			is.Equal(string(answer.Body), "t2")
		})
	}
}

func TestRefusalAfterAnUnclearAttemptStaysUnknown(t *testing.T) {
	is := is.New(t)
	c := daemons(t, abort, refuse(outcome.NotRun, outcome.CodeForbidden))
	_, err := c.Call(context.Background(), caller.ServiceCall{Method: http.MethodPost, Path: "/bookings"})
	is.Equal(outcome.From(err).Outcome, outcome.Unknown)
}

func TestWaitReadyReturnsOnceTheDaemonIsReady(t *testing.T) {
	is := is.New(t)
	var asked atomic.Int32
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if asked.Add(1) == 1 {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	}))
	defer server.Close()
	is.NoErr(caller.WaitReady(context.Background(), http.DefaultClient, []string{server.Listener.Addr().String()}))
	is.Equal(asked.Load(), int32(2))
}
