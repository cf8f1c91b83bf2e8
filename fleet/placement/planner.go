package placement

import (
	"math"
	"math/rand/v2"
	"time"

	"cassialatch.dev/config/dynamic"
	"github.com/cespare/xxhash/v2"
)

// NewPlanner returns the planner that the daemon uses. It prefers the backend
// server of the chat token, then that of the index, then the chat's rendezvous
// order with bounded load along the order, then the less loaded of two random
// ones.
//
// A warm backend server at its bound is kept as long as the time in its queue,
// beyond the shortest queue elsewhere, is worth the prefill that it saves:
//
//	wait(warm) - min wait <= worth * WarmTokens * PrefillPerToken
//	worth = PrefillWorth, 1 for short work
//	wait = (InFlight + Queued - bound + 1) * MeanService / bound, 0 below the bound
//	bound = Limit * Weight
//
// The first of the rendezvous order is kept by the same rule, for the fraction
// OrderShare of the prompt: without a token it is not known whether the chat has
// been there, but when all are at their bound, as at a crest, leaving the order
// would make every prompt cold.
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

type planner struct{ Options }

// rendezvousChoices is how many of the rendezvous order a plan may hold. The
// rest of the plan is left to the least loaded.
const rendezvousChoices = 2

// Plan implements Planner in one pass over the candidates.
func (p *planner) Plan(r Request, candidates []Candidate) []Choice {
	s := p.survey(r, candidates)
	plan := newPlan(p.MaxChoices)
	p.addWarm(&plan, r, s)
	p.addFirst(&plan, r, s)
	s.addRendezvous(&plan)
	p.addLeastLoaded(&plan, s)
	return plan.choices
}

func (p *planner) addWarm(plan *plan, r Request, s *survey) {
	if c := s.warm; c != nil && p.keepsWarm(c, r.Class, r.WarmTokens, s.minWait) {
		plan.add(c.Backend, ReasonWarm)
	}
	if float64(r.IndexedTokens) < p.MinIndexedFraction*float64(r.PromptTokens) {
		return
	}
	if c := s.indexed; c != nil && p.keepsWarm(c, r.Class, r.IndexedTokens, s.minWait) {
		plan.add(c.Backend, ReasonIndex)
	}
}

// addFirst keeps the first of the rendezvous order at its bound, as one that
// probably holds a part of the prompt.
func (p *planner) addFirst(plan *plan, r Request, s *survey) {
	expected := int(p.RendezvousCachedFraction * float64(r.PromptTokens))
	if s.first.candidate != nil && p.keepsWarm(s.first.candidate, r.Class, expected, s.minWait) {
		plan.add(s.first.candidate.Backend, ReasonRendezvous)
	}
}

// keepsWarm weighs the wait at a warm backend server against the prefill that
// a cold one would have to do.
func (p *planner) keepsWarm(c *Candidate, class dynamic.Class, tokens int, minWait time.Duration) bool {
	worth := p.PrefillWaitFactor
	if class == dynamic.ClassShort {
		worth = 1
	}
	saved := worth * float64(tokens) * float64(p.prefillPerToken())
	return c.open() || float64(p.wait(c)-minWait) <= saved
}

// addLeastLoaded fills the plan with winners of two random draws each.
func (p *planner) addLeastLoaded(plan *plan, s *survey) {
	pool, reason := s.open, ReasonLeastLoaded
	if len(pool) == 0 {
		pool, reason = s.full, ReasonLastResort
	}
	if len(pool) == 0 {
		return
	}
	// A draw may repeat a choice; a few more draws than free places suffice.
	for draws := 2 * p.MaxChoices; draws > 0 && !plan.full(); draws-- {
		plan.add(p.lighterOfTwo(s, pool).Backend, reason)
	}
}

func (p *planner) lighterOfTwo(s *survey, pool []*Candidate) *Candidate {
	a := pool[p.IntN(len(pool))]
	if len(pool) == 1 {
		return a
	}
	b := pool[p.IntN(len(pool))]
	if s.load(b) < s.load(a) {
		return b
	}
	return a
}

