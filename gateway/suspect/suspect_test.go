package suspect

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestARequestThatCrashesServersIsRefusedEverywhere(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1_700_000_000, 0)
	clock := func() time.Time { return now }
	a, b := New(clock), New(clock)
	fp := Fingerprint("h", "/p", "key", []byte("body"))
	is.True(fp != Fingerprint("h", "/p", "key", []byte("other")))
	a.Broke(fp)
	a.Broke(fp)
	is.True(!a.Refused(fp))
	b.Told("a", a.Own())
	b.Told("a", a.Own()) // the same news counts once
	is.True(!b.Refused(fp))
	b.Broke(fp)
	is.True(b.Refused(fp))
	b.Survived(fp) // a run elsewhere doesn't clear it
	is.True(b.Refused(fp))
	now = now.Add(ttl)
	is.True(!b.Refused(fp))
}

func TestARunToItsEndClearsARequest(t *testing.T) {
	is := is.New(t)
	x := New(time.Now)
	x.Broke(1)
	x.Survived(1)
	x.Broke(1)
	x.Broke(1)
	is.True(!x.Refused(1))
}

// Load pattern: many different requests break in a mass crash.
func TestTheTableIsBounded(t *testing.T) {
	is := is.New(t)
	x := New(time.Now)
	for fp := range uint64(3 * maxKnown) {
		x.Broke(fp)
	}
	is.True(len(x.entries) <= maxKnown)
	is.True(len(x.Own()) <= maxTold)
}
