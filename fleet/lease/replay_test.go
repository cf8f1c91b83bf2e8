package lease

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Daemons of the model's counterexamples.
const (
	lenderL = iota
	holderA
	holderB
)

// event is one step of a counterexample.
type event func(*fleet)

func claims(holder int) event      { return func(f *fleet) { f.claim(holder, lenderL, "runner") } }
func counts(f *fleet)              { f.deliver(0, "runner") }
func restarts(daemon int) event    { return func(f *fleet) { f.restart(daemon) } }
func passes(d time.Duration) event { return func(f *fleet) { f.clock.advance(d) } }

// TestCounterexamplesOfTheModelAreRefused replays the shortest sequences that
// model/README.md gives for the mutants of lease.pml.
func TestCounterexamplesOfTheModelAreRefused(t *testing.T) {
	for _, tc := range []struct {
		mutant string
		events []event
		holder int // the only daemon that may count the share of L
	}{
		{"MUT_NO_START_WAIT", []event{claims(holderA), counts, restarts(lenderL), claims(holderB), counts}, holderA},
		{"MUT_SHORT_START_WAIT", []event{claims(holderA), counts, restarts(lenderL), passes(duration * 9 / 10), claims(holderB), counts}, holderA},
		{"MUT_COUNT_FROM_RECEIPT", []event{claims(holderA), passes(duration / 2), counts, passes(duration / 2), claims(holderB), counts}, holderB},
		{"MUT_GRANT_EARLY", []event{claims(holderA), counts, passes(duration * 9 / 10), claims(holderB), counts}, holderA},
		{"MUT_NO_CLOCK_CHECK", []event{claims(holderA), counts, passes(duration), claims(holderB), counts}, holderB},
	} {
		t.Run(tc.mutant, func(t *testing.T) {
			is := is.New(t)
			f := newFleet(3, newClock())
			f.clock.advance(duration) // all lenders are open
			for _, step := range tc.events {
				step(f)
			}
			for daemon, shares := range f.shares {
				is.Equal(shares.Fraction("runner").Lenders == 1, daemon == tc.holder)
			}
		})
	}
}
