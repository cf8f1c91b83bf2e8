package placement

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"cassialatch.dev/config/dynamic"
)

func TestTimeEstimator_EstimatesMeans(t *testing.T) {
	is := is.New(t)
	var estimator TimeEstimator
	service, prefill := estimator.Estimates()
	is.Equal(service+prefill, time.Duration(0)) // no samples yet

	estimator.Observe(400*time.Millisecond, 70*time.Millisecond, 20*time.Millisecond, 100)
	estimator.Observe(600*time.Millisecond, 25*time.Millisecond, 20*time.Millisecond, 1) // too few uncached tokens
	service, prefill = estimator.Estimates()
	is.Equal(service, 500*time.Millisecond)
	is.Equal(prefill, 500*time.Microsecond)
}

func TestPlanner_UsesEstimatedTimes(t *testing.T) {
	is := is.New(t)
	candidates := testCandidates(10)
	candidates[3].InFlight = 8 // the warm backend server is at its bound
	r := Request{WarmBackend: "runner-3", WarmTokens: 200, PromptTokens: 220, Class: dynamic.ClassChat}
	estimator := &TimeEstimator{}
	planner := NewPlanner(Options{Estimator: estimator})

	is.True(planner.Plan(r, candidates)[0].Reason != ReasonWarm) // 4 s / 8 is more than 3 x 200 x 250 us
	estimator.Observe(400*time.Millisecond, 120*time.Millisecond, 20*time.Millisecond, 200)
	is.Equal(planner.Plan(r, candidates)[0], Choice{"runner-3", ReasonWarm})
}