// wait estimates the time in the queue of a backend server.
func (p *planner) wait(c *Candidate) time.Duration {
	if c.open() {
		return 0
	}
	bound := c.bound()
	if bound <= 0 {
		return math.MaxInt64
	}
	ahead := float64(c.InFlight+c.Queued) - bound + 1
	return time.Duration(ahead * float64(p.meanService()) / bound)
}

// meanService returns the learned time that a request holds its slot, or the
// one of the options.
func (p *planner) meanService() time.Duration {
	if p.Estimator != nil {
		if service, _ := p.Estimator.Estimates(); service > 0 {
			return service
		}
	}
	return p.MeanServiceTime
}

// prefillPerToken returns the learned time of a prompt token, or the one of the
// options.
func (p *planner) prefillPerToken() time.Duration {
	if p.Estimator != nil {
		if _, prefill := p.Estimator.Estimates(); prefill > 0 {
			return prefill
		}
	}
	return p.PrefillPerToken
}

// survey sorts the candidates of one plan.
type survey struct {
	warm, indexed *Candidate
	open          []*Candidate // below the bound
	full          []*Candidate // at or above the bound
	minWait       time.Duration
	first         rendezvous                    // highest of all
	ordered       [rendezvousChoices]rendezvous // highest of the open ones, in order
	hasKey        bool
	short         bool
}

type rendezvous struct {
	candidate *Candidate
	score     uint64
}

func (p *planner) survey(r Request, candidates []Candidate) *survey {
	s := &survey{
		minWait: math.MaxInt64,
		hasKey:  r.ChatKey != "",
		short:   r.Class == dynamic.ClassShort,
		open:    make([]*Candidate, 0, len(candidates)),
	}
	keyHash := xxhash.Sum64String(r.ChatKey)
	for i := range candidates {
		c := &candidates[i]
		if c.Leaving || (r.Excluded != nil && r.Excluded(c.Backend)) {
			continue
		}
		s.minWait = min(s.minWait, p.wait(c))
		s.note(r, c)
		if s.hasKey {
			s.rank(c, score(keyHash, c.Backend))
		}
	}
	return s
}

// isOpen tells whether a candidate takes the request at once. Short work passes
// the queue of longer work and has slots of its own, so that only what is in
// flight stands in its way.
func (s *survey) isOpen(c *Candidate) bool {
	return c.open() || s.short && float64(c.InFlight) < c.bound()
}

// load is the relative load as the request meets it. The queues of longer work
// would draw all short work to the same few backend servers.
func (s *survey) load(c *Candidate) float64 {
	if !s.short {
		return c.relativeLoad()
	}
	passed := *c
	passed.Queued = 0
	return passed.relativeLoad()
}

func (s *survey) note(r Request, c *Candidate) {
	if c.Backend == r.WarmBackend {
		s.warm = c
	}
	if c.Backend == r.IndexedBackend {
		s.indexed = c
	}
	if s.isOpen(c) {
		s.open = append(s.open, c)
	} else {
		s.full = append(s.full, c)
	}
}

// rank keeps the open candidates with the highest scores.
func (s *survey) rank(c *Candidate, score uint64) {
	entry := rendezvous{c, score}
	if s.first.candidate == nil || s.first.score < score {
		s.first = entry
	}
	if !s.isOpen(c) {
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

func (s *survey) addRendezvous(plan *plan) {
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

// add appends a choice unless the plan is full or names the backend server.
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

// bound is the load below which the candidate takes more work.
func (c *Candidate) bound() float64 { return float64(c.Limit) * c.Weight }

// open tells whether the candidate is below its bound. One whose load is not
// known counts as open, since its home decides on exact counts anyway.
func (c *Candidate) open() bool {
	return !c.LoadKnown || float64(c.InFlight+c.Queued) < c.bound()
}

// relativeLoad is the load as a fraction of the bound. One whose load is not
// known ranks behind every open one that is.
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
