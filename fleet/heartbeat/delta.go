package heartbeat

import (
	"time"

	"cassialatch.dev/wire/peerpb"
)

// loadRefresh is the interval at which an unchanged load is sent to a peer again.
// It is well below the time after which a peer discards a load, so that one lost
// heartbeat does no harm.
const loadRefresh = 2 * time.Second

// ackedLoad is the last load of a backend server that a peer acknowledged.
type ackedLoad struct {
	load   *peerpb.BackendLoad
	sentAt time.Time
}

// loadDelta selects the loads to send to one peer: those that changed since the
// peer acknowledged them and those due for a refresh. It is not safe for
// concurrent use. The zero value is ready to use.
type loadDelta struct {
	acked map[string]ackedLoad // by backend server
}

// due returns the loads that differ from the acknowledged ones or are due for a
// refresh.
func (d *loadDelta) due(loads []*peerpb.BackendLoad, now time.Time) []*peerpb.BackendLoad {
	var due []*peerpb.BackendLoad
	for _, load := range loads {
		acked, known := d.acked[load.Backend]
		if !known || now.Sub(acked.sentAt) >= loadRefresh || !sameLoad(acked.load, load) {
			due = append(due, load)
		}
	}
	return due
}

// ack records that the peer acknowledged the loads that were sent at the given
// time. It removes acknowledged loads that have not been sent for two refresh
// intervals, such as those of removed backend servers.
func (d *loadDelta) ack(loads []*peerpb.BackendLoad, sent time.Time) {
	if d.acked == nil {
		d.acked = make(map[string]ackedLoad)
	}
	for id, old := range d.acked {
		if sent.Sub(old.sentAt) >= 2*loadRefresh {
			delete(d.acked, id)
		}
	}
	for _, load := range loads {
		d.acked[load.Backend] = ackedLoad{load: load, sentAt: sent}
	}
}

// reset discards all acknowledgements, since the peer may have restarted.
func (d *loadDelta) reset() { d.acked = nil }

// sameLoad reports whether two load reports have the same figures. It ignores the
// sequence number and the age.
func sameLoad(a, b *peerpb.BackendLoad) bool {
	return a.InFlight == b.InFlight && a.Queued == b.Queued && a.Limit == b.Limit &&
		a.WeightPermille == b.WeightPermille && a.Leaving == b.Leaving
}
