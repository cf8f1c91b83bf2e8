package warm

import (
	"slices"
	"sync"

	"cassialatch.dev/wire/peerpb"
)

// changeKind tells what became of a prefix, or of all prefixes of a backend
// server.
type changeKind int

const (
	changeStored changeKind = iota
	changeEvicted
	changeGap
	changeForget
)

// change is one entry of a Log.
type change struct {
	kind    changeKind
	prefix  uint64
	backend string
}

// Log passes cache events to an Index and keeps the newest ones for peers. It
// is safe for concurrent use.
type Log struct {
	index *Index

	mu   sync.Mutex
	ring []change
	next uint64 // number of changes so far
}

// NewLog returns a Log that keeps the newest changes, as many as size.
func NewLog(index *Index, size int) *Log {
	return &Log{index: index, ring: make([]change, size)}
}

// Stored notes that a backend server holds a prefix.
func (l *Log) Stored(prefix uint64, backend string) {
	l.index.Stored(prefix, backend)
	l.add(change{changeStored, prefix, backend})
}

// Evicted notes that a backend server no longer holds a prefix.
func (l *Log) Evicted(prefix uint64, backend string) {
	l.index.Evicted(prefix, backend)
	l.add(change{changeEvicted, prefix, backend})
}

// Gap notes that events of a backend server were missed.
func (l *Log) Gap(backend string) {
	l.index.Gap(backend)
	l.add(change{changeGap, 0, backend})
}

// Forget notes that the engine of a backend server has restarted.
func (l *Log) Forget(backend string) {
	l.index.Forget(backend)
	l.add(change{changeForget, 0, backend})
}

// add keeps a change in place of the oldest one.
func (l *Log) add(c change) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.ring[l.next%uint64(len(l.ring))] = c
	l.next++
}

// Since returns the changes from a position on, the newest ones if there are
// more than limit, and the position after them. Changes left out make a gap of
// each backend server named.
func (l *Log) Since(position uint64, limit int) (changes []*peerpb.CacheChanges, next uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	size := uint64(min(limit, len(l.ring)))
	first, skipped := position, false
	if l.next-position > size {
		first, skipped = l.next-size, true
	}
	b := newBatch(skipped)
	for i := first; i < l.next; i++ {
		b.add(l.ring[i%uint64(len(l.ring))])
	}
	return b.changes, l.next
}

// Apply takes changes that a peer told of.
func (x *Index) Apply(all []*peerpb.CacheChanges) {
	for _, changes := range all {
		if changes.Forget {
			x.Forget(changes.Backend)
		}
		if changes.Gap {
			x.Gap(changes.Backend)
		}
		for _, prefix := range changes.Evicted {
			x.Evicted(prefix, changes.Backend)
		}
		for _, prefix := range changes.Stored {
			x.Stored(prefix, changes.Backend)
		}
	}
}

// batch groups changes by backend server.
type batch struct {
	skipped bool
	byName  map[string]*peerpb.CacheChanges
	changes []*peerpb.CacheChanges
}

// newBatch returns an empty batch.
func newBatch(skipped bool) *batch {
	return &batch{skipped: skipped, byName: make(map[string]*peerpb.CacheChanges)}
}

// add adds the next change. The last one of a prefix counts.
func (b *batch) add(c change) {
	m := b.byName[c.backend]
	if m == nil {
		m = &peerpb.CacheChanges{Backend: c.backend, Gap: b.skipped}
		b.byName[c.backend] = m
		b.changes = append(b.changes, m)
	}
	switch c.kind {
	case changeForget:
		m.Forget, m.Gap, m.Evicted, m.Stored = true, false, nil, nil
	case changeGap:
		m.Gap = true
	case changeEvicted:
		m.Stored = without(m.Stored, c.prefix)
		m.Evicted = append(m.Evicted, c.prefix)
	case changeStored:
		m.Evicted = without(m.Evicted, c.prefix)
		m.Stored = append(without(m.Stored, c.prefix), c.prefix)
	}
}

// without removes a prefix.
func without(prefixes []uint64, prefix uint64) []uint64 {
	return slices.DeleteFunc(prefixes, func(p uint64) bool { return p == prefix })
}
