package admission

import "time"

const (
	// maxPriority is the least urgent priority that is distinguished. Servers are sent
	// no higher number.
	maxPriority = 9
	// mixTime is the time constant with which the mix of arrivals is forgotten.
	mixTime = 5 * time.Second
	// minKindShare is the share of the arrivals from which a priority is one of those
	// that are served first.
	minKindShare = 0.002
	// overShare is how many times the mean of the workspaces one may send before its
	// further requests are held back, and minOverShare the requests from which this is
	// judged.
	overShare    = 2
	minOverShare = 4
	// maxWorkspaces limits the workspaces that are counted.
	maxWorkspaces  = 1024
	expireInterval = time.Second
)

// traffic is the mix of the requests that arrived while capacity was insufficient,
// decayed exponentially.
type traffic struct {
	at         time.Time
	byPriority [maxPriority + 1]float64
	work       [maxPriority + 1]float64 // seconds on a server, by priority
	workspaces map[string]*workspace
	expiredAt  time.Time
}

// workspace counts the requests of a workspace.
type workspace struct {
	at       time.Time
	arrivals float64
	releases float64 // of those that waited
}

// decay forgets as time passes.
func (w *workspace) decay(now time.Time) {
	k := kept(w.at, now, mixTime)
	w.arrivals *= k
	w.releases *= k
	w.at = now
}

// clampPriority limits a priority to those that are distinguished.
func clampPriority(p int) int { return min(max(p, 0), maxPriority) }

// add counts an arrival and the seconds that it takes on a server.
func (t *traffic) add(r *Request, work float64, now time.Time) {
	k := kept(t.at, now, mixTime)
	for i := range t.byPriority {
		t.byPriority[i] *= k
		t.work[i] *= k
	}
	t.at = now
	p := clampPriority(r.Priority)
	t.byPriority[p]++
	t.work[p] += work
	if now.Sub(t.expiredAt) > expireInterval {
		t.expire(now)
	}
	if w := t.workspace(r.Workspace, now); w != nil {
		w.arrivals++
	}
}

// workspace returns the counts of a workspace; nil if there are too many.
func (t *traffic) workspace(name string, now time.Time) *workspace {
	w := t.workspaces[name]
	if w == nil {
		if len(t.workspaces) >= maxWorkspaces {
			return nil
		}
		if t.workspaces == nil {
			t.workspaces = make(map[string]*workspace)
		}
		w = &workspace{}
		t.workspaces[name] = w
	}
	w.decay(now)
	return w
}

// expire removes workspaces that have sent nothing for a while.
func (t *traffic) expire(now time.Time) {
	t.expiredAt = now
	for name, w := range t.workspaces {
		if now.Sub(w.at) > 2*mixTime {
			delete(t.workspaces, name)
		}
	}
}

// mostUrgent returns the most urgent priority of the arrivals, without rare ones.
func (t *traffic) mostUrgent() int {
	total := 0.0
	for _, n := range t.byPriority {
		total += n
	}
	for p, n := range t.byPriority {
		if n > minKindShare*total {
			return p
		}
	}
	return 0
}

// aheadShare returns the share of the work that is at least as urgent as the
// priority; servers run it first.
func (t *traffic) aheadShare(priority int) float64 {
	total, ahead := 0.0, 0.0
	for p, w := range t.work {
		total += w
		if p <= clampPriority(priority) {
			ahead += w
		}
	}
	if total <= 0 {
		return 1
	}
	return ahead / total
}

// allowance returns the part of its requests that a workspace may send if it sends much
// more than the others, so that all get the same; else 1.
func (t *traffic) allowance(name string) float64 {
	w := t.workspaces[name]
	if w == nil || len(t.workspaces) < 2 || w.arrivals < minOverShare {
		return 1
	}
	total := 0.0
	for _, n := range t.byPriority {
		total += n
	}
	return min(overShare*total/float64(len(t.workspaces))/w.arrivals, 1)
}
