package prefixindex

import (
	"testing"

	"cassialatch.dev/wire/engineapi"
	"github.com/matryer/is"
	"pgregory.net/rapid"
)

func TestIndex_LookupReturnsLongestCachedPrefix(t *testing.T) {
	is := is.New(t)
	x := New(100)
	messages := []engineapi.Message{{Role: "system", Content: "s"}, {Role: "user", Content: "a"}, {Role: "user", Content: "b"}}
	prefixes := Prefixes("m", messages)
	x.Add(prefixes[0], "r1")
	x.Add(prefixes[1], "r2")
	name, depth := x.Lookup(prefixes)
	is.Equal(name, "r2")
	is.Equal(depth, 2)
	x.Remove(prefixes[1], "r2")
	name, depth = x.Lookup(prefixes)
	is.Equal(name, "r1")
	is.Equal(depth, 1)
	x.RemoveBackend("r1")
	_, depth = x.Lookup(prefixes)
	is.Equal(depth, 0)
}

// After one gap a holder ranks behind others. After a second gap it is ignored until
// the prefix is added again.
func TestIndex_GapsDemoteThenDropHolder(t *testing.T) {
	is := is.New(t)
	x := New(100)
	x.Add(1, "sure")
	x.Add(1, "doubtful") // the most recent holder
	name, _ := x.Lookup([]uint64{1})
	is.Equal(name, "doubtful")
	x.RecordGap("doubtful")
	name, _ = x.Lookup([]uint64{1})
	is.Equal(name, "sure")
	x.Remove(1, "sure")
	name, _ = x.Lookup([]uint64{1})
	is.Equal(name, "doubtful")
	x.RecordGap("doubtful")
	_, depth := x.Lookup([]uint64{1})
	is.Equal(depth, 0)
	x.Add(1, "doubtful")
	_, depth = x.Lookup([]uint64{1})
	is.Equal(depth, 1)
}

// Compares the index with a set of prefix and backend server pairs under random events
// without gaps: each lookup result must be in the set.
func TestIndex_MatchesModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		x := New(8)
		type pair struct {
			prefix  uint64
			backend string
		}
		held := map[pair]bool{}
		for range rapid.IntRange(1, 100).Draw(t, "events") {
			p := pair{rapid.Uint64Range(1, 12).Draw(t, "prefix"), rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "backend")}
			switch rapid.IntRange(0, 4).Draw(t, "kind") {
			case 0:
				x.Remove(p.prefix, p.backend)
				delete(held, p)
			case 1:
				x.RemoveBackend(p.backend)
				for q := range held {
					if q.backend == p.backend {
						delete(held, q)
					}
				}
			default:
				x.Add(p.prefix, p.backend)
				held[p] = true
			}
			if name, depth := x.Lookup([]uint64{p.prefix}); depth > 0 && !held[pair{p.prefix, name}] {
				t.Fatalf("Lookup returned %s, which does not hold prefix %d", name, p.prefix)
			}
			if x.Len() > 8 {
				t.Fatalf("index has %d entries, want at most 8", x.Len())
			}
		}
	})
}

func BenchmarkLookup(b *testing.B) {
	x := New(DefaultMaxEntries)
	for prefix := range uint64(DefaultMaxEntries) {
		x.Add(prefix, "runner")
	}
	prefixes := []uint64{5, 1 << 40, 1 << 41, 1 << 42}
	b.ReportAllocs()
	for b.Loop() {
		x.Lookup(prefixes)
	}
}

func BenchmarkAdd(b *testing.B) {
	x := New(DefaultMaxEntries)
	b.ReportAllocs()
	for prefix := uint64(0); b.Loop(); prefix++ {
		x.Add(prefix, "runner")
	}
}
