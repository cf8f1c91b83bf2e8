package entry

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"cassialatch.dev/config/dynamic"
	"cassialatch.dev/config/setting"
	"cassialatch.dev/fleet/forward"
	"cassialatch.dev/fleet/limit"
	"cassialatch.dev/fleet/member"
	"cassialatch.dev/fleet/router"
	"cassialatch.dev/outcome"
	"cassialatch.dev/wire/peerpb"
)

// refusingRouter refuses every request with err.
type refusingRouter struct{ err error }

// Route implements Router.
func (r refusingRouter) Route(context.Context, router.Request, forward.Sink) error { return r.err }

// voidingSubmitter voids every ticket.
type voidingSubmitter struct{ Submitter }

// VoidAfterRefusal implements Submitter.
func (voidingSubmitter) VoidAfterRefusal(_ context.Context, _ string, refusal *outcome.Error) *outcome.Error {
	return outcome.NewNotRun(outcome.CodeTicketVoided, "voided").WithCause(refusal)
}

// discardObserver is an Observer that discards everything.
type discardObserver struct{ Observer }

// Outcome implements Observer.
func (discardObserver) Outcome(string, dynamic.Class, outcome.Outcome, outcome.Code) {}

// keyedService is the configuration of a service that checks keys and of one that
// does not.
func keyedService() *dynamic.Config {
	reads := []dynamic.Rule{{Prefix: "/search", Idempotent: true}}
	return &dynamic.Config{
		Workspaces: map[string]*dynamic.Workspace{
			"skule": {Name: "skule", Services: []string{"checks", "plain"}},
			"other": {Name: "other"},
		},
		Services: map[string]*dynamic.Service{
			"checks": {Name: "checks", ChecksKey: true, Rules: reads},
			"plain":  {Name: "plain"},
		},
	}
}

// Guards against a copy of a keyed call that is told "not run" while another copy,
// sent through another daemon, runs.
func TestServer_KeyedCallIsNeverReportedNotRun(t *testing.T) {
	notReached := outcome.NewNotRun(outcome.CodePeerFailed, "home was not reached").WithReplan()
	full := outcome.NewNotRun(outcome.CodeOverloaded, "queue is full").WithRetryAfter(3 * time.Second)
	tests := []struct {
		name       string
		path       string
		key        string
		ticket     string
		workspace  string
		config     *dynamic.Config
		err        error // of the router
		outcome    outcome.Outcome
		code       outcome.Code
		retryAfter string
	}{
		{"home not reached", "/svc/checks/bookings", "k", "", "skule", keyedService(), notReached, outcome.Unknown, outcome.CodePeerFailed, ""},
		{"home not reached, with a ticket too", "/svc/checks/bookings", "k", "t", "skule", keyedService(), notReached, outcome.Unknown, outcome.CodePeerFailed, ""},
		{"queue full", "/svc/checks/bookings", "k", "", "skule", keyedService(), full, outcome.Unknown, outcome.CodeOverloaded, "3"},
		{"workspace not known", "/svc/checks/bookings", "k", "", "gone", keyedService(), nil, outcome.Unknown, outcome.CodeUnknownWorkspace, ""},
		{"service not open to the workspace", "/svc/checks/bookings", "k", "", "other", keyedService(), nil, outcome.Unknown, outcome.CodeUnknownService, ""},
		{"service not known", "/svc/gone/bookings", "k", "", "skule", keyedService(), nil, outcome.Unknown, outcome.CodeUnknownService, ""},
		{"no configuration", "/svc/checks/bookings", "k", "", "skule", nil, nil, outcome.Unknown, outcome.CodeNotReady, "1"},
		{"may be repeated", "/svc/checks/search", "k", "", "skule", keyedService(), notReached, outcome.NotRun, outcome.CodePeerFailed, ""},
		{"service does not check keys", "/svc/plain/bookings", "k", "t", "other", keyedService(), nil, outcome.NotRun, outcome.CodeTicketVoided, ""},
		{"no key", "/svc/checks/search", "", "", "skule", keyedService(), notReached, outcome.NotRun, outcome.CodePeerFailed, ""},
		{"no such path", "/bookings", "k", "", "skule", keyedService(), nil, outcome.NotRun, outcome.CodeUnknownService, ""},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			server := NewServer(Options{
				Directory: member.NewDirectory(member.Options{Self: &peerpb.Identity{Id: "entry"}}, time.Now),
				Config:    func() *dynamic.Config { return test.config },
				Ready:     func() bool { return true },
				Router:    refusingRouter{test.err},
				Executor:  voidingSubmitter{},
				Limiter:   limit.New(limit.Options{}),
				Limits:    setting.Limits{MaxBodyBytes: 1 << 10, BodyTimeout: time.Minute},
				Observer:  discardObserver{},
				Log:       zerolog.New(io.Discard),
				Now:       time.Now,
			})
			handler := httptest.NewServer(server.Handler())
			defer handler.Close()
			req, err := http.NewRequest(http.MethodPost, handler.URL+test.path, strings.NewReader("{}"))
			is.NoErr(err)
			req.Header.Set(outcome.HeaderWorkspace, test.workspace)
			req.Header.Set(outcome.HeaderIdempotencyKey, test.key)
			req.Header.Set(outcome.HeaderTicket, test.ticket)
			resp, err := handler.Client().Do(req)
			is.NoErr(err)
			defer resp.Body.Close()
			is.Equal(outcome.Outcome(resp.Header.Get(outcome.HeaderOutcome)), test.outcome)
			is.Equal(outcome.Code(resp.Header.Get(outcome.HeaderCode)), test.code)
			is.Equal(resp.Header.Get("Retry-After"), test.retryAfter)
		})
	}
}
