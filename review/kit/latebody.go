package kit

import (
	"fmt"
	"io"
	"net/http"
	"time"
)

// Stream describes the answer of a runner to a streaming request.
type Stream struct {
	From, Events int                          // events From+1 to Events are sent
	Gap          func(n int) time.Duration    // pause after event n
	ReadAfter    time.Duration                // the body is read so long after the begin of the answer; 0: before it
	OnEnd        func(complete bool, e error) // the run has ended
}

// Event returns the text of event n in the stream of a request.
func Event(id string, n int) string { return fmt.Sprintf("id: %d\ndata: %s-%d\n\n", n, id, n) }

// ServeStream runs a request. It returns whether the channel is kept.
func (c *Conn) ServeStream(rec *Record, req *http.Request, s Stream) bool {
	id := req.Header.Get("Cassialatch-Attempt-Id")
	name := c.Runner.ID
	rec.Printf("runner %s runs %s", name, id)
	end := func(err error) bool {
		rec.Printf("runner %s ends its run of %s: %v", name, id, orComplete(err))
		if s.OnEnd != nil {
			s.OnEnd(err == nil, err)
		}
		return err == nil
	}
	readBody := func() error {
		n, err := io.Copy(io.Discard, req.Body)
		rec.Printf("runner %s has read the last %d bytes of the body of %s, error: %v", name, n, id, err)
		return err
	}
	read := false
	if s.ReadAfter == 0 {
		read = true
		if err := readBody(); err != nil {
			return end(err)
		}
	}
	start := time.Now()
	if _, err := io.WriteString(c, c.Runner.Head(req, 200, "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n")); err != nil {
		return end(err)
	}
	for n := s.From + 1; n <= s.Events; n++ {
		e := Event(id, n)
		if _, err := fmt.Fprintf(c, "%x\r\n%s\r\n", len(e), e); err != nil {
			return end(fmt.Errorf("event %d, %d ms after the begin of the answer: %w", n, time.Since(start).Milliseconds(), err))
		}
		time.Sleep(s.Gap(n))
		if !read && time.Since(start) >= s.ReadAfter {
			read = true
			if err := readBody(); err != nil {
				return end(err)
			}
		}
	}
	if _, err := io.WriteString(c, "0\r\n\r\n"); err != nil {
		return end(err)
	}
	return end(nil)
}

func orComplete(err error) any {
	if err == nil {
		return "its answer is complete"
	}
	return err
}
