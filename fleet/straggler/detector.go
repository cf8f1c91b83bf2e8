package straggler

import (
	"cmp"
	"math"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

// Detector compares the backend servers of one model with each other and assigns
// each a weight. It is safe for concurrent use. Weight takes no lock unless the
// weights are older than RefreshInterval.
type Detector struct {
	opts Options
	now  func() time.Time

	mu       sync.Mutex
	baseline baseline
	backends map[string]*backend

	current atomic.Pointer[snapshot]
}

// backend holds the samples of one backend server. It is guarded by Detector.mu.
type backend struct {
	name       string
	firstToken mean      // time to first token, as the logarithm of its ratio to the baseline
	perToken   mean      // time per further token, as the logarithm of seconds
	imported   float64   // perToken as reported by another home
	isImported bool      // imported is set
	lastSample time.Time // of a response, or of an import if there were no responses
	ejected    bool
}

// firstTokenLog returns the logarithm of the time to first token relative to the
// baseline. known is false if there are too few samples.
func (b *backend) firstTokenLog(minSamples int) (log float64, known bool) {
	return b.firstToken.value, b.firstToken.samples >= minSamples
}

// perTokenLog returns the logarithm of the time per further token, as observed by
// this daemon or, if it has too few samples, as imported.
func (b *backend) perTokenLog(minSamples int) (log float64, known bool) {
	if b.perToken.samples >= minSamples {
		return b.perToken.value, true
	}
	return b.imported, b.isImported
}

// snapshot holds the states of all compared backend servers at one time. It is
// immutable.
type snapshot struct {
	at     time.Time
	states []State            // ordered by name of the backend server
	weight map[string]float64 // by name of the backend server
}

// New returns a detector without samples. If now is nil, time.Now is used.
func New(o Options, now func() time.Time) *Detector {
	if now == nil {
		now = time.Now
	}
	d := &Detector{opts: o.withDefaults(), now: now, backends: make(map[string]*backend)}
	d.current.Store(&snapshot{at: now()})
	return d
}

// Observe records the times of one response, excluding the time in queues of the
// fleet: the time to first token and the mean time per further token, which is
// zero if there was none. uncachedPromptTokens is the number of prompt tokens that
// the engine had to compute before the first token.
func (d *Detector) Observe(backendName string, firstToken, perToken time.Duration, uncachedPromptTokens int) {
	now := d.now()
	d.mu.Lock()
	defer d.mu.Unlock()
	b := d.getOrAdd(backendName)
	b.lastSample = now
	b.firstToken.add(d.baseline.logRatio(firstToken, uncachedPromptTokens))
	if perToken > 0 {
		b.perToken.add(logOf(perToken))
	}
}

// PerToken returns the mean time per further token that this daemon has observed,
// or zero if it has too few samples. Homes report it to each other, since one home
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

// Import records the PerToken value that another home has reported. It is used only
// for backend servers of which this daemon has too few samples.
func (d *Detector) Import(backendName string, perToken time.Duration) {
	if perToken <= 0 {
		return
	}
	now := d.now()
	d.mu.Lock()
	defer d.mu.Unlock()
	b := d.getOrAdd(backendName)
	b.imported, b.isImported = logOf(perToken), true
	if b.firstToken.samples == 0 {
		b.lastSample = now
	}
}

// getOrAdd returns a backend server and adds it if it is unknown. The caller holds
// d.mu.
func (d *Detector) getOrAdd(name string) *backend {
	b := d.backends[name]
	if b == nil {
		b = &backend{name: name}
		d.backends[name] = b
	}
	return b
}

// Weight returns the weight of a backend server. It is 1 for a backend server that
// has not been compared yet.
func (d *Detector) Weight(backendName string) float64 {
	if weight, ok := d.latest().weight[backendName]; ok {
		return weight
	}
	return 1
}

// Snapshot returns the states of all compared backend servers, ordered by name.
func (d *Detector) Snapshot() []State { return slices.Clone(d.latest().states) }

// RemoveBackend drops the samples of a backend server that has been removed.
func (d *Detector) RemoveBackend(backendName string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.backends, backendName)
}

