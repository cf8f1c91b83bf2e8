package traffic_test

import (
	"io"
	"net"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"cassialatch.dev/fleet/traffic"
	"cassialatch.dev/wire/operatorapi"
)

const limit = 1000 // bytes per second

// clock is a clock that the test advances.
type clock struct{ t time.Time }

func (c *clock) now() time.Time { return c.t }

// newMeter returns a Meter with a budget of limit, and its clock.
func newMeter() (*traffic.Meter, *clock) {
	c := &clock{t: time.Unix(1_900_000_000, 0)}
	return traffic.NewMeter(limit, c.now), c
}

// trafficOf returns the entry of kind in a snapshot of m.
func trafficOf(m *traffic.Meter, kind traffic.Kind) operatorapi.Traffic {
	all := m.Snapshot()
	return all[slices.IndexFunc(all, func(t operatorapi.Traffic) bool { return t.Kind == string(kind) })]
}

func TestConn_CountsBothDirections(t *testing.T) {
	is := is.New(t)
	m, c := newMeter()
	local, remote := net.Pipe()
	defer local.Close()
	metered := m.Conn(traffic.KindPlatform, local)
	go func() {
		_, _ = io.CopyN(io.Discard, remote, 300)
		_, _ = remote.Write(make([]byte, 200))
		remote.Close()
	}()
	_, err := metered.Write(make([]byte, 300))
	is.NoErr(err)
	_, err = io.ReadAll(metered)
	is.NoErr(err)
	c.t = c.t.Add(10 * time.Second)
	got := trafficOf(m, traffic.KindPlatform)
	is.Equal(got.SentBytes, uint64(300))
	is.Equal(got.ReadBytes, uint64(200))
	is.Equal(got.BytesPerSecond, 50.0)
	c.t = c.t.Add(10 * time.Second)
	is.Equal(trafficOf(m, traffic.KindPlatform).BytesPerSecond, 0.0) // no traffic in the last window
}

func TestAllow_DefersKindsInRankOrder(t *testing.T) {
	is := is.New(t)
	m, _ := newMeter()
	order := []traffic.Kind{
		traffic.KindRelay, traffic.KindProbe, traffic.KindPlatform,
		traffic.KindReport, traffic.KindDocument, traffic.KindLoad,
	}
	for _, kind := range order {
		allowed := 0
		for m.Allow(kind, 10) {
			allowed++
		}
		is.True(allowed > 0) // kinds that are deferred later still have budget
		is.Equal(trafficOf(m, kind).Deferred, uint64(1))
	}
	is.True(!m.Allow("unknown", 10))
	for range 100 {
		is.True(m.Allow(traffic.KindLease, 100))
		is.True(m.Allow(traffic.KindQuarantine, 100))
	}
}

func TestAllow_ChargesKindsThatAreNeverDeferred(t *testing.T) {
	is := is.New(t)
	m, c := newMeter()
	is.True(m.Allow(traffic.KindLease, 1000*limit))
	is.True(!m.Allow(traffic.KindLoad, 1))
	c.t = c.t.Add(9 * time.Second)
	is.True(!m.Allow(traffic.KindLoad, 1))
	c.t = c.t.Add(2 * time.Second) // past maxDebtSeconds: the debt is repaid
	is.True(m.Allow(traffic.KindLoad, 1))
}

func TestAllow_ItemLargerThanBurst(t *testing.T) {
	is := is.New(t)
	m, c := newMeter()
	is.True(m.Allow(traffic.KindDocument, 1<<20))
	is.True(!m.Allow(traffic.KindDocument, 1<<20))
	c.t = c.t.Add(time.Minute)
	is.True(m.Allow(traffic.KindDocument, 1<<20))
}

func TestConn_DoesNotChargeAllowedItemAgain(t *testing.T) {
	is := is.New(t)
	m, _ := newMeter()
	local, remote := net.Pipe()
	defer local.Close()
	defer remote.Close()
	go func() { _, _ = io.Copy(io.Discard, remote) }()
	metered := m.Conn(traffic.KindPeer, local)
	for range 2 { // the burst is 2000 bytes
		is.True(m.Allow(traffic.KindLoad, limit))
		_, err := metered.Write(make([]byte, limit))
		is.NoErr(err)
	}
	is.True(!m.Allow(traffic.KindLoad, 1))
}

func TestNewMeter_ZeroBudgetOnlyCounts(t *testing.T) {
	is := is.New(t)
	m := traffic.NewMeter(0, time.Now)
	is.True(m.Allow(traffic.KindRelay, 1<<30))
	is.Equal(len(m.Snapshot()), 9)
}

// TestAllow_DeferrableTrafficStaysInBudget checks, for any sequence of items, that
// deferrable traffic stays within the budget and its burst, and that an item is
// not allowed for a kind if it was just deferred for a kind of the same or a
// lower rank.
func TestAllow_DeferrableTrafficStaysInBudget(t *testing.T) {
	kinds := []traffic.Kind{
		traffic.KindLoad, traffic.KindDocument, traffic.KindReport,
		traffic.KindPlatform, traffic.KindProbe, traffic.KindRelay,
	}
	rapid.Check(t, func(t *rapid.T) {
		m, c := newMeter()
		start, allowed := c.t, 0
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			c.t = c.t.Add(time.Duration(rapid.IntRange(0, 300).Draw(t, "ms")) * time.Millisecond)
			i := rapid.IntRange(0, len(kinds)-1).Draw(t, "kind")
			bytes := rapid.IntRange(1, limit/2).Draw(t, "bytes")
			if m.Allow(kinds[i], bytes) {
				allowed += bytes
			} else if j := rapid.IntRange(i, len(kinds)-1).Draw(t, "higher rank"); m.Allow(kinds[j], bytes) {
				t.Fatalf("%s is allowed although %s was deferred", kinds[j], kinds[i])
			}
			maxBytes := c.t.Sub(start).Seconds()*limit + 2*limit + 1
			if float64(allowed) > maxBytes {
				t.Fatalf("%d bytes allowed in %v", allowed, c.t.Sub(start))
			}
		}
	})
}
