package serverstate

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

const initialBackoff = 250 * time.Millisecond

// Load pattern: a server stays down. The backoff grows at all daemons that have found it
// down, although only one of them tries the server again.
func TestRefused_BackoffGrowsAtAllDaemons(t *testing.T) {
	is := is.New(t)
	ck := newClock()
	a, b := New(ck.read), New(ck.read)
	b.RecordRefused(1)
	for _, backoff := range []time.Duration{initialBackoff, 2 * initialBackoff, 4 * initialBackoff, 8 * initialBackoff} {
		a.RecordRefused(1)
		b.Merge(a.News())
		ck.advance(backoff - 1)
		is.True(a.state(1).Refused)
		is.True(b.state(1).Refused)
		ck.advance(1)
		is.True(!a.state(1).Refused)
		is.True(!b.state(1).Refused)
	}
}

// Load pattern: a server comes back while all daemons keep it in a long backoff. The first
// response at any daemon ends that at all of them.
func TestRefused_ServerThatComesBackIsUsedAtOnce(t *testing.T) {
	is := is.New(t)
	ck := newClock()
	a, b, c := New(ck.read), New(ck.read), New(ck.read)
	for range 6 {
		a.RecordRefused(1)
		b.RecordRefused(1)
		ck.advance(2 * time.Second)
	}
	a.RecordRefused(1)
	b.Merge(a.News())
	ck.advance(minRestart)
	is.True(b.state(1).Refused)
	c.RecordResponse(1, ck.now) // has sent nothing before
	c.Merge(a.News())
	is.True(!c.state(1).Refused) // it knows better
	a.RecordResponse(1, ck.now)  // all other servers were in backoff, too
	is.True(!a.state(1).Refused)
	b.Merge(a.News())
	is.True(!b.state(1).Refused)
	ck.advance(time.Second)
	a.RecordRefused(1) // fails again: the backoff starts over
	b.Merge(a.News())
	is.True(b.state(1).Refused)
	ck.advance(initialBackoff)
	is.True(!b.state(1).Refused)
}

// A response that was under way when the server failed does not show that it is back.
func TestRefused_ResponseToEarlierRequestEndsNothing(t *testing.T) {
	is := is.New(t)
	ck := newClock()
	table := New(ck.read)
	sentAt := ck.now
	ck.advance(time.Second)
	table.RecordRefused(1)
	table.RecordResponse(1, sentAt)
	is.True(table.state(1).Refused)
}

// Guards against reports that never end: daemons send copies of them to each other, and
// each copy looks a little later than the last, by much where a daemon gets little
// processor time.
func TestMerge_DelayedCopiesDoNotExtendABackoff(t *testing.T) {
	is := is.New(t)
	ck := newClock()
	a, b, c := New(ck.read), New(ck.read), New(ck.read)
	a.RecordRefused(1)
	began := ck.now
	var outB, outC time.Duration
	for ck.now.Sub(began) < 20*time.Second {
		const transit = 300 * time.Millisecond
		fromB, fromC := append(a.News(), b.News()...), b.News()
		fromB = append(fromB, c.News()...)
		for range transit / (10 * time.Millisecond) {
			ck.advance(10 * time.Millisecond)
			if b.state(1).Refused {
				outB += 10 * time.Millisecond
			}
			if c.state(1).Refused {
				outC += 10 * time.Millisecond
			}
		}
		b.Merge(fromB)
		c.Merge(fromC)
	}
	is.True(outB <= 2*initialBackoff)
	is.True(outC <= 2*initialBackoff)
}

