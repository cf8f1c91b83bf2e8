package limit

import (
	"fmt"
	"testing"
	"time"

	"cassialatch.dev/config/dynamic"
	"cassialatch.dev/outcome"
	"github.com/matryer/is"
	"pgregory.net/rapid"
)

func TestLimiter_RateRefusalStatesTimeUntilNextRequest(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1_700_000_000, 0)
	l := New(Options{Now: func() time.Time { return now }})
	ws := &dynamic.Workspace{Name: "a", RequestsPerSec: 2, Burst: 1}
	_, err := l.Acquire(ws)
	is.NoErr(err)
	for range 3 { // refused requests consume no tokens
		_, err = l.Acquire(ws)
		is.Equal(outcome.From(err).Code, outcome.CodeRateLimited)
		is.Equal(outcome.From(err).Outcome, outcome.NotRun)
		is.Equal(outcome.From(err).RetryAfter, 500*time.Millisecond)
	}
	now = now.Add(500 * time.Millisecond)
	_, err = l.Acquire(ws)
	is.NoErr(err)
	ws.RequestsPerSec = 0 // the rate limit is removed from the configuration
	_, err = l.Acquire(ws)
	is.NoErr(err)
}

func TestLimiter_KeepsStateOfBusyWorkspace(t *testing.T) {
	is := is.New(t)
	l := New(Options{MaxIdle: 1})
	ws := &dynamic.Workspace{Name: "a", MaxInFlight: 1}
	release, err := l.Acquire(ws)
	is.NoErr(err)
	for i := range 10 {
		other, err := l.Acquire(&dynamic.Workspace{Name: fmt.Sprint(i)})
		is.NoErr(err)
		other()
	}
	_, err = l.Acquire(ws)
	is.Equal(outcome.From(err).Code, outcome.CodeRateLimited)
	release()
	release()
	_, err = l.Acquire(ws)
	is.NoErr(err)
	is.True(l.idle.Len() <= 1)
}

func TestLimiter_BoundsInFlight(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := New(Options{MaxIdle: 2})
		held := map[string][]func(){}
		for range rapid.IntRange(1, 100).Draw(t, "steps") {
			name := rapid.SampledFrom([]string{"a", "b", "c", "d"}).Draw(t, "workspace")
			if n := len(held[name]); n > 0 && rapid.Bool().Draw(t, "release") {
				held[name][n-1]()
				held[name] = held[name][:n-1]
				continue
			}
			release, err := l.Acquire(&dynamic.Workspace{Name: name, MaxInFlight: 3})
			if (err != nil) != (len(held[name]) == 3) {
				t.Fatalf("%d requests in flight, Acquire returned error %v", len(held[name]), err)
			}
			if err == nil {
				held[name] = append(held[name], release)
			}
		}
	})
}

func BenchmarkAcquireRelease(b *testing.B) {
	l := New(Options{})
	workspaces := make([]*dynamic.Workspace, 2*DefaultMaxIdle)
	for i := range workspaces {
		workspaces[i] = &dynamic.Workspace{Name: fmt.Sprint(i), RequestsPerSec: 1e9, MaxInFlight: 10}
	}
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		if release, err := l.Acquire(workspaces[i%len(workspaces)]); err == nil {
			release()
		}
	}
}
