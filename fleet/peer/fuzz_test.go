package peer

import (
	"bytes"
	"io"
	"slices"
	"testing"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	"cassialatch.dev/fleet/forward"
	"cassialatch.dev/outcome"
	"cassialatch.dev/wire/peerpb"
)

// fuzzNonce is the nonce of the request whose response is fuzzed.
const fuzzNonce = 7

// maxFuzzBody is the largest body, in bytes, that the fuzzed server accepts.
const maxFuzzBody = 64

// frames encodes messages, each prefixed with its length in one byte.
func frames(f *testing.F, messages ...proto.Message) []byte {
	var all []byte
	for _, m := range messages {
		encoded, err := proto.Marshal(m)
		if err != nil || len(encoded) > 255 {
			f.Fatal(err, len(encoded))
		}
		all = append(append(all, byte(len(encoded))), encoded...)
	}
	return all
}

// next decodes the next message. It returns io.EOF if no complete message
// follows.
func next(data *[]byte, m proto.Message) error {
	d := *data
	if len(d) == 0 || len(d) <= int(d[0]) {
		return io.EOF
	}
	*data = d[1+int(d[0]):]
	return proto.Unmarshal(d[1:1+int(d[0])], m)
}

// responseStream is a stream of encoded response parts that records the parts it
// returned.
type responseStream struct {
	peerpb.DRPCPeer_ForwardClient
	data     []byte
	returned []*peerpb.ForwardResponse
}

// Recv implements the drpc stream.
func (s *responseStream) Recv() (*peerpb.ForwardResponse, error) {
	var resp peerpb.ForwardResponse
	if err := next(&s.data, &resp); err != nil {
		return nil, err
	}
	s.returned = append(s.returned, &resp)
	return &resp, nil
}

// fakeSink records the calls it receives and their order.
type fakeSink struct {
	order  []byte // one of h, d and e for each call of Head, Data and End
	status int
	data   []byte
}

// Head implements forward.Sink.
func (s *fakeSink) Head(head forward.ResponseHead) error {
	s.order = append(s.order, 'h')
	s.status = head.Status
	return nil
}

// Data implements forward.Sink.
func (s *fakeSink) Data(p []byte) error {
	s.order = append(s.order, 'd')
	s.data = append(s.data, p...)
	return nil
}

// End implements forward.Sink.
func (s *fakeSink) End(forward.ResponseEnd) error {
	s.order = append(s.order, 'e')
	return nil
}

// completeBody returns the body of a response, and whether the response is
// complete: one head, data and an end, all with the nonce of the request, in
// order and of the right length.
func completeBody(parts []*peerpb.ForwardResponse) ([]byte, bool) {
	var body []byte
	for i, part := range parts {
		if part.Nonce != fuzzNonce || part.Seq != uint32(i) {
			return nil, false
		}
		switch {
		case i == 0 && part.GetHead() != nil:
		case i == 0:
			return nil, false
		case part.GetEnd() != nil:
			return body, i == len(parts)-1 && part.GetEnd().Bytes == uint64(len(body))
		default:
			data, ok := part.Part.(*peerpb.ForwardResponse_Data)
			if !ok {
				return nil, false
			}
			body = append(body, data.Data...)
		}
	}
	return nil, false
}

// encodeResponse encodes the numbered parts of a response. A nil part is left
// out, but counts in the numbering.
func encodeResponse(f *testing.F, parts ...*peerpb.ForwardResponse) []byte {
	var sent []byte
	for i, part := range parts {
		if part != nil {
			part.Nonce, part.Seq = fuzzNonce, uint32(i)
			sent = append(sent, frames(f, part)...)
		}
	}
	return sent
}