// Load pattern: a daemon in a partition has its connections to 20 of the servers refused,
// which respond to all others. What it reports may take each of them out for the others for
// 1 s in 5 s, and may not start a gossip round more often than each 100 ms.
func TestMerge_ReportsOfPartitionedPeerAreBounded(t *testing.T) {
	const daemons, servers, step, end = 12, 20, 10 * time.Millisecond, 30 * time.Second
	is := is.New(t)
	ck := newClock()
	began := ck.now
	tables := make([]*Table, daemons)
	urgent := 0
	for i := range tables {
		tables[i] = New(ck.read)
		tables[i].OnUrgent = func() { urgent++ }
	}
	var out [daemons][servers]time.Duration
	for n := 0; ck.now.Sub(began) < end; n++ {
		ck.advance(step)
		for i, table := range tables {
			for s := range uint32(servers) {
				switch {
				case table.state(s).Refused:
					out[i][s] += step
				case i == 0:
					table.RecordRefused(s)
				case (n+i*7+int(s))%50 == 0: // each daemon uses each server twice a second
					table.RecordResponse(s, ck.now)
				}
			}
			if (n+i)%10 == 0 {
				for _, to := range tables {
					to.Merge(table.News())
				}
			}
		}
	}
	const allowed = maxReported + 2*step // one more step at each end
	for i := 1; i < daemons; i++ {
		for s := range servers {
			if periods := end/disputeTime + 1; out[i][s] > periods*allowed {
				t.Errorf("daemon %d: server %d out for %v of %v", i, s, out[i][s], end)
			}
		}
	}
	is.True(out[0][0] > end/2) // the partitioned daemon itself does without it
	is.True(urgent <= daemons*int(end/minUrgentGap))
	t.Logf("out for %v of %v at another daemon; %d urgent rounds", out[1][0], end, urgent)
}

// Guards against a faulty peer whose reports claim many successive refusals: a server is
// out for the first backoff only.
func TestMerge_FirstReportTakesAServerOutForTheFirstBackoff(t *testing.T) {
	is := is.New(t)
	ck := newClock()
	table := New(ck.read)
	table.Merge([]Report{{Server: 1, Kind: KindRefused, Value: maxValue}})
	is.True(table.state(1).Refused)
	ck.advance(initialBackoff)
	is.True(!table.state(1).Refused)
}

// Load pattern: 22 servers fail within some milliseconds. One gossip round is started at
// once, and further ones not before 100 ms later.
func TestRecordRefused_StartsFewGossipRounds(t *testing.T) {
	is := is.New(t)
	ck := newClock()
	table := New(ck.read)
	rounds := 0
	table.OnUrgent = func() { rounds++ }
	for i := range uint32(22) {
		table.RecordRefused(i)
		ck.advance(time.Millisecond)
	}
	is.Equal(rounds, 1)
	ck.advance(minUrgentGap)
	table.RecordRefused(30)
	is.Equal(rounds, 2)
	table.RecordRefused(30) // known
	ck.advance(minUrgentGap)
	table.RecordRefused(30)
	is.Equal(rounds, 2)
}

// Guards against a server that counts as cold for as long as copies of a report circulate,
// and against one that does so because a peer alone can't reach it.
func TestMerge_SaysOnceThatServerMayHaveRestarted(t *testing.T) {
	is := is.New(t)
	ck := newClock()
	a, b := New(ck.read), New(ck.read)
	var restarted []uint32
	b.OnRestart = func(tags []uint32) {
		b.state(1) // guards against a call with the lock held
		restarted = append(restarted, tags...)
	}
	a.RecordRefused(1)
	for range 20 {
		b.Merge(a.News())
		ck.advance(100 * time.Millisecond)
	}
	is.Equal(restarted, []uint32{1})

	a.RecordRefused(1) // still down, while reports no longer keep b from it
	b.Merge(a.News())
	is.True(!b.state(1).Refused)
	is.Equal(len(restarted), 2)

	ck.advance(500 * time.Millisecond)
	b.RecordResponse(1, ck.now)
	ck.advance(time.Second)
	b.RecordRefused(1)
	ck.advance(500 * time.Millisecond)
	b.RecordResponse(1, ck.now) // disputed
	a.RecordRefused(1)
	b.Merge(a.News())
	is.Equal(len(restarted), 2)
}
