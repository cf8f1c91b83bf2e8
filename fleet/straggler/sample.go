package straggler

import (
	"math"
	"math/bits"
	"time"
)

// Times are compared as logarithms: a ratio of two weighs the same either way,
// and one request that took a hundred times as long does not outweigh ten.

// smoothing is the weight of a new sample in a mean: the last ten or so count.
const smoothing = 0.1

// mean is an exponentially smoothed mean.
type mean struct {
	value   float64
	samples int
}

func (m *mean) add(x float64) {
	m.samples++
	m.value += (x - m.value) * max(smoothing, 1/float64(m.samples))
}

// promptBuckets divides prompts by the binary logarithm of their uncached
// tokens, since the time to the first token grows with them.
const promptBuckets = 24

func promptBucket(tokens int) int {
	return min(bits.Len(uint(max(tokens, 0))), promptBuckets-1)
}

// medianStep is the step of a running median, as a logarithm.
const medianStep = 0.02

// runningMedian follows the median of all samples by a step up or down for
// each, so that one straggler among several peers hardly moves it.
type runningMedian struct {
	value  float64
	primed int
}

// primingSamples are averaged before the steps begin.
const primingSamples = 8

func (m *runningMedian) add(x float64) {
	switch {
	case m.primed < primingSamples:
		m.primed++
		m.value += (x - m.value) / float64(m.primed)
	case x > m.value:
		m.value += min(medianStep, x-m.value)
	default:
		m.value -= min(medianStep, m.value-x)
	}
}

// baseline is the usual time to the first token by length of the prompt.
type baseline [promptBuckets]runningMedian

// ratio returns the logarithm of the time to the first token against that of
// prompts of about the same length.
func (b *baseline) ratio(firstToken time.Duration, tokens int) float64 {
	m := &b[promptBucket(tokens)]
	x := logOf(firstToken)
	m.add(x)
	return x - m.value
}

func logOf(d time.Duration) float64 {
	return math.Log(max(d, time.Microsecond).Seconds())
}

func durationOf(log float64) time.Duration {
	return time.Duration(math.Exp(log) * float64(time.Second))
}
