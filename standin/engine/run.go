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

// job is a request accepted by the engine.
type job struct {
	id        string // ID of the stream
	requestID string // empty: none given
	priority  int
	request   engineapi.ChatRequest
	stream    *stream
}

// start registers a stream for the request and runs the request in a new
// goroutine.
func (e *Engine) start(req engineapi.ChatRequest, requestID string, priority int) *job {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.requests++
	id := requestID
	if id == "" {
		id = fmt.Sprintf("%s-%d", e.instance, e.requests)
	}
	ctx, cancel := context.WithCancel(e.lifetime)
	j := &job{id: id, requestID: requestID, priority: priority, request: req, stream: newStream(cancel)}
	e.streams[id] = j.stream
	go e.run(ctx, j)
	return j
}

// run generates the response and keeps the stream for Config.StreamRetention after
// its end.
func (e *Engine) run(ctx context.Context, j *job) {
	defer j.stream.cancel()
	err := e.generate(ctx, j)
	e.countEnd(err)
	if errors.Is(context.Cause(ctx), errCrashed) {
		err = errCrashed
	}
	j.stream.end(err)
	if e.config.StreamRetention <= 0 {
		e.removeStream(j)
		return
	}
	time.AfterFunc(e.config.StreamRetention, func() { e.removeStream(j) })
}

func (e *Engine) removeStream(j *job) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.streams[j.id] == j.stream {
		delete(e.streams, j.id)
	}
}

func (e *Engine) generate(ctx context.Context, j *job) error {
	if err := e.scheduler.acquire(ctx, j.priority); err != nil {
		return err
	}
	defer e.scheduler.release()
	usage := e.lookupPrompt(j)
	if e.causesCrash(j.request) {
		e.Crash()
		return errCrashed
	}
	uncached := usage.PromptTokens - usage.CachedTokens
	if err := e.sleep(ctx, time.Duration(uncached)*e.config.PrefillPerToken); err != nil {
		return err
	}
	words := ExpectedWords(j.request)
	for i, w := range words {
		if err := e.sleep(ctx, e.decodeDelay()); err != nil {
			return err
		}
		j.stream.append(j.tokenEvent(i, w))
	}
	usage.CompletionTokens = len(words)
	e.cacheTurn(ctx, j.request.Messages, words)
	j.stream.append(j.lastEvent(len(words), usage))
	return nil
}

// lookupPrompt looks up the prompt in the cache and counts the start of the
// request. The returned usage lacks the completion tokens.
func (e *Engine) lookupPrompt(j *job) engineapi.Usage {
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

// cacheTurn caches the prompt and its response, unless the request has been
// canceled or its process instance has crashed.
func (e *Engine) cacheTurn(ctx context.Context, prompt []engineapi.Message, words []string) {
	response := engineapi.Message{Role: roleAssistant, Content: strings.Join(words, " ")}
	e.mu.Lock()
	defer e.mu.Unlock()
	if ctx.Err() != nil {
		return
	}
	e.cache.store(append(prompt[:len(prompt):len(prompt)], response))
	e.currentLoad.CachedTokens = e.cache.tokens
	e.addSample()
}

// decodeDelay returns the time to decode one token, which grows with the batch
// size.
func (e *Engine) decodeDelay() time.Duration {
	otherRequests := float64(e.scheduler.batchSize() - 1)
	return time.Duration(float64(e.config.DecodePerToken) * (1 + otherRequests*e.config.BatchGrowth))
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
