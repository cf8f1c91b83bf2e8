package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"cassialatch.dev/bench/internal/fleetproc"
	"cassialatch.dev/standin/caller"
	"cassialatch.dev/standin/engine"
	"cassialatch.dev/wire/engineapi"
)

// Words of prompts.
const (
	systemWords   = 60
	openingWords  = 30
	followUpWords = 20
)

// kind is a kind of chats.
type kind struct {
	class     string
	turns     int
	maxTokens int
	think     time.Duration // mean pause between turns
	deadline  time.Duration
}

// Kinds of chats in the measures.
var (
	shortWork = kind{class: "short", turns: 1, maxTokens: 8, think: 300 * time.Millisecond, deadline: 15 * time.Second}
	chatWork  = kind{class: "chat", turns: 5, maxTokens: 16, think: 300 * time.Millisecond, deadline: 15 * time.Second}
	longWork  = kind{class: "long", turns: 1, maxTokens: 150, think: 50 * time.Millisecond, deadline: 20 * time.Second}
	crestWork = kind{class: "chat", turns: 1, maxTokens: 16, deadline: 4 * time.Second}
)

// tally counts what callers saw.
type tally struct {
	mu                    sync.Mutex
	first                 *hdrhistogram.Histogram
	whole                 *hdrhistogram.Histogram
	sent, answered, retry int
	cached, possible      int             // prompt tokens
	seen                  map[string]bool // workspaces whose system prompt was sent
}

// newTally returns an empty tally.
func newTally() *tally {
	const lowest, highest, digits = 1, int64(time.Minute), 3
	return &tally{
		first: hdrhistogram.New(lowest, highest, digits), whole: hdrhistogram.New(lowest, highest, digits),
		seen: make(map[string]bool),
	}
}

// trial is one run of a measure.
type trial struct {
	fleet   *fleetproc.Fleet
	seed    uint64
	engines int
}

// user is one caller.
type user struct {
	trial     *trial
	kind      kind
	workspace string
	name      string
	random    *rand.Rand
	client    *caller.Client
	chats     int
}

// newUser returns a caller whose choices follow from the seed.
func (t *trial) newUser(k kind, i int) *user {
	random := rand.New(rand.NewPCG(t.seed, uint64(i)))
	workspace := workspaceOf(i)
	return &user{
		trial: t, kind: k, workspace: workspace, random: random, name: fmt.Sprintf("%s-%d", k.class, i),
		client: caller.New(t.fleet.HTTP, workspace, t.fleet.EntryAddresses(), random),
	}
}

// start starts closed-loop callers of a kind that end with ctx; the returned
// function waits for their last requests.
func (t *trial) start(ctx context.Context, k kind, count, from int, into *tally) (wait func()) {
	var wg sync.WaitGroup
	for i := range count {
		u := t.newUser(k, from+i)
		wg.Go(func() {
			for u.pause(ctx) {
				u.chat(ctx, into)
			}
		})
	}
	return wg.Wait
}

// pause waits around the kind's think time and reports false when ctx ends.
func (u *user) pause(ctx context.Context) bool {
	d := time.Duration((0.5 + u.random.Float64()) * float64(u.kind.think))
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}

// chat holds one chat; a turn that fails or the end of ctx ends it.
func (u *user) chat(ctx context.Context, into *tally) {
	u.chats++
	system := text(rand.New(rand.NewPCG(u.trial.seed, engineTokens(u.workspace))), systemWords)
	messages := []engineapi.Message{
		{Role: "system", Content: u.workspace + " " + system},
		{Role: "user", Content: fmt.Sprintf("%s chat %d %s", u.name, u.chats, text(u.random, openingWords))},
	}
	token, possible := "", into.firstPossible(u.workspace, messages[0])
	for turn := 0; turn < u.kind.turns; turn++ {
		answer, err := u.turn(ctx, messages, token, into)
		if err != nil {
			return
		}
		into.answer(answer, possible)
		token, possible = answer.Token, answer.Usage.PromptTokens+answer.Usage.CompletionTokens
		messages = append(messages,
			engineapi.Message{Role: "assistant", Content: answer.Content},
			engineapi.Message{Role: "user", Content: text(u.random, followUpWords)})
		if turn+1 < u.kind.turns && !u.pause(ctx) {
			return
		}
	}
}

// turn asks for one answer. A request that has been sent is finished even when
// ctx ends.
func (u *user) turn(ctx context.Context, messages []engineapi.Message, token string, into *tally) (timedAnswer, error) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), u.kind.deadline)
	defer cancel()
	before, began := u.client.Retries(), time.Now()
	answer, err := u.client.Chat(ctx, caller.ChatCall{
		Request: engineapi.ChatRequest{Model: fleetproc.Model, Messages: messages, MaxTokens: u.kind.maxTokens},
		Class:   u.kind.class, Token: token, RequestID: fmt.Sprintf("%s-%d-%d", u.name, u.chats, len(messages)),
	})
	into.sentOne(u.client.Retries() - before)
	return timedAnswer{ChatResponse: answer, whole: time.Since(began)}, err
}

// timedAnswer is an answer with the time that the whole of it took.
type timedAnswer struct {
	caller.ChatResponse
	whole time.Duration
}

// sentOne counts a request and its further attempts.
func (t *tally) sentOne(retries int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.sent++
	t.retry += retries
}

// answer counts a whole answer. possible are the prompt tokens that the best
// placement would have found cached, with caches that lose nothing.
func (t *tally) answer(a timedAnswer, possible int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.answered++
	t.cached += a.Usage.CachedTokens
	t.possible += possible
	_ = t.first.RecordValue(int64(a.FirstToken)) // in range
	_ = t.whole.RecordValue(int64(a.whole))
}

// answers returns how many answers have come whole so far.
func (t *tally) answers() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.answered
}

// firstPossible returns the tokens of a system prompt that was sent before.
func (t *tally) firstPossible(workspace string, system engineapi.Message) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.seen[workspace] {
		t.seen[workspace] = true
		return 0
	}
	return engine.CountTokens(system.Content)
}

// engineTokens derives a number from a name.
func engineTokens(name string) uint64 {
	var n uint64
	for _, c := range name {
		n = n*31 + uint64(c)
	}
	return n
}

// words of prompts.
var words = strings.Fields("bell tone hum strike yard tower rope foundry year crack lip wool dye lot loom bale")

// text returns random words.
func text(random *rand.Rand, count int) string {
	chosen := make([]string, count)
	for i := range chosen {
		chosen[i] = words[random.IntN(len(words))]
	}
	return strings.Join(chosen, " ")
}
