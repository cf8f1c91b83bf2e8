// Package executor runs requests that must not run twice. Each carries a
// ticket that names one daemon incarnation; only that incarnation may run it.
package executor

import (
	"context"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	"cassialatch.dev/fleet/forward"
	"cassialatch.dev/fleet/lease"
	"cassialatch.dev/fleet/placement"
	"cassialatch.dev/fleet/router"
	"cassialatch.dev/fleet/ticketbook"
	"cassialatch.dev/outcome"
	"cassialatch.dev/seal/keyring"
	"cassialatch.dev/seal/ticket"
	"cassialatch.dev/wire/peerpb"
)

// voidTimeout bounds the question whether a ticket can be withdrawn.
const voidTimeout = time.Second

// Router places a request on a backend server.
type Router interface {
	Route(ctx context.Context, req router.Request, sink forward.Sink) error
}

// Peers reaches other daemons.
type Peers interface {
	ExecutorFor(address string) forward.Executor
	VoidTicket(ctx context.Context, address, ticket string) (peerpb.VoidTicketResponse_State, error)
}

// Options configure an Executor.
type Options struct {
	Self             lease.Holder
	Ring             *keyring.Ring
	Book             *ticketbook.Book
	Router           Router
	Peers            Peers
	MaxResponseBytes int // longest answer that is recorded for resends
}

// Executor runs tickets of this daemon and passes others on.
type Executor struct {
	opts Options
}

// New returns an Executor.
func New(opts Options) *Executor { return &Executor{opts: opts} }

// Submit takes a request from a caller. A ticket of another daemon is passed
// on to it.
func (x *Executor) Submit(ctx context.Context, start *peerpb.ForwardStart, body []byte, sink forward.Sink) error {
	t, err := x.open(start.Ticket)
	if err != nil {
		return err
	}
	if t.Executor == x.opts.Self.ID {
		return x.run(ctx, t, start, body, sink)
	}
	err = x.opts.Peers.ExecutorFor(t.Peer).Execute(ctx, start, body, sink)
	if err == nil {
		return nil
	}
	return x.settle(ctx, t, start.Ticket, outcome.From(err))
}

// Execute implements forward.Executor for requests that peers pass on.
func (x *Executor) Execute(ctx context.Context, start *peerpb.ForwardStart, body []byte, sink forward.Sink) error {
	t, err := x.open(start.Ticket)
	if err != nil {
		return err
	}
	if t.Executor != x.opts.Self.ID {
		return outcome.NewUnknown(outcome.CodeExecutorGone, "ticket names another daemon")
	}
	return x.run(ctx, t, start, body, sink)
}

// Void withdraws a ticket of this daemon if it has not started.
func (x *Executor) Void(text string) peerpb.VoidTicketResponse_State {
	t, err := x.open(text)
	if err != nil || t.Executor != x.opts.Self.ID {
		return peerpb.VoidTicketResponse_UNKNOWN
	}
	switch x.opts.Book.Void(t) {
	case ticketbook.StateVoided:
		return peerpb.VoidTicketResponse_VOIDED
	case ticketbook.StateStarted:
		return peerpb.VoidTicketResponse_STARTED
	case ticketbook.StateAnswered:
		return peerpb.VoidTicketResponse_ANSWERED
	default:
		return peerpb.VoidTicketResponse_UNKNOWN
	}
}

// open checks a sealed ticket.
func (x *Executor) open(text string) (ticket.Ticket, error) {
	t, err := ticket.Open(x.opts.Ring, text)
	if errors.Is(err, keyring.ErrUnknownKey) {
		// Its executor may know the key, so it may have run.
		return t, outcome.NewUnknown(outcome.CodeTicketInvalid, "ticket has a key that is not known here").WithCause(err)
	}
	if err != nil {
		return t, outcome.NewNotRun(outcome.CodeTicketInvalid, "ticket is not valid").WithCause(err)
	}
	return t, nil
}

