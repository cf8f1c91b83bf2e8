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

// engineLimit is the limit of in-flight requests for each engine under
// fixedLimitBase.
const engineLimit = 4

// fixedLimitBase is a base document whose load limit does not adapt: its minimum
// and maximum are equal.
const fixedLimitBase = `
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

// overload is a load with more concurrent requests than the engines admit under
// fixedLimitBase.
func overload() scenario.Scenario {
	s := steadyLoad()
	s.Bookings = nil
	s.Chats[0].Users = 24
	s.Chats[0].MaxTokens = 40
	s.Chats[0].ThinkTime = scenario.Duration{Duration: time.Millisecond}
	return s
}

// backendStatus returns a backend server's part of a daemon's status, or a zero
// value.
func backendStatus(status operatorapi.Status, id string) operatorapi.Backend {
	for _, b := range status.Backends {
		if b.ID == id {
			return b
		}
	}
	return operatorapi.Backend{}
}

// TestHomeFailure_KeepsEngineLimit guards against two homes that admit requests for
// the same backend server while its home fails over and back: the engine's limit
// must hold throughout.
func TestHomeFailure_KeepsEngineLimit(t *testing.T) {
	for _, fault := range faults {
		t.Run(fault.name, func(t *testing.T) {
			is := is.New(t)
			config := harness.FastEngineConfig()
			config.DecodePerToken = 10 * time.Millisecond
			f := start(t, options{daemons: 4, engines: 3, base: fixedLimitBase, engine: config})
			engine := f.engines[0]
			home := f.homeOf(engine.ID)
			l := f.startLoadAt(f.others(home), overload())
			harness.Eventually(t, "engine is at its limit", func() bool { return engine.Stats().Running >= engineLimit })
			fault.inject(home)
			f.awaitReportedDead(home)
			for _, d := range f.others(home) {
				harness.Eventually(t, "another home admits requests for the engine", func() bool {
					b := backendStatus(d.status(), engine.ID)
					return b.Home != home.id && b.Limit > 0
				})
			}
			f.awaitNewRequests(engine)
			fault.repair(home)
			harness.Eventually(t, "failed home serves again", home.serves)
			harness.Eventually(t, "engine is assigned to its first home again", func() bool { return f.homeOf(engine.ID) == home })
			f.awaitNewRequests(engine)
			sum := l.end()
			t.Logf("%+v, failures: %v", sum, l.failures())
			for _, e := range f.engines {
				is.True(e.Stats().Peak <= engineLimit)
			}
			is.Equal(sum.Truncated+sum.Crossed, 0)
			is.True(sum.Cut <= engineLimit*len(f.engines)) // only responses that were in progress
			for _, err := range l.failures() {
				checkConnectionLost(t, err)
			}
		})
	}
}

// checkConnectionLost checks that a request failed because its caller's connection
// was lost or its response broke off after it had begun. After any other failure a
// daemon must retry the request with success, since chats are idempotent.
func checkConnectionLost(t *testing.T, err error) {
	t.Helper()
	var connection *url.Error
	var incomplete *caller.InvalidResponseError
	if !errors.As(err, &connection) && !errors.As(err, &incomplete) {
		t.Errorf("request refused by a live daemon: %v", err)
	}
}

// awaitNewRequests waits until an engine has started more than 2*engineLimit
// further requests.
func (f *fleet) awaitNewRequests(e *harness.Engine) {
	f.t.Helper()
	before := e.Stats().Started
	harness.Eventually(f.t, "engine starts new requests", func() bool { return e.Stats().Started > before+2*engineLimit })
}
