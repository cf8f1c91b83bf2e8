package peers

import (
	"math/rand/v2"
	"slices"

	"cassialatch.dev/gateway/boottime"
)

// targets returns the daemons to send to in this gossip round. It also removes
// expired daemons from the table.
func (t *Table) targets() []target {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.removeExpired()
	chosen := t.sorted
	if t.large() {
		chosen = t.sampleTargets()
	}
	list := make([]target, len(chosen))
	for i, p := range chosen {
		list[i] = target{ip: p.IP, incarnation: p.incarnation, echo: p.lastSentAt}
	}
	return list
}

// removeExpired removes the daemons that were neither seen nor mentioned for
// peerExpiry, except the seeds. The caller must hold t.mu.
func (t *Table) removeExpired() {
	now := t.clock()
	t.sorted = slices.DeleteFunc(t.sorted, func(p *Peer) bool {
		expired := now.Sub(max(p.lastSeen, p.lastMentioned)) > peerExpiry && !t.isSeed(p.IP)
		if expired {
			delete(t.peers, p.IP)
		}
		return expired
	})
}

// sampleTargets selects up to fanout random daemons and prefers those in the own
// availability zone. The caller must hold t.mu.
func (t *Table) sampleTargets() []*Peer {
	list := append(t.sample[:0], t.sorted...)
	t.sample = list[:0]
	n := 0 // of the own zone, which come first
	for i, p := range list {
		if p.Zone == t.zone {
			list[i], list[n] = list[n], p
			n++
		}
	}
	sameZone, crossZone := list[:n], list[n:]
	crossZoneCount := min(len(crossZone), max(crossZoneFanout, fanout-len(sameZone)))
	sameZoneCount := min(len(sameZone), fanout-crossZoneCount)
	return slices.Concat(sample(sameZone, sameZoneCount), sample(crossZone, crossZoneCount))
}

// sample moves n random elements of a list to its start and returns them.
func sample(list []*Peer, n int) []*Peer {
	for i := range n {
		j := i + rand.IntN(len(list)-i)
		list[i], list[j] = list[j], list[i]
	}
	return list[:n]
}

// target returns the target for a reply to a daemon.
func (t *Table) target(ip string) target {
	t.mu.Lock()
	defer t.mu.Unlock()
	to := target{ip: ip}
	if p, ok := t.peers[ip]; ok {
		to.incarnation, to.echo = p.incarnation, p.lastSentAt
	}
	return to
}

// target is a daemon to send to, with the values to echo to it.
type target struct {
	ip          string
	incarnation uint64
	echo        boottime.Instant
}

// acceptsReports reports whether the daemon understands Message.ServerReports. One from
// which no message has been received yet is assumed to.
func (to *target) acceptsReports() bool {
	return to.incarnation == 0 || to.incarnation&formatMask == formatReports
}
