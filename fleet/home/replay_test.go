package home

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"cassialatch.dev/fleet/lease"
	"cassialatch.dev/fleet/member"
	"cassialatch.dev/wire/engineapi"
	"cassialatch.dev/wire/peerpb"
	"cassialatch.dev/wire/platformapi"
)

// Figures of the model's counterexamples: an engine with a limit of 3, whose
// shares three daemons lend.
const (
	engineLimit = 3
	lenders     = 3
	leaseTime   = 3 * time.Second
	tick        = 10 * time.Millisecond
)

// fixture is a daemon that is home of one engine, under a clock that tests move.
type fixture struct {
	at     time.Time
	shares *lease.Shares
	runner *runner
}

func newFixture() *fixture {
	b := &fixture{at: time.Unix(1_000_000, 0)}
	b.shares = lease.NewShares(b.now)
	h := New(context.Background(), Options{Shares: b.shares, Now: b.now})
	b.runner = newRunner(h, platformapi.VM{ID: "engine"}, rules{minInFlight: engineLimit, maxInFlight: engineLimit})
	b.runner.homed.Store(true)
	return b
}

func (b *fixture) now() time.Time { return b.at }

// event is one step of a counterexample.
type event func(*fixture)

// granted tells that lenders have just lent their shares.
func granted(by ...string) event {
	return func(b *fixture) {
		for _, lender := range by {
			b.shares.RecordGrant("engine", lender, b.now(), leaseTime, lenders)
		}
	}
}

// passes moves the clock.
func passes(d time.Duration) event { return func(b *fixture) { b.at = b.at.Add(d) } }

// reports has the engine tell what ran some time ago.
func reports(running int, age time.Duration) event {
	return func(b *fixture) {
		b.runner.apply(engineapi.LoadReport{Running: running, AgeMs: age.Milliseconds()}, b.now())
	}
}

// runs starts a request of this daemon.
func runs(b *fixture) { b.runner.spans.begin() }

// TestAdmissionUnderSharesThatMove replays the counterexamples of admit.pml
// and what follows from its rule 5 (docs/design/leases.md).
func TestAdmissionUnderSharesThatMove(t *testing.T) {
	for _, tc := range []struct {
		name    string
		events  []event
		allowed int // of this daemon's own work; none when not above zero
	}{
		{"no report yet", []event{granted("x", "y", "z")}, 0},
		{"MUT_IGNORE_FORMER: the former holder fills the engine", []event{granted("x"), passes(tick), reports(3, 0)}, 1 - 3},
		{"former work has drained", []event{granted("x"), passes(tick), reports(3, 0), passes(tick), reports(0, 0)}, 1},
		{"WAY_TOTAL, WAY_SPARE: one place is free, two homes see it", []event{granted("x"), passes(tick), reports(2, 0)}, 1 - 2},
		{"MUT_OLD_REPORT: a share came since the report", []event{granted("x"), passes(tick), reports(0, 0), passes(tick), granted("y")}, 1},
		{"a report that comes later but was measured before", []event{granted("x"), passes(tick), reports(0, 0), passes(tick), granted("y"), passes(tick), reports(0, 2*tick)}, 1},
		{"a report measured since", []event{granted("x"), passes(tick), reports(0, 0), passes(tick), granted("y"), passes(tick), reports(2, 0)}, 0},
		{"MUT_NO_CLOCK_CHECK: paused past the lease", []event{granted("x", "y", "z"), passes(tick), reports(0, 0), passes(leaseTime)}, 0},
		{"a share that lapsed and came again is a new one", []event{granted("x"), passes(tick), reports(0, 0), passes(leaseTime), granted("x")}, 0},
		{"a share renewed in time is not", []event{granted("x"), passes(tick), reports(0, 0), passes(leaseTime / 2), granted("x")}, 1},
		{"own work is not counted twice", []event{granted("x", "y", "z"), runs, passes(arrivalTime), reports(1, 0)}, 3},
		{"own work that may not have arrived is not subtracted", []event{granted("x", "y", "z"), passes(tick), runs, passes(tick), reports(1, 0)}, 3 - 1},
	} {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			b := newFixture()
			for _, step := range tc.events {
				step(b)
			}
			is.Equal(b.runner.allowed(), tc.allowed)
		})
	}
}

// TestSharesGivenBackAreNotCounted replays MUT_RELEASE_UNDRAINED of lease.pml.
func TestSharesGivenBackAreNotCounted(t *testing.T) {
	is := is.New(t)
	b := newFixture()
	h, self := b.runner.home, lease.Holder{ID: "self", Incarnation: 1}
	h.opts.Self = self
	h.opts.Lender = lease.NewLender(leaseTime, b.now)
	h.opts.Directory = member.NewDirectory(member.Options{Self: &peerpb.Identity{Id: "self"}}, b.now)
	h.runners["engine"] = b.runner
	b.runner.stop = func() {}
	passes(leaseTime)(b)
	is.True(h.opts.Lender.Grant("engine", self).Granted)
	granted("x", "y", "z")(b)
	passes(tick)(b)
	reports(0, 0)(b)
	is.Equal(b.runner.allowed(), engineLimit)

	h.dropUnlisted() // no list names the engine

	is.Equal(h.Released(), []string{"engine"})
	is.Equal(b.shares.Fraction("engine").Lenders, 0)
	is.Equal(b.runner.allowed(), 0)
	is.True(h.opts.Lender.Grant("engine", lease.Holder{ID: "other"}).Granted)
}
