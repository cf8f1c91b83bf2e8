// Package executor runs requests that must not run more than once. Each such
// request carries a sealed ticket that names one daemon incarnation, its
// executor. Only that incarnation runs the request; any other daemon forwards it
// there. A response is stored, so that a resend with the same ticket returns it.
//
// If the forwarding fails, the daemon reports outcome.NotRun only if the executor
// has voided the ticket, because an earlier copy of the request may have run.
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

// voidTimeout bounds the call that asks another daemon to void a ticket.
const voidTimeout = time.Second

// Router places a request on a backend server.
type Router interface {
	Route(ctx context.Context, req router.Request, sink forward.Sink) error
}

// Peers calls other daemons.
type Peers interface {
	ExecutorFor(address string) forward.Executor
	VoidTicket(ctx context.Context, address, ticket string) (peerpb.VoidTicketResponse_State, error)
}

// Options configures an Executor.
type Options struct {
	Self             lease.Holder
	Ring             *keyring.Ring
	Book             *ticketbook.Book
	Router           Router
	Peers            Peers
	MaxResponseBytes int // largest response body that is recorded for resends
}

// Executor runs requests whose ticket names this daemon and forwards the others.
// It is safe for concurrent use.
type Executor struct {
	opts Options
}

// New returns an Executor.
func New(opts Options) *Executor { return &Executor{opts: opts} }

// Submit runs a request from a caller, or forwards it if its ticket names another
// daemon. The response goes to sink.
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
	return x.resolveForwardFailure(ctx, t, start.Ticket, outcome.From(err))
}

// Execute implements forward.Executor for requests that peers forward.
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

// Void voids a ticket of this daemon if it has not been started, and returns its
// state.
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

// open opens a sealed ticket.
func (x *Executor) open(text string) (ticket.Ticket, error) {
	t, err := ticket.Open(x.opts.Ring, text)
	if errors.Is(err, keyring.ErrUnknownKey) {
		// The executor may have the key, so the request may have run there.
		return t, outcome.NewUnknown(outcome.CodeTicketInvalid, "ticket has a key that is not known here").WithCause(err)
	}
	if err != nil {
		return t, outcome.NewNotRun(outcome.CodeTicketInvalid, "ticket is not valid").WithCause(err)
	}
	return t, nil
}

// resolveForwardFailure returns the error to report after forwarding a request
// failed. That this daemon did not reach the executor does not mean that the
// ticket never ran, because an earlier copy of the request may have. Only a
// ticket that its executor has voided is certain not to run. An error from the
// executor itself is final: it is returned with Replan cleared, as is an error
// that means neither a lost connection nor outcome.NotRun.
func (x *Executor) resolveForwardFailure(ctx context.Context, t ticket.Ticket, text string, failure *outcome.Error) *outcome.Error {
	connectionLost := failure.Code == outcome.CodePeerFailed || failure.Code == outcome.CodeResponseTruncated
	uncertain := connectionLost || failure.Outcome == outcome.NotRun
	if !uncertain || errors.HasType(failure, (*forward.RemoteError)(nil)) {
		failure.Replan = false
		return failure
	}
	return x.voidAfterFailure(ctx, t, text, failure)
}

// VoidAfterRefusal returns the error to report after this daemon refused a request
// with a ticket without forwarding it. It voids the ticket at its executor, because
// an earlier copy of the request may have run. An invalid ticket never runs, so the
// refusal is then returned as it is. If the ticket has a key that is not known
// here, the request may have run, and the error of open is returned.
func (x *Executor) VoidAfterRefusal(ctx context.Context, text string, refusal *outcome.Error) *outcome.Error {
	t, err := x.open(text)
	switch {
	case err == nil:
		return x.voidAfterFailure(ctx, t, text, refusal)
	case outcome.From(err).Outcome == outcome.Unknown:
		return outcome.From(err)
	default:
		return refusal
	}
}

// voidAtExecutor asks the executor of a ticket to void it and returns its state.
func (x *Executor) voidAtExecutor(ctx context.Context, t ticket.Ticket, text string) (peerpb.VoidTicketResponse_State, error) {
	if t.Executor == x.opts.Self.ID {
		return x.Void(text), nil
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), voidTimeout)
	defer cancel()
	return x.opts.Peers.VoidTicket(ctx, t.Peer, text)
}

// voidAfterFailure voids a ticket at its executor after failure and returns the
// error to report, which has failure as its cause.
func (x *Executor) voidAfterFailure(ctx context.Context, t ticket.Ticket, text string, failure *outcome.Error) *outcome.Error {
	state, err := x.voidAtExecutor(ctx, t, text)
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

// run runs a request whose ticket names this daemon, or replays the result of an
// earlier copy.
func (x *Executor) run(ctx context.Context, t ticket.Ticket, start *peerpb.ForwardStart, body []byte, sink forward.Sink) error {
	entry, started, err := x.opts.Book.Start(t, bodyHash(start, body))
	if err != nil {
		return err
	}
	if started == ticketbook.StartFirst {
		return x.runFirst(ctx, entry, start, body, sink)
	}
	result, err := entry.Wait(ctx)
	if err != nil {
		return err
	}
	return replay(result, sink)
}

// runFirst runs the first copy of a request. The run continues if the caller
// disconnects, so that its response is available to a resend.
func (x *Executor) runFirst(ctx context.Context, entry *ticketbook.Entry, start *peerpb.ForwardStart, body []byte, sink forward.Sink) error {
	deadline := time.Duration(start.DeadlineMs) * time.Millisecond
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), deadline)
	defer cancel()

	recorder := &recorder{sink: sink, limit: x.opts.MaxResponseBytes}
	var err error = errNotFinished // result for resends if the run panics
	defer func() { entry.Finish(recorder.result(err)) }()
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

// errNotFinished is the result of a run that did not return because of a panic.
var errNotFinished = outcome.NewUnknown(outcome.CodeInternal, "run did not come to an end")

// bodyHash returns a hash of the request that a ticket is used for. A ticket
// cannot be used for another request.
func bodyHash(start *peerpb.ForwardStart, body []byte) uint64 {
	hash := xxhash.New()
	for _, part := range []string{start.Method, start.Service, start.Path} {
		_, _ = hash.WriteString(part)
		_, _ = hash.Write([]byte{0})
	}
	_, _ = hash.Write(body)
	return hash.Sum64()
}
