package placement

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"sync/atomic"
)

// The planners below are baselines for benchmarks. They name
// ReasonLeastLoaded, ReasonRendezvous or ReasonLastResort as fits.

// RoundRobin takes the candidates in turn.
type RoundRobin struct{ next atomic.Uint64 }

// Plan implements Planner.
func (b *RoundRobin) Plan(r Request, candidates []Candidate) []Choice {
	pool := usable(r, candidates)
	if len(pool) == 0 {
		return nil
	}
	start := int(b.next.Add(1) % uint64(len(pool)))
	rotated := slices.Concat(pool[start:], pool[:start])
	return firstChoices(rotated, ReasonLastResort)
}

// Random takes candidates at random.
type Random struct{}

// Plan implements Planner.
func (Random) Plan(r Request, candidates []Candidate) []Choice {
	pool := usable(r, candidates)
	shuffle(pool)
	return firstChoices(pool, ReasonLastResort)
}

// LeastLoaded takes the candidates with the least relative load.
type LeastLoaded struct{}

// Plan implements Planner.
func (LeastLoaded) Plan(r Request, candidates []Candidate) []Choice {
	return firstChoices(byLoad(r, candidates), ReasonLeastLoaded)
}

// ConsistentHash takes the rendezvous order of the chat, whatever the load.
type ConsistentHash struct{}

// Plan implements Planner.
func (ConsistentHash) Plan(r Request, candidates []Candidate) []Choice {
	pool := usable(r, candidates)
	ids := make([]string, len(pool))
	for i, c := range pool {
		ids[i] = c.Backend
	}
	choices := make([]Choice, 0, DefaultMaxChoices)
	for _, id := range RendezvousOrder(r.ChatKey, ids) {
		if len(choices) == DefaultMaxChoices {
			break
		}
		choices = append(choices, Choice{id, ReasonRendezvous})
	}
	return choices
}

// RandomTopN takes the N least loaded candidates in random order.
type RandomTopN struct{ N int }

// Plan implements Planner.
func (b RandomTopN) Plan(r Request, candidates []Candidate) []Choice {
	pool := byLoad(r, candidates)
	shuffle(pool[:min(b.N, len(pool))])
	return firstChoices(pool, ReasonLeastLoaded)
}

func usable(r Request, candidates []Candidate) []*Candidate {
	pool := make([]*Candidate, 0, len(candidates))
	for i := range candidates {
		c := &candidates[i]
		if c.Leaving || (r.Excluded != nil && r.Excluded(c.Backend)) {
			continue
		}
		pool = append(pool, c)
	}
	return pool
}

// byLoad sorts by relative load; equal ones come in random order, or every
// entry would send its work to the same idle backend server.
func byLoad(r Request, candidates []Candidate) []*Candidate {
	pool := usable(r, candidates)
	shuffle(pool)
	slices.SortStableFunc(pool, func(a, b *Candidate) int {
		return cmp.Compare(a.relativeLoad(), b.relativeLoad())
	})
	return pool
}

func shuffle(pool []*Candidate) {
	rand.Shuffle(len(pool), func(i, j int) { pool[i], pool[j] = pool[j], pool[i] })
}

func firstChoices(pool []*Candidate, reason Reason) []Choice {
	pool = pool[:min(DefaultMaxChoices, len(pool))]
	choices := make([]Choice, len(pool))
	for i, c := range pool {
		choices[i] = Choice{c.Backend, reason}
	}
	return choices
}
