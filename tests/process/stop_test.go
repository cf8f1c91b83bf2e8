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

// steady is a load of chats and bookings that ends with its context.
func steady() scenario.Scenario {
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
			Release: true, Users: 8, Think: scenario.Duration{Duration: 30 * time.Millisecond}, Items: []string{"bell"},
		}},
	}
}

// longTokens make an answer that outlasts the wait for old entry answers.
const longTokens = 240

// load is a scenario under way.
type load struct {
	stop    chan struct{}
	done    chan scenario.Summary
	once    sync.Once
	summary scenario.Summary

	mu     sync.Mutex
	errors []error
}

// failed notes a request that was not answered whole.
func (l *load) failed(err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.errors = append(l.errors, err)
}

// failures returns why requests were not answered whole.
func (l *load) failures() []error {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Clone(l.errors)
}

// startLoad puts a scenario on a fleet until end is called.
func (f *fleet) startLoad(s scenario.Scenario) *load { return f.startLoadAt(f.daemons, s) }

// startLoadAt puts a scenario on a fleet by callers that know some daemons.
func (f *fleet) startLoadAt(entries []*daemon, s scenario.Scenario) *load {
	l := &load{stop: make(chan struct{}), done: make(chan scenario.Summary, 1)}
	go func() {
		l.done <- scenario.Run(context.Background(), s, scenario.Options{
			EntryAddresses: f.entries(entries...), RunID: "r", OnFailure: l.failed, Stop: l.stop,
		})
	}()
	f.t.Cleanup(func() { l.end() })
	return l
}

// end lets no request start any more and waits for those in flight.
func (l *load) end() scenario.Summary {
	l.once.Do(func() {
		close(l.stop)
		l.summary = <-l.done
	})
	return l.summary
}

// restartEach stops and starts each daemon in turn.
func (f *fleet) restartEach() {
	f.t.Helper()
	for _, d := range f.daemons {
		d.terminate()
		d.start()
		harness.Eventually(f.t, d.id+" is ready again", d.ready)
	}
}

// oldAnswers is a load of short and long chats and of bookings.
func oldAnswers() scenario.Scenario {
	s := steady()
	long := s.Chats[0]
	long.Users, long.MaxTokens = 12, longTokens
	s.Chats = append(s.Chats, long)
	return s
}

func TestRollingRestartCutsNoRequest(t *testing.T) {
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
		}, oldAnswers()},
		{"full queues", options{daemons: 4, engines: 3, base: crowdedBase, engine: slow}, crowd()},
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
