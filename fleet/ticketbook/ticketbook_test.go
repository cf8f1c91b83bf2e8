package ticketbook_test

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"cassialatch.dev/fleet/ticketbook"
	"cassialatch.dev/outcome"
	"cassialatch.dev/seal/ticket"
)

const (
	incarnation = 42
	lifetime    = 10 * time.Second
	retain      = 5 * time.Second
)

// clock is a manually advanced clock.
type clock struct{ t time.Time }

func (c *clock) now() time.Time { return c.t }

func setup(maxEntries int) (*ticketbook.Book, *clock) {
	c := &clock{t: time.UnixMilli(1_900_000_000_000)}
	opts := ticketbook.Options{Incarnation: incarnation, MaxEntries: maxEntries, MaxResponseBytes: 8, MaxTotalBytes: 12, Retention: retain}
	return ticketbook.New(opts, c.now), c
}

func (c *clock) ticket(n byte) ticket.Ticket {
	nonce := [ticket.NonceBytes]byte{n}
	return ticket.Ticket{Executor: "vm-1", Incarnation: incarnation, Expires: c.t.Add(lifetime), Nonce: nonce}
}

func response(body string) ticketbook.Result {
	return ticketbook.Result{Status: 200, Body: []byte(body), Outcome: outcome.Answered}
}

// checkRefused checks the outcome and the code of err.
func checkRefused(is *is.I, err error, o outcome.Outcome, code outcome.Code) {
	is.Helper()
	var e *outcome.Error
	is.True(errors.As(err, &e))
	is.Equal(e.Outcome, o)
	is.Equal(e.Code, code)
}

func TestBook_SecondCopyWaitsForFirstResult(t *testing.T) {
	is := is.New(t)
	book, c := setup(4)
	first, started, err := book.Start(c.ticket(1), 7)
	is.NoErr(err)
	is.Equal(started, ticketbook.StartFirst)

	second, started, err := book.Start(c.ticket(1), 7)
	is.NoErr(err)
	is.Equal(started, ticketbook.StartRunning)
	is.Equal(book.Void(c.ticket(1)), ticketbook.StateStarted)

	canceled, cancel := context.WithCancel(t.Context())
	cancel()
	_, err = second.Wait(canceled)
	checkRefused(is, err, outcome.Unknown, outcome.CodeCallerGone)

	go first.Finish(response("booked"))
	got, err := second.Wait(t.Context())
	is.NoErr(err)
	is.Equal(string(got.Body), "booked")

	first.Finish(response("again")) // no effect
	_, started, err = book.Start(c.ticket(1), 7)
	is.NoErr(err)
	is.Equal(started, ticketbook.StartCompleted)
	is.Equal(book.Void(c.ticket(1)), ticketbook.StateAnswered)
}

func TestBook_OtherIncarnationUnknown(t *testing.T) {
	is := is.New(t)
	book, c := setup(4)
	other := c.ticket(1)
	other.Incarnation++
	_, _, err := book.Start(other, 7)
	checkRefused(is, err, outcome.Unknown, outcome.CodeExecutorGone)
	is.Equal(book.Void(other), ticketbook.StateUnknown)
}

func TestBook_VoidedTicketNotStarted(t *testing.T) {
	is := is.New(t)
	book, c := setup(4)
	is.Equal(book.Void(c.ticket(1)), ticketbook.StateVoided)
	_, _, err := book.Start(c.ticket(1), 7)
	checkRefused(is, err, outcome.NotRun, outcome.CodeTicketVoided)
}

func TestBook_ExpiredTicketNotRunOnlyWithinRetention(t *testing.T) {
	is := is.New(t)
	book, c := setup(4)
	used, unused := c.ticket(1), c.ticket(2)
	e, _, err := book.Start(used, 7)
	is.NoErr(err)
	e.Finish(response("x"))

	c.t = used.Expires
	_, _, err = book.Start(unused, 7)
	checkRefused(is, err, outcome.NotRun, outcome.CodeTicketExpired)
	is.Equal(book.Void(unused), ticketbook.StateVoided)
	_, started, err := book.Start(used, 7)
	is.NoErr(err)
	is.Equal(started, ticketbook.StartCompleted)

	c.t = used.Expires.Add(retain)
	_, _, err = book.Start(used, 7)
	checkRefused(is, err, outcome.Unknown, outcome.CodeTicketExpired) // it ran
	is.Equal(book.Void(unused), ticketbook.StateUnknown)
	is.Equal(book.Len(), 0)
}

func TestBook_BackwardClockStepKeepsTicketsExpired(t *testing.T) {
	is := is.New(t)
	book, c := setup(4)
	used := c.ticket(1)
	e, _, err := book.Start(used, 7)
	is.NoErr(err)
	e.Finish(response("x"))
	c.t = used.Expires.Add(retain)
	is.Equal(book.Void(used), ticketbook.StateUnknown) // dropped
	c.t = used.Expires.Add(-lifetime)
	_, _, err = book.Start(used, 7)
	checkRefused(is, err, outcome.Unknown, outcome.CodeTicketExpired)
}

