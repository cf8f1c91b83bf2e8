package sse

import (
	"bytes"
	"strings"
	"testing"

	"github.com/matryer/is"
)

func TestSplitterReturnsOnlyCompleteEvents(t *testing.T) {
	is := is.New(t)
	var s Splitter
	is.NoErr(s.Write([]byte("id: 1\ndata: a\n\nid: 2\nda")))
	events, id := s.Complete()
	is.Equal(string(events), "id: 1\ndata: a\n\n")
	is.Equal(id, "1")
	s.Discard()
	events, _ = s.Complete()
	is.Equal(len(events), 0)
	is.Equal(string(s.Incomplete()), "id: 2\nda")
	is.NoErr(s.Write([]byte("ta: b\n\n")))
	events, id = s.Complete()
	is.Equal(string(events), "id: 2\ndata: b\n\n")
	is.Equal(id, "2")
	s.Discard()
	is.Equal(len(s.Incomplete()), 0)
}

func TestSplitterAcceptsLFAndCRLF(t *testing.T) {
	is := is.New(t)
	var s Splitter
	is.NoErr(s.Write([]byte("id: 7\r\ndata: a\r\n\r\nid")))
	events, id := s.Complete()
	is.Equal(string(events), "id: 7\r\ndata: a\r\n\r\n")
	is.Equal(id, "7")
}

// Guards against an event without end, which was buffered without limit. The
// events before it are still returned.
func TestSplitterRejectsEndlessEvent(t *testing.T) {
	is := is.New(t)
	var s Splitter
	is.NoErr(s.Write([]byte("id: 1\ndata: a\n\n")))
	event := bytes.Repeat([]byte("x"), MaxEventBytes)
	is.NoErr(s.Write(event))
	is.Equal(s.Write([]byte("x")), ErrEventTooLarge)
	events, id := s.Complete()
	is.Equal(string(events), "id: 1\ndata: a\n\n")
	is.Equal(id, "1")
}

// Many events may be longer together than one may be.
func TestSplitterAcceptsManyEvents(t *testing.T) {
	is := is.New(t)
	var s Splitter
	is.NoErr(s.Write(bytes.Repeat([]byte("data: a\n\n"), MaxEventBytes)))
	events, _ := s.Complete()
	is.Equal(len(events), 9*MaxEventBytes)
	s.Discard()
	is.Equal(len(s.Incomplete()), 0)
}

// completeLen returns the total length of the complete events at the start of b,
// found from the definition of an event's end.
func completeLen(b []byte) int {
	end := 0
	for i := 0; i < len(b); i++ {
		for _, ending := range []string{"\n\n", "\n\r\n"} {
			if bytes.HasPrefix(b[i:], []byte(ending)) {
				end = i + len(ending)
				i = end - 1
				break
			}
		}
	}
	return end
}

// FuzzSplitter checks the events that are returned against completeLen, and that
// the size of the reads that a stream arrives in doesn't change them.
func FuzzSplitter(f *testing.F) {
	f.Add([]byte("id: 1\ndata: a\n\nid: 2\ndata: b\n\nid"), uint8(3))
	f.Add([]byte("\n\n\n\n"), uint8(1))
	f.Add([]byte("data: a\r\n\r\ndata: b\r\n\n\r\r\n\n\r\ndata"), uint8(0))
	f.Fuzz(func(t *testing.T, stream []byte, step uint8) {
		var single Splitter
		_ = single.Write(stream) // its complete events are returned in any case
		want, _ := single.Complete()
		if len(want) != completeLen(stream) {
			t.Fatalf("got %q of %q", want, stream)
		}
		var chunked Splitter
		var got []byte
		size := int(step%7) + 1
		for i := 0; i < len(stream); i += size {
			_ = chunked.Write(stream[i:min(i+size, len(stream))])
			events, _ := chunked.Complete()
			got = append(got, events...)
			if len(events) > 0 {
				chunked.Discard()
			}
		}
		if string(got) != string(want) {
			t.Fatalf("got %q, want %q", got, want)
		}
	})
}

// BenchmarkSplitterLongEvent splits an event of 128 KiB that arrives in reads of
// 512 bytes.
func BenchmarkSplitterLongEvent(b *testing.B) {
	line := bytes.Repeat([]byte("x"), 511)
	line = append(line, '\n')
	for b.Loop() {
		var s Splitter
		for range 256 {
			_ = s.Write(line)
			s.Complete()
		}
		_ = s.Write([]byte("\n"))
		if events, _ := s.Complete(); len(events) != 256*512+1 {
			b.Fatal("event not found")
		}
	}
}

// Guards against a stream that keeps, until its end, the memory that one large event took.
func TestSplitter_ReturnsMemoryOfLargeEvent(t *testing.T) {
	is := is.New(t)
	var s Splitter
	is.NoErr(s.Write([]byte("data: " + strings.Repeat("x", MaxEventBytes-10))))
	is.NoErr(s.Write([]byte("\n\nid: 7\ndata")))
	events, _ := s.Complete()
	is.True(len(events) > MaxEventBytes-10)
	s.Discard()
	is.True(s.Size() <= maxKeptBytes)
	is.NoErr(s.Write([]byte(": y\n\n")))
	events, lastID := s.Complete()
	is.Equal(string(events), "id: 7\ndata: y\n\n")
	is.Equal(lastID, "7")
}
