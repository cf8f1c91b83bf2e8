// Package cacheindex records which parts of prompts the backend servers have in
// their caches. The index is built from the requests that this daemon and its peers
// send and from listings of caches. It is a hint: a wrong entry costs the
// computation of a prefix but never fails a request.
package cacheindex

import (
	"math"
	"sync"
	"time"

	"cassialatch.dev/gateway/call"
)

const (
	// partTTL is how long a part is stored after its last use.
	partTTL    = 2 * time.Minute
	maxParts   = 8192 // parts in an index
	maxHolders = 6    // holders stored for each part
	// pendingTTL is how long a server may take to compute a part.
	pendingTTL = 3 * time.Second
	// usageDecay is the time constant of the exponential decay of a holder's
	// usage.
	usageDecay = 8 * time.Second
	maxUpdates = 400 // updates that wait to be sent
	// updateSends is the number of messages that carry an update where each
	// message reaches only some of the peers. They relay it, so that all
	// peers receive it.
	updateSends         = 3
	maxListedPerMessage = 300 // listed entries in each message
	// minRefreshParts is the number of older parts in each message. One more
	// is added for each partsPerExtraRefresh parts in the index.
	minRefreshParts      = 2
	partsPerExtraRefresh = 256
	// newPeerRefreshParts is the number of older parts in each message while
	// a peer is new.
	newPeerRefreshParts = 48
)

// Holder is the tag of a server's incarnation.
type Holder uint32

// PartKey identifies a part by the low 32 bits of its ID.
type PartKey uint32

// KeyOf returns the key of a part.
func KeyOf(p call.Part) PartKey { return PartKey(p.ID) }

// holding is the state of a part at one holder.
type holding struct {
	holder Holder
	used   time.Time
	state  state
}

// state is the progress of a part at a holder.
type state uint8

const (
	pending state = iota // the holder still has to compute the part
	ready                // the holder has computed the part
	refused              // the holder does not compute the prompt that it was sent; an earlier pending entry is stale, even if a peer sends it later
)

// Coverage says how much of a prompt's shared parts a server has in its
// cache.
type Coverage struct {
	MissingTokens int  // tokens of the parts that are not in its cache
	Ready         bool // whether it has computed the other tokens
}

// Index records which holders have which parts. It is safe for concurrent
// use.
type Index struct {
	now func() time.Time

	mu      sync.Mutex
	parts   map[PartKey][]holding
	order   []PartKey      // in which parts are refreshed and expired
	cursor  int            // position in order of the last refreshed part
	updates []queuedUpdate // that peers may not have received yet
	dropped int            // updates dropped because too many were queued
	listed  []Entry        // own listings that wait to be sent
	usage   map[Holder]*usage
}

// usage counts the parts of prompts recently sent to a holder, decayed
// exponentially.
type usage struct {
	count float64
	at    time.Time
}

// decayed returns the count at a given time.
func (u *usage) decayed(now time.Time) float64 {
	return u.count * math.Exp(-now.Sub(u.at).Seconds()/usageDecay.Seconds())
}

// New returns an empty index.
func New(now func() time.Time) *Index {
	return &Index{now: now, parts: make(map[PartKey][]holding), usage: make(map[Holder]*usage)}
}

// MarkPending records that a prompt with these shared parts was sent to a
// server, which may still have to compute them.
func (x *Index) MarkPending(shared []call.Part, h Holder) {
	x.mu.Lock()
	defer x.mu.Unlock()
	now := x.now()
	for _, p := range shared {
		if x.record(KeyOf(p), h, now, pending) {
			x.countPart(h, now)
			x.enqueueUpdate(Entry{Part: KeyOf(p), Holder: h})
		}
	}
}

// MarkComputed records that a server has computed these parts.
func (x *Index) MarkComputed(shared []call.Part, h Holder) {
	x.mu.Lock()
	defer x.mu.Unlock()
	now := x.now()
	for _, p := range shared {
		if x.record(KeyOf(p), h, now, ready) {
			x.enqueueUpdate(Entry{Part: KeyOf(p), Holder: h, AgeMS: 1})
		}
	}
}

