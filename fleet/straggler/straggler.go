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
	DefaultMinSamples  = 8
	DefaultMinPeers    = 3
	DefaultSlowFrom    = 1.5
	DefaultEjectFrom   = 4
	DefaultMaxEjected  = 0.2
	DefaultTrickle     = 0.05
	DefaultForgiveTime = 30 * time.Second
	DefaultRefresh     = 250 * time.Millisecond
)

// keepForgiveTimes is the number of forgive times after which a backend server
// that was not heard of is dropped.
const keepForgiveTimes = 10

// Options sets up a detector; zero values take the defaults.
type Options struct {
	MinSamples  int           // answers before a backend server is judged
	MinPeers    int           // judged backend servers below which all have weight 1
	SlowFrom    float64       // slowness above which the weight falls
	EjectFrom   float64       // slowness above which one may be ejected
	MaxEjected  float64       // fraction of the judged ones that may be ejected; at least one may
	Trickle     float64       // weight of an ejected one
	ForgiveTime time.Duration // without an answer, the time in which half of the slowness is forgotten
	Refresh     time.Duration // age at which weights are computed anew
}

// withDefaults fills in the zero values.
func (o Options) withDefaults() Options {
	setDefault(&o.MinSamples, DefaultMinSamples)
	setDefault(&o.MinPeers, DefaultMinPeers)
	setDefault(&o.SlowFrom, DefaultSlowFrom)
	setDefault(&o.EjectFrom, DefaultEjectFrom)
	setDefault(&o.MaxEjected, DefaultMaxEjected)
	setDefault(&o.Trickle, DefaultTrickle)
	setDefault(&o.ForgiveTime, DefaultForgiveTime)
	setDefault(&o.Refresh, DefaultRefresh)
	return o
}

func setDefault[T int | float64 | time.Duration](field *T, value T) {
	if *field <= 0 {
		*field = value
	}
}
