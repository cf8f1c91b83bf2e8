package placement

// Jitter returns exponentially distributed random numbers with mean 1. It is nil where
// the counts of all daemons are recent.
//
// In a large fleet the counts of other daemons are several hundred milliseconds old. All
// daemons would choose the same server until they learn of each other's requests, so random
// load is added to each server, which spreads the requests over the servers that
// differ by less than what the counts can have changed.
type Jitter func() float64

// load returns random load with the given mean.
func (j Jitter) load(mean float64) float64 {
	if j == nil {
		return 0
	}
	return mean * j()
}
