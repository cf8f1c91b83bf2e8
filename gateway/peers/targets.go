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
	now := t.clock()
	list := make([]target, 0, len(t.peers))
	for ip, p := range t.peers {
		if now.Sub(max(p.lastSeen, p.lastMentioned)) > peerExpiry && !t.isSeed(ip) {
			delete(t.peers, ip)
			continue
		}
		list = append(list, target{ip: ip, incarnation: p.incarnation, echo: p.lastSentAt, crossZone: p.Zone != zoneTag(t.self.Zone)})
	}
	if !t.large() {
		return list
	}
	return sampleTargets(list)
}

// sampleTargets selects up to fanout random targets and prefers those in the same
// availability zone.
func sampleTargets(list []target) []target {
	rand.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	var sameZone, crossZone []target
	for _, to := range list {
		if to.crossZone {
			crossZone = append(crossZone, to)
		} else {
			sameZone = append(sameZone, to)
		}
	}
	crossZoneCount := min(len(crossZone), max(crossZoneFanout, fanout-len(sameZone)))
	sameZoneCount := min(len(sameZone), fanout-crossZoneCount)
	return slices.Concat(sameZone[:sameZoneCount], crossZone[:crossZoneCount])
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
	crossZone   bool // in another availability zone, or the zone is not known yet
}
