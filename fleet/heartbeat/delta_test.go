package heartbeat

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"cassialatch.dev/wire/peerpb"
)

func TestLoadDelta_ReturnsOnlyDueLoads(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	idle := func(seq uint64) *peerpb.BackendLoad { return &peerpb.BackendLoad{Backend: "a", Limit: 2, Seq: seq} }
	busy := &peerpb.BackendLoad{Backend: "a", Limit: 2, InFlight: 1, Seq: 4}
	var d loadDelta

	first := d.due([]*peerpb.BackendLoad{idle(1)}, now)
	is.Equal(len(first), 1)
	is.Equal(len(d.due([]*peerpb.BackendLoad{idle(2)}, now)), 1) // not acknowledged yet
	d.ack(first, now)
	is.Equal(len(d.due([]*peerpb.BackendLoad{idle(3)}, now)), 0)
	is.Equal(len(d.due([]*peerpb.BackendLoad{busy}, now)), 1)
	is.Equal(len(d.due([]*peerpb.BackendLoad{idle(5)}, now.Add(loadRefresh))), 1) // due for a refresh
	d.reset()
	is.Equal(len(d.due([]*peerpb.BackendLoad{idle(6)}, now)), 1) // the peer has restarted
}
