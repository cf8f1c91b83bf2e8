package cachescan

import (
	"testing"

	"github.com/matryer/is"

	"cassialatch.dev/gateway/call"
)

// Load pattern: after a restart one daemon lists hundreds of servers at once, of which some
// list without end. Guards against holding all parts of all listings before the largest are
// chosen.
func TestLargest_HoldsTwiceWhatItKeeps(t *testing.T) {
	is := is.New(t)
	const most, added = 15, 10_000
	l := largest{most: most}
	for n := range added {
		l.add(call.Part{ID: uint64(n), Tokens: n * 7919 % added})
		is.True(len(l.parts) <= 2*most)
	}
	is.True(cap(l.parts) <= 4*most)
	is.Equal(l.added, added)
	kept := l.list()
	is.Equal(len(kept), most)
	for i, p := range kept {
		is.Equal(p.Tokens, added-1-i)
	}
}
