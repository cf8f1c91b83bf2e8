package placement

import (
	"fmt"
	"slices"
	"testing"

	"cassialatch.dev/config/dynamic"
	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// testCandidates returns n idle candidates runner-0, runner-1 and so on.
func testCandidates(n int) []Candidate {
	candidates := make([]Candidate, n)
	for i := range candidates {
		candidates[i] = Candidate{Backend: fmt.Sprintf("runner-%d", i), LoadKnown: true, Limit: 8, Weight: 1}
	}
	return candidates
}

// backendIDs returns the backend server IDs of the candidates.
func backendIDs(candidates []Candidate) []string {
	var ids []string
	for _, c := range candidates {
		ids = append(ids, c.Backend)
	}
	return ids
}

func TestRendezvousOrder_RemovalKeepsOrderOfOthers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		ids := rapid.SliceOfNDistinct(rapid.StringMatching(`[a-z]{1,6}`), 1, 30, rapid.ID).Draw(t, "ids")
		key := rapid.String().Draw(t, "key")
		removed := rapid.SampledFrom(ids).Draw(t, "removed")
		isRemoved := func(id string) bool { return id == removed }
		want := slices.DeleteFunc(RendezvousOrder(key, ids), isRemoved)
		got := RendezvousOrder(key, slices.DeleteFunc(slices.Clone(ids), isRemoved))
		if !slices.Equal(got, want) {
			t.Fatalf("got %v, want %v", got, want)
		}
	})
}

func TestRendezvousOrder_SpreadsKeysEvenly(t *testing.T) {
	is := is.New(t)
	firsts := map[string]int{}
	for i := range 10_000 {
		firsts[RendezvousOrder(fmt.Sprintf("chat-%d", i), backendIDs(testCandidates(10)))[0]]++
	}
	for _, n := range firsts {
		is.True(n > 850 && n < 1150)
	}
}

func TestPlanner_PrefersTokenThenIndexThenRendezvous(t *testing.T) {
	is := is.New(t)
	r := Request{ChatKey: "c", WarmBackend: "runner-3", IndexedBackend: "runner-5", IndexedTokens: 600, PromptTokens: 1000}
	got := NewPlanner(Options{}).Plan(r, testCandidates(10))
	is.Equal(got[0], Choice{"runner-3", ReasonWarm})
	is.Equal(got[1], Choice{"runner-5", ReasonIndex})
	is.Equal(got[2], Choice{RendezvousOrder("c", backendIDs(testCandidates(10)))[0], ReasonRendezvous})
}

// A shared system prompt covers less than MinIndexedFraction of the prompt, so the
// index must not override the rendezvous order.
func TestPlanner_IgnoresIndexBelowMinFraction(t *testing.T) {
	is := is.New(t)
	first := RendezvousOrder("c", backendIDs(testCandidates(10)))[0]
	r := Request{ChatKey: "c", IndexedBackend: "runner-5", IndexedTokens: 400, PromptTokens: 1000}
	is.Equal(NewPlanner(Options{}).Plan(r, testCandidates(10))[0], Choice{first, ReasonRendezvous})
}

func TestPlanner_KeepsWarmBackendWhileWaitIsBelowSavedPrefill(t *testing.T) {
	is := is.New(t)
	candidates := testCandidates(10)
	candidates[3].InFlight, candidates[3].Queued = 8, 1 // estimated wait: 2 * 4 s / 8 = 1 s
	reason := func(class dynamic.Class, tokens int) Reason {
		r := Request{ChatKey: "c", WarmBackend: "runner-3", WarmTokens: tokens, Class: class}
		return NewPlanner(Options{}).Plan(r, candidates)[0].Reason
	}
	is.Equal(reason(dynamic.ClassChat, 1334), ReasonWarm) // 3 * 1334 * 250 us > 1 s
	is.True(reason(dynamic.ClassChat, 1333) != ReasonWarm)
	is.Equal(reason(dynamic.ClassShort, 4000), ReasonWarm)
	is.True(reason(dynamic.ClassShort, 3999) != ReasonWarm)
}

// Load pattern: all backend servers are at their bound, as at a load peak.
// Abandoning the rendezvous order then would make every prompt cold, so it is kept
// until the queue of the first backend server is too long.
func TestPlanner_KeepsRendezvousOrderWhenAllAreAtBound(t *testing.T) {
	is := is.New(t)
	candidates := testCandidates(10)
	for i := range candidates {
		candidates[i].InFlight = 8
	}
	order := RendezvousOrder("c", backendIDs(candidates))
	r := Request{ChatKey: "c", PromptTokens: 4000}
	is.Equal(NewPlanner(Options{}).Plan(r, candidates)[0], Choice{order[0], ReasonRendezvous})
	for i := range candidates {
		if candidates[i].Backend == order[0] {
			candidates[i].Queued = 20 // 10 s longer than the other queues
		}
	}
	is.Equal(NewPlanner(Options{}).Plan(r, candidates)[0].Reason, ReasonLastResort)
	for i := range candidates {
		candidates[i].Queued = 20 // equally long queues
	}
	is.Equal(NewPlanner(Options{}).Plan(r, candidates)[0], Choice{order[0], ReasonRendezvous})
}

