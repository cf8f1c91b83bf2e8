package quarantine

import (
	"testing"
	"time"

	"cassialatch.dev/wire/engineapi"
	"cassialatch.dev/wire/peerpb"
	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// clock is a clock that tests advance.
type clock struct{ t time.Time }

func newClock() *clock                   { return &clock{time.Unix(1_700_000_000, 0)} }
func (c *clock) now() time.Time          { return c.t }
func (c *clock) advance(d time.Duration) { c.t = c.t.Add(d) }

const testFingerprint = 7

func TestTable_RefusesAfterSecondCrashUntilExpiry(t *testing.T) {
	is := is.New(t)
	c := newClock()
	table := New(Options{TTL: time.Minute}, c.now)
	is.Equal(table.Check(testFingerprint), Clear)
	table.RecordCrash(testFingerprint)
	is.Equal(table.Check(testFingerprint), Suspect)
	table.RecordCrash(testFingerprint)
	table.RecordCompleted(testFingerprint) // does not clear a refused request
	is.Equal(table.Check(testFingerprint), Refused)
	c.advance(time.Minute)
	is.Equal(table.Check(testFingerprint), Clear)
}

func TestTable_MergeIgnoresDelayedCopiesOfClearedEntry(t *testing.T) {
	is := is.New(t)
	c := newClock()
	table, peer := New(Options{}, c.now), New(Options{}, c.now)
	table.RecordCrash(testFingerprint)
	peer.Merge(table.Export(10))
	table.RecordCompleted(testFingerprint)
	c.advance(time.Second)
	table.Merge(peer.Export(10))
	is.Equal(table.Check(testFingerprint), Clear)
	peer.RecordCrash(testFingerprint) // a second crash
	table.Merge(peer.Export(10))
	is.Equal(table.Check(testFingerprint), Refused)
}

func TestTable_MergeOfNewCrashKeepsCountOfExpiredEntry(t *testing.T) {
	is := is.New(t)
	c := newClock()
	table, newPeer := New(Options{TTL: time.Minute}, c.now), New(Options{TTL: time.Minute}, c.now)
	table.RecordCrash(testFingerprint)
	table.RecordCrash(testFingerprint)
	c.advance(time.Minute)
	newPeer.RecordCrash(testFingerprint)
	table.Merge(newPeer.Export(10))
	is.Equal(table.Check(testFingerprint), Refused) // two crashes of the expired entry
}

func TestTable_IgnoresZeroFingerprint(t *testing.T) {
	is := is.New(t)
	table := New(Options{}, nil)
	table.RecordCrash(0)
	is.Equal(table.Check(0), Clear)
}

func TestTable_ExportRotatesThroughAllEntries(t *testing.T) {
	is := is.New(t)
	table := New(Options{}, newClock().now)
	for fp := range uint64(20) {
		table.RecordCrash(fp + 1)
	}
	seen := map[uint64]bool{}
	for range 10 {
		page := table.Export(4)
		is.Equal(len(page), 4)
		for _, q := range page {
			seen[q.Fingerprint] = true
		}
	}
	is.Equal(len(seen), 20)
}

func TestFingerprint_DependsOnContentOnly(t *testing.T) {
	is := is.New(t)
	a := []engineapi.Message{{Role: "user", Content: "bell"}}
	is.Equal(Fingerprint("m", a), Fingerprint("m", append([]engineapi.Message{}, a...)))
	is.True(Fingerprint("m", a) != Fingerprint("m", append(a, a...)))
}

// Tables that exchange entries with random delays must not extend the expiry of an entry
// through each other: it must have expired in all of them after its time to live and
// the slack.
func TestTable_DelayedCopiesDoNotExtendExpiry(t *testing.T) {
	const ttl = time.Minute
	rapid.Check(t, func(t *rapid.T) {
		c := newClock()
		tables := make([]*Table, rapid.IntRange(2, 6).Draw(t, "tables"))
		for i := range tables {
			tables[i] = New(Options{TTL: ttl}, c.now)
		}
		tables[0].RecordCrash(testFingerprint)
		tables[0].RecordCrash(testFingerprint)
		type message struct {
			at      time.Time
			to      int
			entries []*peerpb.Quarantined
		}
		var inFlight []message
		for end := c.t.Add(ttl + ttl/slackDivisor); c.t.Before(end); c.advance(time.Second) {
			for _, m := range inFlight {
				if m.at.Equal(c.t) {
					tables[m.to].Merge(m.entries)
				}
			}
			from := rapid.IntRange(0, len(tables)-1).Draw(t, "from")
			to := rapid.IntRange(0, len(tables)-1).Draw(t, "to")
			delay := time.Duration(rapid.IntRange(1, 3).Draw(t, "delay")) * time.Second
			inFlight = append(inFlight, message{c.t.Add(delay), to, tables[from].Export(10)})
		}
		for i, table := range tables {
			if table.Check(testFingerprint) != Clear {
				t.Fatalf("table %d still holds the entry", i)
			}
		}
	})
}

func BenchmarkCheck(b *testing.B) {
	table := New(Options{}, nil)
	for fp := range uint64(DefaultMaxEntries) {
		table.RecordCrash(fp + 1)
	}
	b.ReportAllocs()
	for b.Loop() {
		table.Check(testFingerprint)
	}
}

func BenchmarkExport(b *testing.B) {
	table := New(Options{}, nil)
	for fp := range uint64(DefaultMaxEntries) {
		table.RecordCrash(fp + 1)
	}
	b.ReportAllocs()
	for b.Loop() {
		table.Export(16)
	}
}