func TestBook_RefusesOtherBody(t *testing.T) {
	is := is.New(t)
	book, c := setup(4)
	e, _, err := book.Start(c.ticket(1), 7)
	is.NoErr(err)
	_, _, err = book.Start(c.ticket(1), 8)
	checkRefused(is, err, outcome.Unknown, outcome.CodeTicketInUse)
	e.Finish(ticketbook.Result{Outcome: outcome.NotRun, Err: outcome.NewNotRun(outcome.CodeOverloaded, "full")})
	_, _, err = book.Start(c.ticket(1), 8)
	checkRefused(is, err, outcome.NotRun, outcome.CodeTicketInUse)
}

func TestBook_UnstoredResultsUnknown(t *testing.T) {
	is := is.New(t)
	book, c := setup(8)
	finish := func(n byte, a ticketbook.Result) {
		e, started, err := book.Start(c.ticket(n), 7)
		is.NoErr(err)
		is.Equal(started, ticketbook.StartFirst)
		e.Finish(a)
	}
	finish(1, response("123456789")) // larger than MaxResponseBytes
	finish(2, ticketbook.Result{Body: []byte("1"), Truncated: true})
	finish(3, response("12345678"))
	finish(4, response("12345678")) // evicts the result of ticket 3
	_, _, err := book.Start(c.ticket(1), 7)
	checkRefused(is, err, outcome.Unknown, outcome.CodeTicketInUse)
	_, _, err = book.Start(c.ticket(2), 7)
	checkRefused(is, err, outcome.Unknown, outcome.CodeResponseTruncated)
	_, _, err = book.Start(c.ticket(3), 7)
	checkRefused(is, err, outcome.Unknown, outcome.CodeTicketInUse)
	_, started, err := book.Start(c.ticket(4), 7)
	is.NoErr(err)
	is.Equal(started, ticketbook.StartCompleted)
}

func TestBook_FullRefusesNewTickets(t *testing.T) {
	is := is.New(t)
	book, c := setup(1)
	is.Equal(book.Void(c.ticket(1)), ticketbook.StateVoided)
	_, _, err := book.Start(c.ticket(2), 7)
	checkRefused(is, err, outcome.NotRun, outcome.CodeOverloaded)
	is.Equal(book.Void(c.ticket(2)), ticketbook.StateUnknown) // it can still start later
	c.t = c.t.Add(lifetime + retain)
	_, started, err := book.Start(c.ticket(2), 7)
	is.NoErr(err)
	is.Equal(started, ticketbook.StartFirst)
}

// TestBook_RunsTicketAtMostOnce makes random sequences of calls and clock
// changes. A ticket starts at most once, never after it was voided, and NotRun is
// never reported for a ticket that ran.
func TestBook_RunsTicketAtMostOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		book, c := setup(3)
		var tickets [5]ticket.Ticket
		for i := range tickets {
			tickets[i] = c.ticket(byte(i))
			tickets[i].Expires = c.t.Add(time.Duration(rapid.IntRange(1, 20).Draw(t, "lifetime")) * time.Second)
		}
		var ran, voided [len(tickets)]bool
		var entries [len(tickets)]*ticketbook.Entry
		pick := func(t *rapid.T) int { return rapid.IntRange(0, len(tickets)-1).Draw(t, "ticket") }
		t.Repeat(map[string]func(*rapid.T){
			"start": func(t *rapid.T) {
				i := pick(t)
				e, started, err := book.Start(tickets[i], uint64(rapid.IntRange(0, 1).Draw(t, "body")))
				if started == ticketbook.StartFirst {
					if ran[i] || voided[i] {
						t.Fatalf("ticket %d started again: ran %v, voided %v", i, ran[i], voided[i])
					}
					ran[i], entries[i] = true, e
				}
				if err != nil && ran[i] && outcome.From(err).Outcome == outcome.NotRun {
					t.Fatalf("ticket %d ran, but the book returned %v", i, err)
				}
			},
			"finish": func(t *rapid.T) {
				if e := entries[pick(t)]; e != nil {
					e.Finish(response(rapid.StringN(0, 10, 10).Draw(t, "answer")))
				}
			},
			"void": func(t *rapid.T) {
				i := pick(t)
				if book.Void(tickets[i]) == ticketbook.StateVoided {
					if ran[i] {
						t.Fatalf("ticket %d ran and was voided", i)
					}
					voided[i] = true
				}
			},
			"pass time": func(t *rapid.T) {
				c.t = c.t.Add(time.Duration(rapid.IntRange(-3000, 6000).Draw(t, "ms")) * time.Millisecond)
			},
			"": func(t *rapid.T) {
				if book.Len() > 3 {
					t.Fatalf("book has %d entries, limit 3", book.Len())
				}
			},
		})
	})
}
