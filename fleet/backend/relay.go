package backend

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"io"
	"mime"
	"net/http"
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

// relayStream passes on server-sent events. Whole lines go out together as
// soon as no more has arrived.
func relayStream(ctx context.Context, body io.Reader, out *timedSink) error {
	in := bufio.NewReaderSize(body, responseBufferLen)
	pending := make([]byte, 0, responseBufferLen)
	done := false
	begins := true // a line begins; one longer than the buffer comes in parts
	for {
		line, err := in.ReadSlice('\n')
		pending = append(pending, line...)
		if begins {
			done = done || isDone(line)
			out.result.noteEvent(line)
		}
		begins = !errors.Is(err, bufio.ErrBufferFull)
		if err != nil && begins && !done { // cut: an unfinished line is of no use
			pending = pending[:bytes.LastIndexByte(pending, '\n')+1]
		}
		if len(pending) > 0 && (err != nil || in.Buffered() == 0 || len(pending) >= responseBufferLen) {
			if _, werr := out.Write(pending); werr != nil {
				return cutFailure(ctx, out, werr)
			}
			pending = pending[:0]
		}
		switch {
		case err == nil || errors.Is(err, bufio.ErrBufferFull):
		case errors.Is(err, io.EOF) && done:
			return nil
		default:
			return cutFailure(ctx, out, err)
		}
	}
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
		return outcome.NewUnknown(outcome.CodeDeadline, "deadline passed during the answer").WithCause(err)
	case ctx.Err() != nil:
		return outcome.NewUnknown(outcome.CodeCallerGone, "request was cancelled").WithCause(err)
	default:
		return outcome.NewUnknown(outcome.CodeTruncated, "answer ended early").WithCause(err)
	}
}
