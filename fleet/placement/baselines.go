package placement

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"sync/atomic"
)

// The planners below are baselines for benchmarks. Their choices have the reason
// ReasonLeastLoaded, ReasonRendezvous or ReasonLastResort, whichever is closest.

// RoundRobin chooses the candidates in turn.
type RoundRobin struct{ next atomic.Uint64 }

// Plan implements Planner.
func (b *RoundRobin) Plan(r Request, candidates []Candidate) []Choice {
	pool := usableCandidates(r, candidates)
	if len(pool) == 0 {
		return nil
	}
	start := int(b.next.Add(1) % uint64(len(pool)))
	rotated := slices.Concat(pool[start:], pool[:start])
	return firstChoices(rotated, ReasonLastResort)
}

// Random chooses candidates at random.
type Random struct{}

// Plan implements Planner.
func (Random) Plan(r Request, candidates []Candidate) []Choice {
	pool := usableCandidates(r, candidates)
	shuffle(pool)
	return firstChoices(pool, ReasonLastResort)
}

// LeastLoaded chooses the candidates with the lowest relative load.
type LeastLoaded struct{}

// Plan implements Planner.
func (LeastLoaded) Plan(r Request, candidates []Candidate) []Choice {
	return firstChoices(sortedByLoad(r, candidates), ReasonLeastLoaded)
}

// ConsistentHash chooses candidates in the rendezvous order of the chat,
// regardless of their load.
type ConsistentHash struct{}

// Plan implements Planner.
func (ConsistentHash) Plan(r Request, candidates []Candidate) []Choice {
	pool := usableCandidates(r, candidates)
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

// RandomTopN chooses the N least loaded candidates in random order, followed by
// the others by load.
type RandomTopN struct{ N int }

// Plan implements Planner.
func (b RandomTopN) Plan(r Request, candidates []Candidate) []Choice {
	pool := sortedByLoad(r, candidates)
	shuffle(pool[:min(b.N, len(pool))])
	return firstChoices(pool, ReasonLeastLoaded)
}

// usableCandidates returns the candidates that are neither leaving nor excluded.
func usableCandidates(r Request, candidates []Candidate) []*Candidate {
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

// sortedByLoad returns the usable candidates, lowest relative load first.
// Candidates of equal load are in random order; otherwise all daemons would send
// their requests to the same idle backend server.
func sortedByLoad(r Request, candidates []Candidate) []*Candidate {
	pool := usableCandidates(r, candidates)
	shuffle(pool)
	slices.SortStableFunc(pool, func(a, b *Candidate) int {
		return cmp.Compare(a.relativeLoad(), b.relativeLoad())
	})
	return pool
}

// shuffle puts the candidates in random order.
func shuffle(pool []*Candidate) {
	rand.Shuffle(len(pool), func(i, j int) { pool[i], pool[j] = pool[j], pool[i] })
}

// firstChoices returns choices for the first DefaultMaxChoices candidates.
func firstChoices(pool []*Candidate, reason Reason) []Choice {
	pool = pool[:min(DefaultMaxChoices, len(pool))]
	choices := make([]Choice, len(pool))
	for i, c := range pool {
		choices[i] = Choice{c.Backend, reason}
	}
	return choices
}
