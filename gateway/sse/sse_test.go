package sse

import (
	"testing"

	"github.com/matryer/is"
)

func TestSplitterReturnsOnlyCompleteEvents(t *testing.T) {
	is := is.New(t)
	var s Splitter
	s.Write([]byte("id: 1\ndata: a\n\nid: 2\nda"))
	events, id := s.Complete()
	is.Equal(string(events), "id: 1\ndata: a\n\n")
	is.Equal(id, "1")
	s.Discard()
	events, _ = s.Complete()
	is.Equal(len(events), 0)
	is.Equal(string(s.Incomplete()), "id: 2\nda")
	s.Write([]byte("ta: b\n\n"))
	events, id = s.Complete()
	is.Equal(string(events), "id: 2\ndata: b\n\n")
	is.Equal(id, "2")
	s.Discard()
	is.Equal(len(s.Incomplete()), 0)
}

func TestSplitterAcceptsLFAndCRLF(t *testing.T) {
	is := is.New(t)
	var s Splitter
	s.Write([]byte("id: 7\r\ndata: a\r\n\r\nid"))
	events, id := s.Complete()
	is.Equal(string(events), "id: 7\r\ndata: a\r\n\r\n")
	is.Equal(id, "7")
}

// FuzzSplitter checks that the size of the reads that a stream arrives in doesn't
// change the events that are returned.
func FuzzSplitter(f *testing.F) {
	f.Add([]byte("id: 1\ndata: a\n\nid: 2\ndata: b\n\nid"), uint8(3))
	f.Add([]byte("\n\n\n\n"), uint8(1))
	f.Fuzz(func(t *testing.T, stream []byte, step uint8) {
		var single Splitter
		single.Write(stream)
		want, _ := single.Complete()
		var chunked Splitter
		var got []byte
		size := int(step%7) + 1
		for i := 0; i < len(stream); i += size {
			chunked.Write(stream[i:min(i+size, len(stream))])
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
