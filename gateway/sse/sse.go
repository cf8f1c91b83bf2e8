// Package sse finds the boundaries of server-sent events, so that only whole
// events are passed on.
package sse

import "bytes"

// Splitter collects the bytes of a stream and gives out whole events. The zero
// value is ready for use.
type Splitter struct {
	buf  []byte
	next int // where the search for the next boundary starts
}

// Write adds bytes of the stream.
func (s *Splitter) Write(b []byte) { s.buf = append(s.buf, b...) }

// Complete returns the whole events collected so far, and the id of the last of
// them that has one. The bytes are valid until the next Write.
func (s *Splitter) Complete() (events []byte, lastID string) {
	end := boundary(s.buf)
	if end == 0 {
		return nil, ""
	}
	events = s.buf[:end]
	s.next = end
	return events, lastEventID(events)
}

// Discard drops what Whole has returned.
func (s *Splitter) Discard() {
	n := copy(s.buf, s.buf[s.next:])
	s.buf = s.buf[:n]
	s.next = 0
}

// Incomplete returns the bytes of an event that is not whole.
func (s *Splitter) Incomplete() []byte { return s.buf[s.next:] }

// boundary returns the end of the last whole event; 0 if there is none.
func boundary(b []byte) int {
	end := 0
	for {
		n := firstEvent(b[end:])
		if n == 0 {
			return end
		}
		end += n
	}
}

// firstEvent returns the size of the first event with the empty line that ends
// it; 0 if it is not whole.
func firstEvent(b []byte) int {
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

// lastEventID returns the value of the last "id" field.
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
