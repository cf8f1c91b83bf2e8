// Package suspect finds requests that crash the backend servers that run them.
// A request is known by a fingerprint of its content, so that its caller can't
// bring it back under another id. Counts are told to peers.
package suspect

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// threshold is the number of broken runs from which a request is refused.
	threshold = 3
	ttl       = time.Minute
	maxKnown  = 2048
	maxTold   = 16
)

// Fingerprint identifies a request by its content.
func Fingerprint(host, path, key string, body []byte) uint64 {
	h := xxhash.New()
	for _, s := range []string{host, path, key} {
		// A hash never fails to take bytes.
		_, _ = h.WriteString(s)
		_, _ = h.Write([]byte{0})
	}
	_, _ = h.Write(body)
	return h.Sum64()
}

// Count is how often a request was running when its server broke off.
type Count struct {
	_           struct{} `cbor:",toarray"`
	Fingerprint uint64
	Broken      int
}

// Table is safe for concurrent use.
type Table struct {
	now func() time.Time

	mu      sync.Mutex
	entries map[uint64]*entry
}

type entry struct {
	own    int
	peers  map[string]int
	latest time.Time
}

func (e *entry) total() int {
	total := e.own
	for _, n := range e.peers {
		total += n
	}
	return total
}

// New returns an empty table.
func New(now func() time.Time) *Table {
	return &Table{now: now, entries: make(map[uint64]*entry)}
}

// ShouldRefuse tells whether a request must not run again.
func (t *Table) ShouldRefuse(fp uint64) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	e, ok := t.entries[fp]
	return ok && t.now().Sub(e.latest) < ttl && e.total() >= threshold
}

// RecordBroken counts a run that ended with its server's connection.
func (t *Table) RecordBroken(fp uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.find(fp)
	e.own++
	e.latest = t.now()
}

// RecordCompleted notes that the request ran to its end.
func (t *Table) RecordCompleted(fp uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if e, ok := t.entries[fp]; ok && e.total() < threshold {
		delete(t.entries, fp)
	}
}

// Merge takes over what a peer has counted.
func (t *Table) Merge(peer string, counts []Count) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, c := range counts {
		e := t.find(c.Fingerprint)
		if e.peers[peer] == c.Broken {
			continue
		}
		if e.peers == nil {
			e.peers = make(map[string]int)
		}
		e.peers[peer] = c.Broken
		e.latest = t.now()
	}
}

// Own returns what this daemon has counted of late.
func (t *Table) Own() []Count {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expire()
	var counts []Count
	for fp, e := range t.entries {
		if e.own > 0 && len(counts) < maxTold {
			counts = append(counts, Count{Fingerprint: fp, Broken: e.own})
		}
	}
	return counts
}

// find returns the entry of a fingerprint, a new one if need be. t.mu is held.
func (t *Table) find(fp uint64) *entry {
	e, ok := t.entries[fp]
	if !ok {
		if len(t.entries) >= maxKnown {
			t.evict()
		}
		e = &entry{latest: t.now()}
		t.entries[fp] = e
	}
	return e
}

// evict makes room for an entry. It takes the oldest of a few, since a look at
// all of them for each new one would be dear in a mass crash. t.mu is held.
func (t *Table) evict() {
	const sample = 8
	var oldest uint64
	var at time.Time
	seen := 0
	for fp, e := range t.entries {
		if seen == 0 || e.latest.Before(at) {
			oldest, at = fp, e.latest
		}
		if seen++; seen == sample {
			break
		}
	}
	delete(t.entries, oldest)
}

// expire forgets old entries. t.mu is held.
func (t *Table) expire() {
	now := t.now()
	for fp, e := range t.entries {
		if now.Sub(e.latest) >= ttl {
			delete(t.entries, fp)
		}
	}
}
