// Package sse finds the boundaries of server-sent events, so that a proxy can
// forward only complete events. It accepts LF and CRLF line endings.
package sse

import "bytes"

// Splitter buffers the bytes of a stream and returns the complete events. The
// zero value is ready for use. It is not safe for concurrent use.
type Splitter struct {
	buf  []byte
	next int // end of the events that Complete returned
}

// Write appends bytes of the stream.
func (s *Splitter) Write(b []byte) { s.buf = append(s.buf, b...) }

// Complete returns the complete events buffered so far, and the value of the last
// id field among them. The bytes are valid until the next call of Write or
// Discard.
func (s *Splitter) Complete() (events []byte, lastID string) {
	end := completeLen(s.buf)
	if end == 0 {
		return nil, ""
	}
	events = s.buf[:end]
	s.next = end
	return events, lastEventID(events)
}

// Discard removes the events that Complete returned.
func (s *Splitter) Discard() {
	n := copy(s.buf, s.buf[s.next:])
	s.buf = s.buf[:n]
	s.next = 0
}

// Incomplete returns the buffered bytes after the events that Complete returned.
func (s *Splitter) Incomplete() []byte { return s.buf[s.next:] }

// completeLen returns the total length of the complete events at the start of b.
func completeLen(b []byte) int {
	end := 0
	for {
		n := firstEventLen(b[end:])
		if n == 0 {
			return end
		}
		end += n
	}
}

// firstEventLen returns the length of the first event, including the empty line
// that ends it; 0 if the event is incomplete.
func firstEventLen(b []byte) int {
	for i, c := range b {
		if c != '\n' {
			continue
		}
		switch rest := b[i+1:]; {
		case bytes.HasPrefix(rest, []byte("\n")):
			return i + 2
		case bytes.HasPrefix(rest, []byte("\r\n")):
			return i + 3
		}
	}
	return 0
}

// lastEventID returns the value of the last "id" field in b; empty if there is
// none.
func lastEventID(b []byte) string {
	var id string
	for line := range bytes.Lines(b) {
		value, ok := bytes.CutPrefix(line, []byte("id:"))
		if ok {
			id = string(bytes.TrimSpace(value))
		}
	}
	return id
}
