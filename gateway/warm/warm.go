// Package warm remembers which backend servers have which parts of prompts in
// their caches. It is fed by what this daemon and its peers send where, so it
// is a hint: a wrong one costs the computation of a prefix, never an answer.
package warm

import (
	"sync"
	"time"

	"cassialatch.dev/gateway/call"
)

const (
	// ttl is how long a part that nobody asks for is remembered.
	ttl         = 2 * time.Minute
	maxParts    = 8192
	maxHolders  = 6  // servers remembered for each part
	maxRecent   = 64 // own placements that wait to be told
	refreshSize = 16 // older entries told with each message
)

// Holder names an incarnation of a server in short.
type Holder uint32

// PartKey names a part in short.
type PartKey uint32

// KeyOf returns a part's short name.
func KeyOf(p call.Part) PartKey { return PartKey(p.ID) }

// Entry tells that a server has a part, in the form that peers are told.
type Entry struct {
	Part   PartKey
	Holder Holder
	AgeMS  uint32 // since it was last used
}

type holding struct {
	holder Holder
	used   time.Time
}

// Index is safe for concurrent use.
type Index struct {
	now func() time.Time

	mu     sync.Mutex
	parts  map[PartKey][]holding
	order  []PartKey // in which entries are told and swept
	cursor int
	recent []Entry // own placements since the last Tell
}

// New returns an empty index.
func New(now func() time.Time) *Index {
	return &Index{now: now, parts: make(map[PartKey][]holding)}
}

// Placed notes that a prompt with these shared parts was sent to a server.
func (x *Index) Placed(shared []call.Part, h Holder) {
	x.mu.Lock()
	defer x.mu.Unlock()
	now := x.now()
	for _, p := range shared {
		x.note(KeyOf(p), h, now)
		if len(x.recent) < maxRecent {
			x.recent = append(x.recent, Entry{Part: KeyOf(p), Holder: h})
		}
	}
}

// Told takes over entries of a peer.
func (x *Index) Told(entries []Entry) {
	x.mu.Lock()
	defer x.mu.Unlock()
	now := x.now()
	for _, e := range entries {
		age := time.Duration(e.AgeMS) * time.Millisecond
		if age < ttl {
			x.note(e.Part, e.Holder, now.Add(-age))
		}
	}
}

// note remembers a holder. x.mu is held.
func (x *Index) note(p PartKey, h Holder, used time.Time) {
	list, known := x.parts[p]
	for i := range list {
		if list[i].holder == h {
			if used.After(list[i].used) {
				list[i].used = used
			}
			return
		}
	}
	if !known {
		if len(x.order) >= maxParts {
			return
		}
		x.order = append(x.order, p)
	}
	if len(list) < maxHolders {
		x.parts[p] = append(list, holding{h, used})
		return
	}
	oldest := 0
	for i := range list {
		if list[i].used.Before(list[oldest].used) {
			oldest = i
		}
	}
	if used.After(list[oldest].used) {
		list[oldest] = holding{h, used}
	}
}

// Missing sets, for each holder, how many tokens of the parts it has to
// compute. A part is of use only if all parts before it are there too.
func (x *Index) Missing(shared []call.Part, holders []Holder, missing []int) {
	x.mu.Lock()
	defer x.mu.Unlock()
	total := 0
	for _, p := range shared {
		total += p.Tokens
	}
	for i, h := range holders {
		missing[i] = total
		for _, p := range shared {
			if !holds(x.parts[KeyOf(p)], h) {
				break
			}
			missing[i] -= p.Tokens
		}
	}
}

func holds(list []holding, h Holder) bool {
	for i := range list {
		if list[i].holder == h {
			return true
		}
	}
	return false
}

// Tell returns the own placements since the last call, and some older entries
// in turn, for daemons that have started since.
func (x *Index) Tell() []Entry {
	x.mu.Lock()
	defer x.mu.Unlock()
	entries := x.recent
	x.recent = nil
	now := x.now()
	for range min(refreshSize, len(x.order)) {
		x.cursor = (x.cursor + 1) % len(x.order)
		part := x.order[x.cursor]
		for _, held := range x.parts[part] {
			age := max(now.Sub(held.used), 0)
			entries = append(entries, Entry{Part: part, Holder: held.holder, AgeMS: uint32(age.Milliseconds())})
		}
	}
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
			if listed(held.holder) && now.Sub(held.used) < ttl {
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
}
