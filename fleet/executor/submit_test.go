package executor

import (
	"context"
	"testing"

	"github.com/matryer/is"

	"cassialatch.dev/fleet/forward"
	"cassialatch.dev/fleet/lease"
	"cassialatch.dev/outcome"
	"cassialatch.dev/seal/keyring"
	"cassialatch.dev/seal/ticket"
	"cassialatch.dev/wire/peerpb"
)

// fakePeers simulates an executor that fails to run a request and responds to
// VoidTicket with a given state.
type fakePeers struct {
	failure     error
	state       peerpb.VoidTicketResponse_State
	unreachable bool
	voidCalls   int
}

// ExecutorFor implements Peers.
func (p *fakePeers) ExecutorFor(string) forward.Executor { return p }

// Execute implements forward.Executor.
func (p *fakePeers) Execute(context.Context, *peerpb.ForwardStart, []byte, forward.Sink) error {
	return p.failure
}

// VoidTicket implements Peers.
func (p *fakePeers) VoidTicket(context.Context, string, string) (peerpb.VoidTicketResponse_State, error) {
	p.voidCalls++
	if p.unreachable {
		return peerpb.VoidTicketResponse_UNKNOWN, context.DeadlineExceeded
	}
	return p.state, nil
}

// TestSubmit_NotRunOnlyIfVoided replays the counterexamples of ticket.pml in which
// a daemon that is not the executor reports NotRun although the ticket may run, for
// each way in which forwarding can fail.
func TestSubmit_NotRunOnlyIfVoided(t *testing.T) {
	ring, err := keyring.New([]keyring.Key{{ID: "k", Secret: make([]byte, keyring.MinSecretBytes)}})
	is.New(t).NoErr(err)
	sealed := ticket.Issue(ring, ticket.Ticket{Executor: "X", Peer: "x:1", Incarnation: 1})
	failures := []error{
		outcome.NewNotRun(outcome.CodePeerFailed, "not reached"),
		outcome.NewNotRun(outcome.CodeCallerGone, "caller left before it was sent"),
		outcome.NewNotRun(outcome.CodeDeadlineExceeded, "deadline passed before it was sent"),
		outcome.NewUnknown(outcome.CodePeerFailed, "lost"),
	}
	for _, tc := range []struct {
		mutant      string
		state       peerpb.VoidTicketResponse_State
		unreachable bool
		expected    outcome.Outcome
	}{
		{"voided", peerpb.VoidTicketResponse_VOIDED, false, outcome.NotRun},
		{"MUT_NOT_RUN_ON_SILENCE", 0, true, outcome.Unknown},
		{"MUT_VOID_BY_OTHER_INCARNATION", peerpb.VoidTicketResponse_UNKNOWN, false, outcome.Unknown},
		{"MUT_NOT_RUN_BEFORE_FORWARD", peerpb.VoidTicketResponse_STARTED, false, outcome.Unknown},
		{"MUT_NOT_RUN_BEFORE_FORWARD, answered", peerpb.VoidTicketResponse_ANSWERED, false, outcome.Unknown},
	} {
		for _, failure := range failures {
			t.Run(tc.mutant+"/"+failure.Error(), func(t *testing.T) {
				is := is.New(t)
				peers := &fakePeers{failure: failure, state: tc.state, unreachable: tc.unreachable}
				x := New(Options{Self: lease.Holder{ID: "E"}, Ring: ring, Peers: peers})
				err := x.Submit(t.Context(), &peerpb.ForwardStart{Ticket: sealed}, nil, nil)
				is.Equal(outcome.From(err).Outcome, tc.expected)
				is.Equal(peers.voidCalls, 1)
			})
		}
	}
}
