// Package endtoend tests a complete fleet end to end: the prefix cache hits of chats,
// the execution of bookings and the readiness of daemons.
package endtoend

import (
	"context"
	"fmt"
	"testing"

	"github.com/matryer/is"

	"cassialatch.dev/standin/caller"
	"cassialatch.dev/tests/harness"
	"cassialatch.dev/wire/engineapi"
)

// question returns a chat request with one user message.
func question(text string) engineapi.ChatRequest {
	return engineapi.ChatRequest{
		Model:     harness.Model,
		Messages:  []engineapi.Message{{Role: "user", Content: text}},
		MaxTokens: 16,
	}
}

func TestReturningChatHitsPrefixCache(t *testing.T) {
	is := is.New(t)
	f := harness.Start(t, harness.Options{Daemons: 3, Engines: 4})
	client := f.Caller(1)
	for chat := range 20 {
		req := question(fmt.Sprintf("describe bell number %d of the tower in the north", chat))
		first, err := client.Chat(context.Background(), caller.ChatCall{Request: req, RequestID: fmt.Sprintf("a%d", chat)})
		is.NoErr(err)
		req.Messages = append(req.Messages,
			engineapi.Message{Role: "assistant", Content: first.Content},
			engineapi.Message{Role: "user", Content: "and its pitch?"})
		second, err := client.Chat(context.Background(), caller.ChatCall{Request: req, RequestID: fmt.Sprintf("b%d", chat), Token: first.Token})
		is.NoErr(err)
		is.True(second.Usage.CachedTokens >= first.Usage.PromptTokens)
	}
}

func TestBookingWithTicketRunsOnce(t *testing.T) {
	is := is.New(t)
	f := harness.Start(t, harness.Options{Daemons: 3, Services: 2})
	client := f.Caller(1)
	for i := range 20 {
		id := fmt.Sprintf("booking-%d", i)
		_, err := client.Call(context.Background(), caller.ServiceCall{
			Service: harness.Service, Method: "POST", Path: "/bookings",
			Body: []byte(`{"id":"` + id + `"}`), RequestID: id,
		})
		is.NoErr(err)
		runs := 0
		for _, s := range f.Services {
			runs += s.Ledger().Bookings[id]
		}
		is.Equal(runs, 1)
	}
}

// A daemon becomes ready after it has contacted its peers. A daemon that is added to
// the VM list later and does not respond must not make the others unready.
func TestDaemonStaysReadyWhenVMListGrows(t *testing.T) {
	is := is.New(t)
	f := harness.Start(t, harness.Options{Daemons: 1, Engines: 1})
	node := f.Daemons[0].Node
	before := node.Status().Platform.VMListVersion
	f.PublishUnreachableDaemon("entry-new")
	for node.Status().Platform.VMListVersion == before {
		is.True(node.Ready())
	}
	for range 2000 { // at first, the daemon has not contacted the new one yet
		is.True(node.Ready())
	}
}
