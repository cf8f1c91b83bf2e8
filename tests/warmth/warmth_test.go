// Package warmth tests that a fleet knows what its engines hold in their
// caches.
package warmth

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"testing"

	"github.com/matryer/is"

	"cassialatch.dev/standin/caller"
	"cassialatch.dev/tests/harness"
	"cassialatch.dev/wire/engineapi"
)

// cacheTokens is the size of the engines' caches.
const cacheTokens = 200

// question returns a chat request with one turn.
func question(text string) engineapi.ChatRequest {
	return engineapi.ChatRequest{
		Model:     harness.Model,
		Messages:  []engineapi.Message{{Role: "user", Content: text}},
		MaxTokens: 4,
	}
}

// askEngine sends a request to an engine past the fleet.
func askEngine(t *testing.T, e *harness.Engine, req engineapi.ChatRequest) {
	t.Helper()
	is := is.New(t)
	body, err := json.Marshal(req)
	is.NoErr(err)
	resp, err := http.Post(e.Server.URL+"/v1/chat/completions", "application/json", bytes.NewReader(body))
	is.NoErr(err)
	is.NoErr(resp.Body.Close())
	is.Equal(resp.StatusCode, http.StatusOK)
}

// knowPrefixes reports whether each daemon knows so many warm prefixes.
func knowPrefixes(f *harness.Fleet, count int) func() bool {
	return func() bool {
		for _, d := range f.Daemons {
			if d.Node.Status().WarmPrefixes != count {
				return false
			}
		}
		return true
	}
}

func TestEntriesLearnFromCacheEvents(t *testing.T) {
	is := is.New(t)
	config := harness.FastEngine()
	config.CacheTokens = cacheTokens
	f := harness.Start(t, harness.Options{Daemons: 3, Engines: 4, Engine: config})

	var chats []engineapi.ChatRequest
	for i, e := range f.Engines {
		chats = append(chats, question(fmt.Sprintf("describe bell number %d of the tower", i)))
		askEngine(t, e, chats[i])
	}
	f.Eventually("all daemons know the prompts and answers", knowPrefixes(f, 2*len(chats)))
	client := f.Caller(1)
	for i, req := range chats {
		answer, err := client.Chat(context.Background(), caller.ChatCall{Request: req, RequestID: fmt.Sprintf("a%d", i)})
		is.NoErr(err)
		is.Equal(answer.Usage.CachedTokens, answer.Usage.PromptTokens) // without a token
	}

	for _, e := range f.Engines {
		askEngine(t, e, question(strings.Repeat("toll ", 2*cacheTokens))) // evicts all
	}
	f.Eventually("no daemon names an evicted prefix", knowPrefixes(f, 0))
}
