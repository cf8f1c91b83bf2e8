package warmup

import (
	"math"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"cassialatch.dev/gateway/catalog"
	"cassialatch.dev/gateway/route"
)

var (
	limit  = Limit{PerSecond: 18, Duration: 3 * time.Second}
	id     = catalog.Incarnation{ID: "a", Born: 1}
	listed = func(catalog.Incarnation) bool { return true }
)

// fixture is a table of a fleet of 9 daemons that has been running for a minute. Its slots
// last 667 ms, of which the first begins after half of one.
type fixture struct {
	*Table
	clock time.Time
	fleet int
}

func newFixture() *fixture {
	f := &fixture{clock: time.Unix(1_700_000_000, 0), fleet: 9}
	f.Table = New(func() time.Time { return f.clock }, func() int { return f.fleet }, func() float64 { return 0.5 })
	f.pass(time.Minute)
	return f
}

func (f *fixture) pass(d time.Duration) { f.clock = f.clock.Add(d) }

// cold reports whether the server counts as cold.
func (f *fixture) cold(id catalog.Incarnation) bool {
	_, cold := f.Wait(id)
	return cold
}

// Guards against a server that is warm but gets few requests, and against one that is
// still cold but counts as warm since its entry has not changed.
func TestObserve_CountsFromChangeOfPublishedValue(t *testing.T) {
	is := is.New(t)
	f := newFixture()
	f.Observe(id, limit, 0)
	is.Equal(len(f.servers), 0)
	f.Observe(id, limit, 4096*time.Millisecond)
	f.pass(4 * time.Second)
	f.Observe(id, limit, 4096*time.Millisecond) // the same entry, from another peer
	is.True(f.cold(id))
	f.pass(96 * time.Millisecond)
	is.True(!f.cold(id))
	f.Expire(listed)
	f.Observe(id, limit, 4096*time.Millisecond)
	is.True(!f.cold(id)) // the store is down
	f.Observe(id, limit, 0)
	f.Observe(id, limit, 4096*time.Millisecond)
	is.True(f.cold(id)) // cold again
	f.Observe(id, limit, 0)
	is.True(!f.cold(id))
	is.True(!f.cold(catalog.Incarnation{ID: "a", Born: 2}))
}

// A published value beyond what the service allows must not keep a server out for long.
func TestObserve_DoesNotBelieveHugeValue(t *testing.T) {
	is := is.New(t)
	f := newFixture()
	f.Observe(id, limit, 1000*24*time.Hour)
	f.pass(2 * limit.Duration)
	is.True(!f.cold(id))
}

// An entry is up to some seconds older than what this daemon has seen itself.
func TestSuspect_HoldsAgainstEntryThatSaysWarm(t *testing.T) {
	is := is.New(t)
	f := newFixture()
	f.Observe(id, limit, 4096*time.Millisecond)
	f.Suspect(id, limit)
	f.Observe(id, limit, 0)
	is.True(f.cold(id))
	f.pass(limit.Duration)
	is.True(!f.cold(id))
}

// Services without a limit must be served as before.
func TestLimit_ZeroMeansNeverCold(t *testing.T) {
	for _, none := range []Limit{{}, {PerSecond: 18}, {Duration: time.Second}} {
		is := is.New(t)
		f := newFixture()
		f.Observe(id, none, time.Second)
		f.Suspect(id, none)
		is.Equal(len(f.servers), 0)
		ok, cold := f.Take(id)
		is.True(ok && !cold)
	}
}

// Load pattern: requests without end. Guards against two requests in a slot, and against
// requests that make up for slots that were missed, for example by a daemon that was
// suspended.
func TestTake_OneRequestInEachSlot(t *testing.T) {
	is := is.New(t)
	f := newFixture()
	f.Observe(id, limit, 4096*time.Millisecond)
	slot := f.slotLength(limit, f.clock)
	is.Equal(slot.Milliseconds(), int64(666)) // 9 daemons share 13.5 requests per second
	wait, _ := f.Wait(id)
	is.Equal(wait, slot/2)
	ok, cold := f.Take(id)
	is.True(!ok && cold)
	f.pass(wait)
	for range 3 {
		ok, _ = f.Take(id)
		is.True(ok)
		ok, _ = f.Take(id)
		is.True(!ok)
		wait, _ = f.Wait(id)
		is.Equal(wait, slot)
		f.pass(wait)
	}
	f.pass(sendWindow)
	wait, _ = f.Wait(id)
	is.Equal(wait, slot-sendWindow) // missed

	f.Suspect(id, Limit{PerSecond: 18, Duration: time.Minute})
	f.pass(10 * time.Second) // suspended
	sent := 0
	for range 100 {
		if ok, _ := f.Take(id); ok {
			sent++
		}
	}
	is.True(sent <= 1)
}

