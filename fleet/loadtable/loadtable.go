// Package loadtable stores the load reports that homes send about backend servers. A
// home is the daemon that admits the work of a backend server; an incarnation is one
// run of that daemon.
//
// A report is replaced only by a newer one of the same home incarnation, and removed
// when it expires. Table is safe for concurrent use.
package loadtable

import (
	"sync"
	"time"

	"cassialatch.dev/wire/peerpb"
)

// reporter identifies one incarnation of a home.
type reporter struct {
	home        string
	incarnation uint64
}

// Report is the latest load report by one home incarnation.
type Report struct {
	Load       *peerpb.BackendLoad
	MeasuredAt time.Time // when the home measured the load, by the clock of this daemon
}

// Table holds the latest report of each home incarnation for each backend server. It is
// safe for concurrent use.
type Table struct {
	ttl time.Duration
	now func() time.Time

	mu        sync.Mutex
	reports   map[string]map[reporter]Report // by backend server
	summaries map[string]cachedSummary       // valid summaries, by backend server
}

// cachedSummary is a summary and the time at which the oldest of its reports expires.
type cachedSummary struct {
	Summary
	validUntil time.Time
}

// New returns a Table whose reports expire at the age ttl.
func New(ttl time.Duration, now func() time.Time) *Table {
	return &Table{ttl: ttl, now: now, reports: make(map[string]map[reporter]Report), summaries: make(map[string]cachedSummary)}
}

// Merge adds received reports, except expired ones and those that are not newer than the
// stored report of the same home incarnation.
func (t *Table) Merge(loads []*peerpb.BackendLoad) {
	now := t.now()
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, load := range loads {
		t.mergeLocked(load, now)
	}
}

// mergeLocked adds one report if it is newer. The caller holds t.mu.
func (t *Table) mergeLocked(load *peerpb.BackendLoad, now time.Time) {
	age := time.Duration(load.AgeMs) * time.Millisecond
	if age > t.ttl {
		return
	}
	key := reporter{load.Home, load.Incarnation}
	reports := t.reports[load.Backend]
	if reports == nil {
		reports = make(map[reporter]Report)
		t.reports[load.Backend] = reports
	}
	if old, ok := reports[key]; ok && old.Load.Seq >= load.Seq {
		return
	}
	reports[key] = Report{Load: load, MeasuredAt: now.Add(-age)}
	delete(t.summaries, load.Backend)
}

// Reports returns all reports about one backend server that have not expired.
func (t *Table) Reports(backend string) []Report {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.freshLocked(backend, t.now())
}

// freshLocked returns the reports about one backend server and removes the expired ones.
// The caller holds t.mu.
func (t *Table) freshLocked(backend string, now time.Time) []Report {
	reports := t.reports[backend]
	fresh := make([]Report, 0, len(reports))
	for key, r := range reports {
		if now.Sub(r.MeasuredAt) >= t.ttl {
			delete(reports, key)
			continue
		}
		fresh = append(fresh, r)
	}
	if len(reports) == 0 {
		delete(t.reports, backend)
	}
	return fresh
}

// AllReports returns the reports about all backend servers that have not expired.
func (t *Table) AllReports() []Report {
	now := t.now()
	t.mu.Lock()
	defer t.mu.Unlock()
	var all []Report
	for backend := range t.reports {
		all = append(all, t.freshLocked(backend, now)...)
	}
	return all
}

// Summary combines the reports about one backend server.
type Summary struct {
	Known      bool      // there is at least one report
	InFlight   int       // requests, sum of all reports
	Queued     int       // requests, sum of all reports
	Limit      int       // requests in flight, of the newest report
	Home       string    // of the newest report
	Weight     float64   // of the newest report; 1 is full weight
	Leaving    bool      // reported by any home
	MeasuredAt time.Time // of the newest report
}

// FullWeight is the weight of a backend server that is not a straggler, in permille.
const FullWeight = 1000

// Summaries returns the summaries of all backend servers by ID.
func (t *Table) Summaries() map[string]Summary {
	now := t.now()
	t.mu.Lock()
	defer t.mu.Unlock()
	sums := make(map[string]Summary, len(t.reports))
	for backend := range t.reports {
		if sum := t.summaryLocked(backend, now); sum.Known {
			sums[backend] = sum
		}
	}
	return sums
}

// View calls visit with a function that returns the summary of a backend server. It is
// for callers that need many summaries, since the table is locked only once. visit must
// not call other methods of the table, which would deadlock.
func (t *Table) View(visit func(summary func(backend string) Summary)) {
	now := t.now()
	t.mu.Lock()
	defer t.mu.Unlock()
	visit(func(backend string) Summary { return t.summaryLocked(backend, now) })
}

// summaryLocked returns the summary of one backend server. It caches the summary until a
// report is replaced or expires. The caller holds t.mu.
func (t *Table) summaryLocked(backend string, now time.Time) Summary {
	if cached, ok := t.summaries[backend]; ok && now.Before(cached.validUntil) {
		return cached.Summary
	}
	fresh := t.freshLocked(backend, now)
	if len(fresh) == 0 {
		delete(t.summaries, backend)
		return Summary{}
	}
	cached := cachedSummary{validUntil: fresh[0].MeasuredAt.Add(t.ttl)}
	for _, r := range fresh {
		cached.Summary = cached.add(r)
		if expiry := r.MeasuredAt.Add(t.ttl); expiry.Before(cached.validUntil) {
			cached.validUntil = expiry
		}
	}
	t.summaries[backend] = cached
	return cached.Summary
}

// add returns the summary with one more report.
func (s Summary) add(r Report) Summary {
	s.InFlight += int(r.Load.InFlight)
	s.Queued += int(r.Load.Queued)
	s.Leaving = s.Leaving || r.Load.Leaving
	if !s.Known || r.MeasuredAt.After(s.MeasuredAt) {
		s.Known = true
		s.MeasuredAt = r.MeasuredAt
		s.Limit = int(r.Load.Limit)
		s.Home = r.Load.Home
		s.Weight = float64(r.Load.WeightPermille) / FullWeight
	}
	return s
}
