package catalog

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"cassialatch.dev/gateway/boottime"
	"cassialatch.dev/gateway/route"
)

type clock struct{ now boottime.Instant }

func (c *clock) read() boottime.Instant { return c.now }

func version(v int64) *route.Table { return route.NewTable(&route.Config{Version: v}) }

func TestRevisionsAndVersionsOnlyRise(t *testing.T) {
	is := is.New(t)
	ck := &clock{now: 1}
	c := New(ck.read)
	is.True(c.Adopt(State{Revision: 10, RawRev: 9}, version(5), 1))
	is.True(!c.Adopt(State{Revision: 8, RawRev: 7}, version(4), 1))
	is.Equal(c.View().Table.Version(), int64(5))
	// A later revision with an older document keeps the newer document.
	is.True(c.Adopt(State{Revision: 12, RawRev: 7}, version(4), 1))
	is.Equal(c.View().Table.Version(), int64(5))
	is.Equal(c.State().RawRev, int64(9))
}

// The lease on API keys is measured from the moment the read was sent, and by a
// clock that runs during a suspend.
func TestAConfirmationIsDatedByItsRead(t *testing.T) {
	is := is.New(t)
	ck := &clock{now: 1000}
	c := New(ck.read)
	_, ok := c.Age()
	is.True(!ok)
	c.Adopt(State{Revision: 1}, version(1), 400)
	age, ok := c.Age()
	is.True(ok)
	is.Equal(age, 600*time.Nanosecond)
	ck.now = 5000
	is.True(c.Confirm(2, c.View().Hash, 4900))
	is.True(c.Confirm(2, c.View().Hash, 300)) // an older one changes nothing
	age, _ = c.Age()
	is.Equal(age, 100*time.Nanosecond)
}

func TestAConfirmationOfOtherContentsIsNone(t *testing.T) {
	is := is.New(t)
	ck := &clock{now: 1000}
	c := New(ck.read)
	c.Adopt(State{Revision: 5, Servers: []Server{{ID: "a"}}}, version(1), 1)
	is.True(!c.Confirm(9, c.View().Hash+1, 900))
	is.True(!c.Confirm(4, c.View().Hash, 900)) // from before our revision
	age, _ := c.Age()
	is.Equal(age, 999*time.Nanosecond)
}

func TestDrainingServersTakeNoNewRequests(t *testing.T) {
	is := is.New(t)
	c := New((&clock{now: 1}).read)
	c.Adopt(State{Revision: 1, Servers: []Server{
		{ID: "a", Service: "s"}, {ID: "b", Service: "s", Draining: true},
	}}, version(1), 1)
	v := c.View()
	is.Equal(len(v.ByService["s"]), 1)
	is.Equal(v.DrainingByService["s"][0].ID, "b")
	is.Equal(len(v.Servers), 2)
}

func TestARestartUnderTheSameIDIsAnotherIncarnation(t *testing.T) {
	is := is.New(t)
	old, again := Server{ID: "a", Born: 1}, Server{ID: "a", Born: 2}
	is.True(old.Tag() != again.Tag())
	is.True(old.Incarnation() != again.Incarnation())
}

func TestAChangeIsAnnounced(t *testing.T) {
	is := is.New(t)
	c := New((&clock{now: 1}).read)
	changed := c.Changed()
	c.Adopt(State{Revision: 1}, version(1), 1)
	select {
	case <-changed:
	default:
		t.Fatal("the change was not announced")
	}
	changed = c.Changed()
	c.Adopt(State{Revision: 2}, nil, 1) // the same contents
	select {
	case <-changed:
		is.Fail()
	default:
	}
}

// What a daemon tells its peers must not join an old state with the younger
// confirmation of a newer one: they would accept keys that are taken away.
func TestAConfirmationBelongsToItsState(t *testing.T) {
	is := is.New(t)
	const end = 20_000
	c := New(func() boottime.Instant { return end })
	c.Adopt(State{Revision: 1, RawRev: 1}, version(1), 1)
	done := make(chan struct{})
	go func() {
		defer close(done)
		for rev := int64(2); rev < end; rev++ {
			c.Adopt(State{Revision: rev, RawRev: rev}, version(rev), boottime.Instant(rev))
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
