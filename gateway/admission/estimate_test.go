package admission

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against estimates that grow with the queues of the servers: what can still be
// served would be refused.
func TestEstimator_LeavesOutWaits(t *testing.T) {
	is := is.New(t)
	var e Estimator
	at := time.Unix(1_700_000_000, 0)
	for i := range 100 {
		took := workTime
		if i%10 > 0 {
			took *= 20
		}
		e.Record(&Run{First: took, Total: took}, at)
		at = at.Add(100 * time.Millisecond)
	}
	is.Equal(e.First(0), workTime)
	is.True(e.Usual() < 2*workTime)
	for range 3 * int(lowWindow/(100*time.Millisecond)) { // now all wait
		e.Record(&Run{First: 20 * workTime, Total: 20 * workTime}, at)
		at = at.Add(100 * time.Millisecond)
	}
	is.True(e.First(0) > workTime)
	is.True(e.First(0) < 4*workTime)
	e.Record(&Run{First: workTime, Total: workTime}, at)
	is.Equal(e.First(0), workTime)
}

// Guards against one estimate for short and long prompts and responses.
func TestEstimator_DistinguishesWork(t *testing.T) {
	is := is.New(t)
	var e Estimator
	at := time.Unix(1_700_000_000, 0)
	for range 200 {
		e.Record(&Run{PromptTokens: 1000, OutputTokens: 100, First: 100 * time.Millisecond, Total: 1100 * time.Millisecond}, at)
		e.Record(&Run{PromptTokens: 16_000, OutputTokens: 100, First: 2 * time.Second, Total: 3 * time.Second}, at)
	}
	is.Equal(e.First(900), 100*time.Millisecond)
	is.Equal(e.First(17_000), 2*time.Second)
	is.Equal(e.First(100), 100*time.Millisecond)        // of the next larger size
	is.Equal(e.First(100_000), 2*time.Second)           // of the next smaller size
	is.Equal(e.Rest(200), 2*time.Second)                // in proportion
	is.Equal(e.Rest(0), time.Second)                    // not stated: as usual
	is.Equal(e.Rest(1<<30), maxOutputRatio*time.Second) // an upper bound says little
	is.Equal(e.Total(900, 100), 1100*time.Millisecond)
}
