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

// dataPrefix is the prefix of the lines of server-sent events that carry data.
var dataPrefix = []byte("data: ")

// usageField occurs in events with token usage. Other events are not decoded.
var usageField = []byte(`"usage":{`)

// IsStream reports whether the Content-Type in header is that of server-sent
// events.
func IsStream(header http.Header) bool {
	mediaType, _, err := mime.ParseMediaType(header.Get("Content-Type"))
	return err == nil && mediaType == eventStream
}

// relay forwards the body of a response while it arrives.
func relay(ctx context.Context, resp *http.Response, sink Sink, start time.Time, result *Result) error {
	out := &timedSink{sink: sink, start: start, result: result}
	if IsStream(resp.Header) {
		return relayStream(ctx, resp.Body, out)
	}
	return relayBody(ctx, resp.Body, out)
}

// timedSink forwards data to a sink and records its size and arrival times in
// result.
type timedSink struct {
	sink    Sink
	start   time.Time
	result  *Result
	sinkErr error // returned by the sink
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
		t.sinkErr = err
		return 0, err
	}
	return len(p), nil
}

// relayBody forwards a response whose end net/http detects by its length or
// chunked encoding.
func relayBody(ctx context.Context, body io.Reader, out *timedSink) error {
	_, err := io.CopyBuffer(out, struct{ io.Reader }{body}, make([]byte, responseBufferLen))
	if err != nil {
		return relayError(ctx, out, err)
	}
	return nil
}

// streamBuffer holds the buffers for relaying one stream. They are small, since a
// stream is open for seconds and its events are short.
type streamBuffer struct {
	in      *bufio.Reader
	pending []byte
}

// streamBuffers is the pool of buffers that streams reuse.
var streamBuffers = sync.Pool{New: func() any {
	return &streamBuffer{
		in:      bufio.NewReaderSize(nil, streamBufferLen),
		pending: make([]byte, 0, 2*streamBufferLen),
	}
}}

// release returns the buffer to the pool.
func (b *streamBuffer) release() {
	b.in.Reset(nil)
	streamBuffers.Put(b)
}

// relayStream forwards server-sent events. It collects the lines that have
// arrived and writes them at once when no more input is buffered, or when
// streamBufferLen bytes are pending.
func relayStream(ctx context.Context, body io.Reader, out *timedSink) error {
	buffers := streamBuffers.Get().(*streamBuffer)
	defer buffers.release()
	in := buffers.in
	in.Reset(body)
	pending := buffers.pending[:0]
	lines := lineTracker{result: out.result}
	for {
		line, err := in.ReadSlice('\n')
		pending = append(pending, line...)
		lines.add(line, err == nil)
		more := err == nil || errors.Is(err, bufio.ErrBufferFull)
		if !more && !lines.done { // truncated: drop the incomplete line
			pending = pending[:bytes.LastIndexByte(pending, '\n')+1]
		}
		if len(pending) > 0 && (err != nil || in.Buffered() == 0 || len(pending) >= streamBufferLen) {
			if _, writeErr := out.Write(pending); writeErr != nil {
				return relayError(ctx, out, writeErr)
			}
			pending = pending[:0]
		}
		switch {
		case more:
		case errors.Is(err, io.EOF) && lines.done:
			return nil
		default:
			return relayError(ctx, out, err)
		}
	}
}

// lineTracker follows the lines of a stream to find its final event.
type lineTracker struct {
	result  *Result
	midLine bool // the next part continues a line longer than the buffer
	done    bool // the last line that is not blank is the final event
}

// add processes the next part of the stream. endsLine is true if the part ends
// with a newline.
func (l *lineTracker) add(part []byte, endsLine bool) {
	if len(bytes.TrimSpace(part)) > 0 {
		l.done = !l.midLine && isDone(part)
	}
	if !l.midLine {
		l.result.recordEvent(part)
	}
	l.midLine = !endsLine
}

// isDone reports whether a line is the final event of a complete stream.
func isDone(line []byte) bool {
	data, ok := bytes.CutPrefix(line, dataPrefix)
	return ok && string(bytes.TrimSpace(data)) == engineapi.StreamDone
}

// recordEvent counts an event and stores its token usage, if it has any.
func (r *Result) recordEvent(line []byte) {
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

// relayError returns the typed error of a response that ended before it was
// complete.
func relayError(ctx context.Context, out *timedSink, err error) *outcome.Error {
	switch {
	case out.sinkErr != nil:
		return outcome.NewUnknown(outcome.CodeCallerGone, "receiver went away").WithCause(err)
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return outcome.NewUnknown(outcome.CodeDeadlineExceeded, "deadline passed during the answer").WithCause(err)
	case ctx.Err() != nil:
		return outcome.NewUnknown(outcome.CodeCallerGone, "request was cancelled").WithCause(err)
	default:
		return outcome.NewUnknown(outcome.CodeResponseTruncated, "answer ended early").WithCause(err)
	}
}
