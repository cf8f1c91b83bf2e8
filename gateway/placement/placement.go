// Package placement chooses the backend server for a request. For a request
// with a prompt, it chooses the server with the lowest cost, which is mostly
// that of the prompt tokens it has to compute, among the servers whose load
// is below a limit that grows with the mean load. Other requests go to the
// least loaded server. The package has no state.
package placement

import (
	"cmp"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"

	"cassialatch.dev/gateway/call"
)

// Candidate is a backend server that may be chosen for the request.
type Candidate struct {
	ID              string
	Zone            string
	InFlight        int     // requests in flight from all daemons
	Slots           int     // requests that it runs at the same time; 0: not stated
	Penalty         float64 // load added for recent failures, in requests in flight
	QueuedTokens    int     // prompt tokens of requests in flight that it has yet to compute
	Pace            float64 // how long work takes there, relative to the usual time; 0: as usual
	MissingTokens   int     // tokens of the prompt's shared parts that are not in its cache
	FetchableTokens int     // missing tokens that Source has in its cache
	Source          string  // ID of the server from whose cache those can be fetched; empty: none
	Ready           bool    // whether it has computed the shared tokens that are not missing
	Usage           float64 // parts of prompts recently sent to it, decayed exponentially
}

// Cause is the reason why a server was chosen.
type Cause string

// Causes of a choice.
const (
	CauseWarm    Cause = "warm"    // the server has computed all shared parts
	CausePending Cause = "pending" // the server is computing the shared parts for another request
	CauseCold    Cause = "cold"    // no server has all shared parts
	CauseBound   Cause = "bound"   // the servers with all shared parts have reached the load limit
	CauseCost    Cause = "cost"    // the servers with all shared parts are so busy that computing the parts costs less
	CauseRandom  Cause = "random"  // chosen at random, since several servers have refused the connection
	CauseLoad    Cause = "load"    // there are no shared parts, or all servers have reached the load limit
)

// load returns the requests in flight plus the penalty.
func (c *Candidate) load() float64 { return float64(c.InFlight) + c.Penalty }

// pace returns the pace; 1 if work takes as long as usual.
func (c *Candidate) pace() float64 {
	if c.Pace == 0 {
		return 1
	}
	return c.Pace
}

// pacedLoad returns the load by the time that it takes, in requests at the usual pace.
// The request to be placed is part of it, since it takes longer at a slow server too,
// and is subtracted again, so that it is equal to load at the usual pace.
func (c *Candidate) pacedLoad() float64 {
	if c.pace() == 1 {
		return c.load() // without rounding
	}
	return (c.load()+1)*c.pace() - 1
}

// excessLoad returns the load above the mean for the cost of a prompt. An old count may be
// too low by as much as it says, so the random load is in proportion to it: prompts stay at
// servers that hold them and are idle.
func (c *Candidate) excessLoad(mean float64, jitter Jitter) float64 {
	load := c.pacedLoad()
	return math.Max(0, load+jitter.load(load)-mean)
}

// loadLimit returns the load that a server must be below to get a prompt. It
// is lower than the multiple of the mean load that operators allow.
func loadLimit(mean float64) float64 {
	const factor, slack = 1.9, 2.5
	return factor*mean + slack
}

// meanLoadAndUsage returns the mean load, without penalties, and the mean
// usage.
func meanLoadAndUsage(candidates []Candidate) (load, usage float64) {
	for i := range candidates {
		load += float64(candidates[i].InFlight)
		usage += candidates[i].Usage
	}
	n := float64(len(candidates))
	return load / n, usage / n
}

const (
	// missingWeight is the cost of a token that the server has to compute for
	// this prompt, relative to one that it computes for another request. It
	// is high because another server probably has the token in its cache or
	// is computing it already.
	missingWeight = 15
	// tokensPerRequest is the cost, in tokens, of each request by which a
	// server's load exceeds the mean. A busy server therefore stops
	// receiving short prompts before long ones.
	tokensPerRequest = 120
	// tokensPerSentPart is the cost, in tokens, of each recently sent part by
	// which a server's usage exceeds the mean. It spreads prompts that no
	// server has in its cache yet.
	tokensPerSentPart = 15
	// tokensPerRank is the cost, in tokens, of each rank in the rendezvous
	// order of a prompt that no server has in its cache yet. Daemons that
	// can't exchange messages thus mostly choose the same server.
	tokensPerRank = 600
)

