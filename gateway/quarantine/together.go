package quarantine

import (
	"slices"
	"time"
)

// Many servers may fail at about the same time for a reason of their own, such as the
// loss of what they share. The requests that they interrupt are sent again to servers of
// which some fail just after. So a part of many prompts, or one request, seems to crash
// one server after the other within some tens of milliseconds.
//
// So a crash at whose moment several other servers went down does not count against a
// request. Nor does it against a part for now: that is judged reportTime after the first
// crash, when runs on other servers have shown whether the part does harm. It is judged then
// also if the runs differ in a more specific part. Otherwise both are refused at once, since
// such a request is about to be sent again; if it becomes known later that other servers
// went down, the ban is lifted.

// minTogether is the number of other servers that must have gone down at the moment of a
// crash to show that it is due to something else.
const minTogether = 3

// maxDeferred is the number of parts whose judgement may be deferred.
const maxDeferred = 64

// deferredJudgement is a judgement of parts for which it is too early.
type deferredJudgement struct {
	part  uint64 // that may have caused the crash
	crash *crash // latest one with the part
	due   time.Time
}

// deferJudgement has a crash judged again at the given time, since it may be due to the
// part. t.mu is held.
func (t *Table) deferJudgement(part uint64, c *crash, due time.Time) {
	i := slices.IndexFunc(t.deferred, func(d deferredJudgement) bool { return d.part == part })
	if i >= 0 {
		t.deferred[i].crash, t.deferred[i].due = c, due
		return
	}
	if len(t.deferred) < maxDeferred {
		t.deferred = append(t.deferred, deferredJudgement{part: part, crash: c, due: due})
	}
}

// judgeDeferred judges the crashes whose judgement is due. t.mu is held.
func (t *Table) judgeDeferred() {
	if len(t.deferred) == 0 {
		return
	}
	now := t.now()
	var due []*crash
	t.deferred = slices.DeleteFunc(t.deferred, func(d deferredJudgement) bool {
		if now.Before(d.due) {
			return false
		}
		due = append(due, d.crash)
		return true
	})
	for _, c := range due {
		t.judge(c)
	}
}

// apart returns those of the crashes at whose moment fewer than minTogether other servers
// went down, which none of the crashes is of. t.mu is held.
func (t *Table) apart(crashes []*crash, known explanation) []*crash {
	own := make(map[uint32]bool) // servers of the crashes
	for _, c := range crashes {
		own[c.Server] = true
	}
	return slices.DeleteFunc(slices.Clone(crashes), func(c *crash) bool {
		others := make(map[uint32]bool)
		for _, o := range t.crashes {
			if o.ServerDown && !own[o.Server] && o.at.Sub(c.at).Abs() < sameMoment && !known.covers(o) {
				others[o.Server] = true
			}
		}
		return c.ServerDown && len(others) >= minTogether
	})
}

// together reports whether too few of the crashes that a ban is based on count, because
// other servers went down at the same moment. It is false if this daemon does not know as
// many crashes as the ban takes. t.mu is held.
func (t *Table) together(b *ban) bool {
	if !b.ServersDown {
		return false
	}
	crashes := t.crashesOf(b)
	return len(serverCrashes(crashes)) >= partThreshold && len(serverCrashes(t.apart(crashes, t.explanation()))) < partThreshold
}

// crashesOf returns the crashes of servers that a ban may be based on, sorted by time.
// t.mu is held.
func (t *Table) crashesOf(b *ban) []*crash {
	var list []*crash
	if len(b.Parts) == 0 {
		list = t.requestCrashes(b.Fingerprint, explanation{})
	} else {
		for _, c := range t.crashes {
			if c.AtStart && b.covers(c.Fingerprint, c.Parts) {
				list = append(list, c)
			}
		}
		sortByTime(list)
	}
	return serversDown(list)
}

// liftTogether lifts the bans whose crashes do not count any more, after another server
// went down, and judges the crashes anew. t.mu is held.
func (t *Table) liftTogether() {
	var lifted []Ban
	t.bans = slices.DeleteFunc(t.bans, func(b *ban) bool {
		if !t.together(b) {
			return false
		}
		lifted = append(lifted, b.Ban)
		return true
	})
	for i := range lifted {
		if t.Log != nil {
			t.Log.QuarantineLifted(lifted[i])
		}
		t.rejudge(&lifted[i])
	}
}

// judgeAt returns from when on a part may be banned because of the crashes, all of servers
// that went down. If other servers went down at their moment, or if the runs have other
// last parts, each of which fewer requests have, it takes the reports of all runs. t.mu is
// held.
func (t *Table) judgeAt(crashes []*crash, known explanation) time.Time {
	if sameLastPart(crashes) && len(t.apart(crashes, known)) == len(crashes) {
		return crashes[0].at
	}
	return crashes[0].at.Add(reportTime)
}

// sameLastPart reports whether the crashed runs, all of which have parts, have the same
// last part.
func sameLastPart(crashes []*crash) bool {
	last := func(c *crash) uint64 { return c.Parts[len(c.Parts)-1] }
	return !slices.ContainsFunc(crashes, func(c *crash) bool { return last(c) != last(crashes[0]) })
}
