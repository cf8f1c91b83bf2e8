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

// peersFake is another daemon that fails to run a request and answers a
// withdrawal.
type peersFake struct {
	failure error
	state   peerpb.VoidTicketResponse_State
	silent  bool
	asked   int
}

// To implements Peers.
func (p *peersFake) ExecutorFor(string) forward.Executor { return p }

// Execute implements forward.Executor.
func (p *peersFake) Execute(context.Context, *peerpb.ForwardStart, []byte, forward.Sink) error {
	return p.failure
}

// VoidTicket implements Peers.
func (p *peersFake) VoidTicket(context.Context, string, string) (peerpb.VoidTicketResponse_State, error) {
	p.asked++
	if p.silent {
		return peerpb.VoidTicketResponse_UNKNOWN, context.DeadlineExceeded
	}
	return p.state, nil
}

// TestOnlyTheExecutorSaysNotRun replays the counterexamples of ticket.pml in
// which a daemon that is not the executor says so, for each way to fail.
func TestOnlyTheExecutorSaysNotRun(t *testing.T) {
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
		mutant   string
		state    peerpb.VoidTicketResponse_State
		silent   bool
		expected outcome.Outcome
	}{
		{"withdrawn", peerpb.VoidTicketResponse_VOIDED, false, outcome.NotRun},
		{"MUT_NOT_RUN_ON_SILENCE", 0, true, outcome.Unknown},
		{"MUT_VOID_BY_OTHER_INCARNATION", peerpb.VoidTicketResponse_UNKNOWN, false, outcome.Unknown},
		{"MUT_NOT_RUN_BEFORE_FORWARD", peerpb.VoidTicketResponse_STARTED, false, outcome.Unknown},
		{"MUT_NOT_RUN_BEFORE_FORWARD, answered", peerpb.VoidTicketResponse_ANSWERED, false, outcome.Unknown},
	} {
		for _, failure := range failures {
			t.Run(tc.mutant+"/"+failure.Error(), func(t *testing.T) {
				is := is.New(t)
				peers := &peersFake{failure: failure, state: tc.state, silent: tc.silent}
				x := New(Options{Self: lease.Holder{ID: "E"}, Ring: ring, Peers: peers})
				err := x.Submit(t.Context(), &peerpb.ForwardStart{Ticket: sealed}, nil, nil)
				is.Equal(outcome.From(err).Outcome, tc.expected)
				is.Equal(peers.asked, 1)
			})
		}
	}
}
