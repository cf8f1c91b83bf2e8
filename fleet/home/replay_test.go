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

// Parameters of the model's counterexamples: an engine with a limit of 3 and three lenders
// of its shares.
const (
	engineLimit = 3
	lenders     = 3
	leaseTime   = 3 * time.Second
	tick        = 10 * time.Millisecond
)

// fixture is a daemon that is the home of one engine, with a clock that tests advance.
type fixture struct {
	at     time.Time
	shares *lease.Shares
	runner *runner
}

// newFixture returns a fixture without shares or load reports.
func newFixture() *fixture {
	b := &fixture{at: time.Unix(1_000_000, 0)}
	b.shares = lease.NewShares(b.now)
	h := New(context.Background(), Options{Shares: b.shares, Now: b.now})
	b.runner = newRunner(h, platformapi.VM{ID: "engine"}, rules{minInFlight: engineLimit, maxInFlight: engineLimit})
	b.runner.isHome.Store(true)
	return b
}

func (b *fixture) now() time.Time { return b.at }

// event is one step of a counterexample.
type event func(*fixture)

// grantedBy records grants of shares by the named lenders.
func grantedBy(by ...string) event {
	return func(b *fixture) {
		for _, lender := range by {
			b.shares.RecordGrant("engine", lender, b.now(), leaseTime, lenders)
		}
	}
}

// advance advances the clock.
func advance(d time.Duration) event { return func(b *fixture) { b.at = b.at.Add(d) } }

// engineReports applies a load report with the given number of running requests and age.
func engineReports(running int, age time.Duration) event {
	return func(b *fixture) {
		b.runner.applyReport(engineapi.LoadReport{Running: running, AgeMs: age.Milliseconds()}, b.now())
	}
}

// startsRequest starts a request of this daemon.
func startsRequest(b *fixture) { b.runner.spans.begin() }

// Replays the counterexamples of admit.pml and cases that follow from its rule 5; see
// docs/design/leases.md.
func TestRunner_LocalLimitAfterShareChanges(t *testing.T) {
	for _, tc := range []struct {
		name    string
		events  []event
		allowed int // expected localLimit; zero and below mean none
	}{
		{"no report yet", []event{grantedBy("x", "y", "z")}, 0},
		{"MUT_IGNORE_FORMER: requests of the former holder fill the engine", []event{grantedBy("x"), advance(tick), engineReports(3, 0)}, 1 - 3},
		{"requests of the former holder have drained", []event{grantedBy("x"), advance(tick), engineReports(3, 0), advance(tick), engineReports(0, 0)}, 1},
		{"WAY_TOTAL, WAY_SPARE: two homes observe one free slot", []event{grantedBy("x"), advance(tick), engineReports(2, 0)}, 1 - 2},
		{"MUT_OLD_REPORT: share granted after the report", []event{grantedBy("x"), advance(tick), engineReports(0, 0), advance(tick), grantedBy("y")}, 1},
		{"report received after the grant but measured before it", []event{grantedBy("x"), advance(tick), engineReports(0, 0), advance(tick), grantedBy("y"), advance(tick), engineReports(0, 2*tick)}, 1},
		{"report measured after the grant", []event{grantedBy("x"), advance(tick), engineReports(0, 0), advance(tick), grantedBy("y"), advance(tick), engineReports(2, 0)}, 0},
		{"MUT_NO_CLOCK_CHECK: process paused until the lease has expired", []event{grantedBy("x", "y", "z"), advance(tick), engineReports(0, 0), advance(leaseTime)}, 0},
		{"expired share granted again counts as new", []event{grantedBy("x"), advance(tick), engineReports(0, 0), advance(leaseTime), grantedBy("x")}, 0},
		{"share renewed in time does not count as new", []event{grantedBy("x"), advance(tick), engineReports(0, 0), advance(leaseTime / 2), grantedBy("x")}, 1},
		{"own requests are not counted twice", []event{grantedBy("x", "y", "z"), startsRequest, advance(arrivalTime), engineReports(1, 0)}, 3},
		{"own request that may not have arrived is not subtracted from the report", []event{grantedBy("x", "y", "z"), advance(tick), startsRequest, advance(tick), engineReports(1, 0)}, 3 - 1},
	} {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			b := newFixture()
			for _, step := range tc.events {
				step(b)
			}
			is.Equal(b.runner.localLimit(), tc.allowed)
		})
	}
}

// Replays the counterexample MUT_RELEASE_UNDRAINED of lease.pml: a home that releases its
// shares must stop using them before a lender grants them to another daemon.
func TestHome_DoesNotUseReleasedShares(t *testing.T) {
	is := is.New(t)
	b := newFixture()
	h, self := b.runner.home, lease.Holder{ID: "self", Incarnation: 1}
	h.opts.Self = self
	h.opts.Lender = lease.NewLender(leaseTime, b.now)
	h.opts.Directory = member.NewDirectory(member.Options{Self: &peerpb.Identity{Id: "self"}}, b.now)
	h.runners["engine"] = b.runner
	b.runner.stop = func() {}
	advance(leaseTime)(b)
	is.True(h.opts.Lender.Grant("engine", self).Granted)
	grantedBy("x", "y", "z")(b)
	advance(tick)(b)
	engineReports(0, 0)(b)
	is.Equal(b.runner.localLimit(), engineLimit)

	h.removeUnlisted() // the engine is not in the VM list

	is.Equal(h.Released(), []string{"engine"})
	is.Equal(b.shares.Fraction("engine").Lenders, 0)
	is.Equal(b.runner.localLimit(), 0)
	is.True(h.opts.Lender.Grant("engine", lease.Holder{ID: "other"}).Granted)
}
