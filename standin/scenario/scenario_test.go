package scenario_test

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"cassialatch.dev/outcome"
	"cassialatch.dev/standin/caller"
	"cassialatch.dev/standin/engine"
	"cassialatch.dev/standin/plainservice"
	"cassialatch.dev/standin/scenario"
	"github.com/matryer/is"
)

// fakeDaemon forwards chats to one engine and calls to one plain service.
type fakeDaemon struct {
	engine  http.Handler
	service http.Handler
	address string
}

func (d *fakeDaemon) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch {
	case r.URL.Path == "/v1/entry":
		_ = json.NewEncoder(w).Encode(caller.Endpoints{
			Addresses: []caller.Address{{Address: d.address}}, TTLMs: 1000, Tickets: []string{"a", "b"},
		})
	case strings.HasPrefix(r.URL.Path, "/svc/arkiv-app"):
		http.StripPrefix("/svc/arkiv-app", d.service).ServeHTTP(w, r)
	default:
		d.engine.ServeHTTP(w, r)
		w.Header().Set(http.TrailerPrefix+outcome.HeaderOutcome, string(outcome.Answered))
	}
}

// twice runs each DELETE call of the plain service twice.
func twice(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodDelete {
			next.ServeHTTP(httptest.NewRecorder(), r)
		}
		next.ServeHTTP(w, r)
	})
}

func run(t *testing.T, service func(http.Handler) http.Handler) scenario.Summary {
	c := engine.DefaultConfig()
	c.PrefillPerToken, c.DecodePerToken = 0, 0
	d := &fakeDaemon{engine: engine.New(c), service: service(plainservice.New(plainservice.Config{}))}
	server := httptest.NewServer(d)
	t.Cleanup(server.Close)
	d.address = server.Listener.Addr().String()
	return scenario.Run(context.Background(), scenario.Scenario{
		Name:     "test",
		Seed:     7,
		Duration: scenario.Duration{Duration: 300 * time.Millisecond},
		Deadline: scenario.Duration{Duration: time.Minute},
		Chats: []scenario.ChatGroup{
			{Workspace: "w", Users: 2, Turns: 3, ThinkTime: scenario.Duration{Duration: time.Millisecond}, MaxTokens: 4, System: "be brief", Openings: []string{"which bell"}, FollowUps: []string{"and its year"}},
			{Workspace: "w", Rate: 50, Turns: 1, Class: "short", Openings: []string{"which bell"}},
		},
		Bookings: []scenario.BookingGroup{
			{Workspace: "w", Service: "arkiv-app", Path: "/bookings", Lookup: "/catalogue/", Release: true, Users: 2, ThinkTime: scenario.Duration{Duration: time.Millisecond}, Items: []string{"bell-7"}},
		},
	}, scenario.Options{EntryAddresses: []string{d.address}, RunID: "r"})
}

func TestRun_CountsEachRequestOnce(t *testing.T) {
	is := is.New(t)
	s := run(t, func(next http.Handler) http.Handler { return next })
	is.True(s.Sent > 0)
	is.Equal(s.Answered, s.Sent)
	is.True(s.Returning > 0)
	is.Equal(s.Warm, s.Returning) // the only engine can cache all chats
	is.True(!s.Failed())
}

func TestRun_FailsOnDuplicateRun(t *testing.T) {
	is := is.New(t)
	s := run(t, twice)
	is.True(s.Duplicates > 0)
	is.Equal(s.Answered+s.Duplicates, s.Sent)
	is.True(s.Failed())
}
