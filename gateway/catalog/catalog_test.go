package catalog

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/matryer/is"

	"cassialatch.dev/gateway/boottime"
	"cassialatch.dev/gateway/route"
)

type fakeClock struct{ now boottime.Instant }

func (c *fakeClock) read() boottime.Instant { return c.now }

// tableVersion returns an empty route table of the given version.
func tableVersion(v int64) *route.Table { return route.NewTable(&route.Config{Version: v}) }

// An older revision is rejected, and so is an older document in a newer revision.
func TestAdopt_NeverDecreasesRevisionOrVersion(t *testing.T) {
	is := is.New(t)
	ck := &fakeClock{now: 1}
	c := New(ck.read)
	is.True(c.Adopt(State{Revision: 10, RawRev: 9}, tableVersion(5), 1))
	is.True(!c.Adopt(State{Revision: 8, RawRev: 7}, tableVersion(4), 1))
	is.Equal(c.View().Table.Version(), int64(5))
	// A newer revision with an older document keeps the document in force.
	is.True(c.Adopt(State{Revision: 12, RawRev: 7}, tableVersion(4), 1))
	is.Equal(c.View().Table.Version(), int64(5))
	is.Equal(c.State().RawRev, int64(9))
}

// The lease on API keys starts when the read of the store was sent, so the age of
// a confirmation must be measured from that time, on a clock that also advances
// during a suspend.
func TestAge_MeasuredFromTimeOfRead(t *testing.T) {
	is := is.New(t)
	ck := &fakeClock{now: 1000}
	c := New(ck.read)
	_, ok := c.Age()
	is.True(!ok)
	c.Adopt(State{Revision: 1}, tableVersion(1), 400)
	age, ok := c.Age()
	is.True(ok)
	is.Equal(age, 600*time.Nanosecond)
	ck.now = 5000
	is.True(c.Confirm(2, c.View().Hash, 4900))
	is.True(c.Confirm(2, c.View().Hash, 300)) // an older confirmation is ignored
	age, _ = c.Age()
	is.Equal(age, 100*time.Nanosecond)
}

func TestConfirm_RejectsOtherContentsAndOlderRevision(t *testing.T) {
	is := is.New(t)
	ck := &fakeClock{now: 1000}
	c := New(ck.read)
	c.Adopt(State{Revision: 5, Servers: []Server{{ID: "a"}}}, tableVersion(1), 1)
	is.True(!c.Confirm(9, c.View().Hash+1, 900))
	is.True(!c.Confirm(4, c.View().Hash, 900)) // older than the revision in force
	age, _ := c.Age()
	is.Equal(age, 999*time.Nanosecond)
}

func TestView_SeparatesDrainingServers(t *testing.T) {
	is := is.New(t)
	c := New((&fakeClock{now: 1}).read)
	c.Adopt(State{Revision: 1, Servers: []Server{
		{ID: "a", Service: "s"}, {ID: "b", Service: "s", Draining: true},
	}}, tableVersion(1), 1)
	v := c.View()
	is.Equal(len(v.ByService["s"]), 1)
	is.Equal(v.DrainingByService["s"][0].ID, "b")
	is.Equal(len(v.Servers), 2)
}

func TestIncarnation_DiffersAfterRestartUnderSameID(t *testing.T) {
	is := is.New(t)
	old, restarted := Server{ID: "a", Born: 1}, Server{ID: "a", Born: 2}
	is.True(old.Tag() != restarted.Tag())
	is.True(old.Incarnation() != restarted.Incarnation())
}

func TestChanged_ClosedOnlyWhenContentsChange(t *testing.T) {
	is := is.New(t)
	c := New((&fakeClock{now: 1}).read)
	changed := c.Changed()
	c.Adopt(State{Revision: 1}, tableVersion(1), 1)
	select {
	case <-changed:
	default:
		t.Fatal("the channel was not closed after a change")
	}
	changed = c.Changed()
	c.Adopt(State{Revision: 2}, nil, 1) // same contents
	select {
	case <-changed:
		is.Fail()
	default:
	}
}

