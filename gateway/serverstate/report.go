package serverstate

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// relayTime is how long an observation is sent to other daemons. It covers the gossip
	// rounds that it takes to reach all daemons of a large fleet.
	relayTime = 2 * time.Second
	// copyTolerance is more than the time by which a copy of an observation appears later
	// with each daemon that relays it, since its age does not include the transit. A pace
	// must be later by more to count as another observation.
	copyTolerance = 200 * time.Millisecond
	// MaxReports is the maximum number of reports in a message.
	MaxReports = 32
	// maxValue limits the value of a report.
	maxValue = 1 << 20
)

// Kind is what a report is about.
type Kind uint8

// Kinds of reports.
const (
	KindPace      Kind = iota // how long work takes at the server
	KindRefused               // the server has refused a connection
	KindResponded             // the server has responded after it had refused a connection
)

// Report is an observation that daemons send each other.
type Report struct {
	_      struct{} `cbor:",toarray"`
	Server uint32   // tag of the server's incarnation
	Kind   Kind
	Value  int   // KindPace: percent of the usual time; KindRefused: number among successive refusals
	AgeMS  int64 // of the observation at sending, in milliseconds
}

// Valid reports whether a daemon can have sent the report.
func (r *Report) Valid() bool {
	return r.Kind <= KindResponded && r.Value >= 0 && r.Value <= maxValue && r.AgeMS >= 0 && r.AgeMS < relayTime.Milliseconds()
}

// News returns the latest observations that others may not have received yet, at most
// MaxReports; those on refused connections come first.
func (t *Table) News() []Report {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.now()
	if !now.Before(t.newsTill) {
		return nil
	}
	var news []Report
	for tag, s := range t.servers {
		news = s.appendNews(news, tag, now)
	}
	slices.SortFunc(news, func(a, b Report) int {
		return cmp.Or(cmp.Compare(min(b.Kind, KindRefused), min(a.Kind, KindRefused)), cmp.Compare(a.AgeMS, b.AgeMS), cmp.Compare(a.Server, b.Server))
	})
	return news[:min(len(news), MaxReports)]
}

// appendNews appends the reports on a server.
func (s *server) appendNews(news []Report, tag uint32, now time.Time) []Report {
	recent := func(at time.Time) bool { return !at.IsZero() && now.Sub(at) < relayTime }
	age := func(at time.Time) int64 { return now.Sub(at).Milliseconds() }
	r := &s.refusal
	switch {
	case recent(r.recoveredAt) && (r.at.IsZero() || r.disputed(now)):
		news = append(news, Report{Server: tag, Kind: KindResponded, AgeMS: age(r.recoveredAt)})
	case recent(r.at) && !r.disputed(now):
		news = append(news, Report{Server: tag, Kind: KindRefused, Value: min(r.sequence, maxValue), AgeMS: age(r.at)})
	}
	if s.pace.isNews(now) {
		news = append(news, Report{Server: tag, Kind: KindPace, Value: int(math.Round(s.pace.value * 100)), AgeMS: age(s.pace.at)})
	}
	return news
}

// Merge adds what another daemon has sent. Merging the same reports again changes
// nothing.
func (t *Table) Merge(reports []Report) {
	if restarted := t.merge(reports); len(restarted) > 0 && t.OnRestart != nil {
		t.OnRestart(restarted)
	}
}

// merge implements Merge. It returns the tags of the servers that may have restarted by
// what the reports say.
func (t *Table) merge(reports []Report) (restarted []uint32) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.now()
	for i := range reports {
		r := &reports[i]
		if _, known := t.servers[r.Server]; !r.Valid() || !known && len(t.servers) >= maxServers {
			continue
		}
		if t.find(r.Server, now).merge(r, now) {
			restarted = append(restarted, r.Server)
		}
		t.extendNews(now)
	}
	return restarted
}

// merge adds an observation of another daemon on the server. It returns whether the
// server may have restarted since the reports before.
func (s *server) merge(r *Report, now time.Time) (restarted bool) {
	at := now.Add(-time.Duration(r.AgeMS) * time.Millisecond)
	restarted = r.Kind != KindPace && s.refusal.isNews(at, now)
	switch r.Kind {
	case KindPace:
		if at.Sub(s.pace.at) > copyTolerance {
			s.pace.observe(r.Value, at)
		}
	case KindRefused:
		s.refusal.merge(at, r.Value, now)
	case KindResponded:
		if !s.refusal.disputed(now) {
			s.refusal.responded(at, now)
		}
	}
	return restarted
}
