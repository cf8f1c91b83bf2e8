// Package placement chooses the backend server for a request: where the
// longest part of its prompt is likely cached, as long as that server's load
// stays below a bound that grows with the mean.
package placement

import (
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"

	"cassialatch.dev/gateway/call"
)

// Candidate is a backend server that may take the request.
type Candidate struct {
	ID       string
	Zone     string
	InFlight int     // requests of all daemons together
	Penalty  float64 // of servers that are slow or fail, in requests
}

// Bound is how far a server's load may lie above the mean before requests go
// elsewhere: Factor times the mean, and Slack requests.
type Bound struct {
	Factor float64
	Slack  float64
}

// ForPrompt bounds the load of servers that cache prompts; it stays below the
// multiple of the mean that operators allow.
var ForPrompt = Bound{Factor: 1.35, Slack: 2}

// limit returns the bound on the load that a request may meet.
func (b Bound) limit(candidates []Candidate) float64 {
	total := 0
	for i := range candidates {
		total += candidates[i].InFlight
	}
	mean := float64(total) / float64(len(candidates))
	return math.Ceil(b.Factor*mean) + b.Slack
}

// Prompt chooses a server for a request with a prompt, by the rendezvous order
// of the prompt's shared parts. It returns the index of the choice.
func Prompt(candidates []Candidate, shared []call.Part, b Bound) int {
	if len(candidates) == 0 {
		return -1
	}
	if len(shared) == 0 {
		return Least(candidates, "")
	}
	key := shared[len(shared)-1].ID
	limit := b.limit(candidates)
	order := rendezvous(candidates, key)
	for _, i := range order {
		if float64(candidates[i].InFlight)+candidates[i].Penalty < limit {
			return i
		}
	}
	return Least(candidates, "")
}

// rendezvous returns the candidates' indexes by falling weight for the key.
func rendezvous(candidates []Candidate, key uint64) []int {
	weights := make([]uint64, len(candidates))
	order := make([]int, len(candidates))
	for i := range candidates {
		weights[i] = mix(key ^ xxhash.Sum64String(candidates[i].ID))
		order[i] = i
	}
	slices.SortFunc(order, func(a, b int) int {
		switch {
		case weights[a] > weights[b]:
			return -1
		case weights[a] < weights[b]:
			return 1
		}
		return 0
	})
	return order
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

// Least chooses the least loaded server, with a preference for a zone.
func Least(candidates []Candidate, zone string) int {
	best, bestCost := -1, math.Inf(1)
	for i := range candidates {
		cost := float64(candidates[i].InFlight) + candidates[i].Penalty
		if candidates[i].Zone != zone {
			cost += zoneBonus
		}
		if cost < bestCost {
			best, bestCost = i, cost
		}
	}
	return best
}
