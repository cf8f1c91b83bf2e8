package home

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"cassialatch.dev/fleet/lease"
)

// at returns a time some seconds after the start.
func at(seconds int) time.Time { return time.Unix(1000+int64(seconds), 0) }

func TestSharesCountOnceAReportCoversThem(t *testing.T) {
	is := is.New(t)
	now := at(0)
	shares := lease.NewShares(func() time.Time { return now })
	held := func(since time.Time) lease.Fraction { return shares.FractionSince("b", since) }
	var c carryover
	allowed := func() int {
		asOf, work := c.covered()
		return held(asOf).Of(6 - work)
	}

	shares.Granted("b", "x", now, time.Hour, 2)
	c.note(at(-1), 0, held) // made before the grant
	is.Equal(allowed(), 0)
	c.note(at(0), 4, held) // another home's work
	is.Equal(allowed(), 1) // half of what is left
	c.note(at(1), 2, held)
	is.Equal(allowed(), 2)
	c.note(at(2), 3, held) // the other home admits under its own share
	is.Equal(allowed(), 2)

	now = at(10)
	shares.Granted("b", "y", now, time.Hour, 2)
	is.Equal(allowed(), 2) // the further share is not covered yet
	c.note(at(11), 3, held)
	is.Equal(allowed(), 3) // all of what is left
}

func TestFailedCallCountsUntilALaterReport(t *testing.T) {
	is := is.New(t)
	held := func(time.Time) lease.Fraction { return lease.Fraction{Part: 1, Lenders: 1} }
	var c carryover
	c.note(at(0), 0, held)
	c.fail(at(1))
	c.note(at(1), 0, held) // may not show the end
	_, work := c.covered()
	is.Equal(work, 1)
	c.note(at(2), 1, held) // it still runs
	_, work = c.covered()
	is.Equal(work, 1)
	c.note(at(3), 0, held)
	_, work = c.covered()
	is.Equal(work, 0)
}

func TestLowestCountAboutATime(t *testing.T) {
	is := is.New(t)
	now := at(0)
	h := newHistory(func() time.Time { return now })
	h.note(3)
	now = at(1)
	h.note(1)
	now = at(2)
	h.note(5)
	is.Equal(h.lowAt(at(-1)), 0)                               // before the start
	is.Equal(h.lowAt(at(1).Add(-bucketWidth)), 3)              // as it was
	is.Equal(h.lowAt(at(1)), 1)                                // the lower one of a change
	is.Equal(h.lowAt(at(2).Add(bucketWidth*(bucketCount))), 0) // not yet
	now = at(60)
	is.Equal(h.lowAt(at(2)), 0) // forgotten
}
