package placement

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"cassialatch.dev/gateway/call"
)

// newCandidates returns n idle candidates whose caches lack a prompt of the
// given size.
func newCandidates(n, tokens int) []Candidate {
	all := make([]Candidate, n)
	for i := range all {
		all[i] = Candidate{ID: fmt.Sprintf("s%d", i), MissingTokens: tokens}
	}
	return all
}

func newPrompt(group, subject uint64, tokens int) []call.Part {
	return []call.Part{{ID: group, Tokens: 100}, {ID: subject, Tokens: tokens}}
}

func TestChooseForPromptPrefersCachedServer(t *testing.T) {
	is := is.New(t)
	all := newCandidates(9, 10_100)
	all[4].MissingTokens, all[4].Ready, all[4].InFlight = 0, true, 3
	i, cause := ChooseForPrompt(all, newPrompt(1, 2, 10_000), nil)
	is.Equal(i, 4)
	is.Equal(cause, CauseWarm)
}

// Load pattern: one subject gets much of the traffic. Its server fills up to
// the load limit; from then on the prompt spreads to other servers, and no
// server exceeds the operators' bound.
func TestChooseForPrompt_SpreadsHotPromptAtLoadLimit(t *testing.T) {
	is := is.New(t)
	all := newCandidates(9, 10_100)
	all[0].MissingTokens, all[0].Ready = 0, true
	for range 200 {
		i, _ := ChooseForPrompt(all, newPrompt(1, 2, 10_000), nil)
		all[i].InFlight++
		all[i].MissingTokens, all[i].Ready = 0, true
		for j := range all {
			all[j].FetchableTokens = all[j].MissingTokens // from the cache of the first server
		}
	}
	total, most := 0, 0
	for _, c := range all {
		total += c.InFlight
		most = max(most, c.InFlight)
	}
	const capFactor, capSlack = 2, 3 // the operators' bound on any server's load
	mean := float64(total) / float64(len(all))
	is.True(float64(most) <= capFactor*mean+capSlack)
}

// Load pattern: a peak of long prompts that no server has in its cache. They
// spread, so that none waits behind several others.
func TestChooseForPrompt_SpreadsColdLongPrompts(t *testing.T) {
	is := is.New(t)
	all := newCandidates(9, 10_100)
	for n := range uint64(18) {
		i, cause := ChooseForPrompt(all, newPrompt(n%3, 100+n, 10_000), nil)
		is.Equal(cause, CauseCold)
		all[i].InFlight++
		all[i].QueuedTokens += 10_100
	}
	for _, c := range all {
		is.True(c.QueuedTokens <= 4*10_100) // 18 prompts over 9 servers
	}
}

// Load pattern: the first second after the start of a large fleet. Each
// request reaches another daemon, which has no load counts yet, and many
// prompts have the same first part.
func TestChooseForPrompt_SpreadsNewPromptsInLargeFleet(t *testing.T) {
	is := is.New(t)
	chosen := make(map[int]int)
	const prompts = 80
	for n := range uint64(prompts) {
		i, _ := ChooseForPrompt(newCandidates(90, 1_100), newPrompt(1, 100+n, 1_000), nil)
		chosen[i]++
	}
	for _, n := range chosen {
		is.True(n <= prompts/2)
	}
	is.True(len(chosen) <= promptGroups) // few servers compute what the prompts share
}

// Load pattern: callers repeat a prompt that is still being computed. The
// repeated requests wait at its server instead of having it computed twice.
func TestChooseForPrompt_ReusesPendingPrompt(t *testing.T) {
	is := is.New(t)
	all := newCandidates(9, 10_100)
	all[3].MissingTokens, all[3].Ready = 0, false
	all[3].InFlight, all[3].QueuedTokens = 1, 10_100
	i, cause := ChooseForPrompt(all, newPrompt(1, 2, 10_000), nil)
	is.Equal(i, 3)
	is.Equal(cause, CausePending)
}

