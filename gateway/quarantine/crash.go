package quarantine

import (
	"math/rand/v2"
	"slices"
	"time"
)

// Run describes a run that ended when the connection to its server broke.
type Run struct {
	Subject
	Server uint32    // tag of the server's incarnation
	SentAt time.Time // when the request was sent
	// AtStart is set if the server is known to have crashed, and had not begun to
	// write the response, or only just. Only then its parts are suspected.
	AtStart bool
}

// crash is a run that was interrupted by a crash, as observed by some daemon.
type crash struct {
	Run
	at             time.Time
	completedSince bool // the same request has run to its end since
}

// clockSlack is by how much the times of runs that different daemons have reported
// may deviate from each other.
const clockSlack = 20 * time.Millisecond

// RecordCrash records a run of this daemon that a crash has interrupted.
func (t *Table) RecordCrash(r *Run) {
	t.mu.Lock()
	defer t.mu.Unlock()
	c := &crash{Run: *r, at: t.now()}
	if !c.AtStart {
		c.Parts = nil
	}
	t.add(rand.Uint64(), c)
}

// add adds a crash that the table doesn't have, and decides on what has caused it.
// t.mu is held.
func (t *Table) add(id uint64, c *crash) {
	if len(t.crashes) >= maxCrashes {
		t.evict()
	}
	t.crashes[id] = c
	for _, b := range t.bans {
		if b.covers(c.Fingerprint, c.Parts) && c.at.After(b.at) {
			b.at = c.at
		}
	}
	explained := t.explained()
	if explained[c.Server] {
		return
	}
	if c.AtStart {
		t.judgeParts(c, explained)
		explained = t.explained()
	}
	if !explained[c.Server] {
		t.judgeRequest(c, explained)
	}
}

// explained returns the servers whose crash is explained by a part that is banned:
// what else was running there is not suspected. t.mu is held.
func (t *Table) explained() map[uint32]bool {
	servers := make(map[uint32]bool)
	for _, b := range t.bans {
		if len(b.Parts) == 0 {
			continue
		}
		for _, c := range t.crashes {
			if b.covers(c.Fingerprint, c.Parts) {
				servers[c.Server] = true
			}
		}
	}
	return servers
}

// judgeRequest bans the request of a crash if it has crashed often enough. t.mu is
// held.
func (t *Table) judgeRequest(latest *crash, explained map[uint32]bool) {
	n := 0
	for _, c := range t.crashes {
		if c.Fingerprint == latest.Fingerprint && !c.completedSince && !explained[c.Server] {
			n++
		}
	}
	if n >= requestThreshold {
		t.ban(Ban{Fingerprint: latest.Fingerprint}, latest.at, n)
	}
}

// judgeParts bans the most specific part of a crash that explains enough crashes:
// the last, since fewer requests have it. Parts that were present in all of these are
// banned together: only requests with all of them are refused. t.mu is held.
func (t *Table) judgeParts(latest *crash, explained map[uint32]bool) {
	threshold := partThreshold
	for _, p := range slices.Backward(latest.Parts) {
		s := t.successiveCrashes(p, explained)
		if len(s) >= threshold && t.otherRequests(s) >= minOtherRequests {
			t.ban(Ban{Parts: t.commonParts(s)}, latest.at, len(s))
			return
		}
		threshold = partThreshold + 1
	}
}

// successiveCrashes returns crashes of different servers at the start of a run with
// the part, since the part last did no harm. Each run began after the crash before:
// servers that fail together count once. t.mu is held.
func (t *Table) successiveCrashes(part uint64, explained map[uint32]bool) []*crash {
	var all []*crash
	for _, c := range t.crashes {
		if c.AtStart && !explained[c.Server] && c.at.After(t.sound[part]) && slices.Contains(c.Parts, part) {
			all = append(all, c)
		}
	}
	slices.SortFunc(all, func(a, b *crash) int { return a.at.Compare(b.at) })
	var successive []*crash
	var end time.Time
	for _, c := range all {
		sameServer := slices.ContainsFunc(successive, func(o *crash) bool { return o.Server == c.Server })
		if sameServer || c.SentAt.Before(end.Add(-clockSlack)) {
			continue
		}
		successive = append(successive, c)
		end = c.at
	}
	return successive
}

// otherRequests returns how many of the crashes of these servers remain if the
// request that was at its start on most of them is left out. t.mu is held.
func (t *Table) otherRequests(crashes []*crash) int {
	servers := make(map[uint64]map[uint32]bool) // by request
	most := 0
	for _, c := range t.crashes {
		if !c.AtStart || !slices.ContainsFunc(crashes, func(o *crash) bool { return o.Server == c.Server }) {
			continue
		}
		if servers[c.Fingerprint] == nil {
			servers[c.Fingerprint] = make(map[uint32]bool)
		}
		servers[c.Fingerprint][c.Server] = true
		most = max(most, len(servers[c.Fingerprint]))
	}
	return len(crashes) - most
}

// commonParts returns the parts that all of the crashed runs have and that did no
// harm since the first of these crashes. t.mu is held.
func (t *Table) commonParts(crashes []*crash) []uint64 {
	var common []uint64
	for _, p := range crashes[0].Parts {
		inAll := !slices.ContainsFunc(crashes, func(c *crash) bool { return !slices.Contains(c.Parts, p) })
		if inAll && !t.sound[p].After(crashes[0].at) && !slices.Contains(common, p) {
			common = append(common, p)
		}
	}
	slices.Sort(common)
	return common
}

// evict makes room by removing the oldest of a few crashes. Scanning all of them for
// each new one would cost too much CPU time during a mass crash. t.mu is held.
func (t *Table) evict() {
	const sample = 8
	var oldest uint64
	var at time.Time
	seen := 0
	for id, c := range t.crashes {
		if seen == 0 || c.at.Before(at) {
			oldest, at = id, c.at
		}
		if seen++; seen == sample {
			break
		}
	}
	delete(t.crashes, oldest)
}
