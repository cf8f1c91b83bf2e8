package invariant

import (
	"cmp"
	"context"
	"fmt"
	"slices"
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

// slowServicesBy slows all plain services down by a factor, so that a test can
// interrupt a call while it runs; 1 restores their speed.
func slowServicesBy(f *harness.Fleet, factor float64) {
	for _, s := range f.Services {
		s.SetSlowdown(factor)
	}
}

// sendAndInterrupt sends one copy of a booking and calls interrupt while the
// booking runs.
func sendAndInterrupt(f *harness.Fleet, d *harness.Daemon, r request, interrupt func()) response {
	slowServicesBy(f, 100)
	defer slowServicesBy(f, 1)
	responses := make(chan response, 1)
	go func() { responses <- send(d, r) }()
	f.Eventually("booking running", func() bool { return runningCalls(f) > 0 })
	interrupt()
	return <-responses
}

// injectServiceFaults makes the next n calls of each plain service fail at a point.
func injectServiceFaults(f *harness.Fleet, at plainservice.FaultPoint, n int) {
	for _, s := range f.Services {
		s.InjectFaults(at, n)
	}
}

// restartDaemon replaces a daemon by a new incarnation at the same addresses and
// waits until the fleet is ready.
func restartDaemon(f *harness.Fleet, d *harness.Daemon) {
	d.Stop()
	d.Restart()
	f.WaitReady()
}

func TestTicketRunsAtMostOnce(t *testing.T) {
	t.Parallel()
	f := harness.Start(t, harness.Options{Daemons: 3, Services: 2, Service: plainservice.Config{Delay: 10 * time.Millisecond}})
	d := f.Daemons // the first two daemons are each the home of one plain service
	partition := func(a, b int) { f.Network.Partition(d[a:a+1], d[b:b+1]) }
	heal := func(a, b int) { f.Network.Heal(d[a:a+1], d[b:b+1]) }

	cases := []struct {
		name     string
		executor int
		first    func(request) response // sends the first copy and injects the fault
		want     outcome.Outcome        // of the later copies; if empty, that of the first
		code     outcome.Code
	}{
		{"sent again after the response", 0, func(r request) response { return send(d[1], r) }, outcome.Answered, ""},
		{"sent again while it runs", 0, func(r request) response {
			var other response
			first := sendAndInterrupt(f, d[1], r, func() { other = send(d[2], r) })
			checkOutcomes(t, bookingRuns(f, r.id), first, other)
			return first
		}, outcome.Answered, ""},
		{"executor unreachable before the run", 0, func(r request) response {
			partition(0, 1)
			defer heal(0, 1)
			return send(d[1], r)
		}, outcome.Answered, ""},
		{"executor unreachable during the run", 0, func(r request) response {
			defer heal(0, 1)
			return sendAndInterrupt(f, d[1], r, func() { partition(0, 1) })
		}, outcome.Answered, ""},
		{"home unreachable during the run", 2, func(r request) response {
			defer func() { heal(0, 2); heal(1, 2) }()
			return sendAndInterrupt(f, d[2], r, func() { partition(0, 2); partition(1, 2) })
		}, outcome.Unknown, ""},
		{"executor replaced after the run", 2, func(r request) response {
			got := send(d[1], r)
			restartDaemon(f, d[2])
			return got
		}, outcome.Unknown, outcome.CodeExecutorGone},
		{"executor replaced before the run", 2, func(r request) response {
			d[2].Stop()
			got := send(d[0], r)
			d[2].Restart()
			f.WaitReady()
			return got
		}, outcome.Unknown, outcome.CodeExecutorGone},
		{"closed at accept", 0, nil, "", ""}, // the service may or may not have read the first byte
		{"closed at headers", 0, nil, outcome.Unknown, ""},
		{"closed at body", 0, nil, outcome.Unknown, ""},
		{"closed at answer", 0, nil, outcome.Unknown, ""},
	}
	refused := 0
	for i, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			f.Eventually("all daemons see each other alive", func() bool { return allAlive(f.Daemons) })
			first := c.first
			if point, ok := strings.CutPrefix(c.name, "closed at "); ok {
				first = func(r request) response {
					injectServiceFaults(f, plainservice.FaultPoint(point), 1)
					defer injectServiceFaults(f, "", 0)
					return send(d[1], r)
				}
			}
			r := bookingRequest(fmt.Sprintf("b%d", i), newTicket(t, d[c.executor]))
			responses := []response{first(r)}
			f.Eventually("all daemons see each other alive", func() bool { return allAlive(f.Daemons) })
			for _, other := range d {
				again := send(other, r)
				is.Equal(again.outcome, cmp.Or(c.want, responses[0].outcome))
				is.True(c.code == "" || again.code == c.code)
				responses = append(responses, again)
			}
			if checkOutcomes(t, bookingRuns(f, r.id), responses...) {
				refused++
			}
		})
	}
	t.Logf("%d of %d bookings did not run although they could have", refused, len(cases))
}

