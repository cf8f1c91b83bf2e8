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

// bound is the limit of each engine: the fleet limit max(min_in_flight,
// ceil(load_factor × mean)) is held to one value by equal bounds, so that
// daemons cannot disagree about it. A share of it never rounds to zero, so the
// majority floor adds nothing.
const bound = 4

// boundBase is the base document of a fleet with this bound.
var boundBase = strings.NewReplacer(
	"min_in_flight = 2", fmt.Sprintf("min_in_flight = %d", bound),
	"max_in_flight = 8\nshort_reserve = 1\nqueue_timeout = \"5s\"", fmt.Sprintf("max_in_flight = %d\nqueue_timeout = \"1s\"", bound),
).Replace(harness.BaseDocument)

// lateEngine returns an engine that takes a while for each request and
// reports its load late.
func lateEngine() engine.Config {
	config := harness.FastEngineConfig()
	config.Slots = 64
	config.DecodePerToken = 20 * time.Millisecond
	config.ReportLag = 500 * time.Millisecond
	config.BatchGrowth = 0
	return config
}

// driver keeps callers of one daemon busy.
type driver struct {
	answered atomic.Int64
	stopped  atomic.Bool
	wg       sync.WaitGroup
}

// drive starts callers that send one chat after the other to a daemon.
func drive(d *harness.Daemon, callers int) *driver {
	v := &driver{}
	for c := range callers {
		v.wg.Go(func() {
			for i := 0; !v.stopped.Load(); i++ {
				if send(d, chat(fmt.Sprintf("%s-%d-%d", d.Settings.ID, c, i))).outcome == outcome.Answered {
					v.answered.Add(1)
					continue
				}
				time.Sleep(10 * time.Millisecond)
			}
		})
	}
	return v
}

// stop waits for the callers to end.
func (v *driver) stop() {
	v.stopped.Store(true)
	v.wg.Wait()
}

// loadTest is a fleet under more load than its engines may carry.
type loadTest struct {
	*harness.Fleet
	drivers []*driver
}

// answers waits until each of some daemons has given more answers.
func (l *loadTest) answers(n int64, daemons ...int) {
	for _, d := range daemons {
		until := l.drivers[d].answered.Load() + n
		l.Eventually(fmt.Sprintf("answers of daemon %d", d), func() bool { return l.drivers[d].answered.Load() >= until })
	}
}

// homedAmong waits until a daemon takes only some daemons for homes.
func (l *loadTest) homedAmong(d int, homes ...int) {
	ids := make(map[string]bool)
	for _, home := range homes {
		ids[l.Daemons[home].Settings.ID] = true
	}
	l.Eventually("homes follow the cut", func() bool {
		for _, b := range l.Daemons[d].Node.Status().Backends {
			if !ids[b.Home] {
				return false
			}
		}
		return true
	})
}

// side returns some daemons.
func (l *loadTest) side(daemons ...int) []*harness.Daemon {
	var side []*harness.Daemon
	for _, d := range daemons {
		side = append(side, l.Daemons[d])
	}
	return side
}

// idle stops all callers and waits until also the load reports are idle.
func (l *loadTest) idle() {
	for _, v := range l.drivers {
		v.stop()
	}
	l.Eventually("engines idle", func() bool { return engineWork(l.Fleet) == 0 })
	time.Sleep(lateEngine().ReportLag + time.Second) // and read by the homes
}

// resume starts the callers of some daemons.
func (l *loadTest) resume(daemons ...int) {
	for _, d := range daemons {
		l.drivers[d] = drive(l.Daemons[d], 10)
	}
}

// endingLeases lets work arrive at a home that has just been cut off, and then
// at the homes that follow it, before any load report shows that work.
func (l *loadTest) endingLeases() {
	l.idle()
	slowEngines(l.Fleet, 8)
	defer slowEngines(l.Fleet, 1)
	l.Network.Partition(l.side(0), l.side(1, 2))
	l.resume(0)
	l.homedAmong(1, 1, 2)
	l.resume(1, 2)
	l.answers(2, 1, 2)
}

// twoHalves lets work arrive at both halves of a split fleet, which know of
// one another's work by late load reports alone.
func (l *loadTest) twoHalves() {
	l.Network.Partition(l.side(0), l.side(1, 2))
	l.homedAmong(0, 0)
	l.homedAmong(1, 1, 2)
	l.idle()
	l.resume(0, 1, 2)
	l.answers(5, 0, 1, 2)
}

// heal mends all links.
func (l *loadTest) heal() {
	l.Network.Heal(l.Daemons, l.Daemons)
	l.Eventually("daemons hear each other", func() bool { return linked(l.Daemons) })
	l.answers(5, 0, 1, 2)
}

// restart replaces some daemons at once.
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

func TestEngineNeverCarriesMoreThanItsBound(t *testing.T) {
	t.Parallel()
	l := &loadTest{Fleet: harness.Start(t, harness.Options{Daemons: 3, Engines: 3, Base: boundBase, Engine: lateEngine()})}
	l.drivers = make([]*driver, len(l.Daemons))
	l.resume(0, 1, 2)
	defer func() {
		for _, v := range l.drivers {
			v.stop()
		}
	}()
	cases := []struct {
		name    string
		provoke func()
	}{
		{"no failure", func() { l.answers(5, 0, 1, 2) }},
		{"views are not transitive", func() {
			l.Network.Partition(l.side(0), l.side(1))
			l.homedAmong(0, 0, 2)
			l.homedAmong(1, 1, 2)
			l.answers(8, 0, 1, 2)
			l.heal()
		}},
		{"two halves serve", func() { l.twoHalves(); l.heal() }},
		{"work arrives as leases end", func() { l.endingLeases(); l.heal() }},
		{"home gone without notice", func() {
			l.Network.Partition(l.side(1), l.side(0, 2))
			l.drivers[1].stop() // what it has in flight goes on
			l.homedAmong(0, 0, 2)
			l.answers(8, 0, 2)
			l.resume(1)
			l.heal()
		}},
		{"lenders restarted", func() { l.restart(1, 2); l.answers(5, 0, 1, 2) }},
		{"all restarted", func() { l.restart(0, 1, 2); l.answers(5, 0, 1, 2) }},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			c.provoke()
			highest := 0
			for _, e := range l.Engines {
				highest = max(highest, e.Stats().Peak)
			}
			if highest != bound {
				t.Errorf("an engine carried %d at once, the bound is %d", highest, bound)
			}
		})
	}
}
