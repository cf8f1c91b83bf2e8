package peer

import (
	"context"
	"io"
	"math/rand/v2"

	"github.com/cockroachdb/errors"

	"cassialatch.dev/fleet/forward"
	"cassialatch.dev/outcome"
	"cassialatch.dev/wire/engineapi"
	"cassialatch.dev/wire/peerpb"
)

// bodyChunkBytes is the largest part of a body sent in one message.
const bodyChunkBytes = 64 << 10

// ExecutorFor returns an Executor that runs requests at the peer with an address.
func (c *Client) ExecutorFor(address string) forward.Executor {
	return &remote{client: c, address: address}
}

// remote is the Executor of one peer.
type remote struct {
	client  *Client
	address string
}

// Execute implements forward.Executor. The peer runs nothing before it has the
// whole body, so a failure before the last body chunk was sent is "not run".
func (r *remote) Execute(ctx context.Context, start *peerpb.ForwardStart, body []byte, sink forward.Sink) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	answers := r.client.watch(ctx, r.address, cancel)
	defer answers()

	start.Nonce = rand.Uint64()
	stream, err := r.client.peer(ctx, r.address).Forward(ctx)
	if err != nil {
		return notSent(ctx, err)
	}
	defer stream.Close()

	if err := sendHeadAndBody(stream, start, body); err != nil {
		return notSent(ctx, err)
	}
	last := &peerpb.ForwardRequest{Part: &peerpb.ForwardRequest_Body{Body: &peerpb.BodyChunk{End: true}}}
	if err := stream.Send(last); err != nil {
		return lost(ctx, err)
	}
	receiver := &receiver{nonce: start.Nonce, sink: sink, answers: answers}
	return receiver.run(ctx, stream)
}

// sendHeadAndBody sends all but the end of the request.
func sendHeadAndBody(stream peerpb.DRPCPeer_ForwardClient, start *peerpb.ForwardStart, body []byte) error {
	err := stream.Send(&peerpb.ForwardRequest{Part: &peerpb.ForwardRequest_Start{Start: start}})
	for err == nil && len(body) > 0 {
		n := min(len(body), bodyChunkBytes)
		chunk := &peerpb.BodyChunk{Data: body[:n]}
		err = stream.Send(&peerpb.ForwardRequest{Part: &peerpb.ForwardRequest_Body{Body: chunk}})
		body = body[n:]
	}
	return err
}

// notSent types a failure before the peer can have run the request.
func notSent(ctx context.Context, err error) *outcome.Error {
	if ctx.Err() != nil && !isLost(ctx) {
		return outcome.NewNotRun(endCode(ctx), "request ended before it was sent").WithCause(err)
	}
	return outcome.NewNotRun(outcome.CodePeerFailed, "home was not reached").WithCause(err).WithReplan()
}

// lost types a failure after which the peer may have run the request.
func lost(ctx context.Context, err error) *outcome.Error {
	if ctx.Err() != nil && !isLost(ctx) {
		return outcome.NewUnknown(endCode(ctx), "request ended while it ran").WithCause(err)
	}
	return outcome.NewUnknown(outcome.CodePeerFailed, "connection to the home was lost").WithCause(err).WithReplan()
}

// endCode tells why a context ended.
func endCode(ctx context.Context) outcome.Code {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return outcome.CodeDeadlineExceeded
	}
	return outcome.CodeCallerGone
}

// receiver takes one answer from a stream and checks that its parts are its
// own, in order and whole.
type receiver struct {
	nonce   uint64
	sink    forward.Sink
	answers func() // called at the first part
	seq     uint32
	bytes   uint64
	started bool
}

// run receives until the end of the answer.
func (r *receiver) run(ctx context.Context, stream peerpb.DRPCPeer_ForwardClient) error {
	for {
		resp, err := stream.Recv()
		switch {
		case errors.Is(err, io.EOF):
			return outcome.NewUnknown(outcome.CodeResponseTruncated, "answer of the home ended early").WithReplan()
		case err != nil:
			return lost(ctx, err)
		case resp.Nonce != r.nonce || resp.Seq != r.seq:
			return outcome.NewUnknown(outcome.CodeResponseMismatch, "part of another answer came from the home")
		}
		r.seq++
		r.answers()
		done, err := r.take(resp)
		if done || err != nil {
			return err
		}
	}
}

// take handles one part and reports whether it was the last.
func (r *receiver) take(resp *peerpb.ForwardResponse) (bool, error) {
	switch part := resp.Part.(type) {
	case *peerpb.ForwardResponse_Refusal:
		return true, r.refusal(part.Refusal)
	case *peerpb.ForwardResponse_Head:
		return false, r.head(part.Head)
	case *peerpb.ForwardResponse_Data:
		return false, r.data(part.Data)
	case *peerpb.ForwardResponse_End:
		return true, r.end(part.End)
	default:
		return true, outcome.NewUnknown(outcome.CodeResponseMismatch, "part of an unknown kind came from the home")
	}
}

// refusal returns the failure that the home tells of. A request whose answer
// has begun did run, whatever the home says of it.
func (r *receiver) refusal(refusal *peerpb.Refusal) error {
	e := forward.DecodeError(refusal)
	if r.started && e.Outcome == outcome.NotRun {
		return outcome.NewUnknown(outcome.CodeResponseMismatch, "refusal came after the head of an answer").WithCause(e)
	}
	return e
}

// head passes the head on.
func (r *receiver) head(head *peerpb.ResponseHead) error {
	if r.started {
		return outcome.NewUnknown(outcome.CodeResponseMismatch, "second head came from the home")
	}
	if !outcome.IsFinalStatus(int(head.Status)) {
		return outcome.NewUnknown(outcome.CodeResponseMismatch, "head without a final status came from the home")
	}
	r.started = true
	err := r.sink.Head(forward.ResponseHead{
		Status:  int(head.Status),
		Header:  forward.DecodeHeader(head.Headers),
		Backend: head.Backend,
		Home:    head.Home,
	})
	return receiverGone(err)
}

// data passes bytes on.
func (r *receiver) data(p []byte) error {
	if !r.started {
		return outcome.NewUnknown(outcome.CodeResponseMismatch, "data without a head came from the home")
	}
	r.bytes += uint64(len(p))
	return receiverGone(r.sink.Data(p))
}

// end checks the length and passes the end on.
func (r *receiver) end(end *peerpb.ResponseEnd) error {
	if !r.started || end.Bytes != r.bytes {
		return outcome.NewUnknown(outcome.CodeResponseTruncated, "answer of the home has the wrong length")
	}
	usage := engineapi.Usage{
		PromptTokens: int(end.PromptTokens),
		CachedTokens: int(end.CachedTokens),
	}
	return receiverGone(r.sink.End(forward.ResponseEnd{Usage: usage}))
}

// receiverGone types a failure of the sink.
func receiverGone(err error) error {
	if err == nil {
		return nil
	}
	return outcome.NewUnknown(outcome.CodeCallerGone, "receiver went away").WithCause(err)
}
