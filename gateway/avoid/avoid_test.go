package avoid

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"cassialatch.dev/gateway/catalog"
)

// Load pattern: a server leaves while the store is unavailable, so that its entry
// expires and comes back.
func TestLeaving_OutlivesEntry(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1_700_000_000, 0)
	x := New(func() time.Time { return now })
	s := catalog.Incarnation{ID: "a", Born: 1}
	listed := true
	isListed := func(catalog.Incarnation) bool { return listed }
	x.RecordLeaving(s)
	now = now.Add(unlistedTTL)
	x.Expire(isListed)
	listed = false
	now = now.Add(unlistedTTL - time.Second)
	x.Expire(isListed)
	is.True(x.Leaving(s))
	is.True(!x.Leaving(catalog.Incarnation{ID: "a", Born: 2})) // started again
	now = now.Add(time.Second)
	x.Expire(isListed)
	is.True(!x.Leaving(s))
}

func TestPause_EndsAndIsNotShortened(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1_700_000_000, 0)
	x := New(func() time.Time { return now })
	s := catalog.Incarnation{ID: "a", Born: 1}
	x.RecordPause(s, 2*time.Second)
	x.RecordPause(s, time.Second)
	is.Equal(x.Pause(s), 2*time.Second)
	is.Equal(x.Pause(catalog.Incarnation{ID: "a", Born: 2}), time.Duration(0)) // started again
	now = now.Add(2 * time.Second)
	is.Equal(x.Pause(s), time.Duration(0))
	x.Expire(func(catalog.Incarnation) bool { return true })
	is.Equal(len(x.paused), 0)
	x.RecordPause(s, 100*maxPause)
	is.Equal(x.Pause(s), maxPause)
}
