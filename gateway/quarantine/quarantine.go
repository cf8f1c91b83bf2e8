// Package quarantine finds what crashes the backend servers that run it, so that it
// can be refused: either one request, which a caller resends with the same content,
// or a part that the prompts of many requests share.
//
// A crash also interrupts the sound requests on the server. They share the workspace
// and other parts with the request that caused it, so crashes alone don't condemn a
// part: it must have been at the start of a run in several crashes, one after the
// other, of different servers and requests, without a run in which it did no harm.
// A server that has only lost a response looks much like one that has crashed, but still
// accepts connections. Then it takes more runs, and the ban is short; a run of a single
// request counts only on a server that loses the responses to no other requests.
//
// Daemons send each other what they have observed and relay what they have received,
// so that neither the size of the fleet nor the restart of a daemon loses it. A run that
// disproves a ban lifts it at all daemons, also if its report arrives after the ban.
package quarantine

import (
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// requestThreshold is the number of crashes from which a request is refused.
	requestThreshold = 3
	// partThreshold is the number of successive crashes from which requests with a
	// part are refused; one more if another part may have caused them.
	partThreshold = 3
	// minOtherRequests is the number of these crashes that must remain if those
	// with any one request are left out: that request may be the cause.
	minOtherRequests = 2
	// lostThreshold takes the place of the other thresholds where servers still accept
	// connections. As one of them may be faulty, there must be minLostServers.
	lostThreshold  = 5
	minLostServers = 2

	// requestTTL and partTTL are how long a request, or requests with a part, are
	// refused after the latest crash; lostTTL takes their place where servers still
	// accept connections.
	requestTTL = time.Minute
	partTTL    = 5 * time.Minute
	lostTTL    = 20 * time.Second
	// crashTTL is how long a crash is remembered, and a later run in which a part did
	// no harm. It is longer than a ban lasts, so that one crash renews the ban.
	crashTTL = 10 * time.Minute

	// relayDrift is more than the time by which an observation appears later with
	// each daemon that relays it, since its age does not include the transit.
	relayDrift = 200 * time.Millisecond

	maxCrashes = 512 // in a table
	maxBans    = 64  // in a table
	maxSound   = 4 * maxCrashes
	// maxCompleted is the number of requests whose runs to the end are remembered.
	maxCompleted = maxCrashes
	// maxRecent is the number of runs to the end that a daemon remembers in case that
	// another daemon's report of a crash of the request arrives after them.
	maxRecent = 128
)

// Subject is what a request can be recognised by.
type Subject struct {
	Fingerprint uint64   // of the request's content
	Parts       []uint64 // IDs of the parts of the prompt that other requests may share
}

// Fingerprint returns a hash of a request's method, host, target, which is its path and
// query, API key and body.
func Fingerprint(method, host, target, key string, body []byte) uint64 {
	h := xxhash.New()
	for _, s := range []string{method, host, target, key} {
		// Writing to a hash never returns an error.
		_, _ = h.WriteString(s)
		_, _ = h.Write([]byte{0})
	}
	_, _ = h.Write(body)
	return h.Sum64()
}

// Log records decisions of a Table.
type Log interface {
	// Quarantined is called when a ban takes effect. crashes is the number of
	// crashes that it is based on, 0 if another daemon has sent it.
	Quarantined(b Ban, crashes int)
	// QuarantineLifted is called when a run has disproved a ban, or when it has become
	// known that its servers failed together with others. If a run has disproved a ban that
	// names parts, lifted names the one that does no harm; the ban applies without it.
	QuarantineLifted(lifted Ban)
}

// Table decides which requests are refused. It is safe for concurrent use.
type Table struct {
	now func() time.Time
	// Log may be nil. It must be set before use.
	Log Log

	mu        sync.Mutex
	crashes   map[uint64]*crash // by ID
	bans      []*ban
	sound     map[uint64]time.Time  // latest run in which a part did no harm, for parts of crashes and bans
	completed map[uint64]completion // latest run to the end of a request, by fingerprint, for those of crashes and bans
	recent    [maxRecent]recentRun  // latest runs to the end, observed by this daemon
	next      int                   // index in recent of the next run
	deferred  []deferredJudgement   // of crashes for which it is too early
}

// completion is the latest run of a request to its end.
type completion struct {
	at       time.Time
	disproof bool // a ban was lifted, or not adopted, because of it
}

// recentRun is a run of a request to its end.
type recentRun struct {
	fingerprint uint64
	at          time.Time
}

// New returns an empty table.
func New(now func() time.Time) *Table {
	return &Table{now: now, crashes: make(map[uint64]*crash), sound: make(map[uint64]time.Time), completed: make(map[uint64]completion)}
}

// ShouldRefuse reports whether a request must not run, or not run again.
func (t *Table) ShouldRefuse(s *Subject) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.judgeDeferred()
	now := t.now()
	return slices.ContainsFunc(t.bans, func(b *ban) bool { return b.active(now) && b.covers(s.Fingerprint, s.Parts) })
}

