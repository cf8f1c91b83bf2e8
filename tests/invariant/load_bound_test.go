package invariant

import (
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"cassialatch.dev/outcome"
	"cassialatch.dev/standin/engine"
	"cassialatch.dev/tests/harness"
)

// engineLimit is the in-flight limit of each engine. The fleet computes the limit
// as max(min_in_flight, ceil(load_factor × mean)); an equal minimum and maximum
// fix it to one value, so that daemons cannot disagree about it. A share of this
// limit never rounds to zero, so the majority floor adds nothing.
const engineLimit = 4

// engineLimitDocument is the base document of a fleet with this limit.
var engineLimitDocument = strings.NewReplacer(
	"min_in_flight = 2", fmt.Sprintf("min_in_flight = %d", engineLimit),
	"max_in_flight = 8\nshort_reserve = 1\nqueue_timeout = \"5s\"", fmt.Sprintf("max_in_flight = %d\nqueue_timeout = \"1s\"", engineLimit),
).Replace(harness.BaseDocument)

// laggingEngineConfig returns the configuration of an engine with long requests
// and delayed load reports.
func laggingEngineConfig() engine.Config {
	config := harness.FastEngineConfig()
	config.Slots = 64
	config.DecodePerToken = 20 * time.Millisecond
	config.ReportLag = 500 * time.Millisecond
	config.BatchGrowth = 0
	return config
}

// loadGenerator keeps sending requests to one daemon from several callers.
type loadGenerator struct {
	answered atomic.Int64
	stopped  atomic.Bool
	wg       sync.WaitGroup
}

// generateLoad starts callers that each send one chat after the other to a daemon.
func generateLoad(d *harness.Daemon, callers int) *loadGenerator {
	g := &loadGenerator{}
	for c := range callers {
		g.wg.Go(func() {
			for i := 0; !g.stopped.Load(); i++ {
				if send(d, chatRequest(fmt.Sprintf("%s-%d-%d", d.Settings.ID, c, i))).outcome == outcome.Answered {
					g.answered.Add(1)
					continue
				}
				time.Sleep(10 * time.Millisecond)
			}
		})
	}
	return g
}

// stop stops the callers and waits for their last responses.
func (g *loadGenerator) stop() {
	g.stopped.Store(true)
	g.wg.Wait()
}

// loadTest is a fleet under more load than the limits of its engines allow.
type loadTest struct {
	*harness.Fleet
	generators []*loadGenerator
}

// awaitResponses waits until the callers of each given daemon have received n
// further responses.
func (l *loadTest) awaitResponses(n int64, daemons ...int) {
	for _, d := range daemons {
		target := l.generators[d].answered.Load() + n
		l.Eventually(fmt.Sprintf("responses of daemon %d", d), func() bool { return l.generators[d].answered.Load() >= target })
	}
}

// awaitHomes waits until the status of daemon d names only the given daemons as
// homes of backend servers.
func (l *loadTest) awaitHomes(d int, homes ...int) {
	ids := make(map[string]bool)
	for _, home := range homes {
		ids[l.Daemons[home].Settings.ID] = true
	}
	l.Eventually("homes match the partition", func() bool {
		for _, b := range l.Daemons[d].Node.Status().Backends {
			if !ids[b.Home] {
				return false
			}
		}
		return true
	})
}

// subset returns the daemons with the given indices.
func (l *loadTest) subset(daemons ...int) []*harness.Daemon {
	var subset []*harness.Daemon
	for _, d := range daemons {
		subset = append(subset, l.Daemons[d])
	}
	return subset
}

// stopLoad stops all callers and waits until the engines are idle and the homes
// have read load reports that show it.
func (l *loadTest) stopLoad() {
	for _, g := range l.generators {
		g.stop()
	}
	l.Eventually("engines idle", func() bool { return chatsInEngines(l.Fleet) == 0 })
	time.Sleep(laggingEngineConfig().ReportLag + time.Second) // until the homes have read the reports
}

