// Command stragglertrial simulates the detector of package straggler with random
// response times. It prints how many responses the detector needs to find a
// backend server that has become slow, and to restore its full weight after it
// has recovered. The figures are trials for decisions about the policy.
package main

import (
	"fmt"
	"math"
	"math/rand/v2"
	"os"
	"slices"
	"text/tabwriter"
	"time"

	"cassialatch.dev/fleet/straggler"
)

// Parameters of the simulation.
const (
	servers          = 10
	runs             = 500                    // per slowness
	warmUpResponses  = 40                     // responses of each server before one becomes slow
	maxResponses     = 400                    // after which a count ends without a result
	firstTokenSigma  = 0.5                    // standard deviation of the logarithm of the time to first token
	tokenSigma       = 0.2                    // standard deviation of the logarithm of the time per further token
	responseInterval = 500 * time.Millisecond // between the responses of one server
	timePerToken     = 20 * time.Millisecond
	prefillPerToken  = 250 * time.Microsecond
	overhead         = 50 * time.Millisecond // of the first token, besides the prefill
)

// simulation is a set of simulated backend servers and their detector.
type simulation struct {
	now      time.Time
	detector *straggler.Detector
	slowness [servers]float64 // factor of the response times, by server
}

// newSimulation returns a simulation in which no server is slow.
func newSimulation() *simulation {
	m := &simulation{now: time.Now()}
	m.detector = straggler.New(straggler.Options{}, func() time.Time { return m.now })
	for i := range m.slowness {
		m.slowness[i] = 1
	}
	return m
}

func serverName(i int) string { return fmt.Sprint("runner-", i) }

// logNormal returns d multiplied by a log-normal random factor.
func logNormal(d time.Duration, sigma float64) time.Duration {
	return time.Duration(float64(d) * math.Exp(sigma*rand.NormFloat64()))
}

// observeAll passes one response of each backend server to the detector and
// advances the clock.
func (m *simulation) observeAll() {
	for i, slowness := range m.slowness {
		tokens := 100 << rand.IntN(6)
		first := overhead + time.Duration(tokens)*prefillPerToken
		m.detector.Observe(serverName(i),
			logNormal(time.Duration(slowness*float64(first)), firstTokenSigma),
			logNormal(time.Duration(slowness*float64(timePerToken)), tokenSigma), tokens)
	}
	m.now = m.now.Add(responseInterval)
}

// countUntil returns the number of responses until the weight of the first backend
// server meets a condition, or maxResponses if it does not.
func (m *simulation) countUntil(done func(weight float64) bool) int {
	for n := range maxResponses {
		if done(m.detector.Weight(serverName(0))) {
			return n
		}
		m.observeAll()
	}
	return maxResponses
}

// countFalsePositives returns the number of healthy servers whose weight is
// reduced.
func (m *simulation) countFalsePositives() (reduced int) {
	for i := 1; i < servers; i++ {
		if m.detector.Weight(serverName(i)) < 1 {
			reduced++
		}
	}
	return reduced
}

func main() {
	out := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(out, "slowness\tweighed down p50\tp99\tejected p50\tp99\tback at full p50\tp99\thealthy ones weighed down")
	for _, slowness := range []float64{2, 3, 5, 10} {
		fmt.Fprintln(out, row(slowness))
	}
	if err := out.Flush(); err != nil {
		os.Exit(1)
	}
}

// row runs the trials of one slowness and returns a line of the table.
func row(slowness float64) string {
	var weightReduced, ejected, recovered []int
	falsePositives := 0
	for range runs {
		m := newSimulation()
		for range warmUpResponses {
			m.observeAll()
		}
		falsePositives += m.countFalsePositives()
		m.slowness[0] = slowness
		untilReduced := m.countUntil(func(w float64) bool { return w < 1 })
		weightReduced = append(weightReduced, untilReduced)
		ejected = append(ejected, untilReduced+m.countUntil(func(w float64) bool { return w == straggler.DefaultEjectedWeight }))
		m.slowness[0] = 1
		recovered = append(recovered, m.countUntil(func(w float64) bool { return w == 1 }))
	}
	return fmt.Sprintf("%g\t%s\t%s\t%s\t%.2f%%", slowness, quantiles(weightReduced), quantiles(ejected), quantiles(recovered),
		100*float64(falsePositives)/float64(runs*(servers-1)))
}

// quantiles returns the median and the 99th percentile of counts as two columns.
func quantiles(counts []int) string {
	slices.Sort(counts)
	at := func(q float64) string {
		n := counts[int(q*float64(len(counts)-1))]
		if n >= maxResponses {
			return "never"
		}
		return fmt.Sprint(n)
	}
	return at(0.5) + "\t" + at(0.99)
}
