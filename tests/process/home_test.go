package process

import (
	"net/url"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"cassialatch.dev/standin/caller"
	"cassialatch.dev/standin/scenario"
	"cassialatch.dev/tests/harness"
	"cassialatch.dev/wire/operatorapi"
)

// engineLimit bounds the work on each engine of crowdedBase.
const engineLimit = 4

// crowdedBase has a limit that does not move with the load.
const crowdedBase = `
[models.klang-model]
load_factor = 8.0
min_in_flight = 4
max_in_flight = 4
short_reserve = 0
queue_timeout = "8s"
deadline = "20s"

[workspaces.skule]
models = ["klang-model"]
class = "chat"
`

// crowd is more work than the engines of crowdedBase may have.
func crowd() scenario.Scenario {
	s := steady()
	s.Bookings = nil
	s.Chats[0].Users = 24
	s.Chats[0].MaxTokens = 40
	s.Chats[0].ThinkTime = scenario.Duration{Duration: time.Millisecond}
	return s
}

// backend returns a daemon's account of a backend server.
func backend(status operatorapi.Status, id string) operatorapi.Backend {
	for _, b := range status.Backends {
		if b.ID == id {
			return b
		}
	}
	return operatorapi.Backend{}
}

func TestLoadStaysBoundedWhenAHomeFails(t *testing.T) {
	for _, fault := range faults {
		t.Run(fault.name, func(t *testing.T) {
			is := is.New(t)
			config := harness.FastEngineConfig()
			config.DecodePerToken = 10 * time.Millisecond
			f := start(t, options{daemons: 4, engines: 3, base: crowdedBase, engine: config})
			engine := f.engines[0]
			home := f.homeOf(engine.ID)
			l := f.startLoadAt(f.others(home), crowd())
			harness.Eventually(t, "engine is full", func() bool { return engine.Stats().Running >= engineLimit })
			fault.strike(home)
			f.awaitDeath(home)
			for _, d := range f.others(home) {
				harness.Eventually(t, "another home serves the engine", func() bool {
					b := backend(d.status(), engine.ID)
					return b.Home != home.id && b.Limit > 0
				})
			}
			f.awaitWork(engine)
			fault.mend(home)
			harness.Eventually(t, "home serves again", home.serves)
			harness.Eventually(t, "home is home again", func() bool { return f.homeOf(engine.ID) == home })
			f.awaitWork(engine)
			sum := l.end()
			t.Logf("%+v, failures: %v", sum, l.failures())
			for _, e := range f.engines {
				is.True(e.Stats().Peak <= engineLimit)
			}
			is.Equal(sum.Truncated+sum.Crossed, 0)
			is.True(sum.Cut <= engineLimit*len(f.engines)) // answers that had begun
			for _, err := range l.failures() {
				checkLostWithDaemon(t, err)
			}
		})
	}
}

// checkLostWithDaemon checks that a request failed because its caller's own
// connection or the answer that had begun was lost. All others are answered
// elsewhere, since chats are idempotent.
func checkLostWithDaemon(t *testing.T, err error) {
	t.Helper()
	var connection *url.Error
	var begun *caller.InvalidResponseError
	if !errors.As(err, &connection) && !errors.As(err, &begun) {
		t.Errorf("refused by a live daemon: %v", err)
	}
}

// awaitWork waits until an engine has begun further work.
func (f *fleet) awaitWork(e *harness.Engine) {
	f.t.Helper()
	before := e.Stats().Started
	harness.Eventually(f.t, "engine gets work", func() bool { return e.Stats().Started > before+2*engineLimit })
}
