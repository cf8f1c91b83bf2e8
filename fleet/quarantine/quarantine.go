// Package quarantine tracks requests that were in flight when a backend server crashed.
//
// After its first crash a request is a suspect, which must run alone on a backend
// server. After Options.Threshold crashes it is refused until Options.TTL has passed
// since the last crash. Requests are identified by a fingerprint of their content, so a
// caller cannot avoid the quarantine by sending the same content under a new request
// ID. Daemons exchange their entries with Export and Merge.
//
// Table is safe for concurrent use.
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

// Fingerprint returns a hash of the content of a request. It is never zero; zero
// represents a request without a fingerprint.
func Fingerprint(model string, messages []engineapi.Message) uint64 {
	return max(1, prompthash.Sum(model, messages))
}

// Verdict states whether and how a request may run.
type Verdict string

// Values of Verdict.
const (
	Clear   Verdict = "clear"   // may run without restrictions
	Suspect Verdict = "suspect" // must run alone on its backend server
	Refused Verdict = "refused" // must not run
)

// Defaults for the fields of Options.
const (
	DefaultThreshold  = 2
	DefaultTTL        = 10 * time.Minute
	DefaultMaxEntries = 4096
)

// slackDivisor sets the slack to a quarter of the time to live. A peer sends the
// remaining time to live of an entry, so network delay makes a copy of an entry seem to
// expire later than the original. An imported entry that expires at most the slack
// after the local one and has no more crashes is treated as a delayed copy; one that
// expires later is treated as a new crash. Expired entries are kept for the slack, until
// all copies of them have expired too.
const slackDivisor = 4

// Options configures a Table. Zero values select the defaults.
type Options struct {
	Threshold  int           // number of crashes at which a request is refused
	TTL        time.Duration // lifetime of an entry, counted from its last crash
	MaxEntries int           // above it the least recently used entry is evicted
}

// Table holds the suspect and the refused requests. It is safe for concurrent use.
type Table struct {
	opts Options
	now  func() time.Time

	mu      sync.Mutex
	entries *simplelru.LRU[uint64, *entry]
	cursor  int // position in the older entries at which Export continues
}

// entry is the crash record of one fingerprint.
type entry struct {
	fingerprint uint64
	crashes     int
	expires     time.Time
	cleared     bool // completed since the crash; kept to recognize delayed copies
}

// New returns an empty Table. A nil clock selects time.Now.
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
		panic(err) // unreachable: NewLRU fails only for sizes below 1
	}
	return &Table{opts: o, now: now, entries: entries}
}

// Check returns the verdict on the request with the fingerprint fp.
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

// RecordCrash records that a backend server crashed while the request was in flight. It
// ignores a zero fingerprint.
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

// RecordCompleted records that the request completed. It clears a suspect. A refused
// request stays refused, because it has crashed several backend servers.
func (t *Table) RecordCompleted(fp uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if e, ok := t.entries.Peek(fp); ok && e.crashes < t.opts.Threshold {
		e.cleared = true
	}
}

// Export returns at most limit active entries to send to peers. If there are more, half
// of the result are the newest entries, and the other half rotates through the older
// ones on successive calls.
func (t *Table) Export(limit int) []*peerpb.Quarantined {
	now := t.now()
	t.mu.Lock()
	defer t.mu.Unlock()
	active := t.activeEntries(now)
	slices.SortFunc(active, func(a, b *entry) int {
		return cmp.Or(b.expires.Compare(a.expires), cmp.Compare(a.fingerprint, b.fingerprint))
	})
	if limit < len(active) {
		active = t.selectForExport(active, limit)
	}
	exported := make([]*peerpb.Quarantined, len(active))
	for i, e := range active {
		exported[i] = e.export(now)
	}
	return exported
}

// selectForExport returns the newest entries and the next ones of the older entries,
// limit in all. The caller holds t.mu.
func (t *Table) selectForExport(newestFirst []*entry, limit int) []*entry {
	newest, older := newestFirst[:limit/2], newestFirst[limit/2:]
	selected := slices.Clone(newest)
	for range limit - len(newest) {
		t.cursor = (t.cursor + 1) % len(older)
		selected = append(selected, older[t.cursor])
	}
	return selected
}

// Merge merges the entries of a peer. The higher number of crashes is kept. The expiry
// of an entry is extended only for a crash that the table has not recorded yet.
func (t *Table) Merge(entries []*peerpb.Quarantined) {
	now := t.now()
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, q := range entries {
		if q.GetFingerprint() != 0 && q.GetCrashes() > 0 && q.GetTtlMs() > 0 {
			t.mergeEntry(q, now)
		}
	}
}

// mergeEntry merges one entry of a peer. The caller holds t.mu.
func (t *Table) mergeEntry(q *peerpb.Quarantined, now time.Time) {
	left := min(time.Duration(q.GetTtlMs())*time.Millisecond, t.opts.TTL)
	expires, crashes := now.Add(left), int(q.GetCrashes())
	e := t.find(q.GetFingerprint(), now)
	if crashes <= e.crashes && !expires.After(e.expires.Add(t.slack())) {
		return // a copy of the entry already recorded
	}
	if e.cleared {
		e.crashes, e.cleared = 0, false
	}
	e.crashes = max(e.crashes, crashes)
	if expires.After(e.expires) {
		e.expires = expires
	}
}

// find returns the entry of a fingerprint. It adds an entry if there is none or its
// slack has passed. The caller holds t.mu.
func (t *Table) find(fp uint64, now time.Time) *entry {
	if e, ok := t.entries.Peek(fp); ok && now.Before(e.expires.Add(t.slack())) {
		return e
	}
	e := &entry{fingerprint: fp}
	t.entries.Add(fp, e)
	return e
}

// activeEntries returns the active entries and removes those whose slack has passed. The
// caller holds t.mu.
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

// slack returns the time for which expired entries are kept; see slackDivisor.
func (t *Table) slack() time.Duration { return t.opts.TTL / slackDivisor }

// active reports whether the entry affects verdicts.
func (e *entry) active(now time.Time) bool { return !e.cleared && now.Before(e.expires) }

// export returns the entry in its wire format. It rounds the remaining time to live
// down, so that rounding never extends the life of an entry.
func (e *entry) export(now time.Time) *peerpb.Quarantined {
	return &peerpb.Quarantined{
		Fingerprint: e.fingerprint,
		Crashes:     uint32(e.crashes),
		TtlMs:       uint32(e.expires.Sub(now) / time.Millisecond),
	}
}
