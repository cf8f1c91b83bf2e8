package ingress

import (
	"slices"

	"github.com/cespare/xxhash/v2"

	"cassialatch.dev/gateway/cacheindex"
	"cassialatch.dev/gateway/catalog"
	"cassialatch.dev/gateway/load"
	"cassialatch.dev/gateway/placement"
	"cassialatch.dev/gateway/warmup"
)

// choice describes the chosen server and the reason for choosing it.
type choice struct {
	placement.Candidate
	cause  placement.Cause
	among  []placement.Candidate // all servers that may be chosen
	source *catalog.Server       // server to fetch cached parts from that the chosen one lacks; nil if there is none
	cold   bool                  // the server is cold
}

// choose returns the server for the next attempt; nil if there is none.
func (q *request) choose() (*catalog.Server, choice) {
	for {
		server, chosen := q.place()
		if server == nil || q.takeSendSlot(server, &chosen) {
			return server, chosen
		}
	}
}

// place returns the best of the servers that may be sent the request now; nil if there is
// none.
func (q *request) place() (*catalog.Server, choice) {
	view := q.h.Catalog.View()
	servers := view.ByService[q.service.Name]
	all := slices.Concat(servers, view.DrainingByService[q.service.Name], view.EvacuatedByService[q.service.Name])
	states := q.serverStates(all)
	candidates := q.candidates(states[:len(servers)], q.sources(states))
	i, cause := 0, placement.CauseLoad
	switch {
	case q.refusedConnections() >= maxSends:
		i, cause = placement.Random(candidates, xxhash.Sum64String(q.call.ID)), placement.CauseRandom
	case len(q.call.Parts) > 0:
		i, cause = placement.ChooseForPrompt(candidates, q.call.SharedParts(), q.h.Jitter())
	default:
		i = q.leastLoaded(candidates)
	}
	if i < 0 {
		return nil, choice{}
	}
	chosen := choice{Candidate: candidates[i], cause: cause, among: candidates}
	if chosen.Source != "" {
		chosen.source = serverByID(all, chosen.Source)
	}
	return serverByID(servers, chosen.ID), chosen
}

// serverByID returns the server with the ID, which must be in the list.
func serverByID(servers []*catalog.Server, id string) *catalog.Server {
	i := slices.IndexFunc(servers, func(s *catalog.Server) bool { return s.ID == id })
	return servers[i]
}

// serverState is what is known about a server when a request is placed.
type serverState struct {
	*catalog.Server
	work       load.Work
	coverage   cacheindex.Coverage // of the prompt's shared parts, in the server's cache
	usage      float64             // parts recently sent to the server, decayed exponentially
	penalty    float64             // in requests in flight
	pace       float64             // how long work takes, relative to the usual time; 0: as usual
	inBackoff  bool
	cold       bool
	noSendSlot bool // it is cold and may be sent nothing now
}

// serverStates returns the state of each server, in the order of servers.
func (q *request) serverStates(servers []*catalog.Server) []serverState {
	tags := make([]uint32, len(servers))
	holders := make([]cacheindex.Holder, len(servers))
	for i, s := range servers {
		tags[i] = s.Tag()
		holders[i] = cacheindex.Holder(tags[i])
	}
	work := make([]load.Work, len(servers))
	q.h.Loads.InFlight(tags, work)
	usage := make([]float64, len(servers))
	q.h.CacheIndex.Usage(holders, usage)
	coverage := make([]cacheindex.Coverage, len(servers))
	if parts := q.call.SharedParts(); len(parts) > 0 {
		q.h.CacheIndex.Lookup(parts, holders, coverage)
	}
	shared := q.sharedStates(tags)
	states := make([]serverState, len(servers))
	for i, s := range servers {
		penalty, inBackoff := q.h.Health.Penalty(s.ID)
		states[i] = serverState{Server: s, work: work[i], coverage: coverage[i], usage: usage[i], penalty: penalty, inBackoff: inBackoff}
		if shared != nil {
			states[i].pace = shared[i].Pace
			states[i].inBackoff = inBackoff || shared[i].Refused
		}
	}
	if warmup.LimitOf(q.service).Applies() {
		for i := range states {
			wait, cold := q.h.Warmup.Wait(servers[i].Incarnation())
			states[i].cold, states[i].noSendSlot = cold, wait > 0
		}
	}
	return states
}

// sources returns the servers that the prompt's cached parts may be fetched
// from: those that are not in backoff, have at least one of the parts, and have
// computed all parts that the index lists for them. Draining servers and those in
// evacuated zones can be sources too.
func (q *request) sources(states []serverState) []placement.Source {
	total := q.sharedTokens()
	var sources []placement.Source
	for i := range states {
		s := &states[i]
		if s.inBackoff || !s.coverage.Ready || s.coverage.MissingTokens == total {
			continue
		}
		sources = append(sources, placement.Source{ID: s.ID, Zone: s.Zone, MissingTokens: s.coverage.MissingTokens})
	}
	return sources
}

// candidates returns the servers that were not tried yet, want requests and are not in
// backoff; if there are none, those in backoff. Cold servers are left out while they may be
// sent nothing. Before the daemon knows the size of the fleet, they come last of all.
func (q *request) candidates(states []serverState, sources []placement.Source) []placement.Candidate {
	ready := make([]placement.Candidate, 0, len(states))
	var backingOff, cold []placement.Candidate
	deferred := false // a cold server was left out
	for i := range states {
		s := &states[i]
		if q.tried[s.ID] || q.avoided(s.Server) {
			continue
		}
		if s.noSendSlot {
			deferred = true
			continue
		}
		c := placement.Candidate{
			ID: s.ID, Zone: s.Zone, InFlight: s.work.Requests, Slots: s.Slots, QueuedTokens: s.work.Tokens, Penalty: s.penalty, Pace: s.pace,
			MissingTokens: s.coverage.MissingTokens, Ready: s.coverage.Ready, Usage: s.usage,
		}
		c.ChooseSource(sources)
		switch {
		case s.cold && !q.h.Warmup.KnowsFleet():
			cold = append(cold, c)
		case s.inBackoff:
			backingOff = append(backingOff, c)
		default:
			ready = append(ready, c)
		}
	}
	if deferred {
		q.rec.ColdDeferred++
	}
	switch {
	case len(ready) > 0:
		return ready
	case len(backingOff) > 0:
		return backingOff
	}
	return cold
}

// tokensToCompute estimates how many tokens of the prompt a server has to
// compute if it lacks the given number of tokens of the shared parts.
func (q *request) tokensToCompute(missing int) int {
	return max(q.call.PromptTokens-q.sharedTokens(), 0) + missing
}

// sharedTokens returns the number of tokens in the prompt's shared parts.
func (q *request) sharedTokens() int {
	tokens := 0
	for _, p := range q.call.SharedParts() {
		tokens += p.Tokens
	}
	return tokens
}
