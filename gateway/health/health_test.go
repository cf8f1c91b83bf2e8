package health

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

type fixture struct {
	*Table
	now time.Time
}

func newFixture() *fixture {
	f := &fixture{now: time.Unix(1_700_000_000, 0)}
	f.Table = New(func() time.Time { return f.now })
	return f
}

func (f *fixture) inBackoff(id string) bool {
	_, inBackoff := f.Penalty(id)
	return inBackoff
}

// Load pattern: a server goes down and up repeatedly. Its backoff grows up to
// maxBackoff, and the first success resets it.
func TestRecordUnreachable_BackoffGrowsUntilSuccess(t *testing.T) {
	is := is.New(t)
	f := newFixture()
	f.RecordUnreachable("a")
	is.True(f.inBackoff("a"))
	f.now = f.now.Add(initialBackoff)
	is.True(!f.inBackoff("a"))
	f.RecordUnreachable("a")
	f.now = f.now.Add(initialBackoff)
	is.True(f.inBackoff("a"))
	for range 10 {
		f.RecordUnreachable("a")
	}
	f.now = f.now.Add(maxBackoff)
	is.True(!f.inBackoff("a"))
	f.RecordSuccess("a")
	f.RecordUnreachable("a")
	f.now = f.now.Add(initialBackoff)
	is.True(!f.inBackoff("a"))
}

// Load pattern: a server responds to its health checks but fails part of its
// requests. Its penalty rises, and falls again when it recovers.
func TestPenalty_FollowsFailureRate(t *testing.T) {
	is := is.New(t)
	f := newFixture()
	for range 10 {
		f.RecordFailure("a")
		f.RecordSuccess("a")
	}
	penalty, inBackoff := f.Penalty("a")
	is.True(!inBackoff)
	is.True(penalty > 5)
	for range 20 {
		f.RecordSuccess("a")
	}
	penalty, _ = f.Penalty("a")
	is.True(penalty < 1)
}

func TestExpireRemovesUnusedServers(t *testing.T) {
	is := is.New(t)
	f := newFixture()
	f.RecordFailure("a")
	f.now = f.now.Add(idleTTL + 1)
	f.Expire()
	is.Equal(len(f.servers), 0)
}
