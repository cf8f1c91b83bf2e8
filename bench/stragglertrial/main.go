// Command stragglertrial tells how many answers the detector of package
// straggler needs to find a backend server that has become slow, and to let it
// back, on fake times that scatter. It gives trial figures for decisions about
// the policy.
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

// Shape of the trial.
const (
	peers      = 10
	trials     = 500
	warmUp     = 40 // answers of each peer before one turns slow
	maxAnswers = 400
	scatter    = 0.5 // standard deviation of the logarithm of the time to the first token
	steadiness = 0.2 // the same of the time for each further token
	answerGap  = 500 * time.Millisecond
	decode     = 20 * time.Millisecond
	prefill    = 250 * time.Microsecond
	overhead   = 50 * time.Millisecond
)

// model is a set of fake backend servers and their detector.
type model struct {
	now      time.Time
	detector *straggler.Detector
	slow     [peers]float64
}

func newModel() *model {
	m := &model{now: time.Now()}
	m.detector = straggler.New(straggler.Options{}, func() time.Time { return m.now })
	for i := range m.slow {
		m.slow[i] = 1
	}
	return m
}

func name(i int) string { return fmt.Sprint("runner-", i) }

func noisy(d time.Duration, sigma float64) time.Duration {
	return time.Duration(float64(d) * math.Exp(sigma*rand.NormFloat64()))
}

// answer lets every backend server answer once.
func (m *model) answer() {
	for i, slow := range m.slow {
		tokens := 100 << rand.IntN(6)
		first := overhead + time.Duration(tokens)*prefill
		m.detector.Observe(name(i),
			noisy(time.Duration(slow*float64(first)), scatter),
			noisy(time.Duration(slow*float64(decode)), steadiness), tokens)
	}
	m.now = m.now.Add(answerGap)
}

// until counts the answers until the first backend server meets a condition.
func (m *model) until(met func(weight float64) bool) int {
	for n := range maxAnswers {
		if met(m.detector.Weight(name(0))) {
			return n
		}
		m.answer()
	}
	return maxAnswers
}

// wronged counts the healthy peers that are weighed down.
func (m *model) wronged() (weighedDown int) {
	for i := 1; i < peers; i++ {
		if m.detector.Weight(name(i)) < 1 {
			weighedDown++
		}
	}
	return weighedDown
}

func main() {
	out := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(out, "slowness\tweighed down p50\tp99\tejected p50\tp99\tback at full p50\tp99\thealthy ones weighed down")
	for _, slow := range []float64{2, 3, 5, 10} {
		fmt.Fprintln(out, row(slow))
	}
	if err := out.Flush(); err != nil {
		os.Exit(1)
	}
}

func row(slow float64) string {
	var down, ejected, back []int
	wrong := 0
	for range trials {
		m := newModel()
		for range warmUp {
			m.answer()
		}
		wrong += m.wronged()
		m.slow[0] = slow
		start := m.until(func(w float64) bool { return w < 1 })
		down = append(down, start)
		ejected = append(ejected, start+m.until(func(w float64) bool { return w == straggler.DefaultEjectedWeight }))
		m.slow[0] = 1
		back = append(back, m.until(func(w float64) bool { return w == 1 }))
	}
	return fmt.Sprintf("%g\t%s\t%s\t%s\t%.2f%%", slow, quantiles(down), quantiles(ejected), quantiles(back),
		100*float64(wrong)/float64(trials*(peers-1)))
}

func quantiles(answers []int) string {
	slices.Sort(answers)
	at := func(q float64) string {
		n := answers[int(q*float64(len(answers)-1))]
		if n >= maxAnswers {
			return "never"
		}
		return fmt.Sprint(n)
	}
	return at(0.5) + "\t" + at(0.99)
}
