package straggler

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// fleet feeds a detector with answers of backend servers of given slowness.
type fleet struct {
	now      time.Time
	detector *Detector
	slow     []float64
	tokens   func(answer, backend int) int
}

func newFleet(slow ...float64) *fleet {
	f := &fleet{now: time.Unix(1_700_000_000, 0), slow: slow}
	f.tokens = func(answer, backend int) int { return 100 << ((answer + backend) % 6) }
	f.detector = New(Options{}, func() time.Time { return f.now })
	return f
}

func (f *fleet) name(i int) string { return fmt.Sprintf("runner-%02d", i) }

// run lets every backend server answer some requests.
func (f *fleet) run(answers int) {
	for n := range answers {
		for i, slow := range f.slow {
			tokens := f.tokens(n, i)
			first := time.Duration(slow * float64(tokens) * float64(time.Millisecond))
			f.detector.Observe(f.name(i), first, time.Duration(slow*float64(20*time.Millisecond)), tokens)
		}
		f.now = f.now.Add(100 * time.Millisecond)
	}
}

func (f *fleet) weight(i int) float64 { return f.detector.Weight(f.name(i)) }

func TestPromptLengthAloneIsNotSlowness(t *testing.T) {
	is := is.New(t)
	f := newFleet(1, 1, 1, 1, 1)
	f.tokens = func(answer, backend int) int { // the last gets long prompts more often
		if (answer%3 == 0) == (backend < 4) {
			return 12_800
		}
		return 100
	}
	f.run(50)
	for i := range f.slow {
		is.Equal(f.weight(i), 1.0)
	}
}

func TestSlowOneIsWeighedDownAndASlowerOneEjected(t *testing.T) {
	is := is.New(t)
	f := newFleet(1, 1, 1, 1, 1, 1, 1, 1, 3, 10)
	f.run(50)
	is.Equal(f.weight(0), 1.0)
	is.True(f.weight(8) > 0.4 && f.weight(8) < 0.6) // 1.5 / 3
	is.Equal(f.weight(9), DefaultEjectedWeight)
	is.True(f.detector.Snapshot()[9].Ejected)
}

func TestEjectedOneRecoversThroughItsTrickle(t *testing.T) {
	is := is.New(t)
	f := newFleet(1, 1, 1, 1, 10)
	f.run(50)
	is.Equal(f.weight(4), DefaultEjectedWeight)
	f.slow[4] = 3 // would not be ejected, but is not let back either
	f.run(50)
	is.Equal(f.weight(4), DefaultEjectedWeight)
	f.slow[4] = 1
	f.run(50)
	is.Equal(f.weight(4), 1.0)
}

func TestOneWithoutTrafficIsForgiven(t *testing.T) {
	is := is.New(t)
	f := newFleet(1, 1, 1, 1, 10)
	f.run(50)
	f.now = f.now.Add(4 * DefaultSlownessHalfLife) // 10 to the power of 1/16
	is.Equal(f.weight(4), 1.0)
	is.Equal(len(f.detector.Snapshot()), 5)
	f.now = f.now.Add(7 * DefaultSlownessHalfLife)
	is.Equal(len(f.detector.Snapshot()), 0)
}

func TestTwoPeersAreNotComparedWithEachOther(t *testing.T) {
	is := is.New(t)
	f := newFleet(1, 10)
	f.run(50)
	is.Equal(f.weight(1), 1.0)
}

func TestHomeOfOneIsComparedWithWhatPeersTell(t *testing.T) {
	is := is.New(t)
	homes := []*fleet{newFleet(1), newFleet(1), newFleet(1), newFleet(3)}
	for i, home := range homes {
		home.run(20)
		told := home.detector.PerToken(home.name(0))
		for j, other := range homes {
			if i != j {
				other.detector.Import(fmt.Sprint("peer-", i), told)
			}
		}
	}
	for _, home := range homes {
		home.now = home.now.Add(DefaultRefreshInterval)
	}
	is.Equal(homes[0].weight(0), 1.0)
	is.True(homes[3].weight(0) > 0.4 && homes[3].weight(0) < 0.6)
}

func TestModelsAreNotComparedWithEachOther(t *testing.T) {
	is := is.New(t)
	s := NewSet(Options{}, nil)
	is.Equal(s.Detector("a"), s.Detector("a"))
	is.True(s.Detector("a") != s.Detector("b"))
}

func TestEjectionsStayWithinTheirFraction(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet(rapid.SliceOfN(rapid.SampledFrom([]float64{1, 1, 2, 8, 30}), 3, 20).Draw(t, "slow")...)
		for range 4 {
			f.run(15)
			i := rapid.IntRange(0, len(f.slow)-1).Draw(t, "changed")
			f.slow[i] = rapid.SampledFrom([]float64{1, 8, 30}).Draw(t, "slowness")
			ejected := 0
			for _, s := range f.detector.Snapshot() {
				if s.Ejected {
					ejected++
				}
				if s.Weight < DefaultEjectedWeight || s.Weight > 1 {
					t.Fatalf("weight %f", s.Weight)
				}
			}
			if ejected > max(1, len(f.slow)/5) {
				t.Fatalf("%d of %d ejected", ejected, len(f.slow))
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
		f := newFleet(make([]float64, n)...)
		f.run(DefaultMinSamples)
		b.Run(fmt.Sprintf("fresh/%d", n), func(b *testing.B) {
			for b.Loop() {
				f.detector.Weight("runner-01")
			}
		})
		b.Run(fmt.Sprintf("refresh/%d", n), func(b *testing.B) {
			for b.Loop() {
				f.detector.judge(f.now)
			}
		})
	}
}
