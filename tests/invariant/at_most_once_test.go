package invariant

import (
	"cmp"
	"context"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"cassialatch.dev/fleet/executor"
	"cassialatch.dev/fleet/forward"
	"cassialatch.dev/fleet/lease"
	"cassialatch.dev/fleet/router"
	"cassialatch.dev/fleet/ticketbook"
	"cassialatch.dev/outcome"
	"cassialatch.dev/seal/keyring"
	"cassialatch.dev/seal/ticket"
	"cassialatch.dev/standin/plainservice"
	"cassialatch.dev/tests/harness"
	"cassialatch.dev/wire/peerpb"
)

// slowly makes the next calls last long enough to be interrupted.
func slowly(f *harness.Fleet, factor float64) {
	for _, s := range f.Services {
		s.SetSlowdown(factor)
	}
}

// during sends one copy and calls then while it runs.
func during(f *harness.Fleet, d *harness.Daemon, r request, then func()) reply {
	slowly(f, 100)
	defer slowly(f, 1)
	told := make(chan reply, 1)
	go func() { told <- send(d, r) }()
	f.Eventually("the booking runs", func() bool { return running(f) > 0 })
	then()
	return <-told
}

// breakNext breaks the next call of each plain service at a point.
func breakNext(f *harness.Fleet, at plainservice.FaultPoint, n int) {
	for _, s := range f.Services {
		s.InjectFaults(at, n)
	}
}

// restart replaces a daemon by another incarnation at its addresses.
func restart(f *harness.Fleet, d *harness.Daemon) {
	d.Stop()
	d.Restart()
	f.WaitReady()
}

func TestTicketRunsAtMostOnce(t *testing.T) {
	t.Parallel()
	f := harness.Start(t, harness.Options{Daemons: 3, Services: 2, Service: plainservice.Config{Delay: 10 * time.Millisecond}})
	d := f.Daemons // the first two are homes, each of one plain service
	cut := func(a, b int) { f.Network.Partition(d[a:a+1], d[b:b+1]) }
	heal := func(a, b int) { f.Network.Heal(d[a:a+1], d[b:b+1]) }

	cases := []struct {
		name     string
		executor int
		first    func(request) reply // the first copy and the failure
		want     outcome.Outcome     // of the copies that follow; empty: that of the first
		code     outcome.Code
	}{
		{"sent again after the answer", 0, func(r request) reply { return send(d[1], r) }, outcome.Answered, ""},
		{"sent again while it runs", 0, func(r request) reply {
			var other reply
			first := during(f, d[1], r, func() { other = send(d[2], r) })
			ledger(t, runs(f, r.id), first, other)
			return first
		}, outcome.Answered, ""},
		{"executor cut off before the run", 0, func(r request) reply {
			cut(0, 1)
			defer heal(0, 1)
			return send(d[1], r)
		}, outcome.Answered, ""},
		{"executor cut off during the run", 0, func(r request) reply {
			defer heal(0, 1)
			return during(f, d[1], r, func() { cut(0, 1) })
		}, outcome.Answered, ""},
		{"home cut off during the run", 2, func(r request) reply {
			defer func() { heal(0, 2); heal(1, 2) }()
			return during(f, d[2], r, func() { cut(0, 2); cut(1, 2) })
		}, outcome.Unknown, ""},
		{"executor replaced after the run", 2, func(r request) reply {
			told := send(d[1], r)
			restart(f, d[2])
			return told
		}, outcome.Unknown, outcome.CodeExecutorGone},
		{"executor replaced before the run", 2, func(r request) reply {
			d[2].Stop()
			told := send(d[0], r)
			d[2].Restart()
			f.WaitReady()
			return told
		}, outcome.Unknown, outcome.CodeExecutorGone},
		{"cut at accept", 0, nil, "", ""}, // before or after the first byte
		{"cut at headers", 0, nil, outcome.Unknown, ""},
		{"cut at body", 0, nil, outcome.Unknown, ""},
		{"cut at answer", 0, nil, outcome.Unknown, ""},
	}
	refused := 0
	for i, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			f.Eventually("daemons hear each other", func() bool { return linked(f.Daemons) })
			first := c.first
			if point, ok := strings.CutPrefix(c.name, "cut at "); ok {
				first = func(r request) reply {
					breakNext(f, plainservice.FaultPoint(point), 1)
					defer breakNext(f, "", 0)
					return send(d[1], r)
				}
			}
			r := booking(fmt.Sprintf("b%d", i), fresh(t, d[c.executor]))
			told := []reply{first(r)}
			f.Eventually("daemons hear each other", func() bool { return linked(f.Daemons) })
			for _, other := range d {
				again := send(other, r)
				is.Equal(again.outcome, cmp.Or(c.want, told[0].outcome))
				is.True(c.code == "" || again.code == c.code)
				told = append(told, again)
			}
			if ledger(t, runs(f, r.id), told...) {
				refused++
			}
		})
	}
	t.Logf("%d of %d bookings could have run and were refused", refused, len(cases))
}

func TestTicketStandsForOneRequest(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := harness.Start(t, harness.Options{Daemons: 3, Services: 2, Service: plainservice.Config{Delay: 10 * time.Millisecond}})
	d := f.Daemons

	expired := send(d[1], booking("expired", issue(t, d[0], time.Now().Add(-time.Second))))
	is.Equal(expired.code, outcome.CodeTicketExpired)
	ledger(t, runs(f, "expired"), expired)

	used := fresh(t, d[0])
	is.Equal(send(d[1], booking("one", used)).outcome, outcome.Answered)
	other := send(d[2], booking("other", used))
	is.Equal(other.outcome, outcome.Unknown) // the first body did run
	is.Equal(runs(f, "one"), 1)
	is.Equal(runs(f, "other"), 0)

	keyed := booking("keyed", "")
	keyed.key = "caller-key"
	asked := send(d[0], keyed)
	is.Equal(asked.status, 428)
	is.Equal(asked.outcome, outcome.NotRun)
	is.Equal(runs(f, "keyed"), 0)
	keyed.ticket = asked.ticket
	is.Equal(send(d[1], keyed).outcome, outcome.Answered)
	is.Equal(runs(f, "keyed"), 1)

	race(t, f, booking("raced", fresh(t, d[0])))
}

