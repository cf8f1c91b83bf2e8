package process

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"testing"
	"time"

	"cassialatch.dev/outcome"
	"cassialatch.dev/standin/caller"
	"cassialatch.dev/standin/plainservice"
	"cassialatch.dev/tests/harness"
)

// requestTicket gets a ticket from a daemon. The ticket names that daemon as the
// executor.
func requestTicket(t *testing.T, d *daemon) string {
	t.Helper()
	resp, err := httpClient.Get("http://" + d.caller() + "/v1/entry?tickets=1")
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	var endpoints caller.Endpoints
	if err := json.NewDecoder(resp.Body).Decode(&endpoints); err != nil || len(endpoints.Tickets) == 0 {
		t.Fatalf("get a ticket from %s: %v", d.id, err)
	}
	return endpoints.Tickets[0]
}

// attemptResult is the outcome and code that a caller received for one attempt.
type attemptResult struct {
	outcome outcome.Outcome
	code    outcome.Code
}

// bookTimeout is the caller's timeout for one attempt.
const bookTimeout = 8 * time.Second

// book sends one attempt of a booking through a daemon.
func book(d *daemon, id, ticket string) attemptResult {
	ctx, cancel := context.WithTimeout(context.Background(), bookTimeout)
	defer cancel()
	url := "http://" + d.caller() + "/svc/" + harness.Service + "/bookings"
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader([]byte(`{"id":"`+id+`"}`)))
	if err != nil {
		return attemptResult{outcome.NotRun, outcome.CodeBadRequest}
	}
	req.Header.Set(outcome.HeaderWorkspace, harness.Workspace)
	req.Header.Set(outcome.HeaderTicket, ticket)
	resp, err := http.DefaultTransport.RoundTrip(req)
	if err != nil {
		return attemptResult{outcome: outcome.Unknown}
	}
	defer resp.Body.Close()
	if result := resp.Header.Get(outcome.HeaderOutcome); result != "" {
		return attemptResult{outcome.Outcome(result), outcome.Code(resp.Header.Get(outcome.HeaderCode))}
	}
	return attemptResult{outcome: outcome.Answered}
}

// fault is a failure of a daemon process and its repair.
type fault struct {
	name   string
	inject func(*daemon)
	repair func(*daemon)
}

// faults are the failures that each test injects in turn.
var faults = []fault{
	{"killed", (*daemon).kill, (*daemon).start},
	{"paused", func(d *daemon) { d.signal(syscall.SIGSTOP) }, func(d *daemon) { d.signal(syscall.SIGCONT) }},
}

// booking is one booking with the result of each attempt.
type booking struct {
	id, ticket string
	results    []attemptResult
}

// attemptAll sends all bookings concurrently through a daemon.
func attemptAll(d *daemon, bookings []*booking) {
	var wg sync.WaitGroup
	for _, b := range bookings {
		wg.Go(func() { b.results = append(b.results, book(d, b.id, b.ticket)) })
	}
	wg.Wait()
}

// runningBookings returns how many requests are running on the plain services.
func (f *fleet) runningBookings() int {
	running := 0
	for _, s := range f.services {
		running += s.Load().Running
	}
	return running
}

// TestBooking_RunsAtMostOnceAcrossExecutorFaults retries bookings with their tickets
// through other daemons while the executor is killed or paused. Each booking must
// run at most once, and its caller must receive outcomes that match the number of
// runs.
func TestBooking_RunsAtMostOnceAcrossExecutorFaults(t *testing.T) {
	const bookings = 16
	for _, fault := range faults {
		t.Run(fault.name, func(t *testing.T) {
			f := start(t, options{daemons: 4, services: 2, service: plainservice.Config{Delay: 300 * time.Millisecond}})
			executor := f.daemons[1]
			var all []*booking
			for i := range bookings {
				all = append(all, &booking{id: fmt.Sprintf("booking-%d", i), ticket: requestTicket(t, executor)})
			}
			early, late := all[:bookings/2], all[bookings/2:]
			var wg sync.WaitGroup
			wg.Go(func() { attemptAll(f.daemons[2], early) })
			harness.Eventually(t, "bookings are running", func() bool { return f.runningBookings() > 0 })
			fault.inject(executor)
			attemptAll(f.daemons[3], late)
			wg.Wait()
			f.awaitReportedDead(executor)
			attemptAll(f.daemons[3], all)
			fault.repair(executor)
			harness.Eventually(t, "executor serves again", executor.serves)
			attemptAll(f.daemons[0], all)
			harness.Eventually(t, "no booking is running", func() bool { return f.runningBookings() == 0 && executor.status().InFlight == 0 })
			f.checkResults(all)
		})
	}
}

// checkResults compares the outcomes that callers received with the runs in the
// services' ledgers.
func (f *fleet) checkResults(all []*booking) {
	f.t.Helper()
	tally := make(map[attemptResult]int)
	for _, b := range all {
		runs := f.bookingRuns(b.id)
		if runs > 1 {
			f.t.Errorf("%s ran %d times", b.id, runs)
		}
		for _, result := range b.results {
			tally[result]++
			if result.outcome != outcome.Answered && result.code == "" {
				f.t.Errorf("%s: an attempt failed without a code: %v", b.id, b.results)
			}
			if result.outcome == outcome.NotRun && runs > 0 || result.outcome == outcome.Answered && runs != 1 {
				f.t.Errorf("%s ran %d times, but its caller received %v", b.id, runs, b.results)
			}
		}
	}
	f.t.Logf("results: %v", tally)
}