func TestTicketIsBoundToOneRequest(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := harness.Start(t, harness.Options{Daemons: 3, Services: 2, Service: plainservice.Config{Delay: 10 * time.Millisecond}})
	d := f.Daemons

	expired := send(d[1], bookingRequest("expired", issueTicket(t, d[0], time.Now().Add(-time.Second))))
	is.Equal(expired.code, outcome.CodeTicketExpired)
	checkOutcomes(t, bookingRuns(f, "expired"), expired)

	usedTicket := newTicket(t, d[0])
	is.Equal(send(d[1], bookingRequest("one", usedTicket)).outcome, outcome.Answered)
	other := send(d[2], bookingRequest("other", usedTicket))
	is.Equal(other.outcome, outcome.Unknown) // the ticket's first request did run
	is.Equal(bookingRuns(f, "one"), 1)
	is.Equal(bookingRuns(f, "other"), 0)

	keyed := bookingRequest("keyed", "")
	keyed.key = "caller-key"
	rejected := send(d[0], keyed)
	is.Equal(rejected.status, 428)
	is.Equal(rejected.outcome, outcome.NotRun)
	is.Equal(bookingRuns(f, "keyed"), 0)
	keyed.ticket = rejected.ticket
	is.Equal(send(d[1], keyed).outcome, outcome.Answered)
	is.Equal(bookingRuns(f, "keyed"), 1)

	sendConcurrently(t, f, bookingRequest("raced", newTicket(t, d[0])))
}

// sendConcurrently sends many copies of a request at once and checks that all
// receive the same response.
func sendConcurrently(t *testing.T, f *harness.Fleet, r request) {
	t.Helper()
	const copies = 60
	responses := make([]response, copies)
	var wg sync.WaitGroup
	for i := range copies {
		wg.Go(func() { responses[i] = send(f.Daemons[i%len(f.Daemons)], r) })
	}
	wg.Wait()
	for _, other := range responses {
		if other.outcome != outcome.Answered || other.body != responses[0].body {
			t.Errorf("copies received different responses: %+v, %+v", other, responses[0])
		}
	}
	checkOutcomes(t, bookingRuns(f, r.id), responses...)
}

func TestServiceThatChecksKeysRunsAKeyOnce(t *testing.T) {
	t.Parallel()
	document := strings.NewReplacer(
		"[services.arkiv-app]", "[services.arkiv-app]\nchecks_key = true",
		`queue_timeout = "5s"`, `queue_timeout = "60s"`, // as in toleratePauses
		`deadline = "20s"`, `deadline = "60s"`,
	)
	f := harness.Start(t, harness.Options{
		Daemons: 3, Services: 1, Service: plainservice.Config{CheckKey: true, Delay: 10 * time.Millisecond},
		Base:           document.Replace(harness.BaseDocument),
		ModifySettings: toleratePauses,
	})
	for i, point := range []plainservice.FaultPoint{"", plainservice.FaultAfterHeaders, plainservice.FaultAfterBody, plainservice.FaultInResponse} {
		r := bookingRequest(fmt.Sprintf("k%d", i), "")
		r.key = r.id
		injectServiceFaults(f, point, 1)
		first := send(f.Daemons[0], r)
		injectServiceFaults(f, "", 0)
		checkOutcomes(t, bookingRuns(f, r.id), first)
		sendConcurrently(t, f, r)
	}
}

