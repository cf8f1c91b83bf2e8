// Package quarantine remembers requests that were in flight when a backend
// server crashed. A request is known by a fingerprint of its content, so that
// its caller cannot bring it back under another id.
package quarantine

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"cassialatch.dev/fleet/prompthash"
	"cassialatch.dev/wire/engineapi"
	"cassialatch.dev/wire/peerpb"
	"github.com/hashicorp/golang-lru/v2/simplelru"
)

// Fingerprint identifies a request by its content. It is never zero, which
// stands for a request without a fingerprint.
func Fingerprint(model string, messages []engineapi.Message) uint64 {
	return max(1, prompthash.Sum(model, messages))
}

// Verdict tells how a request may run.
type Verdict string

// Verdicts.
const (
	Clear   Verdict = "clear"
	Suspect Verdict = "suspect" // must run alone
	Refused Verdict = "refused"
)

// Defaults of Options.
const (
	DefaultThreshold  = 2
	DefaultTTL        = 10 * time.Minute
	DefaultMaxEntries = 4096
)

// slackDivisor sets the slack, a quarter of the time to live. An entry from a
// peer that would end less than the slack after ours is taken for an echo of
// the same crash, delayed on its way; one that ends later tells of a new
// crash. Entries are kept for the slack after their end, when the last echo of
// them has ended too.
const slackDivisor = 4

// Options sets up a table; zero values take the defaults.
type Options struct {
	Threshold  int           // crashes after which a request is refused
	TTL        time.Duration // since the last crash
	MaxEntries int           // the least recently used entry makes room
}

// Table holds the suspect and the refused requests. It is safe for concurrent
// use.
type Table struct {
	opts Options
	now  func() time.Time

	mu      sync.Mutex
	entries *simplelru.LRU[uint64, *entry]
	cursor  int // where Export continues among the older entries
}

type entry struct {
	fingerprint uint64
	crashes     int
	expires     time.Time
	cleared     bool // ran to its end since; kept so that echoes are known
}

// New returns an empty table; a nil clock takes time.Now.
func New(o Options, now func() time.Time) *Table {
	if o.Threshold <= 0 {
		o.Threshold = DefaultThreshold
	}
	if o.TTL <= 0 {
		o.TTL = DefaultTTL
	}
	if o.MaxEntries <= 0 {
		o.MaxEntries = DefaultMaxEntries
	}
	if now == nil {
		now = time.Now
	}
	entries, err := simplelru.NewLRU[uint64, *entry](o.MaxEntries, nil)
	if err != nil {
		panic(err) // only for a size below 1, which is ruled out above
	}
	return &Table{opts: o, now: now, entries: entries}
}

// Check tells how a request may run.
func (t *Table) Check(fp uint64) Verdict {
	now := t.now()
	t.mu.Lock()
	defer t.mu.Unlock()
	e, ok := t.entries.Get(fp)
	switch {
	case !ok || !e.active(now):
		return Clear
	case e.crashes >= t.opts.Threshold:
		return Refused
	default:
		return Suspect
	}
}

// RecordCrash notes that a backend server crashed with the request in flight.
func (t *Table) RecordCrash(fp uint64) {
	if fp == 0 {
		return
	}
	now := t.now()
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.find(fp, now)
	if e.cleared {
		e.crashes, e.cleared = 0, false
	}
	e.crashes++
	e.expires = now.Add(t.opts.TTL)
}

// RecordCompleted notes that the request ran to its end. A suspect is cleared; one
// that is refused stays so, since it has crashed several backend servers.
func (t *Table) RecordCompleted(fp uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if e, ok := t.entries.Peek(fp); ok && e.crashes < t.opts.Threshold {
		e.cleared = true
	}
}

// Export returns at most limit entries for the peers: half of them the newest,
// the others in turn.
func (t *Table) Export(limit int) []*peerpb.Quarantined {
	now := t.now()
	t.mu.Lock()
	defer t.mu.Unlock()
	active := t.activeEntries(now)
	slices.SortFunc(active, func(a, b *entry) int {
		return cmp.Or(b.expires.Compare(a.expires), cmp.Compare(a.fingerprint, b.fingerprint))
	})
	if limit < len(active) {
		active = t.rotate(active, limit)
	}
	exported := make([]*peerpb.Quarantined, len(active))
	for i, e := range active {
		exported[i] = e.export(now)
	}
	return exported
}

// rotate keeps the newest and some of the older entries. t.mu is held.
func (t *Table) rotate(newestFirst []*entry, limit int) []*entry {
	newest, older := newestFirst[:limit/2], newestFirst[limit/2:]
	kept := slices.Clone(newest)
	for range limit - len(newest) {
		t.cursor = (t.cursor + 1) % len(older)
		kept = append(kept, older[t.cursor])
	}
	return kept
}

// Import merges the entries of a peer: the higher number of crashes wins. It
// extends the life of an entry only for a crash that the table did not know.
func (t *Table) Import(entries []*peerpb.Quarantined) {
	now := t.now()
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, q := range entries {
		if q.GetFingerprint() != 0 && q.GetCrashes() > 0 && q.GetTtlMs() > 0 {
			t.merge(q, now)
		}
	}
}

// merge takes over one entry of a peer. t.mu is held.
func (t *Table) merge(q *peerpb.Quarantined, now time.Time) {
	left := min(time.Duration(q.GetTtlMs())*time.Millisecond, t.opts.TTL)
	expires, crashes := now.Add(left), int(q.GetCrashes())
	e := t.find(q.GetFingerprint(), now)
	if crashes <= e.crashes && !expires.After(e.expires.Add(t.slack())) {
		return // an echo
	}
	if e.cleared {
		e.crashes, e.cleared = 0, false
	}
	e.crashes = max(e.crashes, crashes)
	if expires.After(e.expires) {
		e.expires = expires
	}
}

// find returns the entry of a fingerprint, a new one if need be. t.mu is held.
func (t *Table) find(fp uint64, now time.Time) *entry {
	if e, ok := t.entries.Peek(fp); ok && now.Before(e.expires.Add(t.slack())) {
		return e
	}
	e := &entry{fingerprint: fp}
	t.entries.Add(fp, e)
	return e
}

// activeEntries also drops those whose echoes have ended. t.mu is held.
func (t *Table) activeEntries(now time.Time) []*entry {
	var active []*entry
	for _, e := range t.entries.Values() {
		if !now.Before(e.expires.Add(t.slack())) {
			t.entries.Remove(e.fingerprint)
		} else if e.active(now) {
			active = append(active, e)
		}
	}
	return active
}

func (t *Table) slack() time.Duration { return t.opts.TTL / slackDivisor }

func (e *entry) active(now time.Time) bool { return !e.cleared && now.Before(e.expires) }

// export rounds the time to live down, never up.
func (e *entry) export(now time.Time) *peerpb.Quarantined {
	return &peerpb.Quarantined{
		Fingerprint: e.fingerprint,
		Crashes:     uint32(e.crashes),
		TtlMs:       uint32(e.expires.Sub(now) / time.Millisecond),
	}
}
