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
