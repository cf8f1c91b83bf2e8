package retry

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

func TestBudget_BoundsRetries(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1_700_000_000, 0)
		start := now
		ratio, perSec := rapid.Float64Range(0, 1).Draw(t, "ratio"), rapid.Float64Range(0, 2).Draw(t, "min")
		b := NewBudget(ratio, perSec, func() time.Time { return now })
		requests, allowed := 0, 0
		for _, step := range rapid.SliceOfN(rapid.IntRange(0, 2), 1, 200).Draw(t, "steps") {
			switch step {
			case 0:
				requests++
				b.RecordRequest()
			case 1:
				if b.Allow() {
					allowed++
				}
			case 2:
				now = now.Add(time.Duration(rapid.IntRange(1, 3000).Draw(t, "ms")) * time.Millisecond)
			}
			bound := ratio*float64(requests) + perSec*(now.Sub(start).Seconds()+1)
			if float64(allowed) > bound+1e-6 {
				t.Fatalf("%d retries allowed, bound is %f", allowed, bound)
			}
		}
	})
}

// Credit from a time without retries must not pay for a retry storm.
func TestBudget_UnusedCreditDecaysToOneRetry(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1_700_000_000, 0)
	b := NewBudget(1, 0, func() time.Time { return now })
	for range 1000 {
		b.RecordRequest()
	}
	now = now.Add(10 * time.Minute)
	is.True(b.Allow())
	is.True(!b.Allow())
}

func BenchmarkRecordRequestAllow(b *testing.B) {
	budget := NewBudget(0.1, 1, nil)
	for b.Loop() {
		budget.RecordRequest()
		budget.Allow()
	}
}
