package process

import (
	"context"
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
			Think:    scenario.Duration{Duration: 30 * time.Millisecond},
			Openings: []string{"describe the bell", "compare the bells"}, FollowUps: []string{"and its pitch?"},
		}},
		Bookings: []scenario.BookingGroup{{
			Workspace: harness.Workspace, Service: harness.Service, Path: "/bookings", Lookup: "/catalogue/",
			Release: true, Users: 8, Think: scenario.Duration{Duration: 30 * time.Millisecond}, Items: []string{"bell"},
		}},
	}
}

// load is a scenario under way.
type load struct {
	stop chan struct{}
	done chan scenario.Summary
}

// startLoad puts a scenario on a fleet until end is called.
func (f *fleet) startLoad(s scenario.Scenario) *load {
	l := &load{stop: make(chan struct{}), done: make(chan scenario.Summary, 1)}
	failure := func(err error) { f.t.Logf("request failed: %v", err) }
	go func() {
		l.done <- scenario.Run(context.Background(), s, scenario.Options{
			Entries: f.entries(f.daemons...), Run: "r", Failure: failure, Stop: l.stop,
		})
	}()
	return l
}

// end lets no request start any more and waits for those in flight.
func (l *load) end() scenario.Summary {
	close(l.stop)
	return <-l.done
}

func TestRollingRestartCutsNoRequest(t *testing.T) {
	is := is.New(t)
	config := harness.FastEngine()
	config.DecodePerToken = 10 * time.Millisecond
	f := start(t, options{
		daemons: 9, engines: 6, services: 4, engine: config,
		service: plainservice.Config{Delay: 50 * time.Millisecond},
	})
	l := f.startLoad(steady())
	for _, d := range f.daemons {
		d.terminate()
		d.start()
		harness.Eventually(t, d.id+" is ready again", d.ready)
	}
	sum := l.end()
	t.Logf("%+v", sum)
	is.True(sum.Sent > 0)
	is.Equal(sum.Lost, 0)
	is.Equal(sum.Duplicates, 0)
	is.Equal(sum.Unknown, 0)
	is.Equal(sum.Refused, 0)
	is.Equal(sum.Answered, sum.Sent)
}
