// Package quarantine finds requests that crash the backend servers that run
// them, so that they can be refused. A request is identified by a fingerprint
// of its content, so that a caller can't resend it under another ID. Daemons
// send their counts to each other.
package quarantine

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// threshold is the number of crashes, counted by all daemons, from which
	// a request is refused.
	threshold = 3
	// countTTL is how long the counts of a request are stored after their last
	// change.
	countTTL      = time.Minute
	maxEntries    = 2048 // requests in a table
	maxAdvertised = 16   // counts in each message to a peer
)

// Fingerprint returns a hash of a request's host, path, API key and body.
func Fingerprint(host, path, key string, body []byte) uint64 {
	h := xxhash.New()
	for _, s := range []string{host, path, key} {
		// Writing to a hash never returns an error.
		_, _ = h.WriteString(s)
		_, _ = h.Write([]byte{0})
	}
	_, _ = h.Write(body)
	return h.Sum64()
}

// Count is how often a request was running when the connection to its server
// broke.
type Count struct {
	_           struct{} `cbor:",toarray"`
	Fingerprint uint64
	Crashes     int
}

// Table counts crashes by the fingerprint of the request. It is safe for
// concurrent use.
type Table struct {
	now func() time.Time

	mu      sync.Mutex
	entries map[uint64]*entry
}

type entry struct {
	own    int            // crashes counted by this daemon
	peers  map[string]int // crashes counted by each peer
	latest time.Time      // last change of a count
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

// ShouldRefuse reports whether a request must not run again.
func (t *Table) ShouldRefuse(fp uint64) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	e, ok := t.entries[fp]
	return ok && t.now().Sub(e.latest) < countTTL && e.total() >= threshold
}

// RecordCrash counts a run of a request that ended when the connection to its
// server broke.
func (t *Table) RecordCrash(fp uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.find(fp)
	e.own++
	e.latest = t.now()
}

// RecordCompleted records that a request ran to its end. It clears the
// request's counts, unless the request is refused already.
func (t *Table) RecordCompleted(fp uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if e, ok := t.entries[fp]; ok && e.total() < threshold {
		delete(t.entries, fp)
	}
}

// Merge replaces a peer's counts of the given requests.
func (t *Table) Merge(peer string, counts []Count) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, c := range counts {
		e := t.find(c.Fingerprint)
		if e.peers[peer] == c.Crashes {
			continue
		}
		if e.peers == nil {
			e.peers = make(map[string]int)
		}
		e.peers[peer] = c.Crashes
		e.latest = t.now()
	}
}

// Own returns at most maxAdvertised of this daemon's counts that have not
// expired.
func (t *Table) Own() []Count {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expire()
	var counts []Count
	for fp, e := range t.entries {
		if e.own > 0 && len(counts) < maxAdvertised {
			counts = append(counts, Count{Fingerprint: fp, Crashes: e.own})
		}
	}
	return counts
}

// find returns the entry of a fingerprint, and adds it if there is none. t.mu
// is held.
func (t *Table) find(fp uint64) *entry {
	e, ok := t.entries[fp]
	if !ok {
		if len(t.entries) >= maxEntries {
			t.evict()
		}
		e = &entry{latest: t.now()}
		t.entries[fp] = e
	}
	return e
}

// evict makes room by removing the oldest of a few entries. Scanning all
// entries for each new one would cost too much CPU time during a mass crash.
// t.mu is held.
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

// expire removes entries that have not changed for countTTL. t.mu is held.
func (t *Table) expire() {
	now := t.now()
	for fp, e := range t.entries {
		if now.Sub(e.latest) >= countTTL {
			delete(t.entries, fp)
		}
	}
}
