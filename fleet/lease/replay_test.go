package lease

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Daemons in the counterexamples of the model.
const (
	lenderL = iota
	holderA
	holderB
)

// event is one step of a counterexample.
type event func(*fleet)

func claim(holder int) event        { return func(f *fleet) { f.claim(holder, lenderL, "runner") } }
func receiveGrant(f *fleet)         { f.deliver(0, "runner") }
func restart(daemon int) event      { return func(f *fleet) { f.restart(daemon) } }
func advance(d time.Duration) event { return func(f *fleet) { f.clock.advance(d) } }

// TestModelCounterexamples replays the shortest counterexamples that
// model/README.md lists for the mutants of lease.pml. Each mutant breaks one rule
// of the protocol, so that two daemons count the same share.
func TestModelCounterexamples(t *testing.T) {
	for _, tc := range []struct {
		mutant string
		events []event
		holder int // the only daemon that may count L's share
	}{
		{"MUT_NO_START_WAIT", []event{claim(holderA), receiveGrant, restart(lenderL), claim(holderB), receiveGrant}, holderA},
		{"MUT_SHORT_START_WAIT", []event{claim(holderA), receiveGrant, restart(lenderL), advance(duration * 9 / 10), claim(holderB), receiveGrant}, holderA},
		{"MUT_COUNT_FROM_RECEIPT", []event{claim(holderA), advance(duration / 2), receiveGrant, advance(duration / 2), claim(holderB), receiveGrant}, holderB},
		{"MUT_GRANT_EARLY", []event{claim(holderA), receiveGrant, advance(duration * 9 / 10), claim(holderB), receiveGrant}, holderA},
		{"MUT_NO_CLOCK_CHECK", []event{claim(holderA), receiveGrant, advance(duration), claim(holderB), receiveGrant}, holderB},
	} {
		t.Run(tc.mutant, func(t *testing.T) {
			is := is.New(t)
			f := newFleet(3, newClock())
			f.clock.advance(duration) // all lenders are ready
			for _, step := range tc.events {
				step(f)
			}
			for daemon, shares := range f.shares {
				is.Equal(shares.Fraction("runner").Lenders == 1, daemon == tc.holder)
			}
		})
	}
}
