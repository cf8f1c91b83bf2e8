package main

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"cassialatch.dev/fleet/placement"
)

// trial runs one contender on a clock of its own.
type trial struct {
	contender
	now     time.Duration
	pending events
	servers []*server
	byName  map[string]*server
	chats   []chat
	views   [][]placement.Candidate // by entry
	limit   int
	result  result
}

func run(c contender, rate, crest float64, length time.Duration) result {
	t := &trial{contender: c, byName: map[string]*server{}, chats: make([]chat, chats), limit: minLimit}
	for i := range servers {
		s := newServer(fmt.Sprintf("runner-%02d", i))
		t.servers = append(t.servers, s)
		t.byName[s.name] = s
	}
	t.views = make([][]placement.Candidate, entries)
	for entry := range t.views {
		t.refresh(entry)
		t.every(viewInterval, time.Duration(entry)*viewInterval/entries, func() { t.refresh(entry) })
	}
	t.every(replaceEvery, 0, func() { t.servers[rand.IntN(servers)].replace() })
	t.every(100*time.Millisecond, 0, t.measure)
	t.arrivals(rate, crest)
	for t.now < length {
		e := heap.Pop(&t.pending).(event)
		t.now = e.at
		e.do()
	}
	t.result.name = c.name
	return t.result
}

func (t *trial) every(interval, offset time.Duration, do func()) {
	t.pending.add(t.now+interval+offset, func() {
		do()
		t.every(interval, 0, do)
	})
}

func (t *trial) atCrest() bool { return t.now%crestEvery < crestLength }

func (t *trial) arrivals(rate, crest float64) {
	present := rate
	if t.atCrest() {
		present *= crest
	}
	gap := time.Duration(rand.ExpFloat64() / present * float64(time.Second))
	t.pending.add(t.now+gap, func() {
		slot := rand.IntN(chats)
		t.place(t.chats[slot].next(slot, t.now))
		t.arrivals(rate, crest)
	})
}

// refresh brings the view of one entry up to now, and the limit of the homes.
func (t *trial) refresh(entry int) {
	view := make([]placement.Candidate, servers)
	total := 0
	for i, s := range t.servers {
		total += s.inFlight
		view[i] = placement.Candidate{
			Backend: s.name, LoadKnown: true, InFlight: s.inFlight, Queued: len(s.waiting), Limit: t.limit, Weight: 1,
		}
	}
	t.views[entry] = view
	t.limit = min(slots, max(minLimit, int(math.Ceil(loadFactor*float64(total)/servers+1))))
}

func (t *trial) place(turn *turn) {
	c := &t.chats[turn.chat]
	plan := t.planner.Plan(c.request(turn, t.key, t.token), t.views[rand.IntN(entries)])
	if len(plan) == 0 || turn.tries == maxTries {
		t.result.refused++
		return
	}
	turn.tries++
	s := t.byName[plan[0].Backend]
	wait := time.Duration(s.load()-t.limit+1) * decode / time.Duration(t.limit)
	if wait > queueTimeout {
		t.result.replans++
		turn.excluded[s.name] = true
		t.place(turn)
		return
	}
	s.waiting = append(s.waiting, turn)
	t.start(s)
}

// start runs what the limit of the server allows.
func (t *trial) start(s *server) {
	for s.inFlight < t.limit && len(s.waiting) > 0 {
		turn := s.waiting[0]
		s.waiting = s.waiting[1:]
		s.inFlight++
		t.serve(s, turn)
	}
}

func (t *trial) serve(s *server, turn *turn) {
	c := &t.chats[turn.chat]
	hit := s.use(c.id, turn.prompt)
	c.warm, c.tokens = s.name, turn.prompt
	first := time.Duration(turn.prompt-hit) * prefill
	t.result.served(t.now-turn.arrived+first, hit, turn.prompt, t.atCrest())
	t.pending.add(t.now+first+decode, func() {
		s.inFlight--
		t.start(s)
	})
}

// measure notes how uneven the load is.
func (t *trial) measure() {
	most, total := 0, 0
	for _, s := range t.servers {
		most = max(most, s.load())
		total += s.load()
		t.start(s) // the limit may have grown
	}
	if total > 0 {
		t.result.uneven = append(t.result.uneven, float64(most)*servers/float64(total))
	}
}

// result holds the figures of one contender.
type result struct {
	name             string
	firsts, crests   []time.Duration
	hit, prompt      int
	replans, refused int
	uneven           []float64
}

func (r *result) served(first time.Duration, hit, prompt int, crest bool) {
	r.firsts = append(r.firsts, first)
	if crest {
		r.crests = append(r.crests, first)
	}
	r.hit += hit
	r.prompt += prompt
}

// String is one line of the table.
func (r result) String() string {
	requests := float64(len(r.firsts) + r.refused)
	return fmt.Sprintf("%s\t%.1f%%\t%.2f\t%v\t%v\t%v\t%.1f%%\t%.1f%%",
		r.name, 100*float64(r.hit)/float64(r.prompt), quantile(r.uneven, 0.5),
		quantile(r.firsts, 0.5).Round(time.Millisecond), quantile(r.firsts, 0.99).Round(time.Millisecond),
		quantile(r.crests, 0.99).Round(time.Millisecond),
		100*float64(r.replans)/requests, 100*float64(r.refused)/requests)
}

func quantile[T float64 | time.Duration](values []T, q float64) T {
	slices.Sort(values)
	return values[int(q*float64(len(values)-1))]
}
