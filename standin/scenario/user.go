package scenario

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"time"

	"cassialatch.dev/standin/caller"
	"cassialatch.dev/standin/plainservice"
	"cassialatch.dev/wire/engineapi"
)

// Classes under which the summary lists calls to plain services.
const (
	classLookup  = "lookup"
	classBooking = "booking"
)

// defaultClass is the name in the summary for requests without a class.
const defaultClass = "default"

// user is the common part of chat and booking users.
type user struct {
	name     string
	runner   *runner
	random   *rand.Rand
	deadline time.Duration
	client   *caller.Client
	requests int
}

// nextID returns an ID that is unique among the requests of all runs.
func (u *user) nextID() string {
	u.requests++
	return fmt.Sprintf("%s-%d", u.name, u.requests)
}

func (u *user) pick(from []string) string { return from[u.random.IntN(len(from))] }

// think sleeps for a random time between 0.5 and 1.5 times the mean. It reports
// false if ctx ends first.
func (u *user) think(ctx context.Context, mean time.Duration) bool {
	return sleep(ctx, time.Duration((0.5+u.random.Float64())*float64(mean)))
}

// recordFailure counts a failed request and calls Options.OnFailure.
func (u *user) recordFailure(err error) {
	u.runner.recorder.recordFailure(err)
	if u.runner.options.OnFailure != nil {
		u.runner.options.OnFailure(err)
	}
}

// chatUser runs chats, one after the other.
type chatUser struct {
	*user
	group ChatGroup
}

func (u *chatUser) run(ctx, stop context.Context) {
	for u.think(stop, u.group.ThinkTime.Duration) {
		u.chat(ctx)
	}
}

// chat runs one chat until it is complete or a turn fails.
func (u *chatUser) chat(ctx context.Context) {
	opening := fmt.Sprintf("%s (reference %s)", u.pick(u.group.Openings), u.nextID())
	var messages []engineapi.Message
	if u.group.System != "" {
		messages = append(messages, engineapi.Message{Role: "system", Content: u.group.System})
	}
	messages = append(messages, engineapi.Message{Role: "user", Content: opening})
	token := ""
	contextTokens := 0 // prompt and completion tokens of the previous turn
	for turn := 0; ; turn++ {
		response, err := u.turn(ctx, messages, token)
		if err != nil {
			u.recordFailure(err)
			return
		}
		u.runner.recorder.recordChat(u.class(), response, turn > 0, contextTokens)
		if turn+1 == u.group.Turns || !u.think(ctx, u.group.ThinkTime.Duration) {
			return
		}
		token = response.Token
		contextTokens = response.Usage.PromptTokens + response.Usage.CompletionTokens
		messages = append(messages,
			engineapi.Message{Role: "assistant", Content: response.Content},
			engineapi.Message{Role: "user", Content: u.pick(u.group.FollowUps)})
	}
}

func (u *chatUser) turn(ctx context.Context, messages []engineapi.Message, token string) (caller.ChatResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, u.deadline)
	defer cancel()
	retries := u.client.Retries()
	u.runner.recorder.recordSent()
	response, err := u.client.Chat(ctx, caller.ChatCall{
		Request:   engineapi.ChatRequest{Model: u.group.Model, Messages: messages, MaxTokens: u.group.MaxTokens},
		RequestID: u.nextID(),
		Class:     u.group.Class,
		Token:     token,
	})
	u.runner.recorder.recordRetries(u.client.Retries() - retries)
	return response, err
}

func (u *chatUser) class() string {
	if u.group.Class == "" {
		return defaultClass
	}
	return u.group.Class
}

// bookingUser looks up items, books them and releases them.
type bookingUser struct {
	*user
	group BookingGroup
}

func (u *bookingUser) run(ctx, stop context.Context) {
	for u.think(stop, u.group.ThinkTime.Duration) {
		u.book(ctx)
	}
}

func (u *bookingUser) book(ctx context.Context) {
	item := u.pick(u.group.Items)
	if u.group.Lookup != "" && !u.lookup(ctx, item) {
		return
	}
	id := u.nextID()
	body, err := json.Marshal(bookingBody{ID: id, Item: item})
	if err != nil {
		u.recordFailure(err)
		return
	}
	booked := u.callOnce(ctx, caller.ServiceCall{Method: http.MethodPost, Path: u.group.Path, Body: body}, id)
	if booked && u.group.Release {
		u.callOnce(ctx, caller.ServiceCall{Method: http.MethodDelete, Path: u.group.Path + "/" + id}, id)
	}
}

// bookingBody is the request body of a booking or shipment.
type bookingBody struct {
	ID   string `json:"id"`
	Item string `json:"item"`
}

func (u *bookingUser) lookup(ctx context.Context, item string) bool {
	call := caller.ServiceCall{Method: http.MethodGet, Path: u.group.Lookup + item, Idempotent: true}
	body, ok := u.call(ctx, call, classLookup)
	if !ok {
		return false
	}
	var found plainservice.Item
	if err := json.Unmarshal(body, &found); err != nil || found.Item != item {
		u.recordFailure(&caller.InvalidResponseError{Defect: caller.DefectMismatched, Detail: "response contains another item"})
		return false
	}
	u.runner.recorder.recordAnswered()
	return true
}

// callOnce makes a call that must run exactly once and checks its receipt.
func (u *bookingUser) callOnce(ctx context.Context, call caller.ServiceCall, id string) bool {
	body, ok := u.call(ctx, call, classBooking)
	if !ok {
		return false
	}
	var receipt plainservice.Receipt
	if err := json.Unmarshal(body, &receipt); err != nil || receipt.ID != id {
		u.recordFailure(&caller.InvalidResponseError{Defect: caller.DefectMismatched, Detail: "receipt belongs to another call"})
		return false
	}
	if receipt.Run > 1 {
		u.recordFailure(&DuplicateRunError{ID: id, Run: receipt.Run})
		return false
	}
	u.runner.recorder.recordAnswered()
	return true
}

// call makes one call and returns the response body. If the call fails or the
// status is not 200, it records a failure and reports false.
func (u *bookingUser) call(ctx context.Context, call caller.ServiceCall, class string) ([]byte, bool) {
	ctx, cancel := context.WithTimeout(ctx, u.deadline)
	defer cancel()
	call.Service = u.group.Service
	call.RequestID = u.nextID()
	retries := u.client.Retries()
	start := time.Now()
	u.runner.recorder.recordSent()
	response, err := u.client.Call(ctx, call)
	u.runner.recorder.recordRetries(u.client.Retries() - retries)
	if err == nil && response.Status != http.StatusOK {
		err = &caller.StatusError{Status: response.Status}
	}
	if err != nil {
		u.recordFailure(err)
		return nil, false
	}
	u.runner.recorder.recordServiceTime(class, time.Since(start))
	return response.Body, true
}

// DuplicateRunError reports a call that ran more than once.
type DuplicateRunError struct {
	ID  string
	Run int
}

// Error implements error.
func (e *DuplicateRunError) Error() string { return fmt.Sprintf("call %s ran %d times", e.ID, e.Run) }