// latest returns the current snapshot, recomputed if it is older than
// RefreshInterval.
func (d *Detector) latest() *snapshot {
	now := d.now()
	if v := d.current.Load(); now.Sub(v.at) < d.opts.RefreshInterval {
		return v
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if v := d.current.Load(); now.Sub(v.at) < d.opts.RefreshInterval {
		return v // recomputed by another caller in the meantime
	}
	v := d.evaluate(now)
	d.current.Store(v)
	return v
}

// evaluate computes the states of all backend servers. The caller holds d.mu.
func (d *Detector) evaluate(now time.Time) *snapshot {
	v := &snapshot{at: now, weight: make(map[string]float64, len(d.backends))}
	compared, slowness := d.slowness(now)
	d.eject(compared, slowness)
	for i, b := range compared {
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

// activeBackends returns the backend servers ordered by name, and drops those
// without a recent sample. The caller holds d.mu.
func (d *Detector) activeBackends(now time.Time) []*backend {
	active := make([]*backend, 0, len(d.backends))
	for name, b := range d.backends {
		if now.Sub(b.lastSample) > retentionHalfLives*d.opts.SlownessHalfLife {
			delete(d.backends, name)
			continue
		}
		active = append(active, b)
	}
	slices.SortFunc(active, func(a, b *backend) int { return cmp.Compare(a.name, b.name) })
	return active
}

// slowness compares each backend server with the median of all, by time to first
// token and by time per further token, and uses the larger of the two ratios. It
// returns the backend servers that it could compare and their slowness. The caller
// holds d.mu.
func (d *Detector) slowness(now time.Time) (compared []*backend, slowness []float64) {
	active := d.activeBackends(now)
	firstToken := d.compare(active, (*backend).firstTokenLog)
	perToken := d.compare(active, (*backend).perTokenLog)
	for _, b := range active {
		first, firstKnown := firstToken.logRatio(b)
		per, perKnown := perToken.logRatio(b)
		switch {
		case firstKnown && perKnown:
			first = max(first, per)
		case perKnown:
			first = per
		case !firstKnown:
			b.ejected = false
			continue
		}
		compared = append(compared, b)
		slowness = append(slowness, math.Exp(first*d.decay(now.Sub(b.lastSample))))
	}
	return compared, slowness
}

// measure returns one of the two times by which backend servers are compared.
type measure func(b *backend, minSamples int) (log float64, known bool)

// comparison compares one measure of a backend server with its median over all.
type comparison struct {
	measure    measure
	minSamples int
	median     float64
	valid      bool // there are enough backend servers for a median
}

// compare returns the comparison of a measure over the given backend servers.
func (d *Detector) compare(backends []*backend, f measure) comparison {
	var logs []float64
	for _, b := range backends {
		if log, known := f(b, d.opts.MinSamples); known {
			logs = append(logs, log)
		}
	}
	c := comparison{measure: f, minSamples: d.opts.MinSamples, valid: len(logs) >= d.opts.MinPeers}
	if c.valid {
		c.median = median(logs)
	}
	return c
}

// logRatio returns the logarithm of the ratio of a backend server's measure to the
// median. known is false if the backend server or the median has too few samples.
func (c comparison) logRatio(b *backend) (log float64, known bool) {
	log, known = c.measure(b, c.minSamples)
	return log - c.median, known && c.valid
}

// decay returns the factor by which the logarithm of the slowness shrinks after a
// time without samples. Without the decay, a backend server that gets no more
// requests could not recover.
func (d *Detector) decay(idle time.Duration) float64 {
	return math.Exp2(-idle.Seconds() / d.opts.SlownessHalfLife.Seconds())
}

// eject ejects the slowest backend servers, up to MaxEjectedFraction. To avoid
// flapping, an ejected backend server stays ejected until its slowness falls below
// half of EjectThreshold.
func (d *Detector) eject(compared []*backend, slowness []float64) {
	slowestFirst := make([]int, len(compared))
	for i := range slowestFirst {
		slowestFirst[i] = i
	}
	slices.SortStableFunc(slowestFirst, func(i, j int) int { return cmp.Compare(slowness[j], slowness[i]) })
	remaining := max(1, int(d.opts.MaxEjectedFraction*float64(len(compared))))
	for _, i := range slowestFirst {
		b := compared[i]
		threshold := d.opts.EjectThreshold
		if b.ejected {
			threshold /= 2
		}
		b.ejected = remaining > 0 && slowness[i] >= threshold
		if b.ejected {
			remaining--
		}
	}
}

// weight returns the weight for a slowness. Above SlowThreshold it is inversely
// proportional to the slowness, so that a backend server at half the speed gets
// about half the requests. It does not fall below the weight at EjectThreshold.
func (d *Detector) weight(slowness float64) float64 {
	if slowness <= d.opts.SlowThreshold {
		return 1
	}
	return max(d.opts.SlowThreshold/slowness, d.opts.SlowThreshold/d.opts.EjectThreshold)
}

// median returns the median of values, which must not be empty.
func median(values []float64) float64 {
	sorted := slices.Sorted(slices.Values(values))
	middle := len(sorted) / 2
	if len(sorted)%2 == 1 {
		return sorted[middle]
	}
	return (sorted[middle-1] + sorted[middle]) / 2
}