// Guards against a keyed booking that ran being reported as not run by a daemon that
// does not reach the home.
func TestKeyedBookingThatRanIsNotReportedNotRun(t *testing.T) {
	t.Parallel()
	f := harness.Start(t, harness.Options{
		Daemons: 3, Services: 1, Service: plainservice.Config{CheckKey: true},
		Base: strings.Replace(harness.BaseDocument, "[services.arkiv-app]", "[services.arkiv-app]\nchecks_key = true", 1),
	})
	for i, d := range f.Daemons { // all but the home have to forward the booking
		others := slices.DeleteFunc(slices.Clone(f.Daemons), func(other *harness.Daemon) bool { return other == d })
		r := bookingRequest(fmt.Sprintf("p%d", i), "")
		r.key = r.id
		first := send(others[0], r)
		f.Network.Partition([]*harness.Daemon{d}, others)
		again := send(d, r)
		f.Network.Heal([]*harness.Daemon{d}, others)
		f.Eventually("all daemons see each other alive", func() bool { return allAlive(f.Daemons) })
		checkOutcomes(t, bookingRuns(f, r.id), first, again)
	}
}

// lossyPeers connects to one other executor over a link that can lose forwards.
type lossyPeers struct {
	other   *executor.Executor
	deliver func(run func() error) error
}

func (p *lossyPeers) ExecutorFor(string) forward.Executor { return p }

func (p *lossyPeers) Execute(ctx context.Context, start *peerpb.ForwardStart, body []byte, sink forward.Sink) error {
	return p.deliver(func() error { return p.other.Execute(ctx, start, body, sink) })
}

func (p *lossyPeers) VoidTicket(_ context.Context, _, text string) (peerpb.VoidTicketResponse_State, error) {
	return p.other.Void(text), nil
}

// countingRouter counts the requests that it runs. If err is set, it returns err
// instead.
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

// discardSink is a forward.Sink that discards the response.
type discardSink struct{}

func (discardSink) Head(forward.ResponseHead) error { return nil }
func (discardSink) Data([]byte) error               { return nil }
func (discardSink) End(forward.ResponseEnd) error   { return nil }

// A daemon that loses the connection to the executor of a ticket voids the ticket
// and may then report the request as not run. That is false if a copy that was
// delayed on the way runs afterwards.
func TestVoidedTicketNeverRuns(t *testing.T) {
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
	relayError := func(run func() error) error { return forward.DecodeError(forward.EncodeError(run())) }
	cases := []struct {
		name     string
		deliver  func(run func() error) error
		routeErr error // returned when the executor forwards to the home
		want     outcome.Outcome
		lateRuns int // runs after the delayed copy has arrived
	}{
		{"lost before the executor accepted it", func(func() error) error { return lost }, nil, outcome.NotRun, 0},
		{"not sent", func(func() error) error { return unsent }, nil, outcome.NotRun, 0},
		{"lost after the run", func(run func() error) error { _ = run(); return lost }, nil, outcome.Unknown, 1},
		{"not sent after an earlier copy ran", func(run func() error) error { _ = run(); return unsent }, nil, outcome.Unknown, 1},
		{"executor did not reach the home", relayError, unsent, outcome.NotRun, 0},
		{"executor lost the home", relayError, lost, outcome.Unknown, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			counter := &countingRouter{err: c.routeErr}
			other := node("other", counter, nil)
			entry := node("entry", counter, &lossyPeers{other: other, deliver: c.deliver})
			start := &peerpb.ForwardStart{DeadlineMs: 1000, Ticket: ticket.Issue(ring, ticket.Ticket{
				Executor: "other", Peer: "127.0.0.1:1", Incarnation: 1, Expires: time.Now().Add(time.Minute),
			})}
			failure := outcome.From(entry.Submit(context.Background(), start, nil, discardSink{}))
			is.Equal(failure.Outcome, c.want)
			is.True(!failure.Replan)
			_ = other.Execute(context.Background(), start, nil, discardSink{}) // a copy that arrives late
			is.Equal(counter.runs, c.lateRuns)
		})
	}
}
