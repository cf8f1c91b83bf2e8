package straggler

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// testFleet simulates backend servers of given slowness and feeds their responses to a
// detector.
type testFleet struct {
	now      time.Time
	detector *Detector
	slowness []float64                       // by backend server
	tokens   func(response, backend int) int // uncached prompt tokens of a response
}

// newTestFleet returns a fleet with one backend server for each slowness.
func newTestFleet(slowness ...float64) *testFleet {
	f := &testFleet{now: time.Unix(1_700_000_000, 0), slowness: slowness}
	f.tokens = func(response, backend int) int { return 100 << ((response + backend) % 6) }
	f.detector = New(Options{}, func() time.Time { return f.now })
	return f
}

// name returns the name of the i-th backend server.
func (f *testFleet) name(i int) string { return fmt.Sprintf("runner-%02d", i) }

// run lets every backend server respond to the given number of requests.
func (f *testFleet) run(responses int) {
	for n := range responses {
		for i, slowness := range f.slowness {
			tokens := f.tokens(n, i)
			first := time.Duration(slowness * float64(tokens) * float64(time.Millisecond))
			f.detector.Observe(f.name(i), first, time.Duration(slowness*float64(20*time.Millisecond)), tokens)
		}
		f.now = f.now.Add(100 * time.Millisecond)
	}
}

// weight returns the weight of the i-th backend server.
func (f *testFleet) weight(i int) float64 { return f.detector.Weight(f.name(i)) }

func TestDetector_IgnoresPromptLength(t *testing.T) {
	is := is.New(t)
	f := newTestFleet(1, 1, 1, 1, 1)
	f.tokens = func(response, backend int) int { // the last one gets long prompts more often
		if (response%3 == 0) == (backend < 4) {
			return 12_800
		}
		return 100
	}
	f.run(50)
	for i := range f.slowness {
		is.Equal(f.weight(i), 1.0)
	}
}

func TestDetector_ReducesWeightThenEjects(t *testing.T) {
	is := is.New(t)
	f := newTestFleet(1, 1, 1, 1, 1, 1, 1, 1, 3, 10)
	f.run(50)
	is.Equal(f.weight(0), 1.0)
	is.True(f.weight(8) > 0.4 && f.weight(8) < 0.6) // 1.5 / 3
	is.Equal(f.weight(9), DefaultEjectedWeight)
	is.True(f.detector.Snapshot()[9].Ejected)
}

func TestDetector_RestoresEjectedBackendAfterRecovery(t *testing.T) {
	is := is.New(t)
	f := newTestFleet(1, 1, 1, 1, 10)
	f.run(50)
	is.Equal(f.weight(4), DefaultEjectedWeight)
	f.slowness[4] = 3 // below EjectThreshold, but not below half of it
	f.run(50)
	is.Equal(f.weight(4), DefaultEjectedWeight)
	f.slowness[4] = 1
	f.run(50)
	is.Equal(f.weight(4), 1.0)
}

func TestDetector_SlownessDecaysWithoutTraffic(t *testing.T) {
	is := is.New(t)
	f := newTestFleet(1, 1, 1, 1, 10)
	f.run(50)
	f.now = f.now.Add(4 * DefaultSlownessHalfLife) // slowness 10^(1/16)
	is.Equal(f.weight(4), 1.0)
	is.Equal(len(f.detector.Snapshot()), 5)
	f.now = f.now.Add(7 * DefaultSlownessHalfLife)
	is.Equal(len(f.detector.Snapshot()), 0)
}

func TestDetector_NeedsMinPeers(t *testing.T) {
	is := is.New(t)
	f := newTestFleet(1, 10)
	f.run(50)
	is.Equal(f.weight(1), 1.0)
}

// Load pattern: four homes with one backend server each. No home can compare its
// backend server without the times that the other homes report.
func TestDetector_ComparesWithImportedTimes(t *testing.T) {
	is := is.New(t)
	homes := []*testFleet{newTestFleet(1), newTestFleet(1), newTestFleet(1), newTestFleet(3)}
	for i, home := range homes {
		home.run(20)
		perToken := home.detector.PerToken(home.name(0))
		for j, other := range homes {
			if i != j {
				other.detector.Import(fmt.Sprint("peer-", i), perToken)
			}
		}
	}
	for _, home := range homes {
		home.now = home.now.Add(DefaultRefreshInterval)
	}
	is.Equal(homes[0].weight(0), 1.0)
	is.True(homes[3].weight(0) > 0.4 && homes[3].weight(0) < 0.6)
}

func TestSet_HasOneDetectorPerModel(t *testing.T) {
	is := is.New(t)
	s := NewSet(Options{}, nil)
	is.Equal(s.Detector("a"), s.Detector("a"))
	is.True(s.Detector("a") != s.Detector("b"))
}

func TestDetector_BoundsEjectedFraction(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newTestFleet(rapid.SliceOfN(rapid.SampledFrom([]float64{1, 1, 2, 8, 30}), 3, 20).Draw(t, "slow")...)
		for range 4 {
			f.run(15)
			i := rapid.IntRange(0, len(f.slowness)-1).Draw(t, "changed")
			f.slowness[i] = rapid.SampledFrom([]float64{1, 8, 30}).Draw(t, "slowness")
			ejected := 0
			for _, s := range f.detector.Snapshot() {
				if s.Ejected {
					ejected++
				}
				if s.Weight < DefaultEjectedWeight || s.Weight > 1 {
					t.Fatalf("weight %f is out of range", s.Weight)
				}
			}
			if ejected > max(1, len(f.slowness)/5) {
				t.Fatalf("%d of %d backend servers ejected", ejected, len(f.slowness))
			}
		}
	})
}

func BenchmarkObserve(b *testing.B) {
	d := New(Options{}, nil)
	b.ReportAllocs()
	for b.Loop() {
		d.Observe("runner", 300*time.Millisecond, 20*time.Millisecond, 1200)
	}
}

func BenchmarkWeight(b *testing.B) {
	for _, n := range []int{10, 200, 2000} {
		f := newTestFleet(make([]float64, n)...)
		f.run(DefaultMinSamples)
		b.Run(fmt.Sprintf("fresh/%d", n), func(b *testing.B) {
			for b.Loop() {
				f.detector.Weight("runner-01")
			}
		})
		b.Run(fmt.Sprintf("refresh/%d", n), func(b *testing.B) {
			for b.Loop() {
				f.detector.evaluate(f.now)
			}
		})
	}
}
