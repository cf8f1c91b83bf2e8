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

// crashMarker is prompt text that makes an engine crash when it runs the request.
const crashMarker = "ring backwards"

// crashingChat is a chat request that crashes every engine that runs it.
var crashingChat = engineapi.ChatRequest{
	Model: harness.Model, MaxTokens: 8,
	Messages: []engineapi.Message{{Role: "user", Content: crashMarker}},
}

// sendCrashingChat sends crashingChat through a daemon and returns the typed error
// of its response, or nil if there is none.
func (f *fleet) sendCrashingChat(d *daemon, id string) *outcome.Error {
	client := caller.New(httpClient, harness.Workspace, f.entryAddresses(d), rand.New(rand.NewPCG(1, 1)))
	_, err := client.Chat(context.Background(), caller.ChatCall{
		Request:   crashingChat,
		RequestID: id,
	})
	var failure *outcome.Error
	if errors.As(err, &failure) {
		return failure
	}
	return nil
}

// crashes returns the total number of engine crashes.
func (f *fleet) crashes() int {
	crashes := 0
	for _, e := range f.engines {
		crashes += e.Stats().Crashes
	}
	return crashes
}

// knownCrashes returns how many crashes a daemon attributes to crashingChat.
func (d *daemon) knownCrashes() int {
	fingerprint := strconv.FormatUint(quarantine.Fingerprint(harness.Model, crashingChat.Messages), 16)
	for _, q := range d.status().Quarantined {
		if q.Fingerprint == fingerprint {
			return q.Crashes
		}
	}
	return 0
}

// TestCrashingRequest_QuarantinedWithoutRefusingOthers checks that all daemons
// quarantine a request after it has crashed a few engines, so that a request that
// is sent again and again does not crash all of them, and that they refuse no other
// request because of it.
func TestCrashingRequest_QuarantinedWithoutRefusingOthers(t *testing.T) {
	tests := []struct {
		name       string
		copies     int // sent concurrently, each through another daemon
		maxCrashes int
	}{
		// Each copy is placed at most twice in the first round, and at most once in
		// the second, in which the daemons already suspect the request.
		{"sequential", 1, 3},
		{"concurrent", 4, 12},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			config := harness.FastEngineConfig()
			config.DecodePerToken = 5 * time.Millisecond
			config.CrashMarker = crashMarker
			f := start(t, options{daemons: 4, engines: 10, services: 1, engine: config})
			s := steadyLoad()
			s.Chats[0].Users = 30
			l := f.startLoad(s)
			f.awaitNewRequests(f.engines[0])
			isQuarantined := func(failure *outcome.Error) bool { return failure != nil && failure.Code == outcome.CodeQuarantined }
			for round := range 2 {
				var wg sync.WaitGroup
				for i := range test.copies {
					wg.Go(func() { f.sendCrashingChat(f.daemons[(round+i)%len(f.daemons)], fmt.Sprintf("p-%d-%d", round, i)) })
				}
				wg.Wait()
				for _, d := range f.daemons {
					harness.Eventually(t, d.id+" knows of the crashes", func() bool { return d.knownCrashes() > round })
				}
			}
			f.awaitNewRequests(f.engines[0])
			for _, d := range f.daemons {
				is.True(isQuarantined(f.sendCrashingChat(d, "last-"+d.id)))
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