// Load pattern: a network partition splits the daemons, and both halves get
// the same new prompts. They choose the same server although neither half
// receives the load counts of the other.
func TestChooseForPrompt_SameServerAcrossPartition(t *testing.T) {
	is := is.New(t)
	for n := range uint64(50) {
		p := newPrompt(n, 100+n, 2_000)
		a, b := newCandidates(9, 2_100), newCandidates(9, 2_100)
		b[0].InFlight, b[5].InFlight = 1, 2 // load counted by one half only
		i, _ := ChooseForPrompt(a, p, nil)
		j, _ := ChooseForPrompt(b, p, nil)
		is.Equal(i, j)
	}
}

// Load pattern: a fifth of the servers is slow or fails. They get no prompts
// while the load of the others is below the limit.
func TestChooseForPrompt_AvoidsFailingServers(t *testing.T) {
	is := is.New(t)
	all := newCandidates(10, 700)
	for i := range all {
		all[i].InFlight = 4
	}
	all[2].MissingTokens, all[2].Ready = 0, true
	all[2].Penalty, all[7].Penalty = 15, 15
	i, cause := ChooseForPrompt(all, newPrompt(1, 2, 600), nil)
	is.True(i != 2 && i != 7)
	is.Equal(cause, CauseBound)
}

func TestChoose_WithoutCandidates(t *testing.T) {
	is := is.New(t)
	i, _ := ChooseForPrompt(nil, newPrompt(1, 2, 3), nil)
	is.Equal(i, -1)
	is.Equal(LeastLoaded(nil, "a", nil), -1)
}

func TestLeastLoadedPrefersZone(t *testing.T) {
	is := is.New(t)
	all := []Candidate{{ID: "a", Zone: "x", InFlight: 1}, {ID: "b", Zone: "y", InFlight: 1}}
	is.Equal(LeastLoaded(all, "y", nil), 1)
	all[1].InFlight = 2
	is.Equal(LeastLoaded(all, "y", nil), 0)
}

// Load pattern: a fifth of the servers works 3.5 times as long for some seconds. An idle
// server of these takes longer than a usual one with two requests.
func TestPace_WeighsTheRequestToBePlaced(t *testing.T) {
	is := is.New(t)
	all := []Candidate{{ID: "slow", Pace: 3.5}, {ID: "usual", InFlight: 2}}
	is.Equal(LeastLoaded(all, "", nil), 1)
	all[1].InFlight = 3
	is.Equal(LeastLoaded(all, "", nil), 0)
	all = newCandidates(9, 0)
	for i := range all {
		all[i].InFlight, all[i].QueuedTokens, all[i].Pace = 2, 2_000, 3.5
	}
	all[4].Pace, all[4].QueuedTokens = 1, 6_000
	i, _ := ChooseForPrompt(all, newPrompt(1, 2, 1_000), nil)
	is.Equal(i, 4)
}

// The load bound is the operators', in requests, whatever the pace.
func TestPace_DoesNotChangeTheLoadBound(t *testing.T) {
	is := is.New(t)
	all := newCandidates(9, 1_100)
	for i := range all {
		all[i].InFlight, all[i].Pace = 4, 10
	}
	all[4].Pace, all[4].InFlight, all[4].MissingTokens, all[4].Ready = 0.25, 14, 0, true
	i, cause := ChooseForPrompt(all, newPrompt(1, 2, 1_000), nil)
	is.True(i != 4)
	is.Equal(cause, CauseBound)
}

// Guards against requests that try one failed server after another because these have
// nothing in flight.
func TestRandom_SpreadsOverServersBelowTheLoadLimit(t *testing.T) {
	is := is.New(t)
	all := newCandidates(9, 0)
	for i := range all {
		all[i].InFlight = 4
	}
	all[2].InFlight, all[5].InFlight = 0, 40
	chosen := make(map[int]bool)
	for n := range uint64(100) {
		chosen[Random(all, n)] = true
	}
	is.Equal(len(chosen), 8)
	is.True(!chosen[5])
	is.Equal(Random(nil, 3), -1)
}
