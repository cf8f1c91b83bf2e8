package main

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"cassialatch.dev/outcome"
	"cassialatch.dev/standin/caller"
	"cassialatch.dev/wire/engineapi"
)

// answer is what a caller saw of one answer.
type answer struct {
	first time.Duration   // until the first event
	gaps  []time.Duration // between events
}

// errIncomplete is an answer without its end mark.
var errIncomplete = errors.New("answer without an end mark")

// ask sends one chat straight to an address, daemon or engine, and reads the
// answer to its end.
func ask(ctx context.Context, h *http.Client, address string, chat engineapi.ChatRequest) (answer, error) {
	body, err := json.Marshal(chat)
	if err != nil {
		return answer{}, err
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/v1/chat/completions", bytes.NewReader(body))
	if err != nil {
		return answer{}, err
	}
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set(outcome.HeaderWorkspace, "bench")
	began := time.Now()
	resp, err := h.Do(req)
	if err != nil {
		return answer{}, err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return answer{}, &caller.StatusError{Status: resp.StatusCode}
	}
	return readAnswer(bufio.NewReader(resp.Body), began)
}

// readAnswer reads events until the end of the body.
func readAnswer(body *bufio.Reader, began time.Time) (answer, error) {
	var a answer
	last := began
	done := false
	for {
		line, err := body.ReadString('\n')
		if err != nil {
			if done {
				return a, nil
			}
			return a, errors.CombineErrors(errIncomplete, err)
		}
		data, ok := strings.CutPrefix(strings.TrimSpace(line), "data: ")
		if !ok {
			continue
		}
		now := time.Now()
		switch {
		case data == engineapi.StreamDone:
			done = true
		case a.first == 0:
			a.first = now.Sub(began)
		default:
			a.gaps = append(a.gaps, now.Sub(last))
		}
		last = now
	}
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
