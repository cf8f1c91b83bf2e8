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

// Lines of an event stream.
const (
	eventPrefix = "data: "
	errorEvent  = "event: error" // the daemon ends the response early; the data describes the failure
)

// streamReader assembles a streamed response.
type streamReader struct {
	response ChatResponse
	content  strings.Builder
	start    time.Time // of the request
	last     time.Time // of the last event; zero: none received
	seq      int       // expected sequence number of the next event
	done     bool      // the end marker has been received
	failed   bool      // an error event has been received
}

// readChat reads a streamed response to its end and verifies that it is complete
// and matches the request. The request was sent at start.
func readChat(resp *http.Response, req engineapi.ChatRequest, start time.Time) (ChatResponse, error) {
	defer resp.Body.Close()
	r := streamReader{start: start}
	r.response.Token = resp.Header.Get(outcome.HeaderChat)
	r.response.Backend = resp.Header.Get(outcome.HeaderBackend)
	if err := r.read(resp.Body); err != nil {
		return r.response, err
	}
	r.response.Content = r.content.String()
	return r.response, r.verify(resp.Trailer, req)
}

func (r *streamReader) read(body io.Reader) error {
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
		if err := r.handleData(data); err != nil {
			return err
		}
	}
}

// handleData processes the data of one event.
func (r *streamReader) handleData(data string) error {
	if r.failed {
		return &InvalidResponseError{Defect: DefectAborted, Detail: fmt.Sprintf("after %d events: %s", r.seq, data)}
	}
	if r.done {
		return &InvalidResponseError{Defect: DefectMismatched, Detail: "data after the end marker"}
	}
	if data == engineapi.StreamDone {
		r.done = true
		return nil
	}
	var event engineapi.StreamEvent
	if err := json.Unmarshal([]byte(data), &event); err != nil {
		return &InvalidResponseError{Defect: DefectMismatched, Detail: "malformed event", cause: err}
	}
	if event.Seq != r.seq {
		return &InvalidResponseError{Defect: DefectMismatched, Detail: fmt.Sprintf("got event %d, expected event %d", event.Seq, r.seq)}
	}
	r.seq++
	r.recordEventTime()
	for _, choice := range event.Choices {
		if choice.Delta != nil {
			r.content.WriteString(choice.Delta.Content)
		}
	}
	if event.Usage != nil {
		r.response.Usage = *event.Usage
	}
	return nil
}

// recordEventTime records the time of an event.
func (r *streamReader) recordEventTime() {
	now := time.Now()
	if r.last.IsZero() {
		r.response.FirstToken = now.Sub(r.start)
	} else {
		r.response.Gaps = append(r.response.Gaps, now.Sub(r.last))
	}
	r.last = now
}

func (r *streamReader) verify(trailer http.Header, req engineapi.ChatRequest) error {
	want := strings.Join(engine.ExpectedWords(req), " ")
	switch {
	case r.failed:
		return &InvalidResponseError{Defect: DefectTruncated, Detail: "stream ended after an error event without data"}
	case !strings.HasPrefix(want, r.response.Content):
		return &InvalidResponseError{Defect: DefectMismatched, Detail: "content does not match the request"}
	case len(r.response.Content) < len(want):
		return &InvalidResponseError{Defect: DefectTruncated, Detail: "content is incomplete"}
	case !r.done:
		return &InvalidResponseError{Defect: DefectTruncated, Detail: "end marker is missing"}
	case outcome.Outcome(trailer.Get(outcome.HeaderOutcome)) != outcome.Answered:
		return &InvalidResponseError{Defect: DefectTruncated, Detail: "trailer does not confirm the response"}
	}
	return nil
}