// startLoad starts the callers of the given daemons.
func (l *loadTest) startLoad(daemons ...int) {
	for _, d := range daemons {
		l.generators[d] = generateLoad(l.Daemons[d], 10)
	}
}

// loadDuringLeaseExpiry sends requests to a home that has just been partitioned
// away, and then to the homes that replace it, before any load report shows the
// earlier requests.
func (l *loadTest) loadDuringLeaseExpiry() {
	l.stopLoad()
	slowEnginesBy(l.Fleet, 8)
	defer slowEnginesBy(l.Fleet, 1)
	l.Network.Partition(l.subset(0), l.subset(1, 2))
	l.startLoad(0)
	l.awaitHomes(1, 1, 2)
	l.startLoad(1, 2)
	l.awaitResponses(2, 1, 2)
}

// loadOnBothSides sends requests to both sides of a partitioned fleet. Each side
// learns of the requests of the other only from delayed load reports.
func (l *loadTest) loadOnBothSides() {
	l.Network.Partition(l.subset(0), l.subset(1, 2))
	l.awaitHomes(0, 0)
	l.awaitHomes(1, 1, 2)
	l.stopLoad()
	l.startLoad(0, 1, 2)
	l.awaitResponses(5, 0, 1, 2)
}

// heal ends all partitions and waits until the daemons are connected and respond.
func (l *loadTest) heal() {
	l.Network.Heal(l.Daemons, l.Daemons)
	l.Eventually("all daemons see each other alive", func() bool { return allAlive(l.Daemons) })
	l.awaitResponses(5, 0, 1, 2)
}

// restart restarts the given daemons at the same time.
func (l *loadTest) restart(daemons ...int) {
	var wg sync.WaitGroup
	for _, d := range daemons {
		wg.Go(l.Daemons[d].Stop)
	}
	wg.Wait()
	for _, d := range daemons {
		l.Daemons[d].Restart()
	}
	l.WaitReady()
}

// A home that admits requests without holding the leases, or two homes that both
// count the same share, would put more requests on an engine than its limit. This
// can happen while daemons disagree about the home: in a partition, when leases
// expire, and after restarts. The load reports of the engines lag, so the homes
// cannot detect it from them.
func TestEngineConcurrencyStaysWithinLimit(t *testing.T) {
	t.Parallel()
	l := &loadTest{Fleet: harness.Start(t, harness.Options{Daemons: 3, Engines: 3, Base: engineLimitDocument, Engine: laggingEngineConfig()})}
	l.generators = make([]*loadGenerator, len(l.Daemons))
	l.startLoad(0, 1, 2)
	defer func() {
		for _, g := range l.generators {
			g.stop()
		}
	}()
	cases := []struct {
		name string
		run  func()
	}{
		{"no failure", func() { l.awaitResponses(5, 0, 1, 2) }},
		{"connectivity is not transitive", func() {
			l.Network.Partition(l.subset(0), l.subset(1))
			l.awaitHomes(0, 0, 2)
			l.awaitHomes(1, 1, 2)
			l.awaitResponses(8, 0, 1, 2)
			l.heal()
		}},
		{"both sides of a partition serve", func() { l.loadOnBothSides(); l.heal() }},
		{"requests arrive as leases expire", func() { l.loadDuringLeaseExpiry(); l.heal() }},
		{"home unreachable without draining", func() {
			l.Network.Partition(l.subset(1), l.subset(0, 2))
			l.generators[1].stop() // its in-flight requests run to their end
			l.awaitHomes(0, 0, 2)
			l.awaitResponses(8, 0, 2)
			l.startLoad(1)
			l.heal()
		}},
		{"lenders restarted", func() { l.restart(1, 2); l.awaitResponses(5, 0, 1, 2) }},
		{"all restarted", func() { l.restart(0, 1, 2); l.awaitResponses(5, 0, 1, 2) }},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			c.run()
			peak := 0
			for _, e := range l.Engines {
				peak = max(peak, e.Stats().Peak)
			}
			if peak != engineLimit {
				t.Errorf("peak of %d requests in flight at an engine, want the limit of %d", peak, engineLimit)
			}
		})
	}
}
