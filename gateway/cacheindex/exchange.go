package cacheindex

import (
	"math"
	"time"

	"cassialatch.dev/gateway/call"
)

// Entry says that a server has a part in its cache. Daemons send entries to
// each other.
type Entry struct {
	_      struct{} `cbor:",toarray"`
	Part   PartKey
	Holder Holder
	AgeMS  uint32 // milliseconds since its last use; 0: the server still has to compute the part; ageNotComputed: it does not compute it
}

// ageNotComputed is the age of an entry that revokes an earlier one of age 0.
const ageNotComputed = math.MaxUint32

// queuedUpdate is an entry that waits to be sent to peers.
type queuedUpdate struct {
	Entry
	queued time.Time
	sends  int // messages that carried it
}

// aged returns the entry with its age at a given time.
func (u *queuedUpdate) aged(now time.Time) Entry {
	e := u.Entry
	if e.AgeMS != 0 && e.AgeMS != ageNotComputed {
		e.AgeMS += uint32(max(now.Sub(u.queued), 0).Milliseconds())
	}
	return e
}

// AddListed records the parts in a server's listing of its cache. They are
// sent to peers in batches, beside the updates.
func (x *Index) AddListed(parts []call.Part, h Holder) {
	x.mu.Lock()
	defer x.mu.Unlock()
	now := x.now()
	for _, p := range parts {
		x.record(KeyOf(p), h, now, ready)
		x.listed = append(x.listed, Entry{Part: KeyOf(p), Holder: h, AgeMS: 1})
	}
}

// Merge adds entries received from a peer. If relay is set, entries that the
// index did not have yet are queued for the other peers.
func (x *Index) Merge(entries []Entry, relay bool) {
	x.mu.Lock()
	defer x.mu.Unlock()
	now := x.now()
	for _, e := range entries {
		if x.mergeEntry(e, now) && relay {
			x.enqueueUpdate(e)
		}
	}
}

// mergeEntry adds a received entry. It reports whether the entry is to be
// relayed. x.mu is held.
func (x *Index) mergeEntry(e Entry, now time.Time) bool {
	if e.AgeMS == ageNotComputed {
		return x.markRefused(e.Part, e.Holder)
	}
	age := time.Duration(e.AgeMS) * time.Millisecond
	if age >= partTTL {
		return false
	}
	if e.AgeMS > 0 {
		return x.record(e.Part, e.Holder, now.Add(-age), ready)
	}
	if held := findHolding(x.parts[e.Part], e.Holder); held != nil && held.state == refused {
		return false
	}
	changed := x.record(e.Part, e.Holder, now, pending)
	if changed {
		x.countPart(e.Holder, now)
	}
	return changed
}

// enqueueUpdate queues an entry for the next messages. x.mu is held.
func (x *Index) enqueueUpdate(e Entry) {
	if len(x.updates) >= maxUpdates {
		x.dropped++
		return
	}
	x.updates = append(x.updates, queuedUpdate{Entry: e, queued: x.now()})
}

// DroppedUpdates returns the number of updates since the start that were
// dropped because too many were queued. Peers receive computed parts later,
// when the parts are refreshed.
func (x *Index) DroppedUpdates() int {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.dropped
}

// Recipients describes the peers that receive a message.
type Recipients struct {
	Subset  bool // only some of the peers; they relay updates to the others
	NewPeer bool // a peer has just started
}

// NextEntries returns the entries for a message: the queued updates, a batch
// of listed entries, and some older parts in rotation. The older parts are
// few, for peers that have missed a message, or more while a peer is new.
func (x *Index) NextEntries(to Recipients) []Entry {
	x.mu.Lock()
	defer x.mu.Unlock()
	entries := x.takeUpdates(to.Subset)
	n := min(len(x.listed), maxListedPerMessage)
	entries = append(entries, x.listed[:n]...)
	x.listed = x.listed[n:]
	refresh := minRefreshParts + len(x.order)/partsPerExtraRefresh
	if to.NewPeer {
		refresh = newPeerRefreshParts
	}
	now := x.now()
	for range min(refresh, len(x.order)) {
		x.cursor = (x.cursor + 1) % len(x.order)
		part := x.order[x.cursor]
		for _, held := range x.parts[part] {
			if held.state != ready {
				continue
			}
			age := max(now.Sub(held.used), 0)
			entries = append(entries, Entry{Part: part, Holder: held.holder, AgeMS: max(uint32(age.Milliseconds()), 1)})
		}
	}
	return entries
}

// takeUpdates returns the queued updates and removes those that have been
// sent often enough. x.mu is held.
func (x *Index) takeUpdates(subset bool) []Entry {
	entries := make([]Entry, 0, len(x.updates))
	kept := x.updates[:0]
	now := x.now()
	for _, u := range x.updates {
		entries = append(entries, u.aged(now))
		u.sends++
		if subset && u.sends < updateSends {
			kept = append(kept, u)
		}
	}
	x.updates = kept
	return entries
}
