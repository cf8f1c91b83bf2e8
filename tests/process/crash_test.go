package process

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"cassialatch.dev/fleet/quarantine"
	"cassialatch.dev/outcome"
	"cassialatch.dev/standin/caller"
	"cassialatch.dev/tests/harness"
	"cassialatch.dev/wire/engineapi"
)

// poison is text that ends the process of an engine that runs it.
const poison = "ring backwards"

// poisoned is a chat that crashes engines.
var poisoned = engineapi.ChatRequest{
	Model: harness.Model, MaxTokens: 8,
	Messages: []engineapi.Message{{Role: "user", Content: poison}},
}

// askPoison sends the same poisoned chat through a daemon and returns how it
// ended.
func (f *fleet) askPoison(d *daemon, id string) *outcome.Error {
	client := caller.New(operators, harness.Workspace, f.entries(d), rand.New(rand.NewPCG(1, 1)))
	_, err := client.Chat(context.Background(), caller.ChatCall{
		Request:   poisoned,
		RequestID: id,
	})
	var told *outcome.Error
	if errors.As(err, &told) {
		return told
	}
	return nil
}

// crashes returns how many engine processes have crashed.
func (f *fleet) crashes() int {
	crashes := 0
	for _, e := range f.engines {
		crashes += e.Stats().Crashes
	}
	return crashes
}

// knownCrashes returns how often the poisoned chat crashed engines as a daemon
// knows.
func (d *daemon) knownCrashes() int {
	fingerprint := strconv.FormatUint(quarantine.Fingerprint(harness.Model, poisoned.Messages), 16)
	for _, q := range d.status().Quarantined {
		if q.Fingerprint == fingerprint {
			return q.Crashes
		}
	}
	return 0
}

func TestRequestThatCrashesEnginesIsStoppedAndHarmsNoOther(t *testing.T) {
	tests := []struct {
		name       string
		copies     int // sent at once, each through another daemon
		maxCrashes int
	}{
		// A first copy is placed twice at most, one of a known suspect once.
		{"one after the other", 1, 3},
		{"several at once", 4, 12},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			config := harness.FastEngineConfig()
			config.DecodePerToken = 5 * time.Millisecond
			config.CrashMarker = poison
			f := start(t, options{daemons: 4, engines: 10, services: 1, engine: config})
			s := steady()
			s.Chats[0].Users = 30
			l := f.startLoad(s)
			f.awaitWork(f.engines[0])
			refused := func(told *outcome.Error) bool { return told != nil && told.Code == outcome.CodeQuarantined }
			for round := range 2 {
				var wg sync.WaitGroup
				for i := range test.copies {
					wg.Go(func() { f.askPoison(f.daemons[(round+i)%len(f.daemons)], fmt.Sprintf("p-%d-%d", round, i)) })
				}
				wg.Wait()
				for _, d := range f.daemons {
					harness.Eventually(t, d.id+" has heard", func() bool { return d.knownCrashes() > round })
				}
			}
			f.awaitWork(f.engines[0])
			for _, d := range f.daemons {
				is.True(refused(f.askPoison(d, "last-"+d.id)))
			}
			sum := l.end()
			t.Logf("%d crashes, %+v, failures: %v", f.crashes(), sum, l.failures())
			is.True(f.crashes() <= test.maxCrashes)
			for _, code := range sum.Codes {
				is.True(code.Code != outcome.CodeQuarantined)
			}
			is.Equal(sum.Refused, 0)
		})
	}
}
