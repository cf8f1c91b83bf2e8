package process

import (
	"context"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"cassialatch.dev/standin/plainservice"
	"cassialatch.dev/standin/scenario"
	"cassialatch.dev/tests/harness"
)

// steadyLoad returns a scenario of chats and bookings with a constant number of
// users.
func steadyLoad() scenario.Scenario {
	return scenario.Scenario{
		Name: "steady", Seed: 1,
		Duration: scenario.Duration{Duration: 2 * time.Minute},
		Deadline: scenario.Duration{Duration: 20 * time.Second},
		Chats: []scenario.ChatGroup{{
			Workspace: harness.Workspace, Model: harness.Model, Users: 12, Turns: 2, MaxTokens: 24,
			ThinkTime: scenario.Duration{Duration: 30 * time.Millisecond},
			Openings:  []string{"describe the bell", "compare the bells"}, FollowUps: []string{"and its pitch?"},
		}},
		Bookings: []scenario.BookingGroup{{
			Workspace: harness.Workspace, Service: harness.Service, Path: "/bookings", Lookup: "/catalogue/",
			Release: true, Users: 8, ThinkTime: scenario.Duration{Duration: 30 * time.Millisecond}, Items: []string{"bell"},
		}},
	}
}

// longResponseTokens is the length, in tokens, of a response that takes longer than
// a stopping daemon waits for the endpoint lists that contain it to expire. Some of
// these responses are therefore in flight when the daemon closes its listener.
const longResponseTokens = 240

// load is a running scenario.
type load struct {
	stop    chan struct{}
	done    chan scenario.Summary
	once    sync.Once
	summary scenario.Summary

	mu     sync.Mutex
	errors []error
}

// recordFailure records a request without a complete response.
func (l *load) recordFailure(err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.errors = append(l.errors, err)
}

// failures returns the errors of the requests without a complete response.
func (l *load) failures() []error {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Clone(l.errors)
}

// startLoad runs a scenario against all daemons until end is called.
func (f *fleet) startLoad(s scenario.Scenario) *load { return f.startLoadAt(f.daemons, s) }

// startLoadAt runs a scenario whose callers know only the given daemons.
func (f *fleet) startLoadAt(daemons []*daemon, s scenario.Scenario) *load {
	l := &load{stop: make(chan struct{}), done: make(chan scenario.Summary, 1)}
	go func() {
		l.done <- scenario.Run(context.Background(), s, scenario.Options{
			EntryAddresses: f.entryAddresses(daemons...), RunID: "r", OnFailure: l.recordFailure, Stop: l.stop,
		})
	}()
	f.t.Cleanup(func() { l.end() })
	return l
}

// end stops the scenario: no new requests start, and it waits for those in flight.
func (l *load) end() scenario.Summary {
	l.once.Do(func() {
		close(l.stop)
		l.summary = <-l.done
	})
	return l.summary
}

// restartEach restarts the daemons one at a time and waits until each is ready.
func (f *fleet) restartEach() {
	f.t.Helper()
	for _, d := range f.daemons {
		d.terminate()
		d.start()
		harness.Eventually(f.t, d.id+" is ready again", d.ready)
	}
}

// mixedLengthLoad returns steadyLoad with an additional group of long chats.
func mixedLengthLoad() scenario.Scenario {
	s := steadyLoad()
	long := s.Chats[0]
	long.Users, long.MaxTokens = 12, longResponseTokens
	s.Chats = append(s.Chats, long)
	return s
}

// TestRollingRestart_CompletesAllRequests checks that a rolling restart of all
// daemons loses, refuses and repeats no request.
func TestRollingRestart_CompletesAllRequests(t *testing.T) {
	slow := harness.FastEngineConfig()
	slow.DecodePerToken = 10 * time.Millisecond
	tests := []struct {
		name string
		opts options
		load scenario.Scenario
	}{
		{"steady load", options{
			daemons: 9, engines: 6, services: 4, engine: slow,
			service: plainservice.Config{Delay: 50 * time.Millisecond},
		}, mixedLengthLoad()},
		{"full queues", options{daemons: 4, engines: 3, base: fixedLimitBase, engine: slow}, overload()},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			f := start(t, test.opts)
			l := f.startLoad(test.load)
			f.restartEach()
			sum := l.end()
			t.Logf("%+v, failures: %v", sum, l.failures())
			is.True(sum.Sent > 0)
			is.Equal(sum.Lost+sum.Duplicates+sum.Unknown+sum.Refused, 0)
			is.Equal(sum.Answered, sum.Sent)
		})
	}
}
