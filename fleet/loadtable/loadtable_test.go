package loadtable_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"cassialatch.dev/fleet/loadtable"
	"cassialatch.dev/wire/peerpb"
)

const ttl = 5 * time.Second

// fakeClock is a clock that is advanced by tests.
type fakeClock struct{ at time.Time }

func (c *fakeClock) now() time.Time { return c.at }

// load returns a report about the backend server "engine".
func load(home string, seq uint64, inFlight uint32) *peerpb.BackendLoad {
	return &peerpb.BackendLoad{Backend: "engine", Home: home, Incarnation: 1, Seq: seq, InFlight: inFlight}
}

// summary returns the summary of "engine" that View provides.
func summary(t *loadtable.Table) (sum loadtable.Summary) {
	t.View(func(summaryOf func(string) loadtable.Summary) { sum = summaryOf("engine") })
	return sum
}

func TestTable_IgnoresOlderReports(t *testing.T) {
	is := is.New(t)
	c := &fakeClock{at: time.Unix(1000, 0)}
	table := loadtable.New(ttl, c.now)

	is.Equal(summary(table).Known, false)
	table.Merge([]*peerpb.BackendLoad{load("a", 2, 3)})
	is.Equal(summary(table).InFlight, 3)
	table.Merge([]*peerpb.BackendLoad{load("a", 1, 9)}) // older
	is.Equal(summary(table).InFlight, 3)
	table.Merge([]*peerpb.BackendLoad{load("a", 3, 4), load("b", 1, 2)})
	is.Equal(summary(table).InFlight, 6)
	is.Equal(table.Summaries()["engine"].InFlight, 6)
}

func TestTable_ExpiresReports(t *testing.T) {
	is := is.New(t)
	c := &fakeClock{at: time.Unix(1000, 0)}
	table := loadtable.New(ttl, c.now)

	table.Merge([]*peerpb.BackendLoad{load("a", 1, 3)})
	c.at = c.at.Add(ttl / 2)
	table.Merge([]*peerpb.BackendLoad{load("b", 1, 2)})
	is.Equal(summary(table).InFlight, 5)
	c.at = c.at.Add(ttl / 2)
	is.Equal(summary(table).InFlight, 2) // only the report of a has expired
	c.at = c.at.Add(ttl / 2)
	is.Equal(summary(table).Known, false)
	is.Equal(len(table.Summaries()), 0)
}

// Load pattern: heartbeats arrive late, twice, or after a restart of their home. Late
// reports must not replace newer ones or restore a former load.
func TestTable_IgnoresLateAndDuplicateReports(t *testing.T) {
	report := func(incarnation, seq uint64, inFlight, ageMs uint32) *peerpb.BackendLoad {
		l := load("a", seq, inFlight)
		l.Incarnation, l.AgeMs = incarnation, ageMs
		return l
	}
	for _, tc := range []struct {
		name     string
		received []*peerpb.BackendLoad
		inFlight int
	}{
		{"duplicate transmission of a report", []*peerpb.BackendLoad{report(1, 5, 3, 0), report(1, 5, 3, 0)}, 3},
		{"older report", []*peerpb.BackendLoad{report(1, 5, 3, 0), report(1, 4, 9, 0)}, 3},
		{"older report with a lower age on arrival", []*peerpb.BackendLoad{report(1, 5, 3, 1000), report(1, 4, 9, 0)}, 3},
		{"request of the former incarnation still runs", []*peerpb.BackendLoad{report(1, 5, 3, 0), report(2, 1, 2, 0)}, 5},
		{"late report of the former incarnation", []*peerpb.BackendLoad{report(2, 1, 2, 0), report(1, 5, 3, 0), report(1, 4, 9, 0)}, 5},
		{"report that is too old", []*peerpb.BackendLoad{report(1, 5, 3, 0), report(1, 6, 9, uint32(ttl.Milliseconds())+1)}, 3},
	} {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			c := &fakeClock{at: time.Unix(1000, 0)}
			table := loadtable.New(ttl, c.now)
			for _, l := range tc.received {
				table.Merge([]*peerpb.BackendLoad{l})
			}
			is.Equal(summary(table).InFlight, tc.inFlight)
		})
	}
}
