// Package hedge tests requests that are sent to a second backend server.
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

// observed is the number of requests after which a daemon has seen enough to
// hedge.
const observed = 100

// fleet is a fleet of one daemon, since each one goes by what it observed
// itself, with a chat that is warm on a slowed engine.
type fleet struct {
	*harness.Fleet
	client *caller.Client
	slow   *harness.Engine
	call   caller.ChatCall
}

// start returns a fleet with a hedge budget whose slowed engine takes so many
// times as long.
func start(t *testing.T, hedgeBudget string, slowness float64) *fleet {
	t.Helper()
	is := is.New(t)
	base := strings.Replace(harness.BaseDocument, "[services", "hedge_budget = "+hedgeBudget+"\n\n[services", 1)
	f := &fleet{Fleet: harness.Start(t, harness.Options{Daemons: 1, Engines: 3, Base: base})}
	f.client = f.Caller(1)
	var last caller.ChatResponse
	for i := range observed {
		f.call = caller.ChatCall{RequestID: fmt.Sprintf("r%d", i), Request: engineapi.ChatRequest{
			Model:     harness.Model,
			Messages:  []engineapi.Message{{Role: "user", Content: fmt.Sprintf("describe bell number %d", i)}},
			MaxTokens: 4,
		}}
		answer, err := f.client.Chat(context.Background(), f.call)
		is.NoErr(err)
		last = answer
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
	f := start(t, "1.0", 100_000) // the first token takes half a minute
	before := f.slow.Stats().Cancelled
	answer, err := f.client.Chat(context.Background(), f.call)
	is.NoErr(err)
	is.True(answer.Backend != f.slow.ID)
	is.Equal(answer.Content, strings.Join(engine.ExpectedWords(f.call.Request), " "))
	f.Eventually("the slow engine's work is cancelled", func() bool {
		return f.slow.Stats().Cancelled == before+1
	})
}

func TestNothingIsHedgedWithoutBudget(t *testing.T) {
	is := is.New(t)
	f := start(t, "0.0", 2_000)
	answer, err := f.client.Chat(context.Background(), f.call)
	is.NoErr(err)
	is.Equal(answer.Backend, f.slow.ID)
	for _, e := range f.Engines {
		is.True(e == f.slow || e.Stats().StartedByRequest["hedged"] == 0)
	}
}
