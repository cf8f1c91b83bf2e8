// Package hedge tests hedging, which sends a slow request to a second backend
// server as well.
package hedge

import (
	"context"
	"fmt"
	"strings"
	"testing"

	"github.com/matryer/is"

	"cassialatch.dev/standin/caller"
	"cassialatch.dev/standin/engine"
	"cassialatch.dev/tests/harness"
	"cassialatch.dev/wire/engineapi"
)

// minObservations is the number of requests after which a daemon has observed
// enough response times to hedge.
const minObservations = 100

// fleet is a fleet with a chat whose prefix is cached on a slowed engine. It has
// only one daemon, since each daemon hedges by its own observations.
type fleet struct {
	*harness.Fleet
	client *caller.Client
	slow   *harness.Engine
	call   caller.ChatCall
}

// startFleet starts a fleet with a hedge budget and sends it enough requests for
// hedging. It then slows the engine of the last chat down by the factor slowness.
func startFleet(t *testing.T, hedgeBudget string, slowness float64) *fleet {
	t.Helper()
	is := is.New(t)
	base := strings.Replace(harness.BaseDocument, "[services", "hedge_budget = "+hedgeBudget+"\n\n[services", 1)
	f := &fleet{Fleet: harness.Start(t, harness.Options{Daemons: 1, Engines: 3, Base: base})}
	f.client = f.Caller(1)
	var last caller.ChatResponse
	for i := range minObservations {
		f.call = caller.ChatCall{RequestID: fmt.Sprintf("r%d", i), Request: engineapi.ChatRequest{
			Model:     harness.Model,
			Messages:  []engineapi.Message{{Role: "user", Content: fmt.Sprintf("describe bell number %d", i)}},
			MaxTokens: 4,
		}}
		resp, err := f.client.Chat(context.Background(), f.call)
		is.NoErr(err)
		last = resp
	}
	f.call.RequestID, f.call.Token = "hedged", last.Token
	for _, e := range f.Engines {
		if e.ID == last.Backend {
			f.slow = e
		}
	}
	f.slow.SetSlowdown(slowness)
	return f
}

func TestSlowEngineIsHedged(t *testing.T) {
	is := is.New(t)
	f := startFleet(t, "1.0", 100_000) // the first token takes half a minute
	before := f.slow.Stats().Cancelled
	resp, err := f.client.Chat(context.Background(), f.call)
	is.NoErr(err)
	is.True(resp.Backend != f.slow.ID)
	is.Equal(resp.Content, strings.Join(engine.ExpectedWords(f.call.Request), " "))
	f.Eventually("request of the slow engine cancelled", func() bool {
		return f.slow.Stats().Cancelled == before+1
	})
}

func TestNothingIsHedgedWithoutBudget(t *testing.T) {
	is := is.New(t)
	f := startFleet(t, "0.0", 2_000)
	resp, err := f.client.Chat(context.Background(), f.call)
	is.NoErr(err)
	is.Equal(resp.Backend, f.slow.ID)
	for _, e := range f.Engines {
		is.True(e == f.slow || e.Stats().StartedByRequest["hedged"] == 0)
	}
}