// RecordSound records that a server has run a request to its end, or has been writing
// the response for so long that the parts of the prompt do no harm.
func (t *Table) RecordSound(s *Subject) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.crashes) == 0 && len(t.bans) == 0 {
		return
	}
	now := t.now()
	for _, p := range s.Parts {
		if t.suspected(p) {
			t.setSound(p, now, 0)
		}
	}
}

// RecordCompleted records that a request ran to its end. This clears the crashes of the
// request so far, and lifts its ban.
func (t *Table) RecordCompleted(s *Subject) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.now()
	t.recent[t.next] = recentRun{fingerprint: s.Fingerprint, at: now}
	t.next = (t.next + 1) % maxRecent
	if t.requestSuspected(s.Fingerprint) {
		t.setCompleted(s.Fingerprint, now, 0)
	}
}

// requestSuspected reports whether a request belongs to a crash or a ban. t.mu is held.
func (t *Table) requestSuspected(fingerprint uint64) bool {
	for _, c := range t.crashes {
		if c.Fingerprint == fingerprint {
			return true
		}
	}
	return slices.ContainsFunc(t.bans, func(b *ban) bool { return len(b.Parts) == 0 && b.Fingerprint == fingerprint })
}

// recallCompleted looks up when this daemon has seen the request run to its end before
// it heard of a crash or a ban of the request. t.mu is held.
func (t *Table) recallCompleted(fingerprint uint64) {
	for _, r := range t.recent {
		if r.fingerprint == fingerprint && r.at.After(t.completed[fingerprint].at) {
			t.setCompleted(fingerprint, r.at, 0)
		}
	}
}

// setCompleted records that a request ran to its end at the given time, unless that is
// known of a time that is less than minLater earlier. If that disproves its ban, the ban is
// lifted, and the crashes since are judged anew. t.mu is held.
func (t *Table) setCompleted(fingerprint uint64, at time.Time, minLater time.Duration) {
	known, ok := t.completed[fingerprint]
	if !ok && len(t.completed) >= maxCompleted || at.Sub(known.at) < minLater {
		return
	}
	t.completed[fingerprint] = completion{at: at, disproof: known.disproof}
	i := slices.IndexFunc(t.bans, func(b *ban) bool { return len(b.Parts) == 0 && b.Fingerprint == fingerprint })
	if i < 0 || !t.disproved(t.bans[i]) {
		return
	}
	b := t.bans[i]
	t.bans = slices.Delete(t.bans, i, i+1)
	if t.Log != nil {
		t.Log.QuarantineLifted(b.Ban)
	}
	t.rejudge(&b.Ban)
}

// disproved reports whether the request of a ban has run to its end since the earliest of
// the crashes that the ban is based on. t.mu is held.
func (t *Table) disproved(b *ban) bool {
	c, ok := t.completed[b.Fingerprint]
	if len(b.Parts) > 0 || !ok || !c.at.After(b.since) {
		return false
	}
	c.disproof = true
	t.completed[b.Fingerprint] = c
	return true
}

// suspected reports whether a part belongs to a crash or a ban. t.mu is held.
func (t *Table) suspected(part uint64) bool {
	for _, c := range t.crashes {
		if slices.Contains(c.Parts, part) {
			return true
		}
	}
	return slices.ContainsFunc(t.bans, func(b *ban) bool { return slices.Contains(b.Parts, part) })
}

// setSound records that a part did no harm at the given time, unless that is known of
// a time that is less than minLater earlier, and lifts the bans that this disproves.
// t.mu is held.
func (t *Table) setSound(part uint64, at time.Time, minLater time.Duration) {
	known, ok := t.sound[part]
	if !ok && len(t.sound) >= maxSound || at.Sub(known) < minLater {
		return
	}
	t.sound[part] = at
	var lifted []Ban
	t.bans = slices.DeleteFunc(t.bans, func(b *ban) bool {
		before := Ban{Parts: slices.Clone(b.Parts)}
		if b.dropSound(t.sound) && t.Log != nil {
			t.Log.QuarantineLifted(Ban{Parts: []uint64{part}})
		}
		if b.empty() {
			lifted = append(lifted, before)
		}
		return b.empty()
	})
	for i := range lifted {
		t.rejudge(&lifted[i])
	}
}

// expire removes what is too old to count. t.mu is held.
func (t *Table) expire() {
	now := t.now()
	for id, c := range t.crashes {
		if now.Sub(c.at) >= crashTTL {
			delete(t.crashes, id)
		}
	}
	t.expireBans()
	maps.DeleteFunc(t.sound, func(_ uint64, at time.Time) bool { return now.Sub(at) >= crashTTL })
	maps.DeleteFunc(t.completed, func(_ uint64, c completion) bool { return now.Sub(c.at) >= crashTTL })
}