// FuzzResponse checks that only a complete response to the request succeeds, and
// that a response that has begun never ends with the outcome "not run".
func FuzzResponse(f *testing.F) {
	head := &peerpb.ForwardResponse{Part: &peerpb.ForwardResponse_Head{Head: &peerpb.ResponseHead{Status: 200}}}
	data := &peerpb.ForwardResponse{Part: &peerpb.ForwardResponse_Data{Data: []byte("bell")}}
	end := &peerpb.ForwardResponse{Part: &peerpb.ForwardResponse_End{End: &peerpb.ResponseEnd{Bytes: 4}}}
	refusal := &peerpb.ForwardResponse{Part: &peerpb.ForwardResponse_Refusal{Refusal: &peerpb.Refusal{Outcome: "not-run", Replan: true}}}
	f.Add(encodeResponse(f, head, end))            // wrong length
	f.Add(encodeResponse(f, head, nil, data, end)) // missing part
	f.Add(encodeResponse(f, data, head, end))      // wrong order
	f.Add(encodeResponse(f, head, head))
	f.Add(encodeResponse(f, refusal))
	f.Add(encodeResponse(f, head, refusal))
	f.Add(encodeResponse(f, head, data, refusal))
	f.Add(encodeResponse(f, head, data, end))
	data.Nonce++
	f.Add(slices.Concat(frames(f, head), frames(f, data), frames(f, end))) // part of another response
	f.Fuzz(func(t *testing.T, encoded []byte) {
		stream, sink := &responseStream{data: encoded}, &fakeSink{}
		err := (&responseReceiver{nonce: fuzzNonce, sink: sink, onPart: func() {}}).run(t.Context(), stream)

		body, complete := completeBody(stream.returned)
		begun := len(sink.order) > 0
		switch {
		case err == nil && (!complete || !bytes.Equal(body, sink.data) || sink.order[len(sink.order)-1] != 'e'):
			t.Fatalf("success after calls %q with body %q", sink.order, sink.data)
		case err != nil && complete:
			t.Fatalf("complete response, but error %v", err)
		case begun && (sink.order[0] != 'h' || bytes.Count(sink.order, []byte("h")) != 1):
			t.Fatalf("order of sink calls %q", sink.order)
		case begun && (sink.status < 200 || sink.status > 999):
			t.Fatalf("status %d", sink.status) // net/http panics or treats it as an informational status
		case err != nil && bytes.ContainsRune(sink.order, 'e'):
			t.Fatalf("error after End: %v", err)
		case err != nil && !errors.HasType(err, (*outcome.Error)(nil)):
			t.Fatalf("error without an outcome: %v", err)
		case err != nil && begun && outcome.From(err).Outcome == outcome.NotRun:
			t.Fatalf("not run after Head: %v", err)
		}
	})
}

// requestStream is a stream of encoded request parts that records the parts it
// returned.
type requestStream struct {
	peerpb.DRPCPeer_ForwardStream
	data     []byte
	returned []*peerpb.ForwardRequest
}

// Recv implements the drpc stream.
func (s *requestStream) Recv() (*peerpb.ForwardRequest, error) {
	var req peerpb.ForwardRequest
	if err := next(&s.data, &req); err != nil {
		return nil, err
	}
	s.returned = append(s.returned, &req)
	return &req, nil
}

// FuzzRequest checks that only a complete request is accepted: a start, body
// chunks and the last chunk, with a body within the limit.
func FuzzRequest(f *testing.F) {
	start := &peerpb.ForwardRequest{Part: &peerpb.ForwardRequest_Start{Start: &peerpb.ForwardStart{Nonce: fuzzNonce, Backend: "b"}}}
	chunk := func(n int, end bool) *peerpb.ForwardRequest {
		return &peerpb.ForwardRequest{Part: &peerpb.ForwardRequest_Body{Body: &peerpb.BodyChunk{Data: make([]byte, n), End: end}}}
	}
	f.Add(frames(f, start, chunk(4, false), chunk(4, true)))
	f.Add(frames(f, start, chunk(maxFuzzBody, false), chunk(1, true)))
	f.Add(frames(f, start, start, chunk(0, true)))
	f.Add(frames(f, chunk(0, true), start))
	f.Add(frames(f, start, chunk(4, false)))
	f.Add(frames(f, &peerpb.ForwardRequest{}))
	f.Fuzz(func(t *testing.T, encoded []byte) {
		stream := &requestStream{data: encoded}
		start, body, err := NewServer(nil, nil, maxFuzzBody).receive(stream)
		if err != nil {
			return
		}
		var sent []byte
		for i, part := range stream.returned {
			chunk, last := part.GetBody(), i == len(stream.returned)-1
			if (i == 0) != (part.GetStart() != nil) || i > 0 && chunk == nil || chunk.GetEnd() != last {
				t.Fatalf("accepted part %d of %d: %v", i, len(stream.returned), part)
			}
			sent = append(sent, chunk.GetData()...)
		}
		if !proto.Equal(start, stream.returned[0].GetStart()) || !bytes.Equal(body, sent) || len(body) > maxFuzzBody {
			t.Fatalf("accepted start %v with body %q", start, body)
		}
	})
}
