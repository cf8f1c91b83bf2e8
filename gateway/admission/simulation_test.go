package admission

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// Values of the simulations: what a response within its objective is worth by kind, and
// the load patterns that are played with and without this package.

func constant(rate float64) func(time.Duration) float64 {
	return func(time.Duration) float64 { return rate }
}

func between(low, high int) func(*rand.Rand) int {
	return func(rng *rand.Rand) int { return low + rng.IntN(high-low) }
}

// oneOf returns one of n workspaces.
func oneOf(n int) func(*rand.Rand) string {
	return func(rng *rand.Rand) string { return fmt.Sprint("w", rng.IntN(n)) }
}

const (
	calm     = 3 * time.Second // at the start, so that service times are known
	calmLoad = 0.35            // of the capacity
)

const seeds = 2 // plays of each pattern

// plainCapacity is the requests per second that 4 servers of 6 slots serve in 30 ms each.
const plainCapacity = 4 * 6 / 0.030

// plain is a small plain service. Its load rises to a multiple of its capacity after the
// calm. Bookings are half of it.
func plain(seed uint64, overload bool, daemons, queue int, factor float64) *fleet {
	f := newFleet(seed, overload, daemons)
	f.addServers(4, 6, queue, false)
	f.countFrom = calm
	rate := func(at time.Duration) float64 {
		if at < calm {
			return calmLoad * plainCapacity / 2
		}
		return factor * plainCapacity / 2
	}
	booking := &kind{name: "booking", priority: 0, weight: 4, rate: rate, workspace: oneOf(12), service: 30 * time.Millisecond,
		objective: 150 * time.Millisecond, timeout: 800 * time.Millisecond, retries: true}
	lookup := *booking
	lookup.name, lookup.priority, lookup.weight = "lookup", 2, 1
	f.kinds = []*kind{booking, &lookup}
	return f
}

// engines is a service of 10 engines of 48 slots, before 20 daemons: short chats that users
// wait for, and long batch work.
func engines(seed uint64, overload bool, queue int, chats float64, batch func(time.Duration) float64) *fleet {
	f := newFleet(seed, overload, 20)
	f.addServers(10, 48, queue, true)
	f.kinds = []*kind{
		{name: "chat", priority: 0, weight: 4, rate: constant(chats), workspace: oneOf(8), prompt: between(500, 3000), output: between(50, 200),
			objective: 800 * time.Millisecond, timeout: 12 * time.Second, retries: true},
		{name: "batch", priority: 3, weight: 1, rate: batch, workspace: oneOf(8), prompt: between(4000, 12000), output: between(400, 1000),
			objective: 4 * time.Second, timeout: 30 * time.Second, retries: true},
	}
	return f
}

// pattern is a load pattern.
type pattern struct {
	name string
	play func(seed uint64, overload bool) *fleet
	// urgentFits is set if the most urgent requests alone are three quarters of the
	// capacity.
	urgentFits bool
}

