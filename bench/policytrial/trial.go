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

// trial simulates one variant with its own clock.
type trial struct {
	variant
	now     time.Duration
	pending events
	servers []*server
	byName  map[string]*server
	chats   []chat
	views   [][]placement.Candidate // load views by entry
	limit   int                     // in-flight limit of each server
	result  result
}

// run simulates one variant for the given simulated time.
func run(c variant, rate, peak float64, length time.Duration) result {
	t := &trial{variant: c, byName: map[string]*server{}, chats: make([]chat, chats), limit: minLimit}
	for i := range servers {
		s := newServer(fmt.Sprintf("runner-%02d", i))
		t.servers = append(t.servers, s)
		t.byName[s.name] = s
	}
	t.views = make([][]placement.Candidate, entries)
	for entry := range t.views {
		t.refreshView(entry)
		t.scheduleEvery(viewInterval, time.Duration(entry)*viewInterval/entries, func() { t.refreshView(entry) })
	}
	t.scheduleEvery(replaceInterval, 0, func() { t.servers[rand.IntN(servers)].clearCache() })
	t.scheduleEvery(100*time.Millisecond, 0, t.sampleLoad)
	t.scheduleArrival(rate, peak)
	for t.now < length {
		e := heap.Pop(&t.pending).(event)
		t.now = e.at
		e.action()
	}
	t.result.name = c.name
	return t.result
}

// scheduleEvery runs an action at regular intervals.
func (t *trial) scheduleEvery(interval, offset time.Duration, action func()) {
	t.pending.add(t.now+interval+offset, func() {
		action()
		t.scheduleEvery(interval, 0, action)
	})
}

// atPeak reports whether a peak is in progress.
func (t *trial) atPeak() bool { return t.now%peakInterval < peakLength }

// scheduleArrival schedules the next request, which in turn schedules the one
// after it.
func (t *trial) scheduleArrival(rate, peak float64) {
	currentRate := rate
	if t.atPeak() {
		currentRate *= peak
	}
	gap := time.Duration(rand.ExpFloat64() / currentRate * float64(time.Second))
	t.pending.add(t.now+gap, func() {
		index := rand.IntN(chats)
		t.place(t.chats[index].next(index, t.now))
		t.scheduleArrival(rate, peak)
	})
}

// refreshView updates the load view of one entry and the limit of all homes.
func (t *trial) refreshView(entry int) {
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

// place sends a turn to the first server of its plan. If the expected wait exceeds
// the queue timeout, it plans again without that server.
func (t *trial) place(turn *turn) {
	c := &t.chats[turn.chat]
	plan := t.planner.Plan(c.request(turn, t.chatKey, t.chatToken), t.views[rand.IntN(entries)])
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
	t.startQueued(s)
}

// startQueued starts waiting turns of a server up to the limit.
func (t *trial) startQueued(s *server) {
	for s.inFlight < t.limit && len(s.waiting) > 0 {
		turn := s.waiting[0]
		s.waiting = s.waiting[1:]
		s.inFlight++
		t.serve(s, turn)
	}
}

// serve runs one turn on a server and schedules its end.
func (t *trial) serve(s *server, turn *turn) {
	c := &t.chats[turn.chat]
	hitTokens := s.cachePrompt(c.id, turn.promptTokens)
	c.warmBackend, c.warmTokens = s.name, turn.promptTokens
	first := time.Duration(turn.promptTokens-hitTokens) * prefill
	t.result.recordServed(t.now-turn.arrived+first, hitTokens, turn.promptTokens, t.atPeak())
	t.pending.add(t.now+first+decode, func() {
		s.inFlight--
		t.startQueued(s)
	})
}

// sampleLoad records the ratio of the highest load to the mean, and starts queued
// turns.
func (t *trial) sampleLoad() {
	maxLoad, total := 0, 0
	for _, s := range t.servers {
		maxLoad = max(maxLoad, s.load())
		total += s.load()
		t.startQueued(s) // the limit may have risen
	}
	if total > 0 {
		t.result.imbalance = append(t.result.imbalance, float64(maxLoad)*servers/float64(total))
	}
}

// result holds the figures of one variant.
type result struct {
	name                                 string
	firstTokenTimes, peakFirstTokenTimes []time.Duration
	hitTokens, promptTokens              int
	replans, refused                     int
	imbalance                            []float64
}

// recordServed records one served turn.
func (r *result) recordServed(first time.Duration, hitTokens, promptTokens int, peak bool) {
	r.firstTokenTimes = append(r.firstTokenTimes, first)
	if peak {
		r.peakFirstTokenTimes = append(r.peakFirstTokenTimes, first)
	}
	r.hitTokens += hitTokens
	r.promptTokens += promptTokens
}

// String returns the result's row in the table.
func (r result) String() string {
	requests := float64(len(r.firstTokenTimes) + r.refused)
	return fmt.Sprintf("%s\t%.1f%%\t%.2f\t%v\t%v\t%v\t%.1f%%\t%.1f%%",
		r.name, 100*float64(r.hitTokens)/float64(r.promptTokens), quantile(r.imbalance, 0.5),
		quantile(r.firstTokenTimes, 0.5).Round(time.Millisecond), quantile(r.firstTokenTimes, 0.99).Round(time.Millisecond),
		quantile(r.peakFirstTokenTimes, 0.99).Round(time.Millisecond),
		100*float64(r.replans)/requests, 100*float64(r.refused)/requests)
}

// quantile sorts values and returns their q-quantile.
func quantile[T float64 | time.Duration](values []T, q float64) T {
	slices.Sort(values)
	return values[int(q*float64(len(values)-1))]
}
