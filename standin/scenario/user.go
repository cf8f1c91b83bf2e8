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

// Names of the rows of plain service calls in a summary.
const (
	classLookup  = "lookup"
	classBooking = "booking"
)

const unnamedClass = "default"

// user is what chat and booking users have in common.
type user struct {
	name     string
	runner   *runner
	random   *rand.Rand
	deadline time.Duration
	client   *caller.Client
	requests int
}

// nextID returns an id that no other request of any run has.
func (u *user) nextID() string {
	u.requests++
	return fmt.Sprintf("%s-%d", u.name, u.requests)
}

func (u *user) pick(from []string) string { return from[u.random.IntN(len(from))] }

// think pauses around the mean and reports false when the context ends.
func (u *user) think(ctx context.Context, mean time.Duration) bool {
	return sleep(ctx, time.Duration((0.5+u.random.Float64())*float64(mean)))
}

// failed counts a request that was not answered whole.
func (u *user) failed(err error) {
	u.runner.recorder.failed(err)
	if u.runner.options.OnFailure != nil {
		u.runner.options.OnFailure(err)
	}
}

// chatUser holds one chat after the other.
type chatUser struct {
	*user
	group ChatGroup
}

func (u *chatUser) run(ctx, stop context.Context) {
	for u.think(stop, u.group.ThinkTime.Duration) {
		u.chat(ctx)
	}
}

// chat holds one chat to its end or its first failure.
func (u *chatUser) chat(ctx context.Context) {
	opening := fmt.Sprintf("%s (reference %s)", u.pick(u.group.Openings), u.nextID())
	var messages []engineapi.Message
	if u.group.System != "" {
		messages = append(messages, engineapi.Message{Role: "system", Content: u.group.System})
	}
	messages = append(messages, engineapi.Message{Role: "user", Content: opening})
	token := ""
	earlier := 0 // tokens of the turn before
	for turn := 0; ; turn++ {
		answer, err := u.turn(ctx, messages, token)
		if err != nil {
			u.failed(err)
			return
		}
		u.runner.recorder.answeredChat(u.class(), answer, turn > 0, earlier)
		if turn+1 == u.group.Turns || !u.think(ctx, u.group.ThinkTime.Duration) {
			return
		}
		token = answer.Token
		earlier = answer.Usage.PromptTokens + answer.Usage.CompletionTokens
		messages = append(messages,
			engineapi.Message{Role: "assistant", Content: answer.Content},
			engineapi.Message{Role: "user", Content: u.pick(u.group.FollowUps)})
	}
}

func (u *chatUser) turn(ctx context.Context, messages []engineapi.Message, token string) (caller.ChatResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, u.deadline)
	defer cancel()
	retries := u.client.Retries()
	u.runner.recorder.sent()
	answer, err := u.client.Chat(ctx, caller.ChatCall{
		Request:   engineapi.ChatRequest{Model: u.group.Model, Messages: messages, MaxTokens: u.group.MaxTokens},
		RequestID: u.nextID(),
		Class:     u.group.Class,
		Token:     token,
	})
	u.runner.recorder.retried(u.client.Retries() - retries)
	return answer, err
}

func (u *chatUser) class() string {
	if u.group.Class == "" {
		return unnamedClass
	}
	return u.group.Class
}

// bookingUser looks items up, books them and releases them.
type bookingUser struct {
	*user
	group BookingGroup
}

func (u *bookingUser) run(ctx, stop context.Context) {
	for u.think(stop, u.group.Think.Duration) {
		u.book(ctx)
	}
}

func (u *bookingUser) book(ctx context.Context) {
	item := u.pick(u.group.Items)
	if u.group.Lookup != "" && !u.lookup(ctx, item) {
		return
	}
	id := u.nextID()
	body, err := json.Marshal(booking{ID: id, Item: item})
	if err != nil {
		u.failed(err)
		return
	}
	booked := u.runOnce(ctx, caller.ServiceCall{Method: http.MethodPost, Path: u.group.Path, Body: body}, id)
	if booked && u.group.Release {
		u.runOnce(ctx, caller.ServiceCall{Method: http.MethodDelete, Path: u.group.Path + "/" + id}, id)
	}
}

// booking is the body of a booking or shipment.
type booking struct {
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
		u.failed(&caller.InvalidResponseError{Defect: caller.DefectMismatched, Detail: "not the item asked for"})
		return false
	}
	u.runner.recorder.answered()
	return true
}

// runOnce makes a call that must run exactly once and checks its receipt.
func (u *bookingUser) runOnce(ctx context.Context, call caller.ServiceCall, id string) bool {
	body, ok := u.call(ctx, call, classBooking)
	if !ok {
		return false
	}
	var receipt plainservice.Receipt
	if err := json.Unmarshal(body, &receipt); err != nil || receipt.ID != id {
		u.failed(&caller.InvalidResponseError{Defect: caller.DefectMismatched, Detail: "not the receipt of this call"})
		return false
	}
	if receipt.Run > 1 {
		u.failed(&DuplicateRunError{ID: id, Run: receipt.Run})
		return false
	}
	u.runner.recorder.answered()
	return true
}

// call makes one call and returns the body of an answer with status 200.
func (u *bookingUser) call(ctx context.Context, call caller.ServiceCall, class string) ([]byte, bool) {
	ctx, cancel := context.WithTimeout(ctx, u.deadline)
	defer cancel()
	call.Service = u.group.Service
	call.RequestID = u.nextID()
	retries := u.client.Retries()
	began := time.Now()
	u.runner.recorder.sent()
	answer, err := u.client.Call(ctx, call)
	u.runner.recorder.retried(u.client.Retries() - retries)
	if err == nil && answer.Status != http.StatusOK {
		err = &caller.StatusError{Status: answer.Status}
	}
	if err != nil {
		u.failed(err)
		return nil, false
	}
	u.runner.recorder.took(class, time.Since(began))
	return answer.Body, true
}

// DuplicateRunError is a call that ran more than once.
type DuplicateRunError struct {
	ID  string
	Run int
}

// Error implements error.
func (e *DuplicateRunError) Error() string { return fmt.Sprintf("%s ran %d times", e.ID, e.Run) }
