// Package warm is a bounded index from prompt prefixes to the backend servers
// that hold them in their cache. It is fed by the daemon's own routing and by
// the engines' cache events, which come late and with gaps, so what it answers
// is a hint: a wrong one costs the computation of a prefix, never an answer.
package warm

import (
	"sync"

	"cassialatch.dev/fleet/prompthash"
	"cassialatch.dev/wire/engineapi"
	"github.com/hashicorp/golang-lru/v2/simplelru"
)

// DefaultMaxEntries bounds an index that New was given no bound for.
const DefaultMaxEntries = 1 << 16

// holdersPerPrefix is the number of backend servers kept for a prefix, the
// latest ones.
const holdersPerPrefix = 3

// Prefixes returns the hashes of the prefixes of a prompt that end with a
// message, shortest first. The model is no part of them, as in the engines'
// cache events: the backend servers that hold a prefix tell the model.
func Prefixes(_ string, messages []engineapi.Message) []uint64 {
	return prompthash.Prefixes(messages)
}

// Index is the bounded index; the least recently used prefix makes room. It is
// safe for concurrent use.
type Index struct {
	mu       sync.Mutex
	prefixes *simplelru.LRU[uint64, *holders]
	backends map[string]*backend
}

// backend is shared by all holders that name a backend server, so that Forget
// and Gap need not visit them.
type backend struct {
	name      string
	gaps      int
	forgotten bool
}

// holder is one backend server that holds a prefix.
type holder struct {
	backend *backend
	gaps    int // of the backend server when it was stored
}

// holders are ordered latest first; unused places are zero.
type holders [holdersPerPrefix]holder

// staleGaps is the number of gaps after which a holder no longer counts. The
// first gap only ranks it behind the others: few of its prefixes are evicted
// in the time of one gap.
const staleGaps = 2

// New returns an empty index.
func New(maxEntries int) *Index {
	if maxEntries <= 0 {
		maxEntries = DefaultMaxEntries
	}
	prefixes, err := simplelru.NewLRU[uint64, *holders](maxEntries, nil)
	if err != nil {
		panic(err) // only for a size below 1, which is ruled out above
	}
	return &Index{prefixes: prefixes, backends: make(map[string]*backend)}
}

// Add notes that a backend server holds a prefix.
func (x *Index) Add(prefix uint64, backendName string) {
	x.mu.Lock()
	defer x.mu.Unlock()
	b := x.backends[backendName]
	if b == nil {
		b = &backend{name: backendName}
		x.backends[backendName] = b
	}
	h, ok := x.prefixes.Get(prefix)
	if !ok {
		h = &holders{}
		x.prefixes.Add(prefix, h)
	}
	h.remove(backendName)
	copy(h[1:], h[:])
	h[0] = holder{b, b.gaps}
}

// Remove notes that a backend server no longer holds a prefix.
func (x *Index) Remove(prefix uint64, backendName string) {
	x.mu.Lock()
	defer x.mu.Unlock()
	h, ok := x.prefixes.Peek(prefix)
	if !ok {
		return
	}
	h.remove(backendName)
	if h[0].backend == nil {
		x.prefixes.Remove(prefix)
	}
}

// Lookup returns a backend server that holds the longest of the prefixes, which
// are ordered shortest first, and the number of messages that it holds. The
// depth is zero when none is known.
func (x *Index) Lookup(prefixes []uint64) (backendName string, depth int) {
	x.mu.Lock()
	defer x.mu.Unlock()
	for depth := len(prefixes); depth > 0; depth-- {
		h, ok := x.prefixes.Peek(prefixes[depth-1])
		if !ok {
			continue
		}
		if b := h.best(); b != nil {
			x.prefixes.Get(prefixes[depth-1]) // marks it as used
			return b.name, depth
		}
		x.prefixes.Remove(prefixes[depth-1])
	}
	return "", 0
}

// RemoveBackend drops all that is known of a backend server, as when its engine has
// restarted or left.
func (x *Index) RemoveBackend(backendName string) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if b := x.backends[backendName]; b != nil {
		b.forgotten = true
		delete(x.backends, backendName)
	}
}

// RecordGap notes that cache events of a backend server were missed, evictions among
// them. What was stored before counts less, and no more after a second gap.
func (x *Index) RecordGap(backendName string) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if b := x.backends[backendName]; b != nil {
		b.gaps++
	}
}

// Len is the number of prefixes in the index.
func (x *Index) Len() int {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.prefixes.Len()
}

func (h *holders) remove(backendName string) {
	kept := 0
	for _, old := range h {
		if old.backend != nil && old.backend.name != backendName {
			h[kept] = old
			kept++
		}
	}
	clear(h[kept:])
}

// best returns the holder with the fewest gaps since it was stored, the latest
// of equal ones, and nil when none counts.
func (h *holders) best() *backend {
	var best *backend
	fewest := staleGaps
	for _, holder := range h {
		if holder.backend == nil || holder.backend.forgotten {
			continue
		}
		if gaps := holder.backend.gaps - holder.gaps; gaps < fewest {
			best, fewest = holder.backend, gaps
		}
	}
	return best
}
