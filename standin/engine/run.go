package engine

import (
	"context"
	"fmt"
	"strings"
	"time"

	"cassialatch.dev/wire/engineapi"
	"github.com/cockroachdb/errors"
)

const (
	roleAssistant = "assistant"
	finishStop    = "stop"
)

// job is one request as the engine runs it.
type job struct {
	id        string // of the stream
	requestID string // empty: the caller gave none
	priority  int
	request   engineapi.ChatRequest
	stream    *stream
}

// start registers a stream for the request and runs it.
func (e *Engine) start(req engineapi.ChatRequest, requestID string, priority int) *job {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.requests++
	id := requestID
	if id == "" {
		id = fmt.Sprintf("%s-%d", e.instance, e.requests)
	}
	ctx, cancel := context.WithCancel(e.life)
	j := &job{id: id, requestID: requestID, priority: priority, request: req, stream: newStream(cancel)}
	e.streams[id] = j.stream
	go e.run(ctx, j)
	return j
}

// run answers the request and keeps the stream for a while afterwards.
func (e *Engine) run(ctx context.Context, j *job) {
	defer j.stream.cancel()
	err := e.answer(ctx, j)
	e.countEnd(err)
	if errors.Is(context.Cause(ctx), errCrashed) {
		err = errCrashed
	}
	j.stream.end(err)
	if e.config.StreamRetention <= 0 {
		e.forget(j)
		return
	}
	time.AfterFunc(e.config.StreamRetention, func() { e.forget(j) })
}

func (e *Engine) forget(j *job) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.streams[j.id] == j.stream {
		delete(e.streams, j.id)
	}
}

func (e *Engine) answer(ctx context.Context, j *job) error {
	if err := e.scheduler.acquire(ctx, j.priority); err != nil {
		return err
	}
	defer e.scheduler.release()
	usage := e.prefill(j)
	if e.crashes(j.request) {
		e.Crash()
		return errCrashed
	}
	uncached := usage.PromptTokens - usage.CachedTokens
	if err := e.sleep(ctx, time.Duration(uncached)*e.config.PrefillPerToken); err != nil {
		return err
	}
	words := ExpectedWords(j.request)
	for i, w := range words {
		if err := e.sleep(ctx, e.decodeTime()); err != nil {
			return err
		}
		j.stream.append(j.tokenEvent(i, w))
	}
	usage.CompletionTokens = len(words)
	e.remember(ctx, j.request.Messages, words)
	j.stream.append(j.lastEvent(len(words), usage))
	return nil
}

// prefill looks the prompt up in the cache and counts the start.
func (e *Engine) prefill(j *job) engineapi.Usage {
	e.mu.Lock()
	defer e.mu.Unlock()
	var usage engineapi.Usage
	for _, m := range j.request.Messages {
		usage.PromptTokens += CountTokens(m.Content)
	}
	usage.CachedTokens = e.cache.lookup(j.request.Messages)
	e.countStart(j.requestID, usage.PromptTokens, usage.CachedTokens)
	return usage
}

// remember caches the prompt with its answer, unless the engine that ran it
// has crashed.
func (e *Engine) remember(ctx context.Context, prompt []engineapi.Message, words []string) {
	answer := engineapi.Message{Role: roleAssistant, Content: strings.Join(words, " ")}
	e.mu.Lock()
	defer e.mu.Unlock()
	if ctx.Err() != nil {
		return
	}
	e.cache.store(append(prompt[:len(prompt):len(prompt)], answer))
	e.load.CachedTokens = e.cache.tokens
	e.sample()
}

// decodeTime is the time of one token, which grows with the batch.
func (e *Engine) decodeTime() time.Duration {
	others := float64(e.scheduler.batch() - 1)
	return time.Duration(float64(e.config.DecodePerToken) * (1 + others*e.config.BatchGrowth))
}

func (e *Engine) sleep(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(e.scaled(d))
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (j *job) tokenEvent(i int, word string) engineapi.StreamEvent {
	delta := engineapi.Message{Content: " " + word}
	if i == 0 {
		delta = engineapi.Message{Role: roleAssistant, Content: word}
	}
	return j.event(i, engineapi.Choice{Delta: &delta})
}

func (j *job) lastEvent(i int, usage engineapi.Usage) engineapi.StreamEvent {
	event := j.event(i, engineapi.Choice{Delta: &engineapi.Message{}, FinishReason: finishStop})
	event.Usage = &usage
	return event
}

func (j *job) event(i int, c engineapi.Choice) engineapi.StreamEvent {
	return engineapi.StreamEvent{ID: j.id, Model: j.request.Model, Seq: i, Choices: []engineapi.Choice{c}}
}
