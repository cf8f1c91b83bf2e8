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

// response holds the times that a caller observed in one streamed response.
type response struct {
	firstToken time.Duration   // from sending the request to the first event
	tokenGaps  []time.Duration // between consecutive events
}

// errIncomplete is the error for a stream that ends without its end marker.
var errIncomplete = errors.New("response stream ended without the end marker")

// sendChat sends one chat request to a daemon or an engine and reads the response
// to its end.
func sendChat(ctx context.Context, h *http.Client, address string, chat engineapi.ChatRequest) (response, error) {
	body, err := json.Marshal(chat)
	if err != nil {
		return response{}, err
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/v1/chat/completions", bytes.NewReader(body))
	if err != nil {
		return response{}, err
	}
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set(outcome.HeaderWorkspace, "bench")
	sentAt := time.Now()
	resp, err := h.Do(req)
	if err != nil {
		return response{}, err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return response{}, &caller.StatusError{Status: resp.StatusCode}
	}
	return readResponse(bufio.NewReader(resp.Body), sentAt)
}

// readResponse reads events until the end of the body.
func readResponse(body *bufio.Reader, sentAt time.Time) (response, error) {
	var resp response
	last := sentAt
	done := false
	for {
		line, err := body.ReadString('\n')
		if err != nil {
			if done {
				return resp, nil
			}
			return resp, errors.CombineErrors(errIncomplete, err)
		}
		data, ok := strings.CutPrefix(strings.TrimSpace(line), "data: ")
		if !ok {
			continue
		}
		now := time.Now()
		switch {
		case data == engineapi.StreamDone:
			done = true
		case resp.firstToken == 0:
			resp.firstToken = now.Sub(sentAt)
		default:
			resp.tokenGaps = append(resp.tokenGaps, now.Sub(last))
		}
		last = now
	}
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