// patterns are the load patterns in which capacity is insufficient.
func patterns() []pattern {
	var list []pattern
	for _, daemons := range []int{9, 62} {
		for _, queue := range []int{6, 24} {
			list = append(list, pattern{urgentFits: true, name: fmt.Sprintf("plain service at 1.5 times its capacity, %d daemons, queue of %d", daemons, queue),
				play: func(seed uint64, overload bool) *fleet {
					f := plain(seed, overload, daemons, queue, 1.5)
					f.run(calm + 4*time.Second)
					return f
				}})
		}
	}
	for _, queue := range []int{8, 48} {
		list = append(list, pattern{name: fmt.Sprintf("burst of long work beside chats, queue of %d", queue), play: func(seed uint64, overload bool) *fleet {
			f := engines(seed, overload, queue, 150, func(at time.Duration) float64 {
				if at > 5*time.Second && at < 20*time.Second {
					return 80
				}
				return 10
			})
			f.run(22 * time.Second)
			return f
		}}, pattern{name: fmt.Sprintf("a third of the servers gone, queue of %d", queue), play: func(seed uint64, overload bool) *fleet {
			f := engines(seed, overload, queue, 130, constant(20))
			f.after(5*time.Second, func() {
				for _, s := range f.servers[:3] {
					s.fail(f)
				}
			})
			f.run(15 * time.Second)
			return f
		}})
	}
	return append(list, pattern{name: "workspace at ten times its usual, 62 daemons, queue of 24", play: func(seed uint64, overload bool) *fleet {
		f := plain(seed, overload, 62, 24, 1.5)
		f.heavyWorkspace()
		f.run(calm + 4*time.Second)
		return f
	}}, pattern{name: "counts of no other daemon, 9 daemons, queue of 24", play: func(seed uint64, overload bool) *fleet {
		f := plain(seed, overload, 9, 24, 1.5)
		f.partitioned = true
		f.run(calm + 4*time.Second)
		return f
	}}, pattern{name: "server that refuses everything, 62 daemons, queue of 24", play: func(seed uint64, overload bool) *fleet {
		f := plain(seed, overload, 62, 24, 1.1)
		f.servers[0].full = true
		f.run(calm + 4*time.Second)
		return f
	}}, pattern{name: "server that states twice its slots, 62 daemons, queue of 24", play: func(seed uint64, overload bool) *fleet {
		f := plain(seed, overload, 62, 24, 1.5)
		f.servers[0].stated *= 2
		f.run(calm + 4*time.Second)
		return f
	}}, pattern{name: "all daemons restart, 62 daemons, queue of 24", play: func(seed uint64, overload bool) *fleet {
		f := plain(seed, overload, 62, 24, 1.5)
		f.after(5*time.Second, f.restart)
		f.run(calm + 4*time.Second)
		return f
	}}, pattern{name: "objective that no server meets, 62 daemons, queue of 24", play: func(seed uint64, overload bool) *fleet {
		f := plain(seed, overload, 62, 24, 1.5)
		for _, k := range f.kinds {
			k.objective = 10 * time.Millisecond
		}
		f.run(calm + 4*time.Second)
		return f
	}}, pattern{name: "requests of equal priority, 62 daemons, queue of 24", play: func(seed uint64, overload bool) *fleet {
		f := plain(seed, overload, 62, 24, 1.5)
		f.kinds[1].priority, f.kinds[1].weight = 0, f.kinds[0].weight
		f.run(calm + 4*time.Second)
		return f
	}}, pattern{name: "callers that don't come back, 62 daemons, queue of 24", play: func(seed uint64, overload bool) *fleet {
		f := plain(seed, overload, 62, 24, 1.5)
		for _, k := range f.kinds {
			k.retries = false
		}
		f.run(calm + 4*time.Second)
		return f
	}})
}

// heavyWorkspace lets one of ten workspaces send ten times as much as the others.
func (f *fleet) heavyWorkspace() {
	for _, k := range f.kinds {
		k.workspace = func(rng *rand.Rand) string {
			if i := rng.IntN(19); i < 9 {
				return fmt.Sprint("w", i)
			}
			return "heavy"
		}
	}
}

// total adds the results of several plays.
func total(plays []*fleet, name string) *result {
	sum := &result{}
	for _, f := range plays {
		r := f.results[name]
		sum.sent += r.sent
		sum.served += r.served
		sum.onTime += r.onTime
		sum.refused += r.refused
		sum.late += r.late
		sum.value += r.value
		sum.possible += r.possible
	}
	return sum
}

// playBoth plays a pattern with several seeds, without and with this package.
func playBoth(t *testing.T, p pattern) (before, after []*fleet) {
	for seed := range uint64(seeds) {
		before, after = append(before, p.play(seed, false)), append(after, p.play(seed, true))
	}
	for _, name := range []string{before[0].kinds[0].name, before[0].kinds[1].name, "all"} {
		t.Logf("%-8s before: %v", name, total(before, name))
		t.Logf("%-8s after:  %v", name, total(after, name))
	}
	return before, after
}