// ChooseForPrompt chooses a server for a request by the shared parts of its
// prompt. It returns the index of the chosen candidate, -1 if there are no
// candidates, and the reason for the choice.
func ChooseForPrompt(candidates []Candidate, shared []call.Part, jitter Jitter) (int, Cause) {
	if len(candidates) == 0 {
		return -1, CauseLoad
	}
	if len(shared) == 0 {
		return LeastLoaded(candidates, "", jitter), CauseLoad
	}
	mean, usage := meanLoadAndUsage(candidates)
	limit := loadLimit(mean)
	cached := anyWarm(candidates, limit)
	ranks := rendezvousRanks(candidates, groupKey(shared, len(candidates)))
	best, bestCost := -1, math.Inf(1)
	for i := range candidates {
		c := &candidates[i]
		if c.load() >= limit {
			continue
		}
		cost := c.promptCost() + tokensPerRequest*c.excessLoad(mean, jitter)
		if !cached {
			cost += tokensPerSentPart*math.Max(0, c.Usage-usage) + tokensPerRank*float64(ranks[i])
		}
		if cost < bestCost || cost == bestCost && ranks[i] < ranks[best] {
			best, bestCost = i, cost
		}
	}
	if best < 0 {
		return LeastLoaded(candidates, "", jitter), CauseLoad
	}
	return best, cause(candidates, best, cached)
}

// promptCost returns the cost of the prompt at a server, in tokens, without
// the cost of the server's load.
func (c *Candidate) promptCost() float64 {
	return float64(c.QueuedTokens)*c.pace() + float64(c.FetchableTokens) + missingWeight*float64(c.MissingTokens-c.FetchableTokens)
}

// cause returns the reason for a choice. cached is whether a server below the
// load limit has all shared parts.
func cause(candidates []Candidate, chosen int, cached bool) Cause {
	switch {
	case candidates[chosen].MissingTokens == 0 && !candidates[chosen].Ready:
		return CausePending
	case candidates[chosen].MissingTokens == 0:
		return CauseWarm
	case cached:
		return CauseCost
	case anyWarm(candidates, math.Inf(1)):
		return CauseBound
	}
	return CauseCold
}

// anyWarm reports whether a server with a load below the limit has all shared
// parts, computed or pending.
func anyWarm(candidates []Candidate, limit float64) bool {
	for i := range candidates {
		if candidates[i].MissingTokens == 0 && candidates[i].load() < limit {
			return true
		}
	}
	return false
}

const (
	// manyServers is the number of servers from which new prompts with the
	// same first part are spread over several servers.
	manyServers = 30
	// promptGroups is the number of groups that such prompts are divided
	// into. Without groups, daemons that have not exchanged their load yet
	// would send all of them to one server.
	promptGroups = 4
	// longPartTokens is the size from which a part is placed by itself in a
	// fleet of manyServers. A group of such parts fills the caches of several
	// servers, so the rendezvous order of the group would not show which
	// server has a part.
	longPartTokens = 3000
)

// groupKey returns the key of the rendezvous order for a new prompt. Prompts
// with the same first part share a key, so that few servers compute that
// part.
func groupKey(shared []call.Part, servers int) uint64 {
	first, last := shared[0], shared[len(shared)-1]
	switch {
	case servers < manyServers:
		return first.ID
	case last.Tokens >= longPartTokens:
		return last.ID
	}
	return first.ID + last.ID%promptGroups
}

// rendezvousRanks returns the rank of each candidate in the rendezvous order
// of a key. Rank 0 is the preferred one.
func rendezvousRanks(candidates []Candidate, key uint64) []int {
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

// crossZonePenalty is the load, in requests, added to servers outside the
// preferred zone.
const crossZonePenalty = 0.5

// LeastLoaded returns the index of the least loaded candidate by pacedLoad, -1 if there
// are none. Candidates outside the given zone count crossZonePenalty more.
func LeastLoaded(candidates []Candidate, zone string, jitter Jitter) int {
	mean, _ := meanLoadAndUsage(candidates)
	best, bestCost := -1, math.Inf(1)
	for i := range candidates {
		cost := candidates[i].pacedLoad() + jitter.load(mean)
		if candidates[i].Zone != zone {
			cost += crossZonePenalty
		}
		if cost < bestCost {
			best, bestCost = i, cost
		}
	}
	return best
}

// Random returns the index of a candidate below the load limit, -1 if there are no
// candidates. random is a number that differs between requests. Among servers of which
// some have failed, a random one is more likely to work than the one that costs least,
// since those that have failed have nothing in flight.
func Random(candidates []Candidate, random uint64) int {
	if len(candidates) == 0 {
		return -1
	}
	mean, _ := meanLoadAndUsage(candidates)
	limit := loadLimit(mean)
	n := len(candidates)
	first := int(random % uint64(n))
	for i := range n {
		if c := (first + i) % n; candidates[c].load() < limit {
			return c
		}
	}
	return LeastLoaded(candidates, "", nil)
}
