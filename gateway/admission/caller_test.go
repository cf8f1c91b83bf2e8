package admission

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"
)

// kind is a kind of requests.
type kind struct {
	name      string
	priority  int
	weight    float64                        // value of a response within the objective
	rate      func(at time.Duration) float64 // requests per second
	workspace func(rng *rand.Rand) string    // nil: none
	prompt    func(rng *rand.Rand) int       // tokens; nil: none
	output    func(rng *rand.Rand) int       // tokens; nil: none
	service   time.Duration                  // of a request without prompt
	objective time.Duration                  // for the first event, if there is a prompt
	timeout   time.Duration
	retries   bool // callers that are refused come back once
}

// result counts how the requests of a kind ended. A request that comes back counts once.
type result struct {
	sent, served, onTime, refused, late int
	value, possible                     float64
	refusedAt                           []time.Duration // since the arrival
	servedAt                            []int           // in each two seconds, by arrival
}

// arrivals schedules the requests of a kind.
func (f *fleet) arrivals(k *kind, start, end time.Time) {
	if !f.now.Before(end) {
		return
	}
	const highest = 10 * time.Millisecond // between looks at a rate of 0
	rate := k.rate(f.now.Sub(start))
	if rate <= 0 {
		f.after(highest, func() { f.arrivals(k, start, end) })
		return
	}
	f.after(time.Duration(f.rng.ExpFloat64()/rate*float64(time.Second)), func() {
		f.arrive(k)
		f.arrivals(k, start, end)
	})
}

// arrive lets a caller send a request.
func (f *fleet) arrive(k *kind) {
	q := &simRequest{kind: k, arrived: f.now, first: k.service, total: k.service}
	if k.workspace != nil {
		q.workspace = k.workspace(f.rng)
	}
	if k.prompt != nil {
		q.PromptTokens, q.OutputTokens = k.prompt(f.rng), k.output(f.rng)
		q.StreamsEvents = true
		q.first = seconds(float64(q.PromptTokens) * secondsPerPromptToken)
		q.total = q.first + seconds(float64(q.OutputTokens)*secondsPerOutputToken*(0.3+0.7*f.rng.Float64()))
	}
	q.counted = f.now.Sub(f.start) >= f.countFrom
	for _, r := range f.resultsOf(q) {
		r.sent++
		r.possible += k.weight
	}
	f.enter(q)
}

// enter sends a caller's request to a random daemon.
func (f *fleet) enter(q *simRequest) {
	q.daemon = f.daemons[f.rng.IntN(len(f.daemons))]
	q.tried, q.sends, q.reached = make(map[int]bool), 0, false
	q.Request = Request{
		Service: "s", Workspace: q.workspace, Priority: q.kind.priority,
		PromptTokens: q.PromptTokens, OutputTokens: q.OutputTokens, StreamsEvents: q.StreamsEvents,
		Start: q.arrived, Objective: q.arrived.Add(q.kind.objective), Deadline: q.arrived.Add(q.kind.timeout),
	}
	q.daemon.budget.RecordRequest("s")
	f.step(q)
}

// resultsOf returns the results that a request counts for.
func (f *fleet) resultsOf(q *simRequest) []*result {
	if !q.counted {
		return nil
	}
	names := []string{q.kind.name, "all"}
	if q.workspace != "" {
		names = append(names, q.kind.name+"/"+q.workspace)
	}
	var list []*result
	for _, name := range names {
		if f.results[name] == nil {
			f.results[name] = &result{}
		}
		list = append(list, f.results[name])
	}
	return list
}

// end counts the end of a request that was served, or not if it took too long.
func (f *fleet) end(q *simRequest, onTime bool) {
	if q.ended {
		return
	}
	q.ended = true
	if q.run == nil || q.run.left > 0 {
		for _, r := range f.resultsOf(q) {
			r.late++
		}
		return
	}
	value := q.kind.weight
	if !onTime {
		value *= lateValue
	}
	slot := int(q.arrived.Sub(f.start) / (2 * time.Second))
	for _, r := range f.resultsOf(q) {
		for len(r.servedAt) <= slot {
			r.servedAt = append(r.servedAt, 0)
		}
		r.servedAt[slot]++
		r.served++
		r.value += value
		if onTime {
			r.onTime++
		}
	}
}

// refuse lets a caller come back once, after at most a third of the time left.
func (f *fleet) refuse(q *simRequest, retryAfter time.Duration) {
	left := q.Deadline.Sub(f.now)
	if q.kind.retries && !q.retried && left > 0 {
		q.retried = true
		f.after(min(retryAfter, left/3), func() { f.enter(q) })
		return
	}
	q.ended = true
	for _, r := range f.resultsOf(q) {
		r.refused++
		r.refusedAt = append(r.refusedAt, f.now.Sub(q.arrived))
	}
}

// share returns the part of the possible value that was served.
func (r *result) share() float64 {
	if r == nil || r.possible == 0 {
		return math.NaN()
	}
	return r.value / r.possible
}

func (r *result) String() string {
	return fmt.Sprintf("sent %d, served %d (on time %d), refused %d, late %d, value %.3f", r.sent, r.served, r.onTime, r.refused, r.late, r.share())
}
