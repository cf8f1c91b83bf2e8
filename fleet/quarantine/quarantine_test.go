package quarantine

import (
	"testing"
	"time"

	"cassialatch.dev/wire/engineapi"
	"cassialatch.dev/wire/peerpb"
	"github.com/matryer/is"
	"pgregory.net/rapid"
)

type clock struct{ t time.Time }

func newClock() *clock                { return &clock{time.Unix(1_700_000_000, 0)} }
func (c *clock) now() time.Time       { return c.t }
func (c *clock) pass(d time.Duration) { c.t = c.t.Add(d) }

const poison = 7

func TestSecondCrashQuarantinesUntilItsTimeToLiveEnds(t *testing.T) {
	is := is.New(t)
	c := newClock()
	table := New(Options{TTL: time.Minute}, c.now)
	is.Equal(table.Check(poison), Clear)
	table.RecordCrash(poison)
	is.Equal(table.Check(poison), Suspect)
	table.RecordCrash(poison)
	table.RecordCompleted(poison) // one that crashed twice is not cleared
	is.Equal(table.Check(poison), Refused)
	c.pass(time.Minute)
	is.Equal(table.Check(poison), Clear)
}

func TestInnocentSuspectStaysClearedAgainstEchoes(t *testing.T) {
	is := is.New(t)
	c := newClock()
	table, peer := New(Options{}, c.now), New(Options{}, c.now)
	table.RecordCrash(poison)
	peer.Import(table.Export(10))
	table.RecordCompleted(poison)
	c.pass(time.Second)
	table.Import(peer.Export(10))
	is.Equal(table.Check(poison), Clear)
	peer.RecordCrash(poison) // a further crash is no echo
	table.Import(peer.Export(10))
	is.Equal(table.Check(poison), Refused)
}

func TestCrashAfterTheEndIsKnownFromANewPeer(t *testing.T) {
	is := is.New(t)
	c := newClock()
	table, newcomer := New(Options{TTL: time.Minute}, c.now), New(Options{TTL: time.Minute}, c.now)
	table.RecordCrash(poison)
	table.RecordCrash(poison)
	c.pass(time.Minute)
	newcomer.RecordCrash(poison)
	table.Import(newcomer.Export(10))
	is.Equal(table.Check(poison), Refused) // the count of the ended entry stands
}

func TestRequestWithoutFingerprintIsClear(t *testing.T) {
	is := is.New(t)
	table := New(Options{}, nil)
	table.RecordCrash(0)
	is.Equal(table.Check(0), Clear)
}

func TestExportBringsEveryEntryInTurn(t *testing.T) {
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

func TestFingerprintIgnoresAllButContent(t *testing.T) {
	is := is.New(t)
	a := []engineapi.Message{{Role: "user", Content: "bell"}}
	is.Equal(Fingerprint("m", a), Fingerprint("m", append([]engineapi.Message{}, a...)))
	is.True(Fingerprint("m", a) != Fingerprint("m", append(a, a...)))
}

// Tables that gossip with random delays must not keep an entry alive between
// them after its time to live and the slack.
func TestEchoesDoNotExtendALife(t *testing.T) {
	const ttl = time.Minute
	rapid.Check(t, func(t *rapid.T) {
		c := newClock()
		tables := make([]*Table, rapid.IntRange(2, 6).Draw(t, "tables"))
		for i := range tables {
			tables[i] = New(Options{TTL: ttl}, c.now)
		}
		tables[0].RecordCrash(poison)
		tables[0].RecordCrash(poison)
		type message struct {
			at      time.Time
			to      int
			entries []*peerpb.Quarantined
		}
		var onTheWay []message
		for end := c.t.Add(ttl + ttl/slackDivisor); c.t.Before(end); c.pass(time.Second) {
			for _, m := range onTheWay {
				if m.at.Equal(c.t) {
					tables[m.to].Import(m.entries)
				}
			}
			from := rapid.IntRange(0, len(tables)-1).Draw(t, "from")
			to := rapid.IntRange(0, len(tables)-1).Draw(t, "to")
			delay := time.Duration(rapid.IntRange(1, 3).Draw(t, "delay")) * time.Second
			onTheWay = append(onTheWay, message{c.t.Add(delay), to, tables[from].Export(10)})
		}
		for i, table := range tables {
			if table.Check(poison) != Clear {
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
		table.Check(poison)
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