// Concurrent requests must not share a slot.
func TestTake_Concurrent(t *testing.T) {
	is := is.New(t)
	f := newFixture()
	f.Suspect(id, limit)
	wait, _ := f.Wait(id)
	f.pass(wait)
	var sent atomic.Int32
	var wg sync.WaitGroup
	for range 16 {
		wg.Go(func() {
			if ok, _ := f.Take(id); ok {
				sent.Add(1)
			}
		})
	}
	wg.Wait()
	is.Equal(sent.Load(), int32(1))
}

// Guards against a daemon alone that takes the whole limit for itself: when it has just
// started, and when it hears of no others any more.
func TestFleetSize_UnknownOrFallen(t *testing.T) {
	is := is.New(t)
	f := newFixture()
	f.Table = New(func() time.Time { return f.clock }, func() int { return f.fleet }, func() float64 { return 1 })
	f.fleet = 1
	f.Suspect(id, Limit{PerSecond: 18, Duration: time.Minute})
	is.True(!f.KnowsFleet())
	wait, _ := f.Wait(id)
	is.True(wait > 20*time.Second) // as one of 300
	f.fleet = 62
	f.pass(startupTime)
	is.True(f.KnowsFleet())
	wait, _ = f.Wait(id)
	is.True(wait > 4500*time.Millisecond && wait < 4600*time.Millisecond)

	f.Expire(listed)
	f.fleet = 1
	f.pass(10 * time.Minute)
	f.Expire(listed)
	f.Suspect(id, limit)
	wait, _ = f.Wait(id)
	is.True(wait > 4500*time.Millisecond)
	f.pass(fleetSizeTTL)
	f.Expire(listed)
	f.Suspect(id, limit)
	wait, _ = f.Wait(id)
	is.True(wait < 100*time.Millisecond)
}

// Guards against overflows and endless loops by a limit that makes no sense.
func TestLimit_OddNumbers(t *testing.T) {
	for _, perSecond := range []float64{1e-300, 1e-9, 1 << 50, math.MaxFloat64, math.Inf(1)} {
		is := is.New(t)
		f := newFixture()
		f.Suspect(id, Limit{PerSecond: perSecond, Duration: 1000 * 24 * time.Hour})
		for range 10 {
			f.pass(100 * time.Hour)
			wait, cold := f.Wait(id)
			is.True(cold)
			is.True(wait >= 0 && wait <= maxSlot)
			f.Take(id)
		}
	}
}

// Guards against a table that grows with every server that ever was cold.
func TestExpire_RemovesWarmServers(t *testing.T) {
	is := is.New(t)
	f := newFixture()
	f.Suspect(id, limit)
	f.Observe(catalog.Incarnation{ID: "b"}, limit, 4096*time.Millisecond)
	is.Equal(f.Cold(), 2)
	f.Expire(listed)
	is.Equal(len(f.servers), 2)
	f.pass(5 * time.Second)
	is.Equal(f.Cold(), 0)
	f.Expire(listed)
	is.Equal(len(f.servers), 1) // still says that it is cold
	f.Expire(func(catalog.Incarnation) bool { return false })
	is.Equal(len(f.servers), 0)
}

// Only the servers of services with a limit are looked at.
func TestObserveState(t *testing.T) {
	is := is.New(t)
	f := newFixture()
	none := &catalog.View{}
	f.ObserveState(none, none) // before the first configuration
	table := route.NewTable(&route.Config{Services: []route.Service{{Name: "s", ColdPerSecond: 18, ColdStart: 3 * time.Second}, {Name: "t"}}})
	servers := make(map[catalog.Incarnation]*catalog.Server)
	for id, service := range map[string]string{"a": "s", "b": "t", "c": "unknown"} {
		servers[catalog.Incarnation{ID: id}] = &catalog.Server{ID: id, Service: service, ColdRemaining: 4096}
	}
	f.ObserveState(none, &catalog.View{Table: table, Servers: servers})
	is.True(f.cold(catalog.Incarnation{ID: "a"}))
	is.Equal(len(f.servers), 1)
}

// Load pattern: the evacuation of a zone ends, and its servers, which publish that they
// are warm, become cold with the first requests.
func TestObserveState_ServersOfZoneTakenBackAreSuspect(t *testing.T) {
	is := is.New(t)
	f := newFixture()
	table := route.NewTable(&route.Config{Services: []route.Service{{Name: "s", ColdPerSecond: 18, ColdStart: 3 * time.Second}}})
	servers := map[catalog.Incarnation]*catalog.Server{
		{ID: "a"}: {ID: "a", Service: "s", Zone: "z"},
		{ID: "b"}: {ID: "b", Service: "s", Zone: "y"},
		{ID: "c"}: {ID: "c", Service: "s", Zone: "x"},
	}
	both := &catalog.View{Table: table, Servers: servers, Evacuated: map[string]bool{"z": true, "y": true}}
	one := &catalog.View{Table: table, Servers: servers, Evacuated: map[string]bool{"y": true}}
	f.ObserveState(&catalog.View{Table: table, Servers: servers}, both)
	is.Equal(len(f.servers), 0)
	f.ObserveState(both, one)
	is.True(f.cold(catalog.Incarnation{ID: "a"}))
	is.Equal(len(f.servers), 1)
}
