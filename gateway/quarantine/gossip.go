package quarantine

import (
	"cmp"
	"slices"
	"time"
)

const (
	// relayTime is how long a crash is sent to other daemons. It covers the gossip
	// rounds that it takes to reach all daemons of a large fleet.
	relayTime = 10 * time.Second

	// The most recent are sent in each message; of crashes first those at the start
	// of a run.
	maxSentCrashes   = 16
	maxSentBans      = 16
	maxSentSound     = 16
	maxSentCompleted = 8
)

// News is what daemons send each other about crashes. Times are ages, in
// milliseconds, at sending.
type News struct {
	_       struct{} `cbor:",toarray"`
	Crashes []Crash
	Bans    []Ban
	Sound   []SoundPart
	// Completed are requests that were interrupted by more than one crash, or whose ban
	// was disproved.
	Completed []CompletedRequest
}

// Crash is a run that was interrupted by a crash.
type Crash struct {
	_           struct{} `cbor:",toarray"`
	ID          uint64   // random, so that a crash that arrives twice counts once
	Server      uint32   // tag of the server's incarnation
	Fingerprint uint64   // of the request
	Parts       []uint64
	AtStart     bool
	ServerDown  bool
	RanMS       int64 // from the sending of the request to the crash
	AgeMS       int64 // of the crash
}

// Ban names requests that are refused: those with the fingerprint or, if there are
// parts, those with all of the parts.
type Ban struct {
	_           struct{} `cbor:",toarray"`
	Fingerprint uint64
	Parts       []uint64 // sorted
	ServersDown bool     // the crashes left servers that accept no connections
	SinceMS     int64    // age of the earliest crash that it is based on
	AgeMS       int64    // of the latest crash that it explains
}

// SoundPart is a part that did no harm in a run.
type SoundPart struct {
	_     struct{} `cbor:",toarray"`
	Part  uint64
	AgeMS int64
}

// CompletedRequest is a request that has run to its end.
type CompletedRequest struct {
	_           struct{} `cbor:",toarray"`
	Fingerprint uint64
	AgeMS       int64
}

// covers reports whether the ban applies to a request.
func (b *Ban) covers(fingerprint uint64, parts []uint64) bool {
	if len(b.Parts) == 0 {
		return b.Fingerprint == fingerprint
	}
	return !slices.ContainsFunc(b.Parts, func(p uint64) bool { return !slices.Contains(parts, p) })
}

// empty reports whether the ban covers no request.
func (b *Ban) empty() bool { return len(b.Parts) == 0 && b.Fingerprint == 0 }

// equal reports whether two bans cover the same requests.
func (b *Ban) equal(o *Ban) bool {
	return b.Fingerprint == o.Fingerprint && slices.Equal(b.Parts, o.Parts)
}

// News returns what this daemon has observed or received that others may not have
// received yet.
func (t *Table) News() News {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expire()
	t.judgeDeferred()
	now := t.now()
	var n News
	for id, c := range t.crashes {
		if age := now.Sub(c.at); age < relayTime {
			n.Crashes = append(n.Crashes, Crash{
				ID: id, Server: c.Server, Fingerprint: c.Fingerprint, Parts: c.Parts, AtStart: c.AtStart, ServerDown: c.ServerDown,
				RanMS: c.at.Sub(c.SentAt).Milliseconds(), AgeMS: age.Milliseconds(),
			})
		}
	}
	n.Crashes = mostRecent(n.Crashes, maxSentCrashes, func(c Crash) int64 {
		if c.AtStart {
			return c.AgeMS
		}
		return c.AgeMS + relayTime.Milliseconds()
	})
	for _, b := range t.bans {
		n.Bans = append(n.Bans, b.withAges(now))
	}
	n.Bans = mostRecent(n.Bans, maxSentBans, func(b Ban) int64 { return b.AgeMS })
	for p, at := range t.sound {
		n.Sound = append(n.Sound, SoundPart{Part: p, AgeMS: now.Sub(at).Milliseconds()})
	}
	n.Sound = mostRecent(n.Sound, maxSentSound, func(s SoundPart) int64 { return s.AgeMS })
	n.Completed = mostRecent(t.completedSuspects(), maxSentCompleted, func(c CompletedRequest) int64 { return c.AgeMS })
	return n
}

// completedSuspects returns the requests that have run to their end although several
// crashes have interrupted them or a ban named them. t.mu is held.
func (t *Table) completedSuspects() []CompletedRequest {
	if len(t.completed) == 0 {
		return nil
	}
	now := t.now()
	runs := make(map[uint64]int) // interrupted ones
	for _, c := range t.crashes {
		runs[c.Fingerprint]++
	}
	var list []CompletedRequest
	for fingerprint, c := range t.completed {
		if runs[fingerprint] > 1 || c.disproof {
			list = append(list, CompletedRequest{Fingerprint: fingerprint, AgeMS: now.Sub(c.at).Milliseconds()})
		}
	}
	return list
}

// mostRecent returns the n elements with the lowest ages.
func mostRecent[T any](all []T, n int, age func(T) int64) []T {
	slices.SortFunc(all, func(a, b T) int { return cmp.Compare(age(a), age(b)) })
	return all[:min(len(all), n)]
}

// Merge adds what another daemon has sent. Merging the same news again changes
// nothing.
func (t *Table) Merge(n *News) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.now()
	ago := func(ms int64) time.Time { return now.Add(-time.Duration(max(ms, 0)) * time.Millisecond) }
	for _, s := range n.Sound {
		t.setSound(s.Part, ago(s.AgeMS), relayDrift)
	}
	for _, c := range n.Completed {
		t.setCompleted(c.Fingerprint, ago(c.AgeMS), relayDrift)
	}
	for _, b := range n.Bans {
		if len(b.Parts) == 0 {
			t.recallCompleted(b.Fingerprint)
		}
		t.ban(b, ago(b.SinceMS), ago(b.AgeMS), 0)
	}
	for _, c := range n.Crashes {
		if _, known := t.crashes[c.ID]; known {
			continue
		}
		at := ago(c.AgeMS)
		if now.Sub(at) >= relayTime {
			continue
		}
		t.add(c.ID, &crash{
			Run: Run{
				Subject:    Subject{Fingerprint: c.Fingerprint, Parts: c.Parts},
				Server:     c.Server,
				SentAt:     at.Add(-time.Duration(c.RanMS) * time.Millisecond),
				AtStart:    c.AtStart,
				ServerDown: c.ServerDown,
			},
			at: at,
		})
	}
}
