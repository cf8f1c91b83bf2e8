// Package warm remembers which backend servers have which parts of prompts in
// their caches. It is fed by what this daemon and its peers send where, so it
// is a hint: a wrong one costs the computation of a prefix, never an answer.
package warm

import (
	"math"
	"sync"
	"time"

	"cassialatch.dev/gateway/call"
)

const (
	// ttl is how long a part that nobody asks for is remembered.
	ttl        = 2 * time.Minute
	maxParts   = 8192
	maxHolders = 6 // servers remembered for each part
	// pendingTTL is how long a server may take to compute a part.
	pendingTTL = 3 * time.Second
	usageDecay = 8 * time.Second
	maxNews    = 400 // entries that wait to be told
	// newsRepeats is how often a piece of news is told where each message reaches
	// only some of the peers. They pass it on, so that all learn it.
	newsRepeats = 3
	maxListed   = 300 // listed entries told with each message
	refreshSize = 2   // older parts told with each message
	// refreshParts is how many parts add one to the older parts told.
	refreshParts = 256
	newPeerSize  = 48 // the same, while a peer is new
)

// Holder names an incarnation of a server in short.
type Holder uint32

// PartKey names a part in short.
type PartKey uint32

// KeyOf returns a part's short name.
func KeyOf(p call.Part) PartKey { return PartKey(p.ID) }

// Entry tells that a server has a part, in the form that peers are told.
type Entry struct {
	_      struct{} `cbor:",toarray"`
	Part   PartKey
	Holder Holder
	AgeMS  uint32 // since it was last used; 0: the server still has to compute the part; notComputed: it doesn't
}

// notComputed is the age in an entry that takes back an earlier one of age 0.
const notComputed = math.MaxUint32

// news is an entry that is told soon.
type news struct {
	Entry
	told int // times
}

type holding struct {
	holder Holder
	used   time.Time
	state  state
}

// state is what a holder has of a part.
type state uint8

const (
	pending state = iota // it still has to compute the part
	ready                // it has computed the part
	refused              // it refused the prompt: what is told of an earlier pending one is out of date
)

// Coverage tells how much of a prompt's shared parts a server has.
type Coverage struct {
	Missing int  // tokens that it has to compute
	Ready   bool // it has computed the others
}

// Index is safe for concurrent use.
type Index struct {
	now func() time.Time

	mu     sync.Mutex
	parts  map[PartKey][]holding
	order  []PartKey // in which entries are told and swept
	cursor int
	news   []news  // that peers may not know yet
	lost   int     // news that found no room
	listed []Entry // own listings that wait to be told
	usage  map[Holder]*usage
}

// usage is how many parts of prompts a holder was sent of late, decayed
// exponentially.
type usage struct {
	count float64
	at    time.Time
}

func (u *usage) decayed(now time.Time) float64 {
	return u.count * math.Exp(-now.Sub(u.at).Seconds()/usageDecay.Seconds())
}

// New returns an empty index.
func New(now func() time.Time) *Index {
	return &Index{now: now, parts: make(map[PartKey][]holding), usage: make(map[Holder]*usage)}
}

// MarkPending notes that a prompt with these shared parts was sent to a server,
// which may still have to compute them.
func (x *Index) MarkPending(shared []call.Part, h Holder) {
	x.mu.Lock()
	defer x.mu.Unlock()
	now := x.now()
	for _, p := range shared {
		if x.note(KeyOf(p), h, now, pending) {
			x.use(h, now)
			x.announce(Entry{Part: KeyOf(p), Holder: h})
		}
	}
}

// MarkComputed notes that a server has computed these parts.
func (x *Index) MarkComputed(shared []call.Part, h Holder) {
	x.mu.Lock()
	defer x.mu.Unlock()
	now := x.now()
	for _, p := range shared {
		if x.note(KeyOf(p), h, now, ready) {
			x.announce(Entry{Part: KeyOf(p), Holder: h, AgeMS: 1})
		}
	}
}

// MarkRefused notes that a server which was sent a prompt doesn't compute it.
func (x *Index) MarkRefused(shared []call.Part, h Holder) {
	x.mu.Lock()
	defer x.mu.Unlock()
	for _, p := range shared {
		if x.takeBack(KeyOf(p), h) {
			x.announce(Entry{Part: KeyOf(p), Holder: h, AgeMS: notComputed})
		}
	}
}

// takeBack notes that a holder doesn't compute a part. It returns whether that
// is news. x.mu is held.
func (x *Index) takeBack(p PartKey, h Holder) bool {
	held := find(x.parts[p], h)
	if held == nil || held.state != pending {
		return false
	}
	held.state, held.used = refused, x.now()
	return true
}

// AddListed notes the parts that a server says it has. They are told to peers
// with the older entries, in turn.
func (x *Index) AddListed(parts []call.Part, h Holder) {
	x.mu.Lock()
	defer x.mu.Unlock()
	now := x.now()
	for _, p := range parts {
		x.note(KeyOf(p), h, now, ready)
		x.listed = append(x.listed, Entry{Part: KeyOf(p), Holder: h, AgeMS: 1})
	}
}

