// Package loadtable keeps what homes say about the load of backend servers.
// An entry is replaced only by a newer one of the same home incarnation, and
// forgotten when it gets old.
package loadtable

import (
	"sync"
	"time"

	"cassialatch.dev/wire/peerpb"
)

// account names one home incarnation.
type account struct {
	home        string
	incarnation uint64
}

// Report is the latest account by one home.
type Report struct {
	Load       *peerpb.BackendLoad
	MeasuredAt time.Time // when the home counted, by this daemon's clock
}

// Table holds the latest account of each home. It is safe for concurrent use.
type Table struct {
	keep time.Duration
	now  func() time.Time

	mu      sync.Mutex
	entries map[string]map[account]Report // by backend server
	joined  map[string]joined             // summaries that hold still
}

// joined is a summary and the time at which its oldest account is forgotten.
type joined struct {
	Summary
	until time.Time
}

// New returns a Table that keeps entries for the given time.
func New(keep time.Duration, now func() time.Time) *Table {
	return &Table{keep: keep, now: now, entries: make(map[string]map[account]Report), joined: make(map[string]joined)}
}

// Merge takes accounts that were heard.
func (t *Table) Merge(loads []*peerpb.BackendLoad) {
	now := t.now()
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, load := range loads {
		t.mergeLocked(load, now)
	}
}

// mergeLocked takes one account when it is newer. The caller holds t.mu.
func (t *Table) mergeLocked(load *peerpb.BackendLoad, now time.Time) {
	age := time.Duration(load.AgeMs) * time.Millisecond
	if age > t.keep {
		return
	}
	by := account{load.Home, load.Incarnation}
	of := t.entries[load.Backend]
	if of == nil {
		of = make(map[account]Report)
		t.entries[load.Backend] = of
	}
	if old, ok := of[by]; ok && old.Load.Seq >= load.Seq {
		return
	}
	of[by] = Report{Load: load, MeasuredAt: now.Add(-age)}
	delete(t.joined, load.Backend)
}

// Reports returns all accounts of one backend server that are not too old.
func (t *Table) Reports(backend string) []Report {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.freshLocked(backend, t.now())
}

// freshLocked returns the accounts of one backend server and forgets those
// that are too old. The caller holds t.mu.
func (t *Table) freshLocked(backend string, now time.Time) []Report {
	of := t.entries[backend]
	fresh := make([]Report, 0, len(of))
	for by, e := range of {
		if now.Sub(e.MeasuredAt) >= t.keep {
			delete(of, by)
			continue
		}
		fresh = append(fresh, e)
	}
	if len(of) == 0 {
		delete(t.entries, backend)
	}
	return fresh
}

// AllReports returns the accounts of all backend servers that are not too old.
func (t *Table) AllReports() []Report {
	now := t.now()
	t.mu.Lock()
	defer t.mu.Unlock()
	var all []Report
	for backend := range t.entries {
		all = append(all, t.freshLocked(backend, now)...)
	}
	return all
}

// Summary joins the accounts of one backend server.
type Summary struct {
	Known      bool
	InFlight   int    // over all homes
	Queued     int    // over all homes
	Limit      int    // of the newest account
	Home       string // of the newest account
	Weight     float64
	Leaving    bool // said by any home
	MeasuredAt time.Time
}

// FullWeight is the weight of a backend server that is not slow, in permille.
const FullWeight = 1000

// Summaries returns the joined accounts by backend server.
func (t *Table) Summaries() map[string]Summary {
	now := t.now()
	t.mu.Lock()
	defer t.mu.Unlock()
	sums := make(map[string]Summary, len(t.entries))
	for backend := range t.entries {
		if sum := t.summaryLocked(backend, now); sum.Known {
			sums[backend] = sum
		}
	}
	return sums
}

// View calls visit with a function that returns the summary of one backend
// server. It is for callers that need many of them at once; visit must not use
// the table otherwise.
func (t *Table) View(visit func(summary func(backend string) Summary)) {
	now := t.now()
	t.mu.Lock()
	defer t.mu.Unlock()
	visit(func(backend string) Summary { return t.summaryLocked(backend, now) })
}

// summaryLocked returns the joined accounts of one backend server, and keeps
// them until one is replaced or gets too old. The caller holds t.mu.
func (t *Table) summaryLocked(backend string, now time.Time) Summary {
	if kept, ok := t.joined[backend]; ok && now.Before(kept.until) {
		return kept.Summary
	}
	fresh := t.freshLocked(backend, now)
	if len(fresh) == 0 {
		delete(t.joined, backend)
		return Summary{}
	}
	kept := joined{until: fresh[0].MeasuredAt.Add(t.keep)}
	for _, e := range fresh {
		kept.Summary = kept.add(e)
		if until := e.MeasuredAt.Add(t.keep); until.Before(kept.until) {
			kept.until = until
		}
	}
	t.joined[backend] = kept
	return kept.Summary
}

// add joins one account to the summary.
func (s Summary) add(e Report) Summary {
	s.InFlight += int(e.Load.InFlight)
	s.Queued += int(e.Load.Queued)
	s.Leaving = s.Leaving || e.Load.Leaving
	if !s.Known || e.MeasuredAt.After(s.MeasuredAt) {
		s.Known = true
		s.MeasuredAt = e.MeasuredAt
		s.Limit = int(e.Load.Limit)
		s.Home = e.Load.Home
		s.Weight = float64(e.Load.WeightPermille) / FullWeight
	}
	return s
}
