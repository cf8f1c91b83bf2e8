package quarantine

import (
	"slices"
	"time"
)

// ban is a Ban with the times of the earliest and of the latest crash that it explains.
type ban struct {
	Ban
	since time.Time
	at    time.Time
}

// ban refuses requests from now on because of crashes, or extends a ban that exists. A
// ban that other runs have disproved, or that is based on servers which failed together, is
// not added. crashes is the number of crashes that
// it is based on, for the log; 0 if another daemon has sent it. t.mu is held.
func (t *Table) ban(b Ban, since, at time.Time, crashes int) {
	t.expireBans()
	for _, old := range t.bans {
		if !old.equal(&b) {
			continue
		}
		if b.ServersDown && !old.ServersDown {
			old.ServersDown, old.since, old.at = true, since, at
		}
		if at.Sub(old.at) >= relayDrift && b.ServersDown == old.ServersDown {
			old.at = at
		}
		return
	}
	added := &ban{Ban: Ban{Fingerprint: b.Fingerprint, Parts: slices.Clone(b.Parts), ServersDown: b.ServersDown}, since: since, at: at}
	added.dropSound(t.sound)
	if added.empty() || !added.active(t.now()) || t.disproved(added) || t.together(added) {
		return
	}
	if len(t.bans) >= maxBans {
		t.bans = slices.Delete(t.bans, 0, 1)
	}
	t.bans = append(t.bans, added)
	if t.Log != nil {
		t.Log.Quarantined(added.withAges(t.now()), crashes)
	}
}

// expireBans removes the bans that no longer apply. t.mu is held.
func (t *Table) expireBans() {
	now := t.now()
	t.bans = slices.DeleteFunc(t.bans, func(b *ban) bool { return !b.active(now) })
}

// withAges returns the ban with its ages at the given time.
func (b *ban) withAges(now time.Time) Ban {
	aged := b.Ban
	aged.Parts = slices.Clone(b.Parts)
	aged.SinceMS, aged.AgeMS = now.Sub(b.since).Milliseconds(), now.Sub(b.at).Milliseconds()
	return aged
}

// active reports whether the ban applies at the given time.
func (b *ban) active(now time.Time) bool {
	ttl := requestTTL
	switch {
	case !b.ServersDown:
		ttl = lostTTL
	case len(b.Parts) > 0:
		ttl = partTTL
	}
	return now.Sub(b.at) < ttl
}

// dropSound removes the parts that did no harm since the earliest crash, and reports
// whether there were any. A run that ended just after that crash may have begun before the
// part did harm, as its time has passed through other daemons.
func (b *ban) dropSound(sound map[uint64]time.Time) bool {
	n := len(b.Parts)
	b.Parts = slices.DeleteFunc(b.Parts, func(p uint64) bool { return sound[p].After(b.since.Add(relayDrift)) })
	return len(b.Parts) < n
}
