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
	at    time.Time
	local bool // observed by this daemon
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
	t.recallCompleted(c.Fingerprint)
	for _, b := range t.bans {
		asStrong := c.ServerDown || !b.ServersDown
		if asStrong && b.covers(c.Fingerprint, c.Parts) && c.at.After(b.at) {
			b.at = c.at
		}
	}
	if c.ServerDown {
		t.liftTogether()
	}
	t.judge(c)
}

// judge decides whether the crashes so far show what has caused the given one. t.mu is
// held.
func (t *Table) judge(c *crash) {
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

// rejudge decides anew on the latest of the crashes that a lifted ban covered. t.mu is
// held.
func (t *Table) rejudge(lifted *Ban) {
	var latest *crash
	for _, c := range t.crashes {
		if lifted.covers(c.Fingerprint, c.Parts) && (latest == nil || c.at.After(latest.at)) {
			latest = c
		}
	}
	if latest != nil {
		t.judge(latest)
	}
}

// explanation says which crashes are explained by a part that is banned.
type explanation struct {
	bans    []*ban          // those of parts
	crashes []*crash        // due to such a part
	down    map[uint32]bool // servers that went down because of such a part
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
		if !e.banned(c) {
			continue
		}
		e.crashes = append(e.crashes, c)
		if c.ServerDown {
			e.down[c.Server] = true
		}
	}
	return e
}

// banned reports whether the crashed run has a part that is banned.
func (e *explanation) banned(c *crash) bool {
	return slices.ContainsFunc(e.bans, func(b *ban) bool { return b.covers(c.Fingerprint, c.Parts) })
}

// covers reports whether a crash is explained. If it is due to a part that is banned, what
// else was running on the server is not suspected either.
func (e *explanation) covers(c *crash) bool {
	return e.down[c.Server] || e.banned(c) || c.sameCrash(e.crashes) != nil
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
