package ingress

import (
	"slices"

	"cassialatch.dev/gateway/catalog"
	"cassialatch.dev/gateway/load"
	"cassialatch.dev/gateway/placement"
	"cassialatch.dev/gateway/warm"
)

// choice is the server that was chosen, and why.
type choice struct {
	placement.Candidate
	cause  placement.Cause
	source *catalog.Server // whose cache has parts that the chosen one lacks; nil: none
}

// choose picks the server for the next attempt; nil if there is none.
func (q *query) choose() (*catalog.Server, choice) {
	view := q.h.Catalog.View()
	servers := view.ByService[q.service.Name]
	all := slices.Concat(servers, view.DrainingByService[q.service.Name])
	standings := q.survey(all)
	candidates := q.candidates(standings[:len(servers)], q.sources(standings))
	i, cause := 0, placement.CauseLoad
	if len(q.call.Parts) > 0 {
		i, cause = placement.ChooseForPrompt(candidates, q.call.SharedParts())
	} else {
		i = placement.LeastLoaded(candidates, q.h.Settings.Zone)
	}
	if i < 0 {
		return nil, choice{}
	}
	chosen := choice{Candidate: candidates[i], cause: cause}
	if chosen.Source != "" {
		chosen.source = serverNamed(all, chosen.Source)
	}
	return serverNamed(servers, chosen.ID), chosen
}

func serverNamed(servers []*catalog.Server, id string) *catalog.Server {
	i := slices.IndexFunc(servers, func(s *catalog.Server) bool { return s.ID == id })
	return servers[i]
}

// standing is what is known of a server when a request is placed.
type standing struct {
	*catalog.Server
	work    load.Work
	have    warm.Coverage // of the prompt's shared parts
	usage   float64
	penalty float64
	rests   bool
}

// survey returns what is known of each server.
func (q *query) survey(servers []*catalog.Server) []standing {
	tags := make([]uint32, len(servers))
	holders := make([]warm.Holder, len(servers))
	for i, s := range servers {
		tags[i] = s.Tag()
		holders[i] = warm.Holder(tags[i])
	}
	work := make([]load.Work, len(servers))
	q.h.Loads.InFlight(tags, work)
	usage := make([]float64, len(servers))
	q.h.Warm.Usage(holders, usage)
	have := make([]warm.Coverage, len(servers))
	if shared := q.call.SharedParts(); len(shared) > 0 {
		q.h.Warm.Lookup(shared, holders, have)
	}
	standings := make([]standing, len(servers))
	for i, s := range servers {
		penalty, rests := q.h.Health.Penalty(s.ID)
		standings[i] = standing{Server: s, work: work[i], have: have[i], usage: usage[i], penalty: penalty, rests: rests}
	}
	return standings
}

// sources returns the servers whose caches the prompt's parts may be fetched
// from: those that have computed what they have and don't rest. Servers that
// are leaving may be asked too.
func (q *query) sources(standings []standing) []placement.Source {
	whole := q.sharedTokens()
	var sources []placement.Source
	for i := range standings {
		s := &standings[i]
		if s.rests || !s.have.Ready || s.have.Missing == whole {
			continue
		}
		sources = append(sources, placement.Source{ID: s.ID, Zone: s.Zone, Missing: s.have.Missing})
	}
	return sources
}

// candidates returns the servers that were not tried and don't rest; if there
// are none, those that rest.
func (q *query) candidates(standings []standing, sources []placement.Source) []placement.Candidate {
	var ready, resting []placement.Candidate
	for i := range standings {
		s := &standings[i]
		if q.tried[s.ID] {
			continue
		}
		c := placement.Candidate{
			ID: s.ID, Zone: s.Zone, InFlight: s.work.Requests, Queued: s.work.Tokens, Penalty: s.penalty,
			Missing: s.have.Missing, Ready: s.have.Ready, Usage: s.usage,
		}
		c.ChooseSource(sources)
		if s.rests {
			resting = append(resting, c)
		} else {
			ready = append(ready, c)
		}
	}
	if len(ready) == 0 {
		return resting
	}
	return ready
}

// toCompute estimates the tokens of the prompt that a server has to compute.
func (q *query) toCompute(missing int) int {
	return max(q.call.PromptTokens-q.sharedTokens(), 0) + missing
}

// sharedTokens returns the size of the prompt's shared parts.
func (q *query) sharedTokens() int {
	tokens := 0
	for _, p := range q.call.SharedParts() {
		tokens += p.Tokens
	}
	return tokens
}
