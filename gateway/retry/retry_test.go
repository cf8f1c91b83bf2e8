package retry

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

func singleDaemon() int { return 1 }

// Load pattern: responses are lost and callers retry immediately, under traffic
// that alternates between 50 requests/s and none every 10 s. In no window may the
// retries exceed the ratio of the requests plus the slack.
func TestBudgetBoundsRetriesInAnyWindow(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1_700_000_000, 0)
	o := Options{Ratio: 0.2, Slack: 10, Window: 10 * time.Second}
	b := New(o, singleDaemon, func() time.Time { return now })
	type event struct {
		at    time.Time
		retry bool
	}
	var events []event
	for step := range 4000 {
		now = now.Add(20 * time.Millisecond)
		if step/500%2 == 0 { // traffic alternates between on and off
			b.RecordRequest("s")
			events = append(events, event{at: now})
		}
		for range 3 {
			if b.Allow("s") {
				events = append(events, event{at: now, retry: true})
			}
		}
	}
	for i, first := range events {
		requests, retries := 0, 0
		for _, e := range events[i:] {
			if e.at.Sub(first.at) >= o.Window {
				break
			}
			if e.retry {
				retries++
			} else {
				requests++
			}
		}
		// The budget may still count the requests of the preceding window, so
		// the larger of the two counts applies.
		before := 0
		for _, e := range events[:i] {
			if !e.retry && first.at.Sub(e.at) <= o.Window {
				before++
			}
		}
		is.True(float64(retries) <= o.Ratio*float64(max(requests, before))+o.Slack)
	}
}

func TestBudgetDividesSlackAmongDaemons(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1_700_000_000, 0)
	o := Options{Ratio: 0, Slack: 90, Window: 10 * time.Second}
	b := New(o, func() int { return 9 }, func() time.Time { return now })
	allowed := 0
	for range 100 {
		if b.Allow("s") {
			allowed++
		}
	}
	is.True(allowed <= 10)
	is.True(allowed >= 5)
	is.True(b.Allow("another service"))
}
