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

// bodyChunkBytes is the maximum size of one chunk of a request body.
const bodyChunkBytes = 64 << 10

// ExecutorFor returns an Executor that forwards requests to the peer at address.
func (c *Client) ExecutorFor(address string) forward.Executor {
	return &peerExecutor{client: c, address: address}
}

// peerExecutor is the Executor that forwards requests to one peer.
type peerExecutor struct {
	client  *Client
	address string
}

// Execute implements forward.Executor. The peer does not run a request before it
// has received the complete body, so a failure before the last body chunk is sent
// has the outcome "not run".
func (e *peerExecutor) Execute(ctx context.Context, start *peerpb.ForwardStart, body []byte, sink forward.Sink) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	stopWatch := e.client.watchPeer(ctx, e.address, cancel)
	defer stopWatch()

	start.Nonce = rand.Uint64()
	stream, err := e.client.peer(ctx, e.address).Forward(ctx)
	if err != nil {
		return notRunError(ctx, err)
	}
	defer stream.Close()

	if err := sendStartAndBody(stream, start, body); err != nil {
		return notRunError(ctx, err)
	}
	last := &peerpb.ForwardRequest{Part: &peerpb.ForwardRequest_Body{Body: &peerpb.BodyChunk{End: true}}}
	if err := stream.Send(last); err != nil {
		return unknownError(ctx, err)
	}
	receiver := &responseReceiver{nonce: start.Nonce, sink: sink, onPart: stopWatch}
	return receiver.run(ctx, stream)
}

// sendStartAndBody sends the request except for the last chunk, which ends it.
func sendStartAndBody(stream peerpb.DRPCPeer_ForwardClient, start *peerpb.ForwardStart, body []byte) error {
	err := stream.Send(&peerpb.ForwardRequest{Part: &peerpb.ForwardRequest_Start{Start: start}})
	for err == nil && len(body) > 0 {
		n := min(len(body), bodyChunkBytes)
		chunk := &peerpb.BodyChunk{Data: body[:n]}
		err = stream.Send(&peerpb.ForwardRequest{Part: &peerpb.ForwardRequest_Body{Body: chunk}})
		body = body[n:]
	}
	return err
}

// notRunError returns the error for a failure that occurred before the peer can
// have run the request.
func notRunError(ctx context.Context, err error) *outcome.Error {
	if ctx.Err() != nil && !isPeerDown(ctx) {
		return outcome.NewNotRun(contextCode(ctx), "request ended before it was sent").WithCause(err)
	}
	return outcome.NewNotRun(outcome.CodePeerFailed, peerFailure(ctx, "home was not reached")).WithCause(err).WithReplan()
}

// unknownError returns the error for a failure after which the peer may have run
// the request.
func unknownError(ctx context.Context, err error) *outcome.Error {
	if ctx.Err() != nil && !isPeerDown(ctx) {
		return outcome.NewUnknown(contextCode(ctx), "request ended while it ran").WithCause(err)
	}
	return outcome.NewUnknown(outcome.CodePeerFailed, peerFailure(ctx, "connection to the home was lost")).WithCause(err).WithReplan()
}

// peerFailure returns the message for the failure of a peer: whether it is considered
// down, which ends forwards to it, or otherwise what happened to the connection.
func peerFailure(ctx context.Context, connection string) string {
	if isPeerDown(ctx) {
		return "home is considered down"
	}
	return connection
}

// contextCode returns the outcome code for the reason why ctx is done.
func contextCode(ctx context.Context) outcome.Code {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return outcome.CodeDeadlineExceeded
	}
	return outcome.CodeCallerGone
}

// responseReceiver reads one response from a stream. It checks that all parts
// belong to the request, arrive in order and are complete.
type responseReceiver struct {
	nonce   uint64 // of the request
	sink    forward.Sink
	onPart  func() // called for each part; must allow repeated calls
	seq     uint32 // expected number of the next part
	bytes   uint64 // of body data received so far
	started bool   // whether the head was received
}

// run receives parts until the response ends or fails.
func (r *responseReceiver) run(ctx context.Context, stream peerpb.DRPCPeer_ForwardClient) error {
	for {
		resp, err := stream.Recv()
		switch {
		case errors.Is(err, io.EOF):
			return outcome.NewUnknown(outcome.CodeResponseTruncated, "answer of the home ended early").WithReplan()
		case err != nil:
			return unknownError(ctx, err)
		case resp.Nonce != r.nonce || resp.Seq != r.seq:
			return outcome.NewUnknown(outcome.CodeResponseMismatch, "part of another answer came from the home")
		}
		r.seq++
		r.onPart()
		done, err := r.handlePart(resp)
		if done || err != nil {
			return err
		}
	}
}

// handlePart handles one part and reports whether it is the last.
func (r *responseReceiver) handlePart(resp *peerpb.ForwardResponse) (bool, error) {
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

// refusal returns the failure that the home reports. If the response has begun,
// the request did run, even if the home reports the outcome "not run".
func (r *responseReceiver) refusal(refusal *peerpb.Refusal) error {
	e := forward.DecodeError(refusal)
	if r.started && e.Outcome == outcome.NotRun {
		return outcome.NewUnknown(outcome.CodeResponseMismatch, "refusal came after the head of an answer").WithCause(e)
	}
	return e
}

// head checks the head and forwards it to the sink.
func (r *responseReceiver) head(head *peerpb.ResponseHead) error {
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
	return sinkError(err)
}

// data forwards body data to the sink.
func (r *responseReceiver) data(p []byte) error {
	if !r.started {
		return outcome.NewUnknown(outcome.CodeResponseMismatch, "data without a head came from the home")
	}
	r.bytes += uint64(len(p))
	return sinkError(r.sink.Data(p))
}

// end checks the length of the body and forwards the end to the sink.
func (r *responseReceiver) end(end *peerpb.ResponseEnd) error {
	if !r.started || end.Bytes != r.bytes {
		return outcome.NewUnknown(outcome.CodeResponseTruncated, "answer of the home has the wrong length")
	}
	usage := engineapi.Usage{
		PromptTokens: int(end.PromptTokens),
		CachedTokens: int(end.CachedTokens),
	}
	return sinkError(r.sink.End(forward.ResponseEnd{Usage: usage}))
}

// sinkError returns the error for a failure of the sink; nil if err is nil.
func sinkError(err error) error {
	if err == nil {
		return nil
	}
	return outcome.NewUnknown(outcome.CodeCallerGone, "receiver went away").WithCause(err)
}
