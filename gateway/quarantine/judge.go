package quarantine

import (
	"slices"
	"time"
)

// judgeRequest bans the request of a crash if it has crashed often enough. t.mu is
// held.
func (t *Table) judgeRequest(latest *crash, known explanation) {
	suspects := t.apart(t.requestCrashes(latest.Fingerprint, known), known)
	if down := serverCrashes(serversDown(suspects)); len(down) >= requestThreshold {
		t.banFor(Ban{Fingerprint: latest.Fingerprint, ServersDown: true}, down)
		return
	}
	sameRequest := func(c *crash) bool { return c.Fingerprint == latest.Fingerprint }
	lost := successive(t.unexpectedlyLost(suspects, known, sameRequest), func(a, b *crash) bool { return !stillDown(a, b) })
	if len(lost) >= lostThreshold && numServers(lost) >= minLostServers && span(lost) >= reportTime {
		t.banFor(Ban{Fingerprint: latest.Fingerprint}, lost)
	}
}

// requestCrashes returns the crashes that interrupted a request since it last ran to its
// end and that are not explained, sorted by time. t.mu is held.
func (t *Table) requestCrashes(fingerprint uint64, known explanation) []*crash {
	var list []*crash
	for _, c := range t.crashes {
		if c.Fingerprint == fingerprint && c.at.After(t.completed[fingerprint].at) && !known.covers(c) {
			list = append(list, c)
		}
	}
	sortByTime(list)
	return list
}

// banFor bans what has caused the crashes, which are sorted by time. t.mu is held.
func (t *Table) banFor(b Ban, crashes []*crash) {
	t.ban(b, crashes[0].at, crashes[len(crashes)-1].at, len(crashes))
}

// lostTogether is the time within which a server that loses responses may lose several.
const lostTogether = 10 * time.Second

// unexpectedlyLost returns those of the runs whose server has not lost the response to a
// request of another kind at about that time: if it has, it loses them whatever they are.
// sameKind reports whether a run is of the kind that all of the runs are of. t.mu is held.
func (t *Table) unexpectedlyLost(runs []*crash, known explanation, sameKind func(*crash) bool) []*crash {
	losing := make(map[uint32][]*crash) // runs of another kind, by server
	for _, c := range t.crashes {
		if !c.ServerDown && !sameKind(c) && !known.covers(c) && c.sameCrash(runs) == nil {
			losing[c.Server] = append(losing[c.Server], c)
		}
	}
	return slices.DeleteFunc(slices.Clone(runs), func(r *crash) bool {
		return slices.ContainsFunc(losing[r.Server], func(c *crash) bool { return c.at.Sub(r.at).Abs() < lostTogether })
	})
}

// judgeParts bans the most specific part of a crash for which there is evidence: the
// last one, since fewer requests have it. Parts that all of these crashed runs have are
// banned together: only requests with all of them are refused. If servers went down, that
// waits until judgeAt. t.mu is held.
func (t *Table) judgeParts(latest *crash, known explanation) {
	for _, p := range slices.Backward(latest.Parts) {
		s := t.evidence(p, known)
		if s == nil {
			continue
		}
		down := !slices.ContainsFunc(s, func(c *crash) bool { return !c.ServerDown })
		if due := t.judgeAt(s, known); down && t.now().Before(due) {
			t.deferJudgement(p, latest, due)
			return
		}
		t.banFor(Ban{Parts: t.commonParts(s), ServersDown: down}, s)
		return
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
	// reportTime is the time within which daemons receive each other's reports of a crash,
	// or of a run that went well.
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