// MarkRefused records that a server does not compute a prompt that it was
// sent. Parts that it has computed before stay in the index.
func (x *Index) MarkRefused(shared []call.Part, h Holder) {
	x.mu.Lock()
	defer x.mu.Unlock()
	for _, p := range shared {
		if x.markRefused(KeyOf(p), h) {
			x.enqueueUpdate(Entry{Part: KeyOf(p), Holder: h, AgeMS: ageNotComputed})
		}
	}
}

// markRefused records that a holder does not compute a pending part. It
// reports whether the part was pending. x.mu is held.
func (x *Index) markRefused(p PartKey, h Holder) bool {
	held := findHolding(x.parts[p], h)
	if held == nil || held.state != pending {
		return false
	}
	held.state, held.used = refused, x.now()
	return true
}

// countPart adds a part to a holder's usage. x.mu is held.
func (x *Index) countPart(h Holder, now time.Time) {
	u, ok := x.usage[h]
	if !ok {
		u = &usage{}
		x.usage[h] = u
	}
	u.count = u.decayed(now) + 1
	u.at = now
}

// Usage sets counts[i] to the number of parts of prompts recently sent to
// holders[i], decayed exponentially.
func (x *Index) Usage(holders []Holder, counts []float64) {
	x.mu.Lock()
	defer x.mu.Unlock()
	now := x.now()
	for i, h := range holders {
		counts[i] = 0
		if u, ok := x.usage[h]; ok {
			counts[i] = u.decayed(now)
		}
	}
}

// record adds a holder of a part or updates its state. It reports whether
// peers need an update: the holder was added or its state changed. A holder
// that replaces the oldest of maxHolders holders is not reported, since
// daemons would relay to each other without end the holders that each has
// evicted. x.mu is held.
func (x *Index) record(p PartKey, h Holder, used time.Time, s state) bool {
	list, known := x.parts[p]
	if held := findHolding(list, h); held != nil {
		if used.After(held.used) {
			held.used = used
		}
		if held.state == s || held.state == ready {
			return false
		}
		held.state = s
		return true
	}
	if !known {
		if len(x.order) >= maxParts {
			return false
		}
		x.order = append(x.order, p)
	}
	if len(list) < maxHolders {
		x.parts[p] = append(list, holding{holder: h, used: used, state: s})
		return true
	}
	oldest := 0
	for i := range list {
		if list[i].used.Before(list[oldest].used) {
			oldest = i
		}
	}
	if !used.After(list[oldest].used) {
		return false
	}
	list[oldest] = holding{holder: h, used: used, state: s}
	return false
}

// Lookup sets coverage[i] to how much of the shared parts holders[i] has. A
// server that has a part also has all parts before it, since it uses them
// whenever it uses the part. The index may not list it for those: of a widely
// shared part, only maxHolders holders are stored.
func (x *Index) Lookup(shared []call.Part, holders []Holder, coverage []Coverage) {
	x.mu.Lock()
	defer x.mu.Unlock()
	for i := range coverage {
		coverage[i] = Coverage{Ready: true}
	}
	for _, p := range shared {
		list := x.parts[KeyOf(p)]
		for i, h := range holders {
			held := findHolding(list, h)
			if held == nil || held.state == refused {
				coverage[i].MissingTokens += p.Tokens
				continue
			}
			coverage[i] = Coverage{MissingTokens: 0, Ready: held.state == ready}
		}
	}
}

// findHolding returns the holding of a holder, or nil.
func findHolding(list []holding, h Holder) *holding {
	for i := range list {
		if list[i].holder == h {
			return &list[i]
		}
	}
	return nil
}

// Expire removes entries that are too old, and those of holders that are not
// in the catalog.
func (x *Index) Expire(inCatalog func(Holder) bool) {
	x.mu.Lock()
	defer x.mu.Unlock()
	now := x.now()
	kept := x.order[:0]
	for _, part := range x.order {
		list := x.parts[part]
		live := list[:0]
		for _, held := range list {
			limit := partTTL
			if held.state != ready {
				limit = pendingTTL
			}
			if inCatalog(held.holder) && now.Sub(held.used) < limit {
				live = append(live, held)
			}
		}
		if len(live) == 0 {
			delete(x.parts, part)
			continue
		}
		x.parts[part] = live
		kept = append(kept, part)
	}
	x.order = kept
	for h := range x.usage {
		if !inCatalog(h) {
			delete(x.usage, h)
		}
	}
}
