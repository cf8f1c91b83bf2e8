package backend

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"io"
	"mime"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"cassialatch.dev/outcome"
	"cassialatch.dev/wire/engineapi"
)

// eventStream is the media type of server-sent events.
const eventStream = "text/event-stream"

// dataPrefix starts a line of a server-sent event that carries data.
var dataPrefix = []byte("data: ")

// usageField is present in events that carry usage.
var usageField = []byte(`"usage":{`)

// IsStream reports whether headers announce server-sent events.
func IsStream(header http.Header) bool {
	mediaType, _, err := mime.ParseMediaType(header.Get("Content-Type"))
	return err == nil && mediaType == eventStream
}

// relay passes the body of an answer on as it comes.
func relay(ctx context.Context, resp *http.Response, sink Sink, start time.Time, result *Result) error {
	out := &timedSink{sink: sink, start: start, result: result}
	if IsStream(resp.Header) {
		return relayStream(ctx, resp.Body, out)
	}
	return relayBody(ctx, resp.Body, out)
}

// timedSink counts and times what it passes on.
type timedSink struct {
	sink   Sink
	start  time.Time
	result *Result
	err    error // of the sink
}

// Write implements io.Writer.
func (t *timedSink) Write(p []byte) (int, error) {
	since := time.Since(t.start)
	if t.result.Bytes == 0 {
		t.result.FirstData = since
	}
	t.result.LastData = since
	t.result.Bytes += uint64(len(p))
	if err := t.sink.Data(p); err != nil {
		t.err = err
		return 0, err
	}
	return len(p), nil
}

// relayBody passes on an answer whose end net/http knows.
func relayBody(ctx context.Context, body io.Reader, out *timedSink) error {
	_, err := io.CopyBuffer(out, struct{ io.Reader }{body}, make([]byte, responseBufferLen))
	if err != nil {
		return cutFailure(ctx, out, err)
	}
	return nil
}

// streamBuffer holds what relaying one stream needs. It is small, since a stream
// is open for seconds and its events are short.
type streamBuffer struct {
	in      *bufio.Reader
	pending []byte
}

// streamBuffers keeps buffers between streams.
var streamBuffers = sync.Pool{New: func() any {
	return &streamBuffer{
		in:      bufio.NewReaderSize(nil, streamBufferLen),
		pending: make([]byte, 0, 2*streamBufferLen),
	}
}}

// release gives the buffer back for the next stream.
func (b *streamBuffer) release() {
	b.in.Reset(nil)
	streamBuffers.Put(b)
}

// relayStream passes on server-sent events. Whole lines go out together as
// soon as no more has arrived.
func relayStream(ctx context.Context, body io.Reader, out *timedSink) error {
	buffers := streamBuffers.Get().(*streamBuffer)
	defer buffers.release()
	in := buffers.in
	in.Reset(body)
	pending := buffers.pending[:0]
	lines := streamLines{result: out.result}
	for {
		line, err := in.ReadSlice('\n')
		pending = append(pending, line...)
		lines.note(line, err == nil)
		more := err == nil || errors.Is(err, bufio.ErrBufferFull)
		if !more && !lines.done { // cut: an unfinished line is of no use
			pending = pending[:bytes.LastIndexByte(pending, '\n')+1]
		}
		if len(pending) > 0 && (err != nil || in.Buffered() == 0 || len(pending) >= streamBufferLen) {
			if _, werr := out.Write(pending); werr != nil {
				return cutFailure(ctx, out, werr)
			}
			pending = pending[:0]
		}
		switch {
		case more:
		case errors.Is(err, io.EOF) && lines.done:
			return nil
		default:
			return cutFailure(ctx, out, err)
		}
	}
}

// streamLines follows the lines of a stream.
type streamLines struct {
	result *Result
	inside bool // of a line that is longer than the buffer
	done   bool // the last line that is not blank ends a whole stream
}

// note takes the next part of the stream, which ends a line or does not.
func (l *streamLines) note(part []byte, endsLine bool) {
	if len(bytes.TrimSpace(part)) > 0 {
		l.done = !l.inside && isDone(part)
	}
	if !l.inside {
		l.result.noteEvent(part)
	}
	l.inside = !endsLine
}

// isDone reports whether a line ends a whole stream.
func isDone(line []byte) bool {
	data, ok := bytes.CutPrefix(line, dataPrefix)
	return ok && string(bytes.TrimSpace(data)) == engineapi.StreamDone
}

// noteEvent counts events and takes the usage from the one that carries it.
func (r *Result) noteEvent(line []byte) {
	data, ok := bytes.CutPrefix(line, dataPrefix)
	if !ok {
		return
	}
	r.Events++
	if !bytes.Contains(data, usageField) {
		return
	}
	var event engineapi.StreamEvent
	if json.Unmarshal(data, &event) == nil && event.Usage != nil {
		r.Usage = *event.Usage
	}
}

// cutFailure types an answer that ended before it was whole.
func cutFailure(ctx context.Context, out *timedSink, err error) *outcome.Error {
	switch {
	case out.err != nil:
		return outcome.NewUnknown(outcome.CodeCallerGone, "receiver went away").WithCause(err)
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return outcome.NewUnknown(outcome.CodeDeadlineExceeded, "deadline passed during the answer").WithCause(err)
	case ctx.Err() != nil:
		return outcome.NewUnknown(outcome.CodeCallerGone, "request was cancelled").WithCause(err)
	default:
		return outcome.NewUnknown(outcome.CodeResponseTruncated, "answer ended early").WithCause(err)
	}
}
