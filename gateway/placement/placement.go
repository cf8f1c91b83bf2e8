// Package placement chooses the backend server for a request: the one that has
// to compute the least of its prompt, among those whose load stays below a
// bound that grows with the mean.
package placement

import (
	"cmp"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"

	"cassialatch.dev/gateway/call"
)

// Candidate is a backend server that may take the request.
type Candidate struct {
	ID        string
	Zone      string
	InFlight  int     // requests of all daemons together
	Penalty   float64 // of servers that are slow or fail, in requests
	Queued    int     // tokens of prompts that it still computes
	Missing   int     // tokens of the prompt's shared parts that its cache lacks
	Fetchable int     // of these, tokens that the source has ready
	Source    string  // server whose cache they can be fetched from; empty: none
	Ready     bool    // it has computed the other shared parts
	Usage     float64 // parts of prompts that it was sent of late
}

// Cause tells why a server was chosen.
type Cause string

// Causes of a choice.
const (
	CauseWarm    Cause = "warm"    // it has all shared parts
	CausePending Cause = "pending" // it computes the shared parts for another request
	CauseCold    Cause = "cold"    // no server has all shared parts
	CauseBound   Cause = "bound"   // those that have them are at their bound
	CauseCost    Cause = "cost"    // those that have them are busier than the parts are worth
	CauseLoad    Cause = "load"    // there is no prompt, or all servers are at their bound
)

// load is what a candidate is weighed by.
func (c *Candidate) load() float64 { return float64(c.InFlight) + c.Penalty }

// loadLimit returns the load that a server must be below to get a prompt: it stays
// below the multiple of the mean that operators allow.
func loadLimit(mean float64) float64 {
	const factor, slack = 1.9, 2.5
	return factor*mean + slack
}

// means returns the mean load and the mean usage.
func means(candidates []Candidate) (load, usage float64) {
	for i := range candidates {
		load += float64(candidates[i].InFlight)
		usage += candidates[i].Usage
	}
	n := float64(len(candidates))
	return load / n, usage / n
}

const (
	// missingWeight is what a token to compute weighs against one that a server
	// computes for another request. It is high, since another server may well
	// have it, or compute it already.
	missingWeight = 15
	// tokensPerRequest is how many tokens more a server may have to compute for
	// each request in flight that it has less than another. Short prompts so
	// leave a busy server before long ones do.
	tokensPerRequest = 120
	// tokensPerUse is the same for each part of a prompt sent to it of late.
	// It spreads prompts that no server has yet.
	tokensPerUse = 15
	// tokensPerRank is the same for each place in the rendezvous order of a
	// prompt that no server has yet. Daemons that don't hear each other so
	// mostly choose the same server.
	tokensPerRank = 600
)

// ChooseForPrompt chooses a server for a request with a prompt. It returns the index of
// the choice, -1 if there is no candidate.
func ChooseForPrompt(candidates []Candidate, shared []call.Part) (int, Cause) {
	if len(candidates) == 0 {
		return -1, CauseLoad
	}
	if len(shared) == 0 {
		return LeastLoaded(candidates, ""), CauseLoad
	}
	mean, usage := means(candidates)
	limit := loadLimit(mean)
	known := anyWarm(candidates, limit)
	ranks := rendezvous(candidates, groupKey(shared, len(candidates)))
	best, bestCost := -1, math.Inf(1)
	for i := range candidates {
		c := &candidates[i]
		if c.load() >= limit {
			continue
		}
		cost := c.promptCost() + tokensPerRequest*math.Max(0, c.load()-mean)
		if !known {
			cost += tokensPerUse*math.Max(0, c.Usage-usage) + tokensPerRank*float64(ranks[i])
		}
		if cost < bestCost || cost == bestCost && ranks[i] < ranks[best] {
			best, bestCost = i, cost
		}
	}
	if best < 0 {
		return LeastLoaded(candidates, ""), CauseLoad
	}
	return best, cause(candidates, best, known)
}

// promptCost is what the prompt costs at a server, in tokens.
func (c *Candidate) promptCost() float64 {
	return float64(c.Queued+c.Fetchable) + missingWeight*float64(c.Missing-c.Fetchable)
}

func cause(candidates []Candidate, chosen int, known bool) Cause {
	switch {
	case candidates[chosen].Missing == 0 && !candidates[chosen].Ready:
		return CausePending
	case candidates[chosen].Missing == 0:
		return CauseWarm
	case known:
		return CauseCost
	case anyWarm(candidates, math.Inf(1)):
		return CauseBound
	}
	return CauseCold
}

// anyWarm tells whether a server below the limit has all shared parts.
func anyWarm(candidates []Candidate, limit float64) bool {
	for i := range candidates {
		if candidates[i].Missing == 0 && candidates[i].load() < limit {
			return true
		}
	}
	return false
}

const (
	// manyServers is the number of servers from which prompts that begin alike
	// are spread over several servers when they are new.
	manyServers = 30
	// groups is how many groups such prompts form. Daemons that have not yet told
	// each other of their load would send them all to one server.
	groups = 4
	// longPart is the size, in tokens, from which a part is placed by itself
	// there: a group of such parts fills the caches of several servers, and its
	// order would not tell which one has it.
	longPart = 3000
)

// groupKey returns the key of the rendezvous order that a new prompt follows.
// Prompts that begin alike go together, so that few servers compute what they
// share.
func groupKey(shared []call.Part, servers int) uint64 {
	first, last := shared[0], shared[len(shared)-1]
	switch {
	case servers < manyServers:
		return first.ID
	case last.Tokens >= longPart:
		return last.ID
	}
	return first.ID + last.ID%groups
}

// rendezvous returns each candidate's place in the rendezvous order of a key.
func rendezvous(candidates []Candidate, key uint64) []int {
	weights := make([]uint64, len(candidates))
	order := make([]int, len(candidates))
	for i := range candidates {
		weights[i] = mix(key ^ xxhash.Sum64String(candidates[i].ID))
		order[i] = i
	}
	slices.SortFunc(order, func(a, b int) int { return cmp.Compare(weights[b], weights[a]) })
	ranks := make([]int, len(candidates))
	for rank, i := range order {
		ranks[i] = rank
	}
	return ranks
}

// mix spreads the bits of a 64-bit number (the finalizer of SplitMix64).
func mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}

// zoneBonus is how many requests more a server in the daemon's own zone may
// have and still be preferred.
const zoneBonus = 0.5

// LeastLoaded chooses the least loaded server, with a preference for a zone; -1 if
// there is none.
func LeastLoaded(candidates []Candidate, zone string) int {
	best, bestCost := -1, math.Inf(1)
	for i := range candidates {
		cost := candidates[i].load()
		if candidates[i].Zone != zone {
			cost += zoneBonus
		}
		if cost < bestCost {
			best, bestCost = i, cost
		}
	}
	return best
}
