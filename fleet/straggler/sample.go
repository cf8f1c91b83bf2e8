package straggler

import (
	"math"
	"math/bits"
	"time"
)

// Times are averaged and compared as logarithms. Twice as slow and twice as fast
// then have the same weight, and a single request that took 100 times as long does
// not outweigh ten others.

// smoothing is the weight of a new sample in a mean. About the last ten samples
// determine the mean.
const smoothing = 0.1

// mean is the plain mean of the first samples and an exponentially weighted moving
// average as soon as the weight of a sample reaches smoothing.
type mean struct {
	value   float64
	samples int
}

// add updates the mean with one sample.
func (m *mean) add(x float64) {
	m.samples++
	m.value += (x - m.value) * max(smoothing, 1/float64(m.samples))
}

// promptBuckets is the number of buckets for prompts by the binary logarithm of
// their uncached tokens. The buckets are needed because the time to first token
// grows with the number of uncached tokens.
const promptBuckets = 24

// promptBucket returns the bucket of a prompt with this many uncached tokens.
func promptBucket(tokens int) int {
	return min(bits.Len(uint(max(tokens, 0))), promptBuckets-1)
}

// medianStep is the maximum step of a running median for each sample, as a
// logarithm (about 2 %).
const medianStep = 0.02

// runningMedian approximates the median of a stream of samples by moving a bounded
// step towards each sample. One straggler among several backend servers hardly
// affects it.
type runningMedian struct {
	value    float64
	averaged int // samples averaged so far, at most initialSamples
}

// initialSamples is the number of samples that are averaged for the initial value.
const initialSamples = 8

// add updates the median with one sample.
func (m *runningMedian) add(x float64) {
	switch {
	case m.averaged < initialSamples:
		m.averaged++
		m.value += (x - m.value) / float64(m.averaged)
	case x > m.value:
		m.value += min(medianStep, x-m.value)
	default:
		m.value -= min(medianStep, m.value-x)
	}
}

// baseline holds the median time to first token of all backend servers, by bucket of
// uncached prompt tokens, as the logarithm of seconds.
type baseline [promptBuckets]runningMedian

// logRatio updates the baseline with a time to first token and returns the logarithm
// of the ratio of that time to the baseline of its bucket.
func (b *baseline) logRatio(firstToken time.Duration, tokens int) float64 {
	m := &b[promptBucket(tokens)]
	x := logOf(firstToken)
	m.add(x)
	return x - m.value
}

// logOf returns the natural logarithm of d in seconds. Times below 1 us count as
// 1 us.
func logOf(d time.Duration) float64 {
	return math.Log(max(d, time.Microsecond).Seconds())
}

// durationOf is the inverse of logOf.
func durationOf(log float64) time.Duration {
	return time.Duration(math.Exp(log) * float64(time.Second))
}
