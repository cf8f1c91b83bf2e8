package placement

import (
	"math"
	"math/rand/v2"
	"time"

	"cassialatch.dev/config/dynamic"
	"github.com/cespare/xxhash/v2"
)

// NewPlanner returns the default planner. It prefers, in this order, the backend
// server named by the chat token, the one named by the prefix index, the backend
// servers of the chat's rendezvous order that are below their bound, and the less
// loaded of two random backend servers.
//
// The first two are called warm, since they are expected to have part of the
// prompt in their cache. A warm backend server at its bound is still chosen if its
// estimated queue time exceeds the shortest queue time of all candidates by no
// more than the prefill time that its cache saves, times a factor:
//
//	wait(warm) - min wait <= factor * WarmTokens * PrefillPerToken
//	factor = PrefillWaitFactor, 1 for short requests
//	wait = (InFlight + Queued - bound + 1) * MeanServiceTime / bound, 0 below the bound
//	bound = Limit * Weight
//
// The same rule applies to the first backend server in rendezvous order, which is
// assumed to cache RendezvousCachedFraction of the prompt. Without a token it is
// unknown whether the chat has run there, but when all backend servers are at
// their bound, as at a load peak, abandoning the order would make every prompt
// cold.
func NewPlanner(o Options) Planner {
	if o.MaxChoices <= 0 {
		o.MaxChoices = DefaultMaxChoices
	}
	if o.PrefillPerToken <= 0 {
		o.PrefillPerToken = DefaultPrefillPerToken
	}
	if o.PrefillWaitFactor <= 0 {
		o.PrefillWaitFactor = DefaultPrefillWaitFactor
	}
	if o.MeanServiceTime <= 0 {
		o.MeanServiceTime = DefaultMeanServiceTime
	}
	if o.MinIndexedFraction <= 0 {
		o.MinIndexedFraction = DefaultMinIndexedFraction
	}
	if o.RendezvousCachedFraction <= 0 {
		o.RendezvousCachedFraction = DefaultRendezvousCachedFraction
	}
	if o.IntN == nil {
		o.IntN = rand.IntN
	}
	return &planner{o}
}

// planner implements Planner with the rules that NewPlanner describes.
type planner struct{ Options }

// maxRendezvousChoices bounds the number of available candidates that addSpill adds
// to a plan. The remaining choices are filled by addLeastLoaded.
const maxRendezvousChoices = 2

// Plan implements Planner in one pass over the candidates.
func (p *planner) Plan(r Request, candidates []Candidate) []Choice {
	s := p.classify(r, candidates)
	plan := newPlan(p.MaxChoices)
	p.addWarm(&plan, r, s)
	p.addFirstRendezvous(&plan, r, s)
	s.addSpill(&plan)
	p.addLeastLoaded(&plan, s)
	return plan.choices
}

// addWarm adds the backend servers named by the chat token and by the index, if
// acceptsWait accepts them. The index is ignored unless it reports
// MinIndexedFraction of the prompt as cached.
func (p *planner) addWarm(plan *plan, r Request, s *survey) {
	if c := s.warm; c != nil && p.acceptsWait(c, r.Class, r.WarmTokens, s.minWait) {
		plan.add(c.Backend, ReasonWarm)
	}
	if float64(r.IndexedTokens) < p.MinIndexedFraction*float64(r.PromptTokens) {
		return
	}
	if c := s.indexed; c != nil && p.acceptsWait(c, r.Class, r.IndexedTokens, s.minWait) {
		plan.add(c.Backend, ReasonIndex)
	}
}

// addFirstRendezvous adds the first backend server in rendezvous order, which
// probably caches part of the prompt, if acceptsWait accepts it.
func (p *planner) addFirstRendezvous(plan *plan, r Request, s *survey) {
	expected := int(p.RendezvousCachedFraction * float64(r.PromptTokens))
	if s.first.candidate != nil && p.acceptsWait(s.first.candidate, r.Class, expected, s.minWait) {
		plan.add(s.first.candidate.Backend, ReasonRendezvous)
	}
}

