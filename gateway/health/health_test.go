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

func start() *fixture {
	f := &fixture{now: time.Unix(1_700_000_000, 0)}
	f.Table = New(func() time.Time { return f.now })
	return f
}

func (f *fixture) rests(id string) bool {
	_, resting := f.Penalty(id)
	return resting
}

// Load pattern: a server goes down and up by turns. Its rests grow, within a
// bound, and end with the first answer.
func TestAServerThatFlapsRestsLonger(t *testing.T) {
	is := is.New(t)
	f := start()
	f.RecordUnreachable("a")
	is.True(f.rests("a"))
	f.now = f.now.Add(firstRest)
	is.True(!f.rests("a"))
	f.RecordUnreachable("a")
	f.now = f.now.Add(firstRest)
	is.True(f.rests("a"))
	for range 10 {
		f.RecordUnreachable("a")
	}
	f.now = f.now.Add(maxRest)
	is.True(!f.rests("a"))
	f.RecordSuccess("a")
	f.RecordUnreachable("a")
	f.now = f.now.Add(firstRest)
	is.True(!f.rests("a"))
}

// Load pattern: a server answers its health checks and fails part of its
// requests. It weighs more, and less again as it recovers.
func TestAGreyServerWeighsMore(t *testing.T) {
	is := is.New(t)
	f := start()
	for range 10 {
		f.RecordFailure("a")
		f.RecordSuccess("a")
	}
	penalty, resting := f.Penalty("a")
	is.True(!resting)
	is.True(penalty > 5)
	for range 20 {
		f.RecordSuccess("a")
	}
	penalty, _ = f.Penalty("a")
	is.True(penalty < 1)
}

func TestServersNotUsedAreForgotten(t *testing.T) {
	is := is.New(t)
	f := start()
	f.RecordFailure("a")
	f.now = f.now.Add(forgetAfter + 1)
	f.Expire()
	is.Equal(len(f.servers), 0)
}
