// Package straggler finds backend servers that are slower than their peers
// from the times of the answers themselves, since load reports show it late.
// There is one detector for each model.
package straggler

import "time"

// State is what the detector knows about one backend server.
type State struct {
	Backend  string
	Slowness float64 // against the median of its peers, 1 is as fast as it
	Weight   float64 // 1 is full
	Ejected  bool    // gets a trickle only
	Samples  int
}

// Defaults of Options.
const (
	DefaultMinSamples         = 8
	DefaultMinPeers           = 3
	DefaultSlowThreshold      = 1.5
	DefaultEjectThreshold     = 4
	DefaultMaxEjectedFraction = 0.2
	DefaultEjectedWeight      = 0.05
	DefaultSlownessHalfLife   = 30 * time.Second
	DefaultRefreshInterval    = 250 * time.Millisecond
)

// keepForgiveTimes is the number of forgive times after which a backend server
// that was not heard of is dropped.
const keepForgiveTimes = 10

// Options sets up a detector; zero values take the defaults.
type Options struct {
	MinSamples         int           // answers before a backend server is judged
	MinPeers           int           // judged backend servers below which all have weight 1
	SlowThreshold      float64       // slowness above which the weight falls
	EjectThreshold     float64       // slowness above which one may be ejected
	MaxEjectedFraction float64       // fraction of the judged ones that may be ejected; at least one may
	EjectedWeight      float64       // weight of an ejected one
	SlownessHalfLife   time.Duration // without an answer, the time in which half of the slowness is forgotten
	RefreshInterval    time.Duration // age at which weights are computed anew
}

// withDefaults fills in the zero values.
func (o Options) withDefaults() Options {
	setDefault(&o.MinSamples, DefaultMinSamples)
	setDefault(&o.MinPeers, DefaultMinPeers)
	setDefault(&o.SlowThreshold, DefaultSlowThreshold)
	setDefault(&o.EjectThreshold, DefaultEjectThreshold)
	setDefault(&o.MaxEjectedFraction, DefaultMaxEjectedFraction)
	setDefault(&o.EjectedWeight, DefaultEjectedWeight)
	setDefault(&o.SlownessHalfLife, DefaultSlownessHalfLife)
	setDefault(&o.RefreshInterval, DefaultRefreshInterval)
	return o
}

func setDefault[T int | float64 | time.Duration](field *T, value T) {
	if *field <= 0 {
		*field = value
	}
}
