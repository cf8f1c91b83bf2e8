package backend

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/iotest"
	"unicode"

	"cassialatch.dev/outcome"
)

// fakeSink records the data that it receives.
type fakeSink struct {
	heads int
	data  []byte
}

// Head implements Sink.
func (s *fakeSink) Head(int, http.Header) error {
	s.heads++
	return nil
}

// Data implements Sink.
func (s *fakeSink) Data(p []byte) error {
	s.data = append(s.data, p...)
	return nil
}

// endsWithDone reports whether the last line that is not blank is the final
// event. A line longer than the buffer is not recognized.
func endsWithDone(stream []byte) bool {
	for line := range bytes.Lines(bytes.TrimRightFunc(stream, unicode.IsSpace)) {
		stream = line
	}
	return len(stream) <= responseBufferLen && isDone(stream)
}

// FuzzStream checks that a streamed response is forwarded unchanged, whatever its
// content, and that it is complete only if its last event is the final event and
// the connection did not break. Each zero byte in the stream is replaced by
// padding bytes, so that lines may be longer than the buffer.
func FuzzStream(f *testing.F) {
	const event = "data: {\"id\":\"x\",\"usage\":{\"prompt_tokens\":3}}\n\n"
	f.Add([]byte(event+"data: [DONE]\n\n"), uint16(0), false, false)
	f.Add([]byte(event+"data: [DONE]"), uint16(0), true, false)
	f.Add([]byte(event+"data: [DONE]\n\n"), uint16(0), false, true)
	f.Add([]byte(event), uint16(0), false, false)
	f.Add([]byte("data: \x00\n\ndata: [DONE]\n\n"), uint16(responseBufferLen), false, false)
	f.Add([]byte("\x00data: [DONE]\n"), uint16(responseBufferLen), false, false) // in the middle of a line
	f.Add([]byte("data: [DONE]\n\n"+event), uint16(0), false, false)
	f.Add([]byte("data: {\"text\":\"data: [DONE]\"}\n\n"), uint16(0), true, false)
	f.Fuzz(func(t *testing.T, stream []byte, padding uint16, slow, broken bool) {
		stream = bytes.ReplaceAll(stream, []byte{0}, []byte(strings.Repeat("x", int(padding))))
		if len(stream) > 8*responseBufferLen {
			return
		}
		var body io.Reader = bytes.NewReader(stream)
		if broken {
			body = io.MultiReader(body, iotest.ErrReader(io.ErrUnexpectedEOF))
		}
		if slow {
			body = iotest.HalfReader(body)
		}
		sink, result := &fakeSink{}, &Result{}
		err := relayStream(context.Background(), body, &timedSink{sink: sink, result: result})

		rest, isPrefix := bytes.CutPrefix(stream, sink.data)
		if !isPrefix || result.Bytes != uint64(len(sink.data)) {
			t.Fatalf("%d bytes received, %d forwarded, %d counted", len(stream), len(sink.data), result.Bytes)
		}
		if len(rest) > 0 && (err == nil || bytes.ContainsRune(rest, '\n')) {
			t.Fatalf("%q is missing on the receiving side", rest) // only the last line of a truncated stream may be missing
		}
		if complete := endsWithDone(stream) && !broken; complete != (err == nil) {
			t.Fatalf("complete stream: %v, got error %v", complete, err)
		}
		if err != nil && outcome.From(err).Outcome != outcome.Unknown {
			t.Fatalf("got error %v after the answer started, want outcome unknown", err)
		}
	})
}
