package heartbeat

import (
	"sync"

	"cassialatch.dev/wire/peerpb"
)

// latest is the newest heartbeat of one peer that was answered.
type latest struct {
	incarnation uint64
	seq         uint64
}

// arrivals tells heartbeats that come late from those that come in order. A
// release that was delayed must not take back a share that was claimed again
// since.
type arrivals struct {
	mu    sync.Mutex
	peers map[string]latest // by daemon id
}

// inOrder runs handle unless a later heartbeat of the same incarnation has been
// answered. Heartbeats are handled one at a time.
func (a *arrivals) inOrder(req *peerpb.HeartbeatRequest, handle func()) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.peers == nil {
		a.peers = make(map[string]latest)
	}
	last := a.peers[req.From.Id]
	if last.incarnation == req.From.Incarnation && req.Seq <= last.seq {
		return
	}
	a.peers[req.From.Id] = latest{incarnation: req.From.Incarnation, seq: req.Seq}
	handle()
}