// Merge takes over entries of a peer. What is news is told on if relay is set.
func (x *Index) Merge(entries []Entry, relay bool) {
	x.mu.Lock()
	defer x.mu.Unlock()
	now := x.now()
	for _, e := range entries {
		if x.told(e, now) && relay {
			x.announce(e)
		}
	}
}

// told takes over one entry. It returns whether it is news. x.mu is held.
func (x *Index) told(e Entry, now time.Time) bool {
	if e.AgeMS == notComputed {
		return x.takeBack(e.Part, e.Holder)
	}
	age := time.Duration(e.AgeMS) * time.Millisecond
	if age >= ttl {
		return false
	}
	if e.AgeMS > 0 {
		return x.note(e.Part, e.Holder, now.Add(-age), ready)
	}
	if held := find(x.parts[e.Part], e.Holder); held != nil && held.state == refused {
		return false
	}
	isNews := x.note(e.Part, e.Holder, now, pending)
	if isNews {
		x.use(e.Holder, now)
	}
	return isNews
}

// announce has an entry told with the next messages. x.mu is held.
func (x *Index) announce(e Entry) {
	if len(x.news) >= maxNews {
		x.lost++
		return
	}
	x.news = append(x.news, news{Entry: e})
}

// DroppedUpdates returns how many pieces of news were not told since the start, since
// too many waited. Peers learn them later, with the older entries.
func (x *Index) DroppedUpdates() int {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.lost
}

// use counts a part. x.mu is held.
func (x *Index) use(h Holder, now time.Time) {
	u, ok := x.usage[h]
	if !ok {
		u = &usage{}
		x.usage[h] = u
	}
	u.count = u.decayed(now) + 1
	u.at = now
}

// Usage sets how many parts of prompts each holder was sent of late.
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

// note remembers a holder. It returns whether the holder, or that it is ready,
// is news. One more holder of a part with many is none: daemons would tell each
// other without end of holders that each has forgotten. x.mu is held.
func (x *Index) note(p PartKey, h Holder, used time.Time, s state) bool {
	list, known := x.parts[p]
	if held := find(list, h); held != nil {
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

// Lookup sets, for each holder, how much of the parts it has. A server that has
// a part has all parts before it too, since it uses them whenever it uses the
// part; not all holders of a part that is shared widely are remembered.
func (x *Index) Lookup(shared []call.Part, holders []Holder, have []Coverage) {
	x.mu.Lock()
	defer x.mu.Unlock()
	for i := range have {
		have[i] = Coverage{Ready: true}
	}
	for _, p := range shared {
		list := x.parts[KeyOf(p)]
		for i, h := range holders {
			held := find(list, h)
			if held == nil || held.state == refused {
				have[i].Missing += p.Tokens
				continue
			}
			have[i] = Coverage{Missing: 0, Ready: held.state == ready}
		}
	}
}

func find(list []holding, h Holder) *holding {
	for i := range list {
		if list[i].holder == h {
			return &list[i]
		}
	}
	return nil
}

// Recipients is who a message goes to.
type Recipients struct {
	Subset  bool // of the peers; the others learn from these
	NewPeer bool // a peer has just started
}

// NextEntries returns the news for a message, and some older entries in turn: a few for
// peers that have missed a message, more if a peer is new.
func (x *Index) NextEntries(to Recipients) []Entry {
	x.mu.Lock()
	defer x.mu.Unlock()
	entries := x.tellNews(to.Subset)
	n := min(len(x.listed), maxListed)
	entries = append(entries, x.listed[:n]...)
	x.listed = x.listed[n:]
	refresh := refreshSize + len(x.order)/refreshParts
	if to.NewPeer {
		refresh = newPeerSize
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

// tellNews returns the news, and forgets what has been told often enough. x.mu is
// held.
func (x *Index) tellNews(some bool) []Entry {
	entries := make([]Entry, 0, len(x.news))
	kept := x.news[:0]
	for _, n := range x.news {
		entries = append(entries, n.Entry)
		n.told++
		if some && n.told < newsRepeats {
			kept = append(kept, n)
		}
	}
	x.news = kept
	return entries
}

// Expire forgets some of the old entries, and those of servers that are gone.
func (x *Index) Expire(listed func(Holder) bool) {
	x.mu.Lock()
	defer x.mu.Unlock()
	now := x.now()
	kept := x.order[:0]
	for _, part := range x.order {
		list := x.parts[part]
		live := list[:0]
		for _, held := range list {
			limit := ttl
			if held.state != ready {
				limit = pendingTTL
			}
			if listed(held.holder) && now.Sub(held.used) < limit {
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
		if !listed(h) {
			delete(x.usage, h)
		}
	}
}
