package loadtable_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"cassialatch.dev/fleet/loadtable"
	"cassialatch.dev/wire/peerpb"
)

const keep = 5 * time.Second

// clock is a clock that tests move.
type clock struct{ at time.Time }

func (c *clock) now() time.Time { return c.at }

// load returns an account of the backend server "engine".
func load(home string, seq uint64, inFlight uint32) *peerpb.BackendLoad {
	return &peerpb.BackendLoad{Backend: "engine", Home: home, Incarnation: 1, Seq: seq, InFlight: inFlight}
}

// summary returns the summary of "engine" as View gives it.
func summary(t *loadtable.Table) (sum loadtable.Summary) {
	t.View(func(of func(string) loadtable.Summary) { sum = of("engine") })
	return sum
}

func TestSummaryFollowsNewerAccountsOnly(t *testing.T) {
	is := is.New(t)
	c := &clock{at: time.Unix(1000, 0)}
	table := loadtable.New(keep, c.now)

	is.Equal(summary(table).Known, false)
	table.Merge([]*peerpb.BackendLoad{load("a", 2, 3)})
	is.Equal(summary(table).InFlight, 3)
	table.Merge([]*peerpb.BackendLoad{load("a", 1, 9)}) // older
	is.Equal(summary(table).InFlight, 3)
	table.Merge([]*peerpb.BackendLoad{load("a", 3, 4), load("b", 1, 2)})
	is.Equal(summary(table).InFlight, 6)
	is.Equal(table.Summaries()["engine"].InFlight, 6)
}

func TestSummaryForgetsOldAccounts(t *testing.T) {
	is := is.New(t)
	c := &clock{at: time.Unix(1000, 0)}
	table := loadtable.New(keep, c.now)

	table.Merge([]*peerpb.BackendLoad{load("a", 1, 3)})
	c.at = c.at.Add(keep / 2)
	table.Merge([]*peerpb.BackendLoad{load("b", 1, 2)})
	is.Equal(summary(table).InFlight, 5)
	c.at = c.at.Add(keep / 2)
	is.Equal(summary(table).InFlight, 2) // a is too old, b is not
	c.at = c.at.Add(keep / 2)
	is.Equal(summary(table).Known, false)
	is.Equal(len(table.Summaries()), 0)
}

// TestLateAccountsChangeNothing replays heartbeats that arrive late, twice or
// after a restart of their home.
func TestLateAccountsChangeNothing(t *testing.T) {
	of := func(incarnation, seq uint64, inFlight, ageMs uint32) *peerpb.BackendLoad {
		l := load("a", seq, inFlight)
		l.Incarnation, l.AgeMs = incarnation, ageMs
		return l
	}
	for _, tc := range []struct {
		name     string
		heard    []*peerpb.BackendLoad
		inFlight int
	}{
		{"the same again", []*peerpb.BackendLoad{of(1, 5, 3, 0), of(1, 5, 3, 0)}, 3},
		{"an older one", []*peerpb.BackendLoad{of(1, 5, 3, 0), of(1, 4, 9, 0)}, 3},
		{"an older one that looks fresh", []*peerpb.BackendLoad{of(1, 5, 3, 1000), of(1, 4, 9, 0)}, 3},
		{"work of the former incarnation still runs", []*peerpb.BackendLoad{of(1, 5, 3, 0), of(2, 1, 2, 0)}, 5},
		{"a late one of the former incarnation", []*peerpb.BackendLoad{of(2, 1, 2, 0), of(1, 5, 3, 0), of(1, 4, 9, 0)}, 5},
		{"one that is too old", []*peerpb.BackendLoad{of(1, 5, 3, 0), of(1, 6, 9, uint32(keep.Milliseconds())+1)}, 3},
	} {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			c := &clock{at: time.Unix(1000, 0)}
			table := loadtable.New(keep, c.now)
			for _, l := range tc.heard {
				table.Merge([]*peerpb.BackendLoad{l})
			}
			is.Equal(summary(table).InFlight, tc.inFlight)
		})
	}
}
