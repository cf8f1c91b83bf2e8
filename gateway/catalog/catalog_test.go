package catalog

import (
	"testing"
	"time"

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
