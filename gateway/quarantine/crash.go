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
	// AtStart is set if the server had not begun to write the response, or only just.
	// Only then its parts are suspected.
	AtStart bool
	// ServerDown is set if the server accepts no connections any more. Otherwise it
	// may have lost the response and gone on, or only a part of it has crashed.
	ServerDown bool
}

// crash is a run that was interrupted by a crash, as observed by some daemon.
type crash struct {
	Run
	at             time.Time
	local          bool // observed by this daemon
	completedSince bool // the same request has run to its end since
}

// clockSlack is by how much the times of runs that different daemons have reported
// may deviate from each other.
const clockSlack = 20 * time.Millisecond

// begunAfter reports whether the run began after an earlier crash, so that something
// else has interrupted it. Where the times may deviate, a run that ended together with
// the other one did not.
func (c *crash) begunAfter(earlier *crash) bool {
	if c.local && earlier.local {
		return !c.SentAt.Before(earlier.at)
	}
	return !c.SentAt.Before(earlier.at.Add(-clockSlack)) && !c.at.Before(earlier.at.Add(clockSlack))
}

// RecordCrash records a run of this daemon that a crash has interrupted.
func (t *Table) RecordCrash(r *Run) {
	t.mu.Lock()
	defer t.mu.Unlock()
	c := &crash{Run: *r, at: t.now(), local: true}
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
	known := t.explanation()
	if known.covers(c) {
		return
	}
	if c.AtStart {
		t.judgeParts(c, known)
		known = t.explanation()
	}
	if !known.covers(c) {
		t.judgeRequest(c, known)
	}
}

// explanation says which crashes are explained by a part that is banned.
type explanation struct {
	bans []*ban          // those of parts
	down map[uint32]bool // servers that went down because of such a part
}

// explanation returns the explanation by the bans in force. t.mu is held.
func (t *Table) explanation() explanation {
	e := explanation{down: make(map[uint32]bool)}
	for _, b := range t.bans {
		if len(b.Parts) > 0 {
			e.bans = append(e.bans, b)
		}
	}
	if len(e.bans) == 0 {
		return e
	}
	for _, c := range t.crashes {
		if c.ServerDown && e.banned(c) {
			e.down[c.Server] = true
		}
	}
	return e
}

// banned reports whether the crashed run has a part that is banned.
func (e *explanation) banned(c *crash) bool {
	return slices.ContainsFunc(e.bans, func(b *ban) bool { return b.covers(c.Fingerprint, c.Parts) })
}

// covers reports whether a crash is explained. If a server went down because of a part
// that is banned, what else was running there is not suspected either.
func (e *explanation) covers(c *crash) bool { return e.down[c.Server] || e.banned(c) }

// judgeRequest bans the request of a crash if it has crashed often enough. t.mu is
// held.
func (t *Table) judgeRequest(latest *crash, known explanation) {
	var suspects []*crash
	for _, c := range t.crashes {
		if c.Fingerprint == latest.Fingerprint && !c.completedSince && !known.covers(c) {
			suspects = append(suspects, c)
		}
	}
	if n := serverCrashes(suspects); n >= requestThreshold {
		t.ban(Ban{Fingerprint: latest.Fingerprint}, latest.at, n)
	}
}

// serverCrashes returns how many times a server has crashed in the course of these
// runs: those that one crash has interrupted count once.
func serverCrashes(runs []*crash) int {
	sortByTime(runs)
	latest := make(map[uint32]*crash) // by server
	n := 0
	for _, c := range runs {
		if earlier := latest[c.Server]; earlier != nil && !c.begunAfter(earlier) {
			continue
		}
		latest[c.Server] = c
		n++
	}
	return n
}

// sortByTime sorts crashes by their time in place.
func sortByTime(crashes []*crash) {
	slices.SortFunc(crashes, func(a, b *crash) int { return a.at.Compare(b.at) })
}

