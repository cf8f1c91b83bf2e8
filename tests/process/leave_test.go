package process

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"cassialatch.dev/tests/harness"
	"cassialatch.dev/wire/platformapi"
)

func TestLeavingEngineFinishesItsWorkAndGetsNoMore(t *testing.T) {
	t.Parallel()
	tests := []struct {
		name   string
		outage bool
		notice func(*fleet, *harness.Engine)
	}{
		{"by its report, platform down", true, func(_ *fleet, e *harness.Engine) { e.SetLeaving(true) }},
		{"by the VM list", false, func(f *fleet, e *harness.Engine) {
			f.platform.SetState(e.ID, platformapi.StateLeaving)
		}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			config := harness.FastEngineConfig()
			config.DecodePerToken = 5 * time.Millisecond
			f := start(t, options{daemons: 4, engines: 3, services: 1, engine: config})
			leaver, other := f.engines[0], f.engines[1]
			l := f.startLoad(steady())
			f.awaitWork(leaver)
			f.platform.SetOutage(test.outage)
			test.notice(f, leaver)
			noticed := time.Now()
			for _, d := range f.daemons {
				harness.Eventually(t, d.id+" knows", func() bool { return backend(d.status(), leaver.ID).Leaving })
			}
			t.Logf("known everywhere after %v", time.Since(noticed))
			harness.Eventually(t, "engine is idle", func() bool { return leaver.Stats().Running+leaver.Stats().Waiting == 0 })
			started := leaver.Stats().Started
			for range 3 {
				f.awaitWork(other)
			}
			is.Equal(leaver.Stats().Started, started)
			t.Logf("last start %v after the notice", leaver.Stats().LastStartLeaving)

			// Its successor at the same address is another process.
			f.platform.SetOutage(false)
			f.platform.SetState(leaver.ID, platformapi.StateLive)
			leaver.SetLeaving(false)
			leaver.Crash()
			f.awaitWork(leaver)
			sum := l.end()
			t.Logf("%+v, failures: %v", sum, l.failures())
			is.Equal(sum.Answered, sum.Sent)
		})
	}
}
