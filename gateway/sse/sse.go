// Package sse finds the boundaries of server-sent events, so that a proxy can
// forward only complete events. It accepts LF and CRLF line endings.
package sse

import (
	"bytes"
	"errors"
)

// MaxEventBytes is the size up to which a Splitter buffers an event that is not
// complete.
const MaxEventBytes = 256 << 10

// maxKeptBytes is the size up to which a Splitter keeps a buffer that it does not need.
const maxKeptBytes = 8 << 10

// ErrEventTooLarge is returned by Write if an event exceeds MaxEventBytes.
var ErrEventTooLarge = errors.New("sse: event exceeds the size limit")

// Splitter buffers the bytes of a stream and returns the complete events. The
// zero value is ready for use. It is not safe for concurrent use.
type Splitter struct {
	buf     []byte
	end     int // end of the complete events
	scanned int // up to here the end of the next event was not found
	next    int // end of the events that Complete returned
}

// Write appends bytes of the stream. It returns ErrEventTooLarge if they leave an
// incomplete event that is too large. The complete events before it can still be
// read, but the stream must not be continued.
func (s *Splitter) Write(b []byte) error {
	s.buf = append(s.buf, b...)
	s.scan()
	if len(s.buf)-s.end > MaxEventBytes {
		return ErrEventTooLarge
	}
	return nil
}

// Complete returns the complete events buffered so far, and the value of the last
// id field among them. The bytes are valid until the next call of Write or
// Discard.
func (s *Splitter) Complete() (events []byte, lastID string) {
	if s.end == 0 {
		return nil, ""
	}
	s.next = s.end
	events = s.buf[:s.end]
	return events, lastEventID(events)
}

// Discard removes the events that Complete returned.
func (s *Splitter) Discard() {
	rest := s.buf[s.next:]
	if cap(s.buf) > maxKeptBytes && len(rest) <= maxKeptBytes/2 {
		s.buf = append([]byte(nil), rest...)
	} else {
		s.buf = s.buf[:copy(s.buf, rest)]
	}
	s.end -= s.next
	s.scanned -= s.next
	s.next = 0
}

// Size returns how much memory the buffer takes, in bytes.
func (s *Splitter) Size() int { return cap(s.buf) }

// Incomplete returns the buffered bytes after the events that Complete returned.
func (s *Splitter) Incomplete() []byte { return s.buf[s.next:] }

// scan advances end over the events that are complete. An event ends with an
// empty line, that is, with a line feed that another one follows, with or without
// a carriage return between them.
func (s *Splitter) scan() {
	for {
		i := bytes.IndexByte(s.buf[s.scanned:], '\n')
		if i < 0 {
			s.scanned = len(s.buf)
			return
		}
		lineFeed := s.scanned + i
		switch rest := s.buf[lineFeed+1:]; {
		case len(rest) == 0 || len(rest) == 1 && rest[0] == '\r':
			s.scanned = lineFeed // decided by the next bytes
			return
		case rest[0] == '\n':
			s.end = lineFeed + 2
			s.scanned = s.end
		case rest[0] == '\r' && rest[1] == '\n':
			s.end = lineFeed + 3
			s.scanned = s.end
		default:
			s.scanned = lineFeed + 1
		}
	}
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
