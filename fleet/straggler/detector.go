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
	firstToken mean    // logarithms of ratios to the baseline
	perToken   mean    // logarithms of seconds
	imported   float64 // likewise, from the home of a peer
	isImported bool
	last       time.Time
	ejected    bool
}

func (b *backend) firstTokenLog(minSamples int) (log float64, known bool) {
	return b.firstToken.value, b.firstToken.samples >= minSamples
}

func (b *backend) perTokenLog(minSamples int) (log float64, known bool) {
	if b.perToken.samples >= minSamples {
		return b.perToken.value, true
	}
	return b.imported, b.isImported
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
	b := d.find(backendName)
	b.last = now
	b.firstToken.add(d.baseline.ratio(firstToken, uncachedPromptTokens))
	if perToken > 0 {
		b.perToken.add(logOf(perToken))
	}
}

// PerToken is the mean time for each further token that this daemon observed,
// zero when it has too few answers. Homes tell it to each other, since a home
// seldom serves enough backend servers of a model to compare them.
func (d *Detector) PerToken(backendName string) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	b := d.backends[backendName]
	if b == nil || b.perToken.samples < d.opts.MinSamples {
		return 0
	}
	return durationOf(b.perToken.value)
}

// Import notes what the home of a peer tells of PerToken. It counts only for
// backend servers that this daemon has too few answers of.
func (d *Detector) Import(backendName string, perToken time.Duration) {
	if perToken <= 0 {
		return
	}
	now := d.now()
	d.mu.Lock()
	defer d.mu.Unlock()
	b := d.find(backendName)
	b.imported, b.isImported = logOf(perToken), true
	if b.firstToken.samples == 0 {
		b.last = now
	}
}

// find returns a backend server, a new one if need be. d.mu is held.
func (d *Detector) find(name string) *backend {
	b := d.backends[name]
	if b == nil {
		b = &backend{name: name}
		d.backends[name] = b
	}
	return b
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
	if v := d.current.Load(); now.Sub(v.at) < d.opts.RefreshInterval {
		return v
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if v := d.current.Load(); now.Sub(v.at) < d.opts.RefreshInterval {
		return v // another caller was first
	}
	v := d.judge(now)
	d.current.Store(v)
	return v
}

// judge weighs all backend servers. d.mu is held.
func (d *Detector) judge(now time.Time) *verdicts {
	v := &verdicts{at: now, weight: make(map[string]float64, len(d.backends))}
	judged, slowness := d.slowness(now)
	d.eject(judged, slowness)
	for i, b := range judged {
		s := State{
			Backend: b.name, Slowness: slowness[i], Weight: d.weight(slowness[i]),
			Ejected: b.ejected, Samples: b.firstToken.samples,
		}
		if b.ejected {
			s.Weight = d.opts.EjectedWeight
		}
		v.states = append(v.states, s)
		v.weight[b.name] = s.Weight
	}
	return v
}

// heard returns the backend servers by name, and drops those not heard of for
// long. d.mu is held.
func (d *Detector) heard(now time.Time) []*backend {
	heard := make([]*backend, 0, len(d.backends))
	for name, b := range d.backends {
		if now.Sub(b.last) > keepForgiveTimes*d.opts.SlownessHalfLife {
			delete(d.backends, name)
			continue
		}
		heard = append(heard, b)
	}
	slices.SortFunc(heard, func(a, b *backend) int { return cmp.Compare(a.name, b.name) })
	return heard
}

// slowness compares each backend server with the median of all, in the worse
// of first token and further tokens, and returns those it could compare. d.mu
// is held.
func (d *Detector) slowness(now time.Time) (judged []*backend, slowness []float64) {
	heard := d.heard(now)
	firstToken := d.compare(heard, (*backend).firstTokenLog)
	perToken := d.compare(heard, (*backend).perTokenLog)
	for _, b := range heard {
		first, firstKnown := firstToken.of(b)
		per, perKnown := perToken.of(b)
		switch {
		case firstKnown && perKnown:
			first = max(first, per)
		case perKnown:
			first = per
		case !firstKnown:
			b.ejected = false
			continue
		}
		judged = append(judged, b)
		slowness = append(slowness, math.Exp(first*d.remembered(now.Sub(b.last))))
	}
	return judged, slowness
}

// figure is one of the two figures by which backend servers are compared.
type figure func(b *backend, minSamples int) (log float64, known bool)

// comparison compares one figure with its median over the peers.
type comparison struct {
	figure     figure
	minSamples int
	median     float64
	valid      bool // there are enough peers
}

func (d *Detector) compare(backends []*backend, f figure) comparison {
	var logs []float64
	for _, b := range backends {
		if log, known := f(b, d.opts.MinSamples); known {
			logs = append(logs, log)
		}
	}
	c := comparison{figure: f, minSamples: d.opts.MinSamples, valid: len(logs) >= d.opts.MinPeers}
	if c.valid {
		c.median = median(logs)
	}
	return c
}

// of is the logarithm of the ratio to the median.
func (c comparison) of(b *backend) (log float64, known bool) {
	log, known = c.figure(b, c.minSamples)
	return log - c.median, known && c.valid
}

// remembered is the part of the slowness that counts after a time without an
// answer. It lets one back that no request reaches any more.
func (d *Detector) remembered(idle time.Duration) float64 {
	return math.Exp2(-idle.Seconds() / d.opts.SlownessHalfLife.Seconds())
}

// eject chooses the slowest, a bounded number of them. One that was ejected
// stays so until it is half as slow as that, or it would flap.
func (d *Detector) eject(judged []*backend, slowness []float64) {
	slowestFirst := make([]int, len(judged))
	for i := range slowestFirst {
		slowestFirst[i] = i
	}
	slices.SortStableFunc(slowestFirst, func(i, j int) int { return cmp.Compare(slowness[j], slowness[i]) })
	left := max(1, int(d.opts.MaxEjectedFraction*float64(len(judged))))
	for _, i := range slowestFirst {
		b := judged[i]
		limit := d.opts.EjectThreshold
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
	if slowness <= d.opts.SlowThreshold {
		return 1
	}
	return max(d.opts.SlowThreshold/slowness, d.opts.SlowThreshold/d.opts.EjectThreshold)
}

func median(values []float64) float64 {
	sorted := slices.Sorted(slices.Values(values))
	middle := len(sorted) / 2
	if len(sorted)%2 == 1 {
		return sorted[middle]
	}
	return (sorted[middle-1] + sorted[middle]) / 2
}