// acceptsWait reports whether the additional queue time at a backend server that
// caches the given number of prompt tokens is covered by the prefill time that a
// cold backend server would need for them. See NewPlanner for the rule.
func (p *planner) acceptsWait(c *Candidate, class dynamic.Class, tokens int, minWait time.Duration) bool {
	factor := p.PrefillWaitFactor
	if class == dynamic.ClassShort {
		factor = 1
	}
	maxExtraWait := factor * float64(tokens) * float64(p.prefillPerToken())
	return c.belowBound() || float64(p.estimateWait(c)-minWait) <= maxExtraWait
}

// addLeastLoaded fills the plan with backend servers that are each the less
// loaded of two random ones.
func (p *planner) addLeastLoaded(plan *plan, s *survey) {
	pool, reason := s.available, ReasonLeastLoaded
	if len(pool) == 0 {
		pool, reason = s.atBound, ReasonLastResort
	}
	if len(pool) == 0 {
		return
	}
	// A draw may repeat an earlier choice, so twice as many draws as choices are
	// allowed.
	for draws := 2 * p.MaxChoices; draws > 0 && !plan.full(); draws-- {
		plan.add(p.lessLoadedOfTwo(s, pool).Backend, reason)
	}
}

// lessLoadedOfTwo draws two candidates at random and returns the less loaded
// one.
func (p *planner) lessLoadedOfTwo(s *survey, pool []*Candidate) *Candidate {
	a := pool[p.IntN(len(pool))]
	if len(pool) == 1 {
		return a
	}
	b := pool[p.IntN(len(pool))]
	if s.effectiveLoad(b) < s.effectiveLoad(a) {
		return b
	}
	return a
}

// estimateWait estimates the time that a new request spends in the queue of a
// backend server.
func (p *planner) estimateWait(c *Candidate) time.Duration {
	if c.belowBound() {
		return 0
	}
	bound := c.bound()
	if bound <= 0 {
		return math.MaxInt64
	}
	ahead := float64(c.InFlight+c.Queued) - bound + 1
	return time.Duration(ahead * float64(p.meanServiceTime()) / bound)
}

// meanServiceTime returns the estimated mean time for which a request occupies a
// slot, or MeanServiceTime while there is no estimate.
func (p *planner) meanServiceTime() time.Duration {
	if p.Estimator != nil {
		if service, _ := p.Estimator.Estimates(); service > 0 {
			return service
		}
	}
	return p.MeanServiceTime
}

// prefillPerToken returns the estimated time to compute one uncached prompt
// token, or PrefillPerToken while there is no estimate.
func (p *planner) prefillPerToken() time.Duration {
	if p.Estimator != nil {
		if _, prefill := p.Estimator.Estimates(); prefill > 0 {
			return prefill
		}
	}
	return p.PrefillPerToken
}

// survey holds the candidates of one plan, classified by their load and by what
// they are expected to cache.
type survey struct {
	warm, indexed *Candidate
	available     []*Candidate                          // can run the request at once, see canStart
	atBound       []*Candidate                          // all others
	minWait       time.Duration                         // shortest estimated queue time of all candidates
	first         scoredCandidate                       // highest score of all candidates
	ordered       [maxRendezvousChoices]scoredCandidate // highest scores of the available ones, highest first
	hasKey        bool                                  // the request has a ChatKey
	short         bool                                  // the request is of the short class
}

// scoredCandidate is a candidate with its rendezvous score.
type scoredCandidate struct {
	candidate *Candidate
	score     uint64
}

