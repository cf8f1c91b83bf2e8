// Package straggler detects backend servers that are slower than the other backend
// servers of the same model, and reduces their weight. It uses the times of the
// responses themselves, since load reports show a slow backend server only late.
//
// Each model has a Detector of its own. Detector and Set are safe for concurrent
// use.
package straggler

import "time"

// State describes one backend server as seen by the detector.
type State struct {
	Backend  string
	Slowness float64 // time relative to the median of all; 1 is as fast as the median
	Weight   float64 // 1 is full weight
	Ejected  bool    // gets only enough requests to detect a recovery
	Samples  int     // responses observed by this daemon
}

// Defaults for the fields of Options.
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

// retentionHalfLives is the number of half-lives without a sample after which a
// backend server is dropped.
const retentionHalfLives = 10

// Options configures a detector. Zero values select the defaults.
type Options struct {
	MinSamples         int           // samples before a backend server is compared
	MinPeers           int           // compared backend servers below which all have weight 1
	SlowThreshold      float64       // slowness above which the weight is reduced
	EjectThreshold     float64       // slowness at which a backend server may be ejected
	MaxEjectedFraction float64       // fraction of the compared backend servers that may be ejected; one always may
	EjectedWeight      float64       // weight of an ejected backend server
	SlownessHalfLife   time.Duration // time without samples in which the logarithm of the slowness halves
	RefreshInterval    time.Duration // age at which the weights are recomputed
}

// withDefaults returns a copy of o with defaults for the zero values.
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

// setDefault sets the field to value if it is not positive.
func setDefault[T int | float64 | time.Duration](field *T, value T) {
	if *field <= 0 {
		*field = value
	}
}
