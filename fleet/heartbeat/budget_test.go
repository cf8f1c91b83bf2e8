package heartbeat

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"cassialatch.dev/fleet/traffic"
	"cassialatch.dev/wire/peerpb"
)

func TestLoadsWaitWhileTheBudgetIsSpent(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1_000_000, 0)
	const bytesPerSec = 100
	meter := traffic.NewMeter(bytesPerSec, func() time.Time { return now })
	x := New(Options{Budget: meter})
	loads := []*peerpb.BackendLoad{{Backend: "klang-0", Home: "entry-0", Limit: 8, Seq: 1}}

	is.Equal(len(x.affordable(loads)), 1)
	is.True(meter.Allow(traffic.KindLease, 10*bytesPerSec)) // leases never wait
	is.Equal(len(x.affordable(loads)), 0)
	now = now.Add(time.Minute)
	is.Equal(len(x.affordable(loads)), 1)
}