// settle turns a failure to pass a request on into what is known of its
// ticket. That this daemon did not reach the executor does not mean that the
// ticket never ran: an earlier copy may have. Only a ticket withdrawn by its
// executor is known not to run. What the executor itself told stands.
func (x *Executor) settle(ctx context.Context, t ticket.Ticket, text string, failure *outcome.Error) *outcome.Error {
	lost := failure.Code == outcome.CodePeerFailed || failure.Code == outcome.CodeResponseTruncated
	doubtful := lost || failure.Outcome == outcome.NotRun
	if !doubtful || errors.HasType(failure, (*forward.RemoteError)(nil)) {
		failure.Replan = false
		return failure
	}
	return x.withdraw(ctx, t, text, failure)
}

// Withdraw turns a refusal of a request with a ticket, by a daemon that did not
// pass it on, into what is known of the ticket: an earlier copy of the request
// may have run. A ticket that is not valid never runs.
func (x *Executor) Withdraw(ctx context.Context, text string, refusal *outcome.Error) *outcome.Error {
	t, err := x.open(text)
	switch {
	case err == nil:
		return x.withdraw(ctx, t, text, refusal)
	case outcome.From(err).Outcome == outcome.Unknown:
		return outcome.From(err)
	default:
		return refusal
	}
}

// state asks the executor of a ticket to withdraw it and returns what became
// of it.
func (x *Executor) state(ctx context.Context, t ticket.Ticket, text string) (peerpb.VoidTicketResponse_State, error) {
	if t.Executor == x.opts.Self.ID {
		return x.Void(text), nil
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), voidTimeout)
	defer cancel()
	return x.opts.Peers.VoidTicket(ctx, t.Peer, text)
}

// withdraw turns a failure into what is known of a ticket.
func (x *Executor) withdraw(ctx context.Context, t ticket.Ticket, text string, failure *outcome.Error) *outcome.Error {
	state, err := x.state(ctx, t, text)
	switch {
	case err != nil:
		return outcome.NewUnknown(outcome.CodeExecutorUnreachable, "executor of the ticket is not reached").WithCause(failure)
	case state == peerpb.VoidTicketResponse_VOIDED:
		return outcome.NewNotRun(outcome.CodeTicketVoided, "ticket was withdrawn; take a new one").WithCause(failure)
	case state == peerpb.VoidTicketResponse_UNKNOWN:
		return outcome.NewUnknown(outcome.CodeExecutorGone, "executor of the ticket is gone").WithCause(failure)
	default:
		return outcome.NewUnknown(outcome.CodeTicketInUse, "request has started; send it again for its answer").WithCause(failure)
	}
}

// run runs a ticket of this daemon or answers from its book.
func (x *Executor) run(ctx context.Context, t ticket.Ticket, start *peerpb.ForwardStart, body []byte, sink forward.Sink) error {
	entry, started, err := x.opts.Book.Start(t, bodyHash(start, body))
	if err != nil {
		return err
	}
	if started == ticketbook.StartFirst {
		return x.first(ctx, entry, start, body, sink)
	}
	answer, err := entry.Wait(ctx)
	if err != nil {
		return err
	}
	return replay(answer, sink)
}

// first runs a ticket. The run goes on when the caller leaves, so that its
// answer is there for a resend.
func (x *Executor) first(ctx context.Context, entry *ticketbook.Entry, start *peerpb.ForwardStart, body []byte, sink forward.Sink) error {
	deadline := time.Duration(start.DeadlineMs) * time.Millisecond
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), deadline)
	defer cancel()

	recorder := &recorder{sink: sink, limit: x.opts.MaxResponseBytes}
	var err error = errNotFinished // what resends hear if the run panics
	defer func() { entry.Finish(recorder.answer(err)) }()
	err = x.opts.Router.Route(ctx, router.Request{
		Start:     start,
		Body:      body,
		Placement: placement.Request{ChatKey: start.RequestId},
	}, recorder)
	if err != nil {
		return err
	}
	return recorder.err
}

// errNotFinished is the end of a run that did not come to one.
var errNotFinished = outcome.NewUnknown(outcome.CodeInternal, "run did not come to an end")

// bodyHash identifies what a ticket was used for.
func bodyHash(start *peerpb.ForwardStart, body []byte) uint64 {
	hash := xxhash.New()
	for _, part := range []string{start.Method, start.Service, start.Path} {
		_, _ = hash.WriteString(part)
		_, _ = hash.Write([]byte{0})
	}
	_, _ = hash.Write(body)
	return hash.Sum64()
}
