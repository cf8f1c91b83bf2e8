package peer

import (
	"context"
	"net"

	"github.com/cockroachdb/errors"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"

	"cassialatch.dev/fleet/forward"
	"cassialatch.dev/outcome"
	"cassialatch.dev/wire/peerpb"
)

// Handler handles the calls of peers other than forwards. It must be safe for
// concurrent use.
type Handler interface {
	Heartbeat(context.Context, *peerpb.HeartbeatRequest) (*peerpb.HeartbeatResponse, error)
	FetchDocument(context.Context, *peerpb.FetchDocumentRequest) (*peerpb.Document, error)
	VoidTicket(context.Context, *peerpb.VoidTicketRequest) (*peerpb.VoidTicketResponse, error)
}

// Server serves the protocol to peers. It is safe for concurrent use.
type Server struct {
	Handler
	executor     forward.Executor
	maxBodyBytes int64 // of one forwarded request
}

// NewServer returns a Server that runs forwarded requests with executor and
// passes all other calls to handler. Request bodies of more than maxBodyBytes
// are refused.
func NewServer(handler Handler, executor forward.Executor, maxBodyBytes int64) *Server {
	return &Server{Handler: handler, executor: executor, maxBodyBytes: maxBodyBytes}
}

// Serve accepts connections on listener until ctx is done.
func (s *Server) Serve(ctx context.Context, listener net.Listener) error {
	mux := drpcmux.New()
	if err := peerpb.DRPCRegisterPeer(mux, s); err != nil {
		return errors.Wrap(err, "peer: register")
	}
	server := drpcserver.NewWithOptions(mux, drpcserver.Options{Manager: managerOptions()})
	return errors.Wrap(server.Serve(ctx, listener), "peer: serve")
}

// Forward implements the drpc service: it receives a request, runs it and streams
// the response back.
func (s *Server) Forward(stream peerpb.DRPCPeer_ForwardStream) error {
	start, body, err := s.receive(stream)
	if err != nil {
		return err
	}
	out := &responseSender{stream: stream, nonce: start.Nonce}
	if err := s.executor.Execute(stream.Context(), start, body, out); err != nil {
		return out.refuse(err)
	}
	return nil
}

// receive reads a complete request: a start, body chunks and the last chunk.
func (s *Server) receive(stream peerpb.DRPCPeer_ForwardStream) (*peerpb.ForwardStart, []byte, error) {
	first, err := stream.Recv()
	if err != nil {
		return nil, nil, errors.Wrap(err, "peer: receive start")
	}
	start := first.GetStart()
	if start == nil {
		return nil, nil, outcome.NewNotRun(outcome.CodeBadRequest, "forward does not begin with a start")
	}
	var body []byte
	for {
		next, err := stream.Recv()
		if err != nil {
			return nil, nil, errors.Wrap(err, "peer: receive body")
		}
		chunk := next.GetBody()
		if chunk == nil || int64(len(body)+len(chunk.Data)) > s.maxBodyBytes {
			return nil, nil, outcome.NewNotRun(outcome.CodeBodyTooLarge, "body of a forward is not acceptable")
		}
		body = append(body, chunk.Data...)
		if chunk.End {
			return start, body, nil
		}
	}
}

// responseSender is the forward.Sink that streams a response to the peer that
// forwarded the request.
type responseSender struct {
	stream peerpb.DRPCPeer_ForwardStream
	nonce  uint64 // of the request, repeated in each part
	seq    uint32 // number of the next part
	bytes  uint64 // of body data sent so far
}

// send sends the next part of the response.
func (s *responseSender) send(resp *peerpb.ForwardResponse) error {
	resp.Nonce = s.nonce
	resp.Seq = s.seq
	s.seq++
	return s.stream.Send(resp)
}

// Head implements forward.Sink.
func (s *responseSender) Head(head forward.ResponseHead) error {
	return s.send(&peerpb.ForwardResponse{Part: &peerpb.ForwardResponse_Head{Head: &peerpb.ResponseHead{
		Status:  uint32(head.Status),
		Headers: forward.EncodeHeader(head.Header),
		Backend: head.Backend,
		Home:    head.Home,
	}}})
}

// Data implements forward.Sink.
func (s *responseSender) Data(p []byte) error {
	s.bytes += uint64(len(p))
	return s.send(&peerpb.ForwardResponse{Part: &peerpb.ForwardResponse_Data{Data: p}})
}

// End implements forward.Sink.
func (s *responseSender) End(end forward.ResponseEnd) error {
	return s.send(&peerpb.ForwardResponse{Part: &peerpb.ForwardResponse_End{End: &peerpb.ResponseEnd{
		Bytes:        s.bytes,
		PromptTokens: uint32(end.Usage.PromptTokens),
		CachedTokens: uint32(end.Usage.CachedTokens),
	}}})
}

// refuse ends the response with err.
func (s *responseSender) refuse(err error) error {
	return s.send(&peerpb.ForwardResponse{Part: &peerpb.ForwardResponse_Refusal{Refusal: forward.EncodeError(err)}})
}
