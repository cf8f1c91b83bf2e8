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

// fuzzNonce is the nonce of the request whose answer is fuzzed.
const fuzzNonce = 7

// maxFuzzBody is the largest body that the fuzzed server takes.
const maxFuzzBody = 64

// frames encodes messages, each with its length in one byte before it.
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

// next decodes the next message and returns io.EOF at the end, or where no
// whole message follows.
func next(data *[]byte, m proto.Message) error {
	d := *data
	if len(d) == 0 || len(d) <= int(d[0]) {
		return io.EOF
	}
	*data = d[1+int(d[0]):]
	return proto.Unmarshal(d[1:1+int(d[0])], m)
}

// answerStream is a stream of answer parts that remembers what it gave.
type answerStream struct {
	peerpb.DRPCPeer_ForwardClient
	data  []byte
	given []*peerpb.ForwardResponse
}

// Recv implements the drpc stream.
func (s *answerStream) Recv() (*peerpb.ForwardResponse, error) {
	var resp peerpb.ForwardResponse
	if err := next(&s.data, &resp); err != nil {
		return nil, err
	}
	s.given = append(s.given, &resp)
	return &resp, nil
}

// sinkFake remembers what it took and in which order.
type sinkFake struct {
	order  []byte // h, d and e
	status int
	data   []byte
}

// Head implements forward.Sink.
func (s *sinkFake) Head(head forward.ResponseHead) error {
	s.order = append(s.order, 'h')
	s.status = head.Status
	return nil
}

// Data implements forward.Sink.
func (s *sinkFake) Data(p []byte) error {
	s.order = append(s.order, 'd')
	s.data = append(s.data, p...)
	return nil
}

// End implements forward.Sink.
func (s *sinkFake) End(forward.ResponseEnd) error {
	s.order = append(s.order, 'e')
	return nil
}

// wholeAnswer returns the body of an answer whose parts are one head, data and
// an end, all of this request, in order and of the right length.
func wholeAnswer(parts []*peerpb.ForwardResponse) ([]byte, bool) {
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

// answerOf encodes the parts of an answer, numbered. A nil part is lost on its
// way.
func answerOf(f *testing.F, parts ...*peerpb.ForwardResponse) []byte {
	var sent []byte
	for i, part := range parts {
		if part != nil {
			part.Nonce, part.Seq = fuzzNonce, uint32(i)
			sent = append(sent, frames(f, part)...)
		}
	}
	return sent
}

// FuzzAnswer checks that only a whole answer to the own request counts as
// answered, and that "not run" is never said of one that has begun.
func FuzzAnswer(f *testing.F) {
	head := &peerpb.ForwardResponse{Part: &peerpb.ForwardResponse_Head{Head: &peerpb.ResponseHead{Status: 200}}}
	data := &peerpb.ForwardResponse{Part: &peerpb.ForwardResponse_Data{Data: []byte("bell")}}
	end := &peerpb.ForwardResponse{Part: &peerpb.ForwardResponse_End{End: &peerpb.ResponseEnd{Bytes: 4}}}
	refusal := &peerpb.ForwardResponse{Part: &peerpb.ForwardResponse_Refusal{Refusal: &peerpb.Refusal{Outcome: "not-run", Replan: true}}}
	f.Add(answerOf(f, head, end))            // wrong length
	f.Add(answerOf(f, head, nil, data, end)) // part lost
	f.Add(answerOf(f, data, head, end))      // wrong order
	f.Add(answerOf(f, head, head))
	f.Add(answerOf(f, refusal))
	f.Add(answerOf(f, head, refusal))
	f.Add(answerOf(f, head, data, refusal))
	f.Add(answerOf(f, head, data, end))
	data.Nonce++
	f.Add(slices.Concat(frames(f, head), frames(f, data), frames(f, end))) // part of another answer
	f.Fuzz(func(t *testing.T, parts []byte) {
		stream, sink := &answerStream{data: parts}, &sinkFake{}
		err := (&receiver{nonce: fuzzNonce, sink: sink, answers: func() {}}).run(t.Context(), stream)

		body, whole := wholeAnswer(stream.given)
		began := len(sink.order) > 0
		switch {
		case err == nil && (!whole || !bytes.Equal(body, sink.data) || sink.order[len(sink.order)-1] != 'e'):
			t.Fatalf("answered with %q of %q", sink.order, sink.data)
		case err != nil && whole:
			t.Fatalf("whole, but %v", err)
		case began && (sink.order[0] != 'h' || bytes.Count(sink.order, []byte("h")) != 1):
			t.Fatalf("order %q", sink.order)
		case began && (sink.status < 200 || sink.status > 999):
			t.Fatalf("status %d", sink.status) // net/http panics or takes it for an interim one
		case err != nil && bytes.ContainsRune(sink.order, 'e'):
			t.Fatalf("end, then %v", err)
		case err != nil && !errors.HasType(err, (*outcome.Error)(nil)):
			t.Fatalf("untyped %v", err)
		case err != nil && began && outcome.From(err).Outcome == outcome.NotRun:
			t.Fatalf("began, then %v", err)
		}
	})
}

// requestStream is a stream of request parts.
type requestStream struct {
	peerpb.DRPCPeer_ForwardStream
	data  []byte
	given []*peerpb.ForwardRequest
}

// Recv implements the drpc stream.
func (s *requestStream) Recv() (*peerpb.ForwardRequest, error) {
	var req peerpb.ForwardRequest
	if err := next(&s.data, &req); err != nil {
		return nil, err
	}
	s.given = append(s.given, &req)
	return &req, nil
}

// FuzzRequest checks that only a whole request is taken, of a start, body
// chunks and the end, within the limit of its body.
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
	f.Fuzz(func(t *testing.T, parts []byte) {
		stream := &requestStream{data: parts}
		start, body, err := NewServer(nil, nil, maxFuzzBody).receive(stream)
		if err != nil {
			return
		}
		var sent []byte
		for i, part := range stream.given {
			chunk, last := part.GetBody(), i == len(stream.given)-1
			if (i == 0) != (part.GetStart() != nil) || i > 0 && chunk == nil || chunk.GetEnd() != last {
				t.Fatalf("part %d of %d is %v", i, len(stream.given), part)
			}
			sent = append(sent, chunk.GetData()...)
		}
		if !proto.Equal(start, stream.given[0].GetStart()) || !bytes.Equal(body, sent) || len(body) > maxFuzzBody {
			t.Fatalf("took %v with %q", start, body)
		}
	})
}