// race sends many copies at once; each must bring the one answer.
func race(t *testing.T, f *harness.Fleet, r request) {
	t.Helper()
	const copies = 60
	told := make([]reply, copies)
	var wg sync.WaitGroup
	for i := range copies {
		wg.Go(func() { told[i] = send(f.Daemons[i%len(f.Daemons)], r) })
	}
	wg.Wait()
	for _, other := range told {
		if other.outcome != outcome.Answered || other.body != told[0].body {
			t.Errorf("a copy got another answer: %+v, %+v", other, told[0])
		}
	}
	ledger(t, runs(f, r.id), told...)
}

func TestServiceThatChecksKeysRunsAKeyOnce(t *testing.T) {
	t.Parallel()
	f := harness.Start(t, harness.Options{
		Daemons: 3, Services: 1, Service: plainservice.Config{CheckKey: true, Delay: 10 * time.Millisecond},
		Base: strings.Replace(harness.BaseDocument, "[services.arkiv-app]", "[services.arkiv-app]\nchecks_key = true", 1),
	})
	for i, point := range []plainservice.FaultPoint{"", plainservice.FaultAfterHeaders, plainservice.FaultAfterBody, plainservice.FaultInResponse} {
		r := booking(fmt.Sprintf("k%d", i), "")
		r.key = r.id
		breakNext(f, point, 1)
		first := send(f.Daemons[0], r)
		breakNext(f, "", 0)
		ledger(t, runs(f, r.id), first)
		race(t, f, r)
	}
}

// lossyPeers reaches one other executor over a link that loses forwards.
type lossyPeers struct {
	other *executor.Executor
	lose  func(run func() error) error
}

func (p *lossyPeers) ExecutorFor(string) forward.Executor { return p }

func (p *lossyPeers) Execute(ctx context.Context, start *peerpb.ForwardStart, body []byte, sink forward.Sink) error {
	return p.lose(func() error { return p.other.Execute(ctx, start, body, sink) })
}

func (p *lossyPeers) VoidTicket(_ context.Context, _, text string) (peerpb.VoidTicketResponse_State, error) {
	return p.other.Void(text), nil
}

// countingRouter counts what runs, or fails.
type countingRouter struct {
	runs int
	err  error
}

func (c *countingRouter) Route(_ context.Context, _ router.Request, sink forward.Sink) error {
	if c.err != nil {
		return c.err
	}
	c.runs++
	if err := sink.Head(forward.ResponseHead{Status: 200}); err != nil {
		return err
	}
	return sink.End(forward.ResponseEnd{})
}

// discard is a sink.
type discard struct{}

func (discard) Head(forward.ResponseHead) error { return nil }
func (discard) Data([]byte) error               { return nil }
func (discard) End(forward.ResponseEnd) error   { return nil }

func TestWithdrawnTicketNeverRuns(t *testing.T) {
	ring, err := keyring.New([]keyring.Key{{ID: "k", Secret: make([]byte, 32)}})
	if err != nil {
		t.Fatal(err)
	}
	node := func(id string, r executor.Router, peers executor.Peers) *executor.Executor {
		book := ticketbook.New(ticketbook.Options{Incarnation: 1, MaxEntries: 10, MaxResponseBytes: 10, MaxTotalBytes: 100, Retention: time.Minute}, time.Now)
		return executor.New(executor.Options{Self: lease.Holder{ID: id, Incarnation: 1}, Ring: ring, Book: book, Router: r, Peers: peers})
	}
	lost := outcome.NewUnknown(outcome.CodePeerFailed, "lost")
	unsent := outcome.NewNotRun(outcome.CodePeerFailed, "not sent").WithReplan()
	told := func(run func() error) error { return forward.DecodeError(forward.EncodeError(run())) }
	cases := []struct {
		name string
		lose func(run func() error) error
		home error // failure on the executor's way to the home
		want outcome.Outcome
		late int // runs after a late copy
	}{
		{"lost before the executor took it", func(func() error) error { return lost }, nil, outcome.NotRun, 0},
		{"not sent", func(func() error) error { return unsent }, nil, outcome.NotRun, 0},
		{"lost after the run", func(run func() error) error { _ = run(); return lost }, nil, outcome.Unknown, 1},
		{"not sent after an earlier copy ran", func(run func() error) error { _ = run(); return unsent }, nil, outcome.Unknown, 1},
		{"executor did not reach the home", told, unsent, outcome.NotRun, 0},
		{"executor lost the home", told, lost, outcome.Unknown, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			counter := &countingRouter{err: c.home}
			other := node("other", counter, nil)
			entry := node("entry", counter, &lossyPeers{other: other, lose: c.lose})
			start := &peerpb.ForwardStart{DeadlineMs: 1000, Ticket: ticket.Issue(ring, ticket.Ticket{
				Executor: "other", Peer: "127.0.0.1:1", Incarnation: 1, Expires: time.Now().Add(time.Minute),
			})}
			failure := outcome.From(entry.Submit(context.Background(), start, nil, discard{}))
			is.Equal(failure.Outcome, c.want)
			is.True(!failure.Replan)
			_ = other.Execute(context.Background(), start, nil, discard{}) // a copy that was on its way
			is.Equal(counter.runs, c.late)
		})
	}
}