// A revision must not be returned with the later confirmation time of a newer
// state. Peers would then treat the old state as fresh and accept API keys that
// have been revoked.
func TestConfirmation_ConsistentDuringAdopt(t *testing.T) {
	is := is.New(t)
	const end = 20_000
	c := New(func() boottime.Instant { return end })
	c.Adopt(State{Revision: 1, RawRev: 1}, tableVersion(1), 1)
	done := make(chan struct{})
	go func() {
		defer close(done)
		for rev := int64(2); rev < end; rev++ {
			c.Adopt(State{Revision: rev, RawRev: rev}, tableVersion(rev), boottime.Instant(rev))
		}
	}()
	for running := true; running; {
		select {
		case <-done:
			running = false
		default:
		}
		revision, _, age, ok := c.Confirmation()
		is.True(ok)
		is.Equal(int64(end)-int64(age), revision)
	}
}

// plainServer has the fields of Server in the build before cold servers.
type plainServer struct {
	ID       string
	Born     int64
	Service  string
	Address  string
	Zone     string
	Slots    int
	Draining bool
}

// Guards against daemons of two builds that never agree on the state of a deployment
// without cold servers, so that each fetches it from the other at every revision.
func TestContentHash_SameAsInEarlierBuildsWithoutColdServers(t *testing.T) {
	is := is.New(t)
	s := State{RawRev: 9, Servers: []Server{
		{ID: "a", Born: 1790000000000, Service: "s", Address: "10.0.0.1:80", Zone: "z 1", Slots: 16},
		{ID: "b", Service: "t", Draining: true},
	}}
	h := xxhash.New()
	fmt.Fprintf(h, "%d", s.RawRev)
	for _, srv := range s.Servers {
		fmt.Fprintf(h, "|%+v", plainServer{srv.ID, srv.Born, srv.Service, srv.Address, srv.Zone, srv.Slots, srv.Draining})
	}
	is.Equal(contentHash(&s), h.Sum64())
	b, err := json.Marshal(s.Servers[1])
	is.NoErr(err)
	is.True(!strings.Contains(string(b), "cold"))

	s.Servers[0].ColdRemaining = 4096
	is.True(contentHash(&s) != h.Sum64())
}

// Load pattern: many servers come back cold together and publish with each heartbeat how
// much longer they are cold. Guards against a state that changes with each heartbeat, and
// against a server that counts as warm too early.
func TestRoundCold_ChangesRarelyAndNeverShortens(t *testing.T) {
	const heartbeat = 1200 * time.Millisecond
	for cold, changes := range map[time.Duration]int{3 * time.Second: 1, 60 * time.Second: 5, time.Hour: 11} {
		is := is.New(t)
		previous := RoundCold(cold)
		counted := 0
		for remaining := cold; remaining > -heartbeat; remaining -= heartbeat {
			rounded := RoundCold(remaining)
			is.True(rounded >= remaining)
			is.True(rounded <= max(2*remaining, 4096*time.Millisecond))
			if rounded != previous {
				counted++
			}
			previous = rounded
		}
		is.Equal(previous, time.Duration(0))
		is.True(counted <= changes)
	}
	is := is.New(t)
	is.Equal(RoundCold(time.Nanosecond), 4096*time.Millisecond)
	is.Equal(RoundCold(4097*time.Millisecond), 8192*time.Millisecond)
	is.True(RoundCold(1000*24*time.Hour).Milliseconds() <= maxCold) // the longest that platform accepts
}

// Guards against a request that uses a new state before what depends on it is ready, and
// against calls for revisions that change nothing.
func TestBeforeChange_CalledBeforeNewViewIsInForce(t *testing.T) {
	is := is.New(t)
	c := New((&fakeClock{now: 50}).read)
	var calls int
	c.BeforeChange = func(old, next *View, at boottime.Instant) {
		calls++
		is.Equal(c.View(), old)
		is.True(next != old)
		is.Equal(at, boottime.Instant(40))
	}
	is.True(c.Adopt(State{Revision: 1, Servers: []Server{{ID: "a"}}}, tableVersion(1), 40))
	is.True(c.Adopt(State{Revision: 2, Servers: []Server{{ID: "a"}}}, nil, 45))
	is.Equal(calls, 1)
	is.True(c.Adopt(State{Revision: 3, Servers: []Server{{ID: "a", ColdRemaining: 4096}}}, nil, 40))
	is.Equal(calls, 2)
}
