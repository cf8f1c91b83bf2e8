package straggler

import (
	"cmp"
	"math"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

// Detector weighs backend servers of one model against each other. It is safe
// for concurrent use; Weight takes no lock while the weights are fresh.
type Detector struct {
	opts Options
	now  func() time.Time

	mu       sync.Mutex
	baseline baseline
	backends map[string]*backend

	current atomic.Pointer[verdicts]
}

// backend is guarded by Detector.mu.
type backend struct {
	name       string
	firstToken mean // logarithms of ratios to the baseline
	perToken   mean
	last       time.Time
	ejected    bool
}

// verdicts are the states at one time; they do not change.
type verdicts struct {
	at     time.Time
	states []State // by name of the backend server
	weight map[string]float64
}

// New returns a detector; a nil clock takes time.Now.
func New(o Options, now func() time.Time) *Detector {
	if now == nil {
		now = time.Now
	}
	d := &Detector{opts: o.withDefaults(), now: now, backends: make(map[string]*backend)}
	d.current.Store(&verdicts{at: now()})
	return d
}

// Observe notes the times of one answer, without the wait in any queue of the
// fleet: to the first token, and for each further token (zero when there was
// none). uncachedPromptTokens is what the engine had to compute first.
func (d *Detector) Observe(backendName string, firstToken, perToken time.Duration, uncachedPromptTokens int) {
	now := d.now()
	d.mu.Lock()
	defer d.mu.Unlock()
	b := d.backends[backendName]
	if b == nil {
		b = &backend{name: backendName}
		d.backends[backendName] = b
	}
	b.last = now
	b.firstToken.add(d.baseline.firstTokenRatio(firstToken, uncachedPromptTokens))
	if perToken > 0 {
		b.perToken.add(d.baseline.perTokenRatio(perToken))
	}
}

// Weight returns the weight of a backend server; one that is not judged yet
// has weight 1.
func (d *Detector) Weight(backendName string) float64 {
	if weight, ok := d.fresh().weight[backendName]; ok {
		return weight
	}
	return 1
}

// Snapshot returns the states of all judged backend servers, by name.
func (d *Detector) Snapshot() []State { return slices.Clone(d.fresh().states) }

// Forget drops a backend server that has left.
func (d *Detector) Forget(backendName string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.backends, backendName)
}

// fresh returns the verdicts, computed anew when they are old.
func (d *Detector) fresh() *verdicts {
	now := d.now()
	if v := d.current.Load(); now.Sub(v.at) < d.opts.Refresh {
		return v
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if v := d.current.Load(); now.Sub(v.at) < d.opts.Refresh {
		return v // another caller was first
	}
	v := d.judge(now)
	d.current.Store(v)
	return v
}

// judge weighs all backend servers. d.mu is held.
func (d *Detector) judge(now time.Time) *verdicts {
	v := &verdicts{at: now, weight: make(map[string]float64, len(d.backends))}
	judged := d.judged()
	if len(judged) < d.opts.MinPeers {
		for _, b := range judged {
			b.ejected = false
		}
		return v
	}
	slowness := d.slowness(judged, now)
	d.eject(judged, slowness)
	for i, b := range judged {
		s := State{
			Backend: b.name, Slowness: slowness[i], Weight: d.weight(slowness[i]),
			Ejected: b.ejected, Samples: b.firstToken.samples,
		}
		if b.ejected {
			s.Weight = d.opts.Trickle
		}
		v.states = append(v.states, s)
		v.weight[b.name] = s.Weight
	}
	return v
}

func (d *Detector) judged() []*backend {
	var judged []*backend
	for _, b := range d.backends {
		if b.firstToken.samples >= d.opts.MinSamples {
			judged = append(judged, b)
		}
	}
	slices.SortFunc(judged, func(a, b *backend) int { return cmp.Compare(a.name, b.name) })
	return judged
}

// slowness compares each with the median of all, in the worse of first token
// and further tokens.
func (d *Detector) slowness(judged []*backend, now time.Time) []float64 {
	firstTokens := make([]float64, len(judged))
	perTokens := make([]float64, len(judged))
	for i, b := range judged {
		firstTokens[i], perTokens[i] = b.firstToken.value, b.perToken.value
	}
	firstMedian, perMedian := median(firstTokens), median(perTokens)
	slowness := make([]float64, len(judged))
	for i, b := range judged {
		log := max(firstTokens[i]-firstMedian, perTokens[i]-perMedian)
		slowness[i] = math.Exp(log * d.remembered(now.Sub(b.last)))
	}
	return slowness
}

// remembered is the part of the slowness that counts after a time without an
// answer. It lets one back that no request reaches any more.
func (d *Detector) remembered(idle time.Duration) float64 {
	return math.Exp2(-idle.Seconds() / d.opts.ForgiveTime.Seconds())
}

// eject chooses the slowest, a bounded number of them. One that was ejected
// stays so until it is half as slow as that, or it would flap.
func (d *Detector) eject(judged []*backend, slowness []float64) {
	slowestFirst := make([]int, len(judged))
	for i := range slowestFirst {
		slowestFirst[i] = i
	}
	slices.SortStableFunc(slowestFirst, func(i, j int) int { return cmp.Compare(slowness[j], slowness[i]) })
	left := max(1, int(d.opts.MaxEjected*float64(len(judged))))
	for _, i := range slowestFirst {
		b := judged[i]
		limit := d.opts.EjectFrom
		if b.ejected {
			limit /= 2
		}
		b.ejected = left > 0 && slowness[i] >= limit
		if b.ejected {
			left--
		}
	}
}

// weight falls as the slowness grows, so that a backend server of half the
// speed gets about half the work.
func (d *Detector) weight(slowness float64) float64 {
	if slowness <= d.opts.SlowFrom {
		return 1
	}
	return max(d.opts.SlowFrom/slowness, d.opts.SlowFrom/d.opts.EjectFrom)
}

func median(values []float64) float64 {
	sorted := slices.Sorted(slices.Values(values))
	middle := len(sorted) / 2
	if len(sorted)%2 == 1 {
		return sorted[middle]
	}
	return (sorted[middle-1] + sorted[middle]) / 2
}
