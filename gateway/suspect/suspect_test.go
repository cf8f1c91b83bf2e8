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
	a.RecordBroken(fp)
	a.RecordBroken(fp)
	is.True(!a.ShouldRefuse(fp))
	b.Merge("a", a.Own())
	b.Merge("a", a.Own()) // the same news counts once
	is.True(!b.ShouldRefuse(fp))
	b.RecordBroken(fp)
	is.True(b.ShouldRefuse(fp))
	b.RecordCompleted(fp) // a run elsewhere doesn't clear it
	is.True(b.ShouldRefuse(fp))
	now = now.Add(ttl)
	is.True(!b.ShouldRefuse(fp))
}

func TestARunToItsEndClearsARequest(t *testing.T) {
	is := is.New(t)
	x := New(time.Now)
	x.RecordBroken(1)
	x.RecordCompleted(1)
	x.RecordBroken(1)
	x.RecordBroken(1)
	is.True(!x.ShouldRefuse(1))
}

// Load pattern: many different requests break in a mass crash.
func TestTheTableIsBounded(t *testing.T) {
	is := is.New(t)
	x := New(time.Now)
	for fp := range uint64(3 * maxKnown) {
		x.RecordBroken(fp)
	}
	is.True(len(x.entries) <= maxKnown)
	is.True(len(x.Own()) <= maxTold)
}
