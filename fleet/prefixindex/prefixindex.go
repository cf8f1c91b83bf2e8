// Package prefixindex provides a bounded index from prompt prefixes to the backend
// servers that have them in their cache.
//
// The index can be updated from the requests that the daemon routes and from the cache
// events of the engines. Events arrive late and some are lost, so lookups are only
// hints. A wrong hint costs the computation of a prefix but does not affect the
// response.
package prefixindex

import (
	"sync"

	"cassialatch.dev/fleet/prompthash"
	"cassialatch.dev/wire/engineapi"
	"github.com/hashicorp/golang-lru/v2/simplelru"
)

// DefaultMaxEntries is the maximum number of prefixes in an index if New gets no
// positive bound.
const DefaultMaxEntries = 1 << 16

// maxHolders is the number of backend servers stored for each prefix. Only the most
// recent ones are kept.
const maxHolders = 3

// Prefixes returns the hashes of the prefixes of a prompt that end at a message
// boundary, shortest first. As in the cache events of the engines, the hashes do not
// include the model: it follows from the backend servers that hold a prefix.
func Prefixes(_ string, messages []engineapi.Message) []uint64 {
	return prompthash.Prefixes(messages)
}

// Index is a bounded index that evicts the least recently used prefix. It is safe for
// concurrent use.
type Index struct {
	mu       sync.Mutex
	prefixes *simplelru.LRU[uint64, *holders]
	backends map[string]*backend
}

// backend is shared by all holders that refer to a backend server, so that
// RemoveBackend and RecordGap need not visit all prefixes.
type backend struct {
	name    string
	gaps    int  // number of gaps in its cache events
	removed bool // by RemoveBackend
}

// holder is a backend server that has a prefix in its cache.
type holder struct {
	backend *backend
	gaps    int // value of backend.gaps when the prefix was added
}

// holders are ordered with the most recent first. Unused elements are zero.
type holders [maxHolders]holder

// staleGaps is the number of gaps after which a holder is ignored. The first gap
// only ranks it behind other holders, since few of its prefixes are evicted during
// one gap.
const staleGaps = 2

// New returns an empty index for up to maxEntries prefixes. If maxEntries is not
// positive, DefaultMaxEntries is used.
func New(maxEntries int) *Index {
	if maxEntries <= 0 {
		maxEntries = DefaultMaxEntries
	}
	prefixes, err := simplelru.NewLRU[uint64, *holders](maxEntries, nil)
	if err != nil {
		panic(err) // only returned for a size below 1, which is excluded above
	}
	return &Index{prefixes: prefixes, backends: make(map[string]*backend)}
}

// Add records that a backend server has cached a prefix.
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

// Remove records that a backend server has evicted a prefix.
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

// Lookup returns a backend server that holds the longest cached prefix, and the
// number of messages in that prefix. The prefixes must be ordered shortest first. If
// none of them is cached, the depth is zero.
func (x *Index) Lookup(prefixes []uint64) (backendName string, depth int) {
	x.mu.Lock()
	defer x.mu.Unlock()
	for depth := len(prefixes); depth > 0; depth-- {
		h, ok := x.prefixes.Peek(prefixes[depth-1])
		if !ok {
			continue
		}
		if b := h.best(); b != nil {
			x.prefixes.Get(prefixes[depth-1]) // marks the prefix as recently used
			return b.name, depth
		}
		x.prefixes.Remove(prefixes[depth-1])
	}
	return "", 0
}

// RemoveBackend removes a backend server from all prefixes. It is for backend servers
// that have restarted or been removed.
func (x *Index) RemoveBackend(backendName string) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if b := x.backends[backendName]; b != nil {
		b.removed = true
		delete(x.backends, backendName)
	}
}

// RecordGap records that cache events of a backend server, possibly evictions, were
// lost. Prefixes added before rank behind those of other backend servers, and are
// ignored after a second gap.
func (x *Index) RecordGap(backendName string) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if b := x.backends[backendName]; b != nil {
		b.gaps++
	}
}

// Len returns the number of prefixes in the index.
func (x *Index) Len() int {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.prefixes.Len()
}

// remove removes a backend server from the holders.
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

// best returns the holder with the fewest gaps since the prefix was added, or the most
// recent of several such holders. It returns nil if there is no valid holder.
func (h *holders) best() *backend {
	var best *backend
	fewest := staleGaps
	for _, holder := range h {
		if holder.backend == nil || holder.backend.removed {
			continue
		}
		if gaps := holder.backend.gaps - holder.gaps; gaps < fewest {
			best, fewest = holder.backend, gaps
		}
	}
	return best
}