// judgeParts bans the most specific part of a crash for which there is evidence: the
// last one, since fewer requests have it. Parts that all of these crashed runs have are
// banned together: only requests with all of them are refused. t.mu is held.
func (t *Table) judgeParts(latest *crash, known explanation) {
	for _, p := range slices.Backward(latest.Parts) {
		s := t.evidence(p, known)
		if s != nil && !t.rarerCause(p, s) {
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
	if len(down) >= t.required(partThreshold, part, down) && t.otherRequests(down) >= minOtherRequests {
		return down
	}
	lost := successive(suspects, func(a, b *crash) bool { return a.Fingerprint != b.Fingerprint && !stillDown(a, b) })
	if len(lost) >= t.required(lostThreshold, part, lost) && numServers(lost) >= minLostServers {
		return lost
	}
	return nil
}

// required returns how many crashes it takes to ban a part: the threshold, or one more
// if another part was on all of their servers but one. That part may be the cause, in a
// run on the remaining server that has not been reported yet. t.mu is held.
func (t *Table) required(threshold int, part uint64, crashes []*crash) int {
	if len(crashes) >= threshold && t.mostByAnotherPart(part, crashes) >= threshold-1 {
		return threshold + 1
	}
	return threshold
}

// mostByAnotherPart returns on how many of the servers of these crashes another part
// was at the start of a run, for the part for which these are most. Parts that all of
// the crashed runs have, or that did no harm since, are left out. t.mu is held.
func (t *Table) mostByAnotherPart(part uint64, crashes []*crash) int {
	common := t.commonParts(crashes)
	most := 0
	for p, runs := range t.startsOn(crashes) {
		if p != part && !slices.Contains(common, p) {
			most = max(most, len(runs.servers))
		}
	}
	return most
}

const (
	// reportTime is within which the daemons have received each other's reports of a
	// crash.
	reportTime = time.Second
	// minUnexplained is the number of crashes without a part that show that it is not
	// the cause of all.
	minUnexplained = 2
)

// rarerCause reports whether another part, which at most half as many requests have, may
// have caused these crashes: as far as all reports must have arrived, it was at the start
// of a run on the same servers. t.mu is held.
func (t *Table) rarerCause(part uint64, crashes []*crash) bool {
	starts := t.startsOn(crashes)
	common := t.commonParts(crashes)
	now := t.now()
	for q, runs := range starts {
		if slices.Contains(common, q) || 2*len(runs.requests) > len(starts[part].requests) {
			continue
		}
		unexplained := 0
		for _, c := range crashes {
			if !runs.servers[c.Server] && now.Sub(c.at) >= reportTime {
				unexplained++
			}
		}
		if len(runs.servers) >= minUnexplained && unexplained < minUnexplained {
			return true
		}
	}
	return false
}

// starts are the crashed runs that had a part at their start.
type starts struct {
	requests map[uint64]bool // by fingerprint
	servers  map[uint32]bool // by tag
}

// startsOn returns the runs on the servers of the crashes, by part. Parts that did no
// harm since are left out. t.mu is held.
func (t *Table) startsOn(crashes []*crash) map[uint64]starts {
	byPart := make(map[uint64]starts)
	for _, c := range t.crashes {
		if !c.AtStart || !onServers(c, crashes) {
			continue
		}
		for _, p := range c.Parts {
			if !c.at.After(t.sound[p]) {
				continue
			}
			s, ok := byPart[p]
			if !ok {
				s = starts{requests: make(map[uint64]bool), servers: make(map[uint32]bool)}
				byPart[p] = s
			}
			s.requests[c.Fingerprint], s.servers[c.Server] = true, true
		}
	}
	return byPart
}

// onServers reports whether a run was on one of the servers of the crashes.
func onServers(r *crash, crashes []*crash) bool {
	return slices.ContainsFunc(crashes, func(c *crash) bool { return c.Server == r.Server })
}

// serversDown returns the crashes after which the server accepted no connections.
func serversDown(crashes []*crash) []*crash {
	var list []*crash
	for _, c := range crashes {
		if c.ServerDown {
			list = append(list, c)
		}
	}
	return list
}

// minRestart is the time after a server went down within which it is not back.
const minRestart = time.Second

// stillDown reports whether the later of two runs on the same server was sent while the
// server was down, on a connection that the crash had broken already.
func stillDown(earlier, later *crash) bool {
	return earlier.ServerDown && earlier.Server == later.Server && later.SentAt.Sub(earlier.at) < minRestart
}

// successive returns those of the crashes, which are sorted by time, whose run began
// after the crash before: what fails together counts once. A crash counts only if it
// is distinct from all earlier ones that count.
func successive(crashes []*crash, distinct func(earlier, c *crash) bool) []*crash {
	var list []*crash
	for _, c := range crashes {
		if len(list) > 0 && !c.begunAfter(list[len(list)-1]) {
			continue
		}
		if !slices.ContainsFunc(list, func(earlier *crash) bool { return !distinct(earlier, c) }) {
			list = append(list, c)
		}
	}
	return list
}

// numServers returns the number of servers of the crashes.
func numServers(crashes []*crash) int {
	servers := make(map[uint32]bool)
	for _, c := range crashes {
		servers[c.Server] = true
	}
	return len(servers)
}

// otherRequests returns how many of the crashes of these servers remain if the
// request that was at its start on most of them is left out. t.mu is held.
func (t *Table) otherRequests(crashes []*crash) int {
	servers := make(map[uint64]map[uint32]bool) // by request
	most := 0
	for _, c := range t.crashes {
		if !c.AtStart || !onServers(c, crashes) {
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
