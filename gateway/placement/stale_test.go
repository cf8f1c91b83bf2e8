package placement

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"cassialatch.dev/gateway/call"
)

// staleFleet simulates daemons that place prompts on the same servers. A daemon knows
// its own requests exactly, and those of the others as of a while ago.
type staleFleet struct {
	rng        *rand.Rand
	now        time.Duration
	ends       endings
	inFlight   []int        // by server
	own        [][]int      // by daemon and server
	changes    []loadChange // in order of time
	applied    int          // changes that all daemons know
	known      []int        // by server, of all daemons, as of staleness ago
	ownKnown   [][]int      // the part of known that is of each daemon
	holders    map[uint64][]int
	staleness  time.Duration
	overLimit  int
	placements int
}

// loadChange is the start or end of a request.
type loadChange struct {
	at             time.Duration
	daemon, server int
	by             int // 1 or -1
}

// endings is a heap of the ends of requests, earliest first.
type endings []loadChange

func (e endings) Len() int           { return len(e) }
func (e endings) Less(i, j int) bool { return e[i].at < e[j].at }
func (e endings) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *endings) Push(x any)        { *e = append(*e, x.(loadChange)) }
func (e *endings) Pop() any {
	old := *e
	last := old[len(old)-1]
	*e = old[:len(old)-1]
	return last
}

func newStaleFleet(daemons, servers int, staleness time.Duration) *staleFleet {
	f := &staleFleet{rng: rand.New(rand.NewPCG(1, 2)), staleness: staleness, inFlight: make([]int, servers), known: make([]int, servers), holders: make(map[uint64][]int)}
	for range daemons {
		f.own = append(f.own, make([]int, servers))
		f.ownKnown = append(f.ownKnown, make([]int, servers))
	}
	return f
}

// change records the start or end of a request.
func (f *staleFleet) change(c loadChange) {
	f.inFlight[c.server] += c.by
	f.own[c.daemon][c.server] += c.by
	f.changes = append(f.changes, c)
}

// advance moves the time on.
func (f *staleFleet) advance(to time.Duration) {
	for len(f.ends) > 0 && f.ends[0].at <= to {
		f.change(heap.Pop(&f.ends).(loadChange))
	}
	f.now = to
	for ; f.applied < len(f.changes) && f.changes[f.applied].at <= to-f.staleness; f.applied++ {
		c := f.changes[f.applied]
		f.known[c.server] += c.by
		f.ownKnown[c.daemon][c.server] += c.by
	}
}

// place places a prompt about a subject at a daemon.
func (f *staleFleet) place(daemon int, subject uint64, duration time.Duration) {
	const tokens = 2000
	candidates := f.candidates(daemon, tokens)
	for _, s := range f.holders[subject] {
		candidates[s].MissingTokens = 0
	}
	if len(f.holders[subject]) > 0 {
		for i := range candidates {
			candidates[i].FetchableTokens = candidates[i].MissingTokens
		}
	}
	server, _ := ChooseForPrompt(candidates, []call.Part{{ID: subject, Tokens: tokens}}, f.rng.ExpFloat64)
	f.judge(server)
	if candidates[server].MissingTokens > 0 {
		f.holders[subject] = append(f.holders[subject], server)
	}
	f.begin(daemon, server, duration)
}

// candidates returns the servers as a daemon knows them; none has the prompt's tokens in
// its cache.
func (f *staleFleet) candidates(daemon, tokens int) []Candidate {
	candidates := make([]Candidate, len(f.inFlight))
	for i := range candidates {
		candidates[i] = Candidate{ID: fmt.Sprint("s", i), MissingTokens: tokens, Ready: true,
			InFlight: f.known[i] - f.ownKnown[daemon][i] + f.own[daemon][i]}
	}
	return candidates
}

// begin records a request that a daemon sends to a server.
func (f *staleFleet) begin(daemon, server int, duration time.Duration) {
	f.change(loadChange{f.now, daemon, server, 1})
	heap.Push(&f.ends, loadChange{f.now + duration, daemon, server, -1})
}

// judge counts a request to a server that has more in flight than the operators allow.
func (f *staleFleet) judge(server int) {
	total := 0
	for _, n := range f.inFlight {
		total += n
	}
	const capFactor, capSlack = 2, 3
	f.placements++
	if float64(f.inFlight[server]) > capFactor*float64(total)/float64(len(f.inFlight))+capSlack {
		f.overLimit++
	}
}

// Load pattern: 90 daemons before 130 servers, callers in clumps of the same subject, and
// counts of the other daemons that are some hundred milliseconds old. At most 3 in 100
// requests may be sent to servers above the operators' bound.
func TestChooseForPrompt_LoadBoundHoldsOnOldCounts(t *testing.T) {
	const (
		daemons, servers, subjects = 90, 130, 180
		perSecond, clump           = 600, 3
		meanDuration               = 700 * time.Millisecond
		settled, end               = 3 * time.Second, 8 * time.Second
		maxShare                   = 0.03
	)
	for _, age := range []time.Duration{0, 250 * time.Millisecond, 500 * time.Millisecond, time.Second} {
		t.Run("age="+age.String(), func(t *testing.T) {
			f := newStaleFleet(daemons, servers, age)
			for f.now < end {
				f.advance(f.now + time.Duration(f.rng.ExpFloat64()*float64(clump*time.Second)/perSecond))
				if f.now < settled {
					f.overLimit, f.placements = 0, 0
				}
				subject := uint64(f.rng.IntN(subjects))
				for range clump {
					f.place(f.rng.IntN(daemons), subject, time.Duration(f.rng.ExpFloat64()*float64(meanDuration)))
				}
			}
			if share := float64(f.overLimit) / float64(f.placements); share > maxShare {
				t.Errorf("%.4f of %d requests above the bound", share, f.placements)
			}
		})
	}
}
