package caller

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"time"

	"cassialatch.dev/outcome"
	"cassialatch.dev/wire/engineapi"
)

// ChatCall describes one turn of a chat.
type ChatCall struct {
	Request   engineapi.ChatRequest // Chat sets Stream
	RequestID string
	Class     string // empty: the default class of the workspace
	Token     string // chat token of the previous turn, if any
}

// ChatResponse is a complete and verified response.
type ChatResponse struct {
	Content    string
	Usage      engineapi.Usage
	Token      string          // to be sent with the next turn
	Backend    string          // backend named by the daemon
	FirstToken time.Duration   // from the start of Chat to the first event
	Gaps       []time.Duration // between events
}

// Chat sends one turn and returns the verified response. It retries the request
// at another daemon only if the request has not run. The error is an
// *outcome.Error, or an *InvalidResponseError if a response began but was
// incomplete or did not match the request.
func (c *Client) Chat(ctx context.Context, call ChatCall) (ChatResponse, error) {
	call.Request.Stream = true
	body, err := json.Marshal(call.Request)
	if err != nil {
		return ChatResponse{}, err
	}
	start := time.Now()
	attempts := retryState{client: c}
	for {
		address, stopErr := attempts.next(ctx)
		if stopErr != nil {
			return ChatResponse{}, stopErr
		}
		resp, failure := c.postChat(ctx, address, call, body)
		if failure == nil {
			return readChat(resp, call.Request, start)
		}
		if failure.Outcome != outcome.NotRun || isPermanentRefusal(failure.Code) {
			return ChatResponse{}, failure
		}
		attempts.last = failure
	}
}

// postChat makes one attempt and returns a response with status 200, whose body
// the caller must read and close.
func (c *Client) postChat(ctx context.Context, address string, call ChatCall, body []byte) (*http.Response, *outcome.Error) {
	url := "http://" + address + "/v1/chat/completions"
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return nil, outcome.NewNotRun(outcome.CodeBadRequest, "cannot build the request").WithCause(err)
	}
	req.Header.Set("Content-Type", "application/json")
	c.setHeaders(ctx, req.Header, call.RequestID, call.Class)
	if call.Token != "" {
		req.Header.Set(outcome.HeaderChat, call.Token)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return nil, classifyTransportError(err)
	}
	if resp.StatusCode != http.StatusOK {
		defer resp.Body.Close()
		return nil, readFailure(resp)
	}
	return resp, nil
}

func (c *Client) setHeaders(ctx context.Context, h http.Header, requestID, class string) {
	h.Set(outcome.HeaderWorkspace, c.workspace)
	h.Set(outcome.HeaderRequestID, requestID)
	if class != "" {
		h.Set(outcome.HeaderClass, class)
	}
	setDeadline(ctx, h)
}
