package quarantine

import (
	"slices"
	"time"
)

// judgeRequest bans the request of a crash if it has crashed often enough. t.mu is
// held.
func (t *Table) judgeRequest(latest *crash, known explanation) {
	var suspects []*crash
	for _, c := range t.crashes {
		if c.Fingerprint == latest.Fingerprint && c.at.After(t.completed[c.Fingerprint]) && !known.covers(c) {
			suspects = append(suspects, c)
		}
	}
	if n := serverCrashes(suspects); n >= requestThreshold {
		t.ban(Ban{Fingerprint: latest.Fingerprint}, latest.at, n)
	}
}

// judgeParts bans the most specific part of a crash for which there is evidence: the
// last one, since fewer requests have it. Parts that all of these crashed runs have are
// banned together: only requests with all of them are refused. t.mu is held.
func (t *Table) judgeParts(latest *crash, known explanation) {
	for _, p := range slices.Backward(latest.Parts) {
		if s := t.evidence(p, known); s != nil {
			t.ban(Ban{Parts: t.commonParts(s)}, latest.at, len(s))
			return
		}
	}
}

// evidence returns the crashes which show that a part crashes servers; nil if there
// are too few. t.mu is held.
func (t *Table) evidence(part uint64, known explanation) []*crash {
	var suspects []*crash
	for _, c := range t.crashes {
		if c.AtStart && c.at.After(t.sound[part]) && slices.Contains(c.Parts, part) && !known.covers(c) {
			suspects = append(suspects, c)
		}
	}
	sortByTime(suspects)
	down := successive(serversDown(suspects), func(a, b *crash) bool { return a.Server != b.Server })
	if t.suffice(down, partThreshold, part) && t.otherRequests(down) >= minOtherRequests {
		return down
	}
	lost := successive(suspects, func(a, b *crash) bool { return a.Fingerprint != b.Fingerprint && !stillDown(a, b) })
	if t.suffice(lost, lostThreshold, part) && numServers(lost) >= minLostServers {
		return lost
	}
	return nil
}

const (
	// reportTime is the time within which daemons receive each other's reports of a crash.
	reportTime = time.Second
	// minUnexplained is the number of crashes without a part that show that it is not
	// the cause of all.
	minUnexplained = 2
)

// suffice reports whether the crashes, which all have the part, are enough to ban it. It
// takes the threshold, or one more if all but one interrupted runs with another part, too:
// that part may be the cause, in a run that has not been reported yet. And no part that
// at most half as many requests have may be the cause. t.mu is held.
func (t *Table) suffice(crashes []*crash, threshold int, part uint64) bool {
	if len(crashes) < threshold {
		return false
	}
	byPart := t.startsByPart(crashes)
	common := t.commonParts(crashes)
	for other, runs := range byPart {
		if other == part || slices.Contains(common, other) {
			continue
		}
		if len(crashes) == threshold && len(runs.crashes) >= threshold-1 {
			return false
		}
		rarer := 2*len(runs.requests) <= len(byPart[part].requests)
		if rarer && t.mayExplain(runs, crashes) {
			return false
		}
	}
	return true
}

// mayExplain reports whether the part of the runs may have caused the crashes: several of
// them interrupted such runs, as did all but one of those whose runs have been reported.
// t.mu is held.
func (t *Table) mayExplain(runs starts, crashes []*crash) bool {
	now := t.now()
	unexplained := 0
	for _, c := range crashes {
		if !runs.crashes[c] && now.Sub(c.at) >= reportTime {
			unexplained++
		}
	}
	return len(runs.crashes) > 1 && unexplained < minUnexplained
}

// starts are the runs with a part that crashes interrupted at their start.
type starts struct {
	requests map[uint64]bool // by fingerprint
	crashes  map[*crash]bool // that interrupted them
}

// startsByPart returns the runs that the crashes interrupted at their start, by part. Parts
// that did no harm since are left out. t.mu is held.
func (t *Table) startsByPart(crashes []*crash) map[uint64]starts {
	byPart := make(map[uint64]starts)
	for _, c := range t.crashes {
		interruptedBy := c.sameCrash(crashes)
		if !c.AtStart || interruptedBy == nil {
			continue
		}
		for _, p := range c.Parts {
			if !c.at.After(t.sound[p]) {
				continue
			}
			s, ok := byPart[p]
			if !ok {
				s = starts{requests: make(map[uint64]bool), crashes: make(map[*crash]bool)}
				byPart[p] = s
			}
			s.requests[c.Fingerprint], s.crashes[interruptedBy] = true, true
		}
	}
	return byPart
}

// otherRequests returns how many of the crashes remain if those that interrupted the
// same request at its start are left out, for the request for which these are most. t.mu
// is held.
func (t *Table) otherRequests(crashes []*crash) int {
	interrupted := make(map[uint64]map[*crash]bool) // by request
	most := 0
	for _, c := range t.crashes {
		interruptedBy := c.sameCrash(crashes)
		if !c.AtStart || interruptedBy == nil {
			continue
		}
		if interrupted[c.Fingerprint] == nil {
			interrupted[c.Fingerprint] = make(map[*crash]bool)
		}
		interrupted[c.Fingerprint][interruptedBy] = true
		most = max(most, len(interrupted[c.Fingerprint]))
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
