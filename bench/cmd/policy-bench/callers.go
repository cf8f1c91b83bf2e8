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

// Numbers of words in the parts of a prompt.
const (
	systemWords   = 60
	openingWords  = 30
	followUpWords = 20
)

// workload describes the chats of one group of callers.
type workload struct {
	class     string
	turns     int
	maxTokens int
	thinkTime time.Duration // mean pause before each turn
	deadline  time.Duration
}

// Workloads of the measures.
var (
	shortWorkload = workload{class: "short", turns: 1, maxTokens: 8, thinkTime: 300 * time.Millisecond, deadline: 15 * time.Second}
	chatWorkload  = workload{class: "chat", turns: 5, maxTokens: 16, thinkTime: 300 * time.Millisecond, deadline: 15 * time.Second}
	longWorkload  = workload{class: "long", turns: 1, maxTokens: 150, thinkTime: 50 * time.Millisecond, deadline: 20 * time.Second}
	peakWorkload  = workload{class: "chat", turns: 1, maxTokens: 16, deadline: 4 * time.Second}
)

// callerStats aggregates what callers observe. It is safe for concurrent use
// while callers run; the fields may be read directly after they have finished.
type callerStats struct {
	mu                            sync.Mutex
	firstToken                    *hdrhistogram.Histogram
	total                         *hdrhistogram.Histogram
	sent, responses, retries      int
	cachedTokens, cacheableTokens int             // prompt tokens: cached by the engines, and cacheable at best
	seenWorkspaces                map[string]bool // workspaces whose system prompt was sent
}

// newCallerStats returns empty statistics.
func newCallerStats() *callerStats {
	const lowest, highest, digits = 1, int64(time.Minute), 3
	return &callerStats{
		firstToken: hdrhistogram.New(lowest, highest, digits), total: hdrhistogram.New(lowest, highest, digits),
		seenWorkspaces: make(map[string]bool),
	}
}

// trial is the environment in which one measure runs.
type trial struct {
	fleet   *fleetproc.Fleet
	seed    uint64
	engines int
}

// user is one simulated caller. It is not safe for concurrent use.
type user struct {
	trial     *trial
	workload  workload
	workspace string
	name      string
	random    *rand.Rand
	client    *caller.Client
	chats     int
}

// newUser returns the i-th user. Its random choices depend only on the seed
// and on i.
func (t *trial) newUser(w workload, i int) *user {
	random := rand.New(rand.NewPCG(t.seed, uint64(i)))
	workspace := workspaceOf(i)
	return &user{
		trial: t, workload: w, workspace: workspace, random: random, name: fmt.Sprintf("%s-%d", w.class, i),
		client: caller.New(t.fleet.HTTP, workspace, t.fleet.EntryAddresses(), random),
	}
}

// startClosedLoop starts users of a workload that send one request after another
// until ctx is done. The returned function waits for their last requests.
func (t *trial) startClosedLoop(ctx context.Context, w workload, count, from int, stats *callerStats) (wait func()) {
	var wg sync.WaitGroup
	for i := range count {
		u := t.newUser(w, from+i)
		wg.Go(func() {
			for u.pause(ctx) {
				u.chat(ctx, stats)
			}
		})
	}
	return wg.Wait
}

// pause waits for a random time around the workload's think time. It returns
// false if ctx is done first.
func (u *user) pause(ctx context.Context) bool {
	d := time.Duration((0.5 + u.random.Float64()) * float64(u.workload.thinkTime))
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}

// chat sends the turns of one chat. It stops early if a turn fails or ctx is
// done.
func (u *user) chat(ctx context.Context, stats *callerStats) {
	u.chats++
	system := randomText(rand.New(rand.NewPCG(u.trial.seed, hashName(u.workspace))), systemWords)
	messages := []engineapi.Message{
		{Role: "system", Content: u.workspace + " " + system},
		{Role: "user", Content: fmt.Sprintf("%s chat %d %s", u.name, u.chats, randomText(u.random, openingWords))},
	}
	token, cacheableTokens := "", stats.cacheableSystemTokens(u.workspace, messages[0])
	for turn := 0; turn < u.workload.turns; turn++ {
		response, err := u.turn(ctx, messages, token, stats)
		if err != nil {
			return
		}
		stats.recordResponse(response, cacheableTokens)
		token, cacheableTokens = response.Token, response.Usage.PromptTokens+response.Usage.CompletionTokens
		messages = append(messages,
			engineapi.Message{Role: "assistant", Content: response.Content},
			engineapi.Message{Role: "user", Content: randomText(u.random, followUpWords)})
		if turn+1 < u.workload.turns && !u.pause(ctx) {
			return
		}
	}
}

// turn sends one request and waits for its response. A request that has been
// sent is not cancelled when ctx is done.
func (u *user) turn(ctx context.Context, messages []engineapi.Message, token string, stats *callerStats) (timedResponse, error) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), u.workload.deadline)
	defer cancel()
	before, began := u.client.Retries(), time.Now()
	response, err := u.client.Chat(ctx, caller.ChatCall{
		Request: engineapi.ChatRequest{Model: fleetproc.Model, Messages: messages, MaxTokens: u.workload.maxTokens},
		Class:   u.workload.class, Token: token, RequestID: fmt.Sprintf("%s-%d-%d", u.name, u.chats, len(messages)),
	})
	stats.recordRequest(u.client.Retries() - before)
	return timedResponse{ChatResponse: response, total: time.Since(began)}, err
}

// timedResponse is a response with the time until it was complete.
type timedResponse struct {
	caller.ChatResponse
	total time.Duration
}

// recordRequest counts a request and its retries.
func (s *callerStats) recordRequest(retries int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sent++
	s.retries += retries
}

// recordResponse records a complete response. cacheableTokens is the number of
// prompt tokens that an ideal placement would have found cached if caches never
// evicted anything.
func (s *callerStats) recordResponse(resp timedResponse, cacheableTokens int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.responses++
	s.cachedTokens += resp.Usage.CachedTokens
	s.cacheableTokens += cacheableTokens
	_ = s.firstToken.RecordValue(int64(resp.FirstToken)) // cannot fail: below the histogram's maximum
	_ = s.total.RecordValue(int64(resp.total))
}

// responseCount returns the number of complete responses so far.
func (s *callerStats) responseCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.responses
}

// cacheableSystemTokens returns the number of tokens of a workspace's system
// prompt, or 0 at its first use, when no engine can have it cached.
func (s *callerStats) cacheableSystemTokens(workspace string, system engineapi.Message) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.seenWorkspaces[workspace] {
		s.seenWorkspaces[workspace] = true
		return 0
	}
	return engine.CountTokens(system.Content)
}

// hashName returns a hash of a name, for seeding.
func hashName(name string) uint64 {
	var n uint64
	for _, c := range name {
		n = n*31 + uint64(c)
	}
	return n
}

// words is the vocabulary of prompts.
var words = strings.Fields("bell tone hum strike yard tower rope foundry year crack lip wool dye lot loom bale")

// randomText returns count random words.
func randomText(random *rand.Rand, count int) string {
	chosen := make([]string, count)
	for i := range chosen {
		chosen[i] = words[random.IntN(len(words))]
	}
	return strings.Join(chosen, " ")
}