func TestPlanner_ChoosesLessLoadedOfTwoAndUnknownLoadLast(t *testing.T) {
	is := is.New(t)
	candidates := testCandidates(3)
	candidates[0].InFlight, candidates[1].InFlight, candidates[2].LoadKnown = 5, 4, false
	draws := []int{0, 1, 2, 0}
	next := -1
	p := NewPlanner(Options{MaxChoices: 2, IntN: func(int) int { next++; return draws[next] }})
	is.Equal(p.Plan(Request{}, candidates), []Choice{{"runner-1", ReasonLeastLoaded}, {"runner-0", ReasonLeastLoaded}})
	order := RendezvousOrder("c", backendIDs(candidates))
	for i := range candidates {
		candidates[i].LoadKnown, candidates[i].InFlight = true, 99
		if candidates[i].Backend == order[0] {
			candidates[i].LoadKnown, candidates[i].InFlight = false, 200 // a stale figure, to be ignored
		}
	}
	is.Equal(NewPlanner(Options{}).Plan(Request{ChatKey: "c"}, candidates)[0], Choice{order[0], ReasonRendezvous})
}

func TestPlanner_SpillsToNextInRendezvousOrder(t *testing.T) {
	is := is.New(t)
	candidates := testCandidates(10)
	order := RendezvousOrder("c", backendIDs(candidates))
	for i := range candidates {
		if candidates[i].Backend == order[0] {
			candidates[i].InFlight, candidates[i].Weight = 4, 0.5
		}
	}
	is.Equal(NewPlanner(Options{}).Plan(Request{ChatKey: "c"}, candidates)[0], Choice{order[1], ReasonSpill})
}

func TestPlanners_ChooseDistinctUsableBackends(t *testing.T) {
	planners := []Planner{
		NewPlanner(Options{}), &RoundRobin{}, Random{}, LeastLoaded{}, ConsistentHash{}, RandomTopN{3},
	}
	rapid.Check(t, func(t *rapid.T) {
		candidates := testCandidates(rapid.IntRange(0, 12).Draw(t, "n"))
		usable := 0
		for i := range candidates {
			c := &candidates[i]
			c.InFlight = rapid.IntRange(0, 10).Draw(t, "inflight")
			c.LoadKnown = rapid.Bool().Draw(t, "known")
			c.Leaving = rapid.Bool().Draw(t, "leaving")
			c.Weight = rapid.SampledFrom([]float64{0, 0.05, 0.5, 1}).Draw(t, "weight")
			if !c.Leaving && c.Backend != "runner-1" {
				usable++
			}
		}
		r := Request{ChatKey: "c", WarmBackend: "runner-1", Excluded: func(b string) bool { return b == "runner-1" }}
		for _, p := range planners {
			checkPlan(t, p.Plan(r, candidates), candidates, usable)
		}
	})
}

// checkPlan fails the test if the plan is empty although a candidate is usable, is
// too long, or contains a duplicate or an unusable candidate. runner-1 is excluded.
func checkPlan(t *rapid.T, plan []Choice, candidates []Candidate, usable int) {
	if (len(plan) > 0) != (usable > 0) || len(plan) > DefaultMaxChoices {
		t.Fatalf("plan has %d choices for %d usable candidates", len(plan), usable)
	}
	seen := map[string]bool{"runner-1": true}
	for _, choice := range plan {
		i := slices.IndexFunc(candidates, func(c Candidate) bool { return c.Backend == choice.Backend })
		if seen[choice.Backend] || candidates[i].Leaving {
			t.Fatalf("plan contains duplicate, leaving or excluded backend server: %v", choice)
		}
		seen[choice.Backend] = true
	}
}

func BenchmarkPlan(b *testing.B) {
	for _, n := range []int{10, 200, 2000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			candidates, p := testCandidates(n), NewPlanner(Options{})
			for i := range candidates {
				candidates[i].InFlight = i % 9
			}
			b.ReportAllocs()
			for b.Loop() {
				p.Plan(Request{ChatKey: "chat", WarmBackend: "runner-8", WarmTokens: 500}, candidates)
			}
		})
	}
}

func TestPlanner_ShortRequestsBypassQueueOfLongerRequests(t *testing.T) {
	is := is.New(t)
	candidates := testCandidates(10)
	for i := range candidates {
		candidates[i].InFlight = 8
		candidates[i].Queued = 1
	}
	candidates[4].InFlight = 7 // one slot is free for short requests
	candidates[4].Queued = 20  // longer requests

	short := NewPlanner(Options{}).Plan(Request{Class: dynamic.ClassShort}, candidates)
	is.Equal(short[0], Choice{"runner-4", ReasonLeastLoaded})
	long := NewPlanner(Options{}).Plan(Request{Class: dynamic.ClassLong}, candidates)
	is.Equal(long[0].Reason, ReasonLastResort)
}
