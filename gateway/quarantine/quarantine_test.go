package quarantine

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestShouldRefuse_SumsCrashesOfAllDaemons(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1_700_000_000, 0)
	clock := func() time.Time { return now }
	a, b := New(clock), New(clock)
	fp := Fingerprint("h", "/p", "key", []byte("body"))
	is.True(fp != Fingerprint("h", "/p", "key", []byte("other")))
	a.RecordCrash(fp)
	a.RecordCrash(fp)
	is.True(!a.ShouldRefuse(fp))
	b.Merge("a", a.Own())
	b.Merge("a", a.Own()) // a repeated message counts once
	is.True(!b.ShouldRefuse(fp))
	b.RecordCrash(fp)
	is.True(b.ShouldRefuse(fp))
	b.RecordCompleted(fp) // a completed run doesn't clear a refused request
	is.True(b.ShouldRefuse(fp))
	now = now.Add(countTTL)
	is.True(!b.ShouldRefuse(fp))
}

func TestRecordCompleted_ClearsCounts(t *testing.T) {
	is := is.New(t)
	x := New(time.Now)
	x.RecordCrash(1)
	x.RecordCompleted(1)
	x.RecordCrash(1)
	x.RecordCrash(1)
	is.True(!x.ShouldRefuse(1))
}

// Load pattern: many different requests are interrupted by a mass crash of
// servers. The table and the message to peers keep their maximum size.
func TestRecordCrash_LimitsTableSize(t *testing.T) {
	is := is.New(t)
	x := New(time.Now)
	for fp := range uint64(3 * maxEntries) {
		x.RecordCrash(fp)
	}
	is.True(len(x.entries) <= maxEntries)
	is.True(len(x.Own()) <= maxAdvertised)
}