// Load patterns: those of patterns. By the weights of the priorities, callers must get at
// least as much as without this package, and the most urgent ones too, nine in ten of them
// within their objective where they alone fit; and of the least urgent ones some must be
// served, in each two seconds, where any were before.
func TestSimulation_CallersGetMoreThanBefore(t *testing.T) {
	for _, p := range patterns() {
		t.Run(p.name, func(t *testing.T) {
			t.Parallel()
			before, after := playBoth(t, p)
			urgent, other := before[0].kinds[0].name, before[0].kinds[1].name
			for _, name := range []string{urgent, "all"} {
				if a, b := total(after, name).share(), total(before, name).share(); a < b {
					t.Errorf("%s get %.3f of the value, before %.3f", name, a, b)
				}
			}
			if r := total(after, urgent); p.urgentFits && 10*r.onTime < 9*r.sent {
				t.Errorf("%s: %v", urgent, r)
			}
			for i := range after {
				a, b := after[i].results[other], before[i].results[other]
				for slot := range b.servedAt {
					if slot < len(a.servedAt) && a.servedAt[slot] == 0 && b.servedAt[slot] > 0 {
						t.Errorf("seed %d: %s starve in second %d", i, other, 2*slot)
					}
				}
			}
		})
	}
}

// Load pattern: one workspace sends ten times as much as each of the others, which alone
// are far below the capacity. Of their requests at least nine in ten must be served, and
// the heavy one must not starve.
func TestSimulation_WorkspacesDoNotSufferFromHeavyOne(t *testing.T) {
	for _, daemons := range []int{9, 62} {
		t.Run(fmt.Sprint(daemons, " daemons"), func(t *testing.T) {
			t.Parallel()
			f := plain(1, true, daemons, 6, 1.5)
			f.kinds = f.kinds[:1]
			f.kinds[0].rate = func(at time.Duration) float64 {
				if at < calm {
					return calmLoad * plainCapacity
				}
				return 1.5 * plainCapacity
			}
			f.heavyWorkspace()
			f.run(calm + 4*time.Second)
			for i := range 9 {
				if r := f.results[fmt.Sprint("booking/w", i)]; 10*r.served < 9*r.sent {
					t.Errorf("w%d: %v", i, r)
				}
			}
			heavy, usual := f.results["booking/heavy"], f.results["booking/w0"]
			t.Logf("heavy %v, w0 %v", heavy, usual)
			if heavy.served < usual.served {
				t.Errorf("heavy %v, w0 %v", heavy, usual)
			}
		})
	}
}

// Load pattern: 0.35 of the capacity, which is what the small service usually has. Nothing
// may be refused or late.
func TestSimulation_SufficientCapacityChangesNothing(t *testing.T) {
	for _, daemons := range []int{9, 62} {
		for seed := range uint64(seeds) {
			f := plain(seed, true, daemons, 6, calmLoad)
			f.run(10 * time.Second)
			for _, k := range f.kinds {
				if r := f.results[k.name]; r.onTime != r.sent {
					t.Errorf("%d daemons, seed %d: %s %v", daemons, seed, k.name, r)
				}
			}
		}
	}
}

// Load pattern: 1.5 times the capacity. A refused caller must have had time to come back
// or turn elsewhere: half of the refusals come within the objective.
func TestSimulation_RefusesEarly(t *testing.T) {
	f := plain(1, true, 62, 24, 1.5)
	for _, k := range f.kinds {
		k.retries = false
	}
	f.run(calm + 4*time.Second)
	var at []time.Duration
	for _, k := range f.kinds {
		at = append(at, f.results[k.name].refusedAt...)
	}
	slices.Sort(at)
	if len(at) == 0 || at[len(at)/2] > f.kinds[0].objective {
		t.Errorf("%d refusals, the median after %v", len(at), at[len(at)/2])
	}
}
