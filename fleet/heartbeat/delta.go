package heartbeat

import (
	"time"

	"cassialatch.dev/wire/peerpb"
)

// loadRefresh is how often a peer hears of a load that stays the same. It is
// well below the time after which load figures are forgotten, so that one lost
// heartbeat does no harm.
const loadRefresh = 2 * time.Second

// sentLoad is what a peer has acknowledged of one backend server.
type sentLoad struct {
	load *peerpb.BackendLoad
	at   time.Time
}

// loadDelta picks the loads that a peer does not know yet. One goroutine uses
// it.
type loadDelta struct {
	acked map[string]sentLoad // by backend server
}

// news returns the loads that differ from the acknowledged ones or are due to
// be told again.
func (d *loadDelta) news(loads []*peerpb.BackendLoad, now time.Time) []*peerpb.BackendLoad {
	var news []*peerpb.BackendLoad
	for _, load := range loads {
		sent, known := d.acked[load.Backend]
		if !known || now.Sub(sent.at) >= loadRefresh || !sameLoad(sent.load, load) {
			news = append(news, load)
		}
	}
	return news
}

// ack notes that the peer has taken loads that were sent at a time. What it
// knows of backend servers that are no longer told is forgotten in time.
func (d *loadDelta) ack(loads []*peerpb.BackendLoad, sent time.Time) {
	if d.acked == nil {
		d.acked = make(map[string]sentLoad)
	}
	for id, old := range d.acked {
		if sent.Sub(old.at) >= 2*loadRefresh {
			delete(d.acked, id)
		}
	}
	for _, load := range loads {
		d.acked[load.Backend] = sentLoad{load: load, at: sent}
	}
}

// reset forgets what the peer knows: it may have become another process.
func (d *loadDelta) reset() { d.acked = nil }

// sameLoad reports whether two accounts say the same.
func sameLoad(a, b *peerpb.BackendLoad) bool {
	return a.InFlight == b.InFlight && a.Queued == b.Queued && a.Limit == b.Limit &&
		a.WeightPermille == b.WeightPermille && a.Leaving == b.Leaving
}
