package process

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"cassialatch.dev/tests/harness"
	"cassialatch.dev/wire/platformapi"
)

// TestLeavingEngine_FinishesRequestsAndGetsNoMore checks that a leaving engine
// finishes the requests it has and gets no new ones, and that a new process at the
// same address gets requests again.
func TestLeavingEngine_FinishesRequestsAndGetsNoMore(t *testing.T) {
	t.Parallel()
	tests := []struct {
		name     string
		outage   bool
		announce func(*fleet, *harness.Engine)
	}{
		{"announced by the engine, platform unavailable", true, func(_ *fleet, e *harness.Engine) { e.SetLeaving(true) }},
		{"announced by the VM list", false, func(f *fleet, e *harness.Engine) {
			f.platform.SetState(e.ID, platformapi.StateLeaving)
		}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			config := harness.FastEngineConfig()
			config.DecodePerToken = 5 * time.Millisecond
			f := start(t, options{daemons: 4, engines: 3, services: 1, engine: config})
			leaving, other := f.engines[0], f.engines[1]
			l := f.startLoad(steadyLoad())
			f.awaitNewRequests(leaving)
			f.platform.SetOutage(test.outage)
			test.announce(f, leaving)
			announcedAt := time.Now()
			for _, d := range f.daemons {
				harness.Eventually(t, d.id+" knows that the engine is leaving", func() bool { return backendStatus(d.status(), leaving.ID).Leaving })
			}
			t.Logf("known by all daemons after %v", time.Since(announcedAt))
			harness.Eventually(t, "engine is idle", func() bool { return leaving.Stats().Running+leaving.Stats().Waiting == 0 })
			started := leaving.Stats().Started
			for range 3 {
				f.awaitNewRequests(other)
			}
			is.Equal(leaving.Stats().Started, started)
			t.Logf("last request started %v after the announcement", leaving.Stats().LastStartLeaving)

			// The engine restarts at the same address as another process.
			f.platform.SetOutage(false)
			f.platform.SetState(leaving.ID, platformapi.StateLive)
			leaving.SetLeaving(false)
			leaving.Crash()
			f.awaitNewRequests(leaving)
			sum := l.end()
			t.Logf("%+v, failures: %v", sum, l.failures())
			is.Equal(sum.Answered, sum.Sent)
		})
	}
}
