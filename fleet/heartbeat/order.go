package heartbeat

import (
	"sync"

	"cassialatch.dev/wire/peerpb"
)

// lastHandled identifies the latest heartbeat of one peer that was handled.
type lastHandled struct {
	incarnation uint64
	seq         uint64
}

// heartbeatOrder detects heartbeats that arrive out of order. A delayed release
// must not end a lease on a share that its holder has claimed again since. It is
// safe for concurrent use.
type heartbeatOrder struct {
	mu    sync.Mutex
	peers map[string]lastHandled // by daemon ID
}

// runInOrder calls handle unless this heartbeat or a later one of the same
// incarnation was already handled. It makes one call at a time.
func (o *heartbeatOrder) runInOrder(req *peerpb.HeartbeatRequest, handle func()) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.peers == nil {
		o.peers = make(map[string]lastHandled)
	}
	last := o.peers[req.From.Id]
	if last.incarnation == req.From.Incarnation && req.Seq <= last.seq {
		return
	}
	o.peers[req.From.Id] = lastHandled{incarnation: req.From.Incarnation, seq: req.Seq}
	handle()
}
