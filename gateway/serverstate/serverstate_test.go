package serverstate

import (
	"math"
	"testing"
	"time"

	"github.com/matryer/is"
)

// clock is the clock of all tables of a test.
type clock struct{ now time.Time }

func newClock() *clock { return &clock{now: time.Unix(1_700_000_000, 0)} }

func (c *clock) read() time.Time { return c.now }

func (c *clock) advance(d time.Duration) { c.now = c.now.Add(d) }

func (t *Table) state(tag uint32) State {
	states := make([]State, 1)
	t.Lookup([]uint32{tag}, states)
	return states[0]
}

func near(a, b float64) bool { return math.Abs(a-b) < 0.01 }

// Load pattern: a server shares its machine, and its pace changes many times per second.
// Single figures must not decide, and wrong ones are limited.
func TestPace_IsAMovingAverageWithLimits(t *testing.T) {
	is := is.New(t)
	ck := newClock()
	table := New(ck.read)
	is.Equal(table.state(1).Pace, 1.0)
	table.RecordPace(1, 300)
	is.Equal(table.state(1).Pace, 3.0)
	ck.advance(paceTimeConstant)
	table.RecordPace(1, 100)
	is.True(near(table.state(1).Pace, 1+2/math.E))
	table.RecordPace(2, math.MaxInt)
	is.Equal(table.state(2).Pace, float64(maxPace))
	table.RecordPace(3, 0)
	is.Equal(table.state(3).Pace, minPace)
	slow, _ := table.Count()
	is.Equal(slow, 2)
}

// Guards against a server that gets no more work for good because it was slow once: it
// gets none, so no response shows that it is as fast as the others again.
func TestPace_Expires(t *testing.T) {
	is := is.New(t)
	ck := newClock()
	a, b := New(ck.read), New(ck.read)
	a.RecordPace(1, 350)
	ck.advance(time.Second)
	b.Merge(a.News())
	is.Equal(b.state(1).Pace, 3.5)
	ck.advance(paceTTL - time.Second)
	is.Equal(a.state(1).Pace, 1.0)
	is.Equal(b.state(1).Pace, 1.0) // dated by the response, not by the report
}

// Load pattern: calm. Daemons have nothing to tell each other, and place requests as they
// would without the figures.
func TestNews_IsEmptyInCalm(t *testing.T) {
	is := is.New(t)
	ck := newClock()
	table := New(ck.read)
	table.OnUrgent = func() { t.Error("a gossip round in calm") }
	for i := range uint32(90) {
		table.RecordPace(i, 80+int(i)%45)
		table.RecordResponse(i, ck.now)
		is.Equal(table.state(i).Pace, 1.0)
	}
	is.Equal(len(table.News()), 0)
}

// A daemon that knows a server as slow must learn that it no longer is, and reports are
// relayed for relayTime only.
func TestNews_TellsThatASlowServerIsBackToNormal(t *testing.T) {
	is := is.New(t)
	ck := newClock()
	a, b, c := New(ck.read), New(ck.read), New(ck.read)
	a.RecordPace(1, 350)
	b.Merge(a.News())
	c.Merge(b.News())
	ck.advance(3 * paceTimeConstant)
	for range 4 {
		a.RecordPace(1, 100)
		ck.advance(paceTimeConstant)
		b.Merge(a.News())
		c.Merge(b.News())
	}
	is.Equal(c.state(1).Pace, 1.0)
	ck.advance(paceTTL)
	a.RecordPace(1, 100)
	is.Equal(len(a.News()), 0)
	a.RecordPace(1, 900)
	ck.advance(relayTime)
	is.Equal(len(a.News()), 0)
}

// Load pattern: half of a large fleet of servers fails, and more are slow than a message
// holds. What is sent is bounded, and refused connections come first.
func TestNews_IsBounded(t *testing.T) {
	is := is.New(t)
	ck := newClock()
	table := New(ck.read)
	for i := range uint32(2 * MaxReports) {
		table.RecordPace(i, 400)
	}
	for i := range uint32(10) {
		ck.advance(time.Millisecond)
		table.RecordRefused(1000 + i)
	}
	news := table.News()
	is.Equal(len(news), MaxReports)
	for i := range 10 {
		is.Equal(news[i].Kind, KindRefused)
	}
	is.Equal(news[0].Server, uint32(1009)) // the latest
}

// Guards against a faulty peer that fills the memory with reports on servers that do not
// exist, or sends numbers that overflow.
func TestMerge_IgnoresInvalidReportsAndTooManyServers(t *testing.T) {
	is := is.New(t)
	ck := newClock()
	table := New(ck.read)
	table.Merge([]Report{
		{Server: 1, Kind: KindRefused, Value: 1, AgeMS: -1},
		{Server: 1, Kind: KindRefused, Value: 1, AgeMS: math.MaxInt64},
		{Server: 1, Kind: KindRefused, Value: math.MaxInt},
		{Server: 1, Kind: KindResponded + 1},
		{Server: 1, Kind: KindPace, Value: -5},
	})
	is.Equal(len(table.servers), 0)
	for i := range uint32(2 * maxServers) {
		table.Merge([]Report{{Server: i, Kind: KindPace, Value: 300}})
	}
	is.Equal(len(table.servers), maxServers)
	table.RecordRefused(math.MaxUint32) // what this daemon observes is still recorded
	is.True(table.state(math.MaxUint32).Refused)
	ck.advance(idleTTL + 1)
	table.Expire()
	is.Equal(len(table.servers), 0)
}
