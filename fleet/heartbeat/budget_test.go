package heartbeat

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"cassialatch.dev/fleet/traffic"
	"cassialatch.dev/wire/peerpb"
)

// TestWithinBudget_DefersLoads checks that load reports are left out of heartbeats
// while the traffic budget is spent, and are sent again once it has recovered.
func TestWithinBudget_DefersLoads(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1_000_000, 0)
	const bytesPerSec = 100
	meter := traffic.NewMeter(bytesPerSec, func() time.Time { return now })
	x := New(Options{Budget: meter})
	loads := []*peerpb.BackendLoad{{Backend: "klang-0", Home: "entry-0", Limit: 8, Seq: 1}}

	is.Equal(len(x.withinBudget(loads)), 1)
	is.True(meter.Allow(traffic.KindLease, 10*bytesPerSec)) // leases are never deferred
	is.Equal(len(x.withinBudget(loads)), 0)
	now = now.Add(time.Minute)
	is.Equal(len(x.withinBudget(loads)), 1)
}
