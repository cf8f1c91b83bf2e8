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

// ticketOf asks a daemon for a ticket, which names that daemon.
func ticketOf(t *testing.T, d *daemon) string {
	t.Helper()
	resp, err := operators.Get("http://" + d.caller() + "/v1/entry?tickets=1")
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	var answer caller.Endpoints
	if err := json.NewDecoder(resp.Body).Decode(&answer); err != nil || len(answer.Tickets) == 0 {
		t.Fatalf("no ticket of %s: %v", d.id, err)
	}
	return answer.Tickets[0]
}

// ending is what a caller was told of one attempt.
type ending struct {
	outcome outcome.Outcome
	code    outcome.Code
}

// bookTimeout is how long a caller waits for one attempt.
const bookTimeout = 8 * time.Second

// book makes one attempt at a booking through a daemon.
func book(d *daemon, id, ticket string) ending {
	ctx, cancel := context.WithTimeout(context.Background(), bookTimeout)
	defer cancel()
	url := "http://" + d.caller() + "/svc/" + harness.Service + "/bookings"
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader([]byte(`{"id":"`+id+`"}`)))
	if err != nil {
		return ending{outcome.NotRun, outcome.CodeBadRequest}
	}
	req.Header.Set(outcome.HeaderWorkspace, harness.Workspace)
	req.Header.Set(outcome.HeaderTicket, ticket)
	resp, err := http.DefaultTransport.RoundTrip(req)
	if err != nil {
		return ending{outcome: outcome.Unknown}
	}
	defer resp.Body.Close()
	if result := resp.Header.Get(outcome.HeaderOutcome); result != "" {
		return ending{outcome.Outcome(result), outcome.Code(resp.Header.Get(outcome.HeaderCode))}
	}
	return ending{outcome: outcome.Answered}
}

// fault is what happens to the executor of bookings while they run.
type fault struct {
	name   string
	strike func(*daemon)
	mend   func(*daemon)
}

var faults = []fault{
	{"killed", (*daemon).kill, (*daemon).start},
	{"paused", func(d *daemon) { d.signal(syscall.SIGSTOP) }, func(d *daemon) { d.signal(syscall.SIGCONT) }},
}

// booking is one booking and what its caller was told at each attempt.
type booking struct {
	id, ticket string
	told       []ending
}

// attempt tries all bookings at once through a daemon.
func attempt(d *daemon, bookings []*booking) {
	var wg sync.WaitGroup
	for _, b := range bookings {
		wg.Go(func() { b.told = append(b.told, book(d, b.id, b.ticket)) })
	}
	wg.Wait()
}

// bookingsRunning returns how many calls the plain services run.
func (f *fleet) bookingsRunning() int {
	running := 0
	for _, s := range f.services {
		running += s.Load().Running
	}
	return running
}

func TestBookingRunsAtMostOnceWhateverBecomesOfItsExecutor(t *testing.T) {
	const bookings = 16
	for _, fault := range faults {
		t.Run(fault.name, func(t *testing.T) {
			f := start(t, options{daemons: 4, services: 2, service: plainservice.Config{Delay: 300 * time.Millisecond}})
			executor := f.daemons[1]
			var all []*booking
			for i := range bookings {
				all = append(all, &booking{id: fmt.Sprintf("booking-%d", i), ticket: ticketOf(t, executor)})
			}
			early, late := all[:bookings/2], all[bookings/2:]
			var wg sync.WaitGroup
			wg.Go(func() { attempt(f.daemons[2], early) })
			harness.Eventually(t, "bookings run", func() bool { return f.bookingsRunning() > 0 })
			fault.strike(executor)
			attempt(f.daemons[3], late)
			wg.Wait()
			f.awaitDeath(executor)
			attempt(f.daemons[3], all)
			fault.mend(executor)
			harness.Eventually(t, "executor serves again", executor.serves)
			attempt(f.daemons[0], all)
			harness.Eventually(t, "nothing runs", func() bool { return f.bookingsRunning() == 0 && executor.status().InFlight == 0 })
			f.checkTold(all)
		})
	}
}

// checkTold checks what callers were told of bookings against the ledgers.
func (f *fleet) checkTold(all []*booking) {
	f.t.Helper()
	tally := make(map[ending]int)
	for _, b := range all {
		runs := f.runs(b.id)
		if runs > 1 {
			f.t.Errorf("%s ran %d times", b.id, runs)
		}
		for _, told := range b.told {
			tally[told]++
			if told.outcome != outcome.Answered && told.code == "" {
				f.t.Errorf("%s: an attempt did not end typed: %v", b.id, b.told)
			}
			if told.outcome == outcome.NotRun && runs > 0 || told.outcome == outcome.Answered && runs != 1 {
				f.t.Errorf("%s ran %d times, its caller was told %v", b.id, runs, b.told)
			}
		}
	}
	f.t.Logf("told: %v", tally)
}
