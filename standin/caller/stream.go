package caller

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"cassialatch.dev/outcome"
	"cassialatch.dev/standin/engine"
	"cassialatch.dev/wire/engineapi"
	"github.com/cockroachdb/errors"
)

// Lines of a stream.
const (
	eventPrefix = "data: "
	errorEvent  = "event: error" // the daemon cut the answer; its data names the failure
)

// reader collects a streamed answer.
type reader struct {
	answer  ChatResponse
	content strings.Builder
	began   time.Time // of the request
	last    time.Time // of the last event; zero: none yet
	seq     int       // of the next event
	done    bool      // the end mark has come
	failed  bool      // an error event has come
}

// readChat reads a streamed answer to its end and verifies that it is whole
// and the answer to this request.
func readChat(resp *http.Response, req engineapi.ChatRequest, began time.Time) (ChatResponse, error) {
	defer resp.Body.Close()
	r := reader{began: began}
	r.answer.Token = resp.Header.Get(outcome.HeaderChat)
	r.answer.Backend = resp.Header.Get(outcome.HeaderBackend)
	if err := r.read(resp.Body); err != nil {
		return r.answer, err
	}
	r.answer.Content = r.content.String()
	return r.answer, r.verify(resp.Trailer, req)
}

func (r *reader) read(body io.Reader) error {
	lines := bufio.NewReader(body)
	for {
		line, err := lines.ReadString('\n')
		if errors.Is(err, io.EOF) && line == "" {
			return nil
		}
		if err != nil {
			return &InvalidResponseError{Defect: DefectAborted, Detail: fmt.Sprintf("after %d events", r.seq), cause: err}
		}
		line = strings.TrimRight(line, "\r\n")
		r.failed = r.failed || line == errorEvent
		data, ok := strings.CutPrefix(line, eventPrefix)
		if !ok {
			continue
		}
		if err := r.take(data); err != nil {
			return err
		}
	}
}

// take accounts for the data of one event.
func (r *reader) take(data string) error {
	if r.failed {
		return &InvalidResponseError{Defect: DefectAborted, Detail: fmt.Sprintf("after %d events: %s", r.seq, data)}
	}
	if r.done {
		return &InvalidResponseError{Defect: DefectMismatched, Detail: "data after the end mark"}
	}
	if data == engineapi.StreamDone {
		r.done = true
		return nil
	}
	var event engineapi.StreamEvent
	if err := json.Unmarshal([]byte(data), &event); err != nil {
		return &InvalidResponseError{Defect: DefectMismatched, Detail: "an event that cannot be read", cause: err}
	}
	if event.Seq != r.seq {
		return &InvalidResponseError{Defect: DefectMismatched, Detail: fmt.Sprintf("event %d where %d was due", event.Seq, r.seq)}
	}
	r.seq++
	r.clock()
	for _, choice := range event.Choices {
		if choice.Delta != nil {
			r.content.WriteString(choice.Delta.Content)
		}
	}
	if event.Usage != nil {
		r.answer.Usage = *event.Usage
	}
	return nil
}

// clock records the time of an event.
func (r *reader) clock() {
	now := time.Now()
	if r.last.IsZero() {
		r.answer.FirstToken = now.Sub(r.began)
	} else {
		r.answer.Gaps = append(r.answer.Gaps, now.Sub(r.last))
	}
	r.last = now
}

func (r *reader) verify(trailer http.Header, req engineapi.ChatRequest) error {
	want := strings.Join(engine.ExpectedWords(req), " ")
	switch {
	case r.failed:
		return &InvalidResponseError{Defect: DefectTruncated, Detail: "a clean end after an error event"}
	case !strings.HasPrefix(want, r.answer.Content):
		return &InvalidResponseError{Defect: DefectMismatched, Detail: "the words are not those of this request"}
	case len(r.answer.Content) < len(want):
		return &InvalidResponseError{Defect: DefectTruncated, Detail: "words are missing"}
	case !r.done:
		return &InvalidResponseError{Defect: DefectTruncated, Detail: "no end mark"}
	case outcome.Outcome(trailer.Get(outcome.HeaderOutcome)) != outcome.Answered:
		return &InvalidResponseError{Defect: DefectTruncated, Detail: "the trailer does not say answered"}
	}
	return nil
}