// classify classifies the candidates that are neither leaving nor excluded.
func (p *planner) classify(r Request, candidates []Candidate) *survey {
	s := &survey{
		minWait:   math.MaxInt64,
		hasKey:    r.ChatKey != "",
		short:     r.Class == dynamic.ClassShort,
		available: make([]*Candidate, 0, len(candidates)),
	}
	keyHash := xxhash.Sum64String(r.ChatKey)
	for i := range candidates {
		c := &candidates[i]
		if c.Leaving || (r.Excluded != nil && r.Excluded(c.Backend)) {
			continue
		}
		s.minWait = min(s.minWait, p.estimateWait(c))
		s.add(r, c)
		if s.hasKey {
			s.rank(c, score(keyHash, c.Backend))
		}
	}
	return s
}

// canStart reports whether a candidate can run the request at once. Short
// requests bypass the queue of longer requests and have reserved slots, so that
// only requests in flight count against them.
func (s *survey) canStart(c *Candidate) bool {
	return c.belowBound() || s.short && float64(c.InFlight) < c.bound()
}

// effectiveLoad returns the relative load that matters to the request. For short
// requests it leaves out the queue, which they bypass; counting the queues of
// longer requests would send all short requests to the same few backend servers.
func (s *survey) effectiveLoad(c *Candidate) float64 {
	if !s.short {
		return c.relativeLoad()
	}
	withoutQueue := *c
	withoutQueue.Queued = 0
	return withoutQueue.relativeLoad()
}

// add records one candidate.
func (s *survey) add(r Request, c *Candidate) {
	if c.Backend == r.WarmBackend {
		s.warm = c
	}
	if c.Backend == r.IndexedBackend {
		s.indexed = c
	}
	if s.canStart(c) {
		s.available = append(s.available, c)
	} else {
		s.atBound = append(s.atBound, c)
	}
}

// rank updates the candidate with the highest score of all, and the available
// candidates with the highest scores.
func (s *survey) rank(c *Candidate, score uint64) {
	entry := scoredCandidate{c, score}
	if s.first.candidate == nil || s.first.score < score {
		s.first = entry
	}
	if !s.canStart(c) {
		return
	}
	for i := range s.ordered {
		if s.ordered[i].candidate == nil || s.ordered[i].score < entry.score {
			s.ordered[i], entry = entry, s.ordered[i]
		}
		if entry.candidate == nil {
			return
		}
	}
}

// addSpill adds the available candidates that are first in rendezvous order.
func (s *survey) addSpill(plan *plan) {
	for _, e := range s.ordered {
		if e.candidate != nil {
			plan.add(e.candidate.Backend, ReasonSpill)
		}
	}
}

// plan is a bounded list of distinct choices.
type plan struct{ choices []Choice }

func newPlan(size int) plan { return plan{make([]Choice, 0, size)} }

func (p *plan) full() bool { return len(p.choices) == cap(p.choices) }

// add appends a choice unless the plan is full or already contains the backend
// server.
func (p *plan) add(backend string, reason Reason) {
	if p.full() {
		return
	}
	for _, c := range p.choices {
		if c.Backend == backend {
			return
		}
	}
	p.choices = append(p.choices, Choice{backend, reason})
}

// bound returns the load, in flight and queued, at which the candidate accepts no
// more requests without queueing.
func (c *Candidate) bound() float64 { return float64(c.Limit) * c.Weight }

// belowBound reports whether the load of the candidate is below its bound. A
// candidate of unknown load counts as below its bound, since its home checks the
// plan against exact counts anyway.
func (c *Candidate) belowBound() bool {
	return !c.LoadKnown || float64(c.InFlight+c.Queued) < c.bound()
}

// relativeLoad returns the load as a fraction of the bound. A candidate of
// unknown load ranks behind all candidates known to be below their bound.
func (c *Candidate) relativeLoad() float64 {
	if !c.LoadKnown {
		return 1
	}
	bound := c.bound()
	if bound <= 0 {
		return math.Inf(1)
	}
	return float64(c.InFlight+c.Queued) / bound
}
