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

// ChatCall is one turn of a chat.
type ChatCall struct {
	Request   engineapi.ChatRequest // Stream is set by the client
	RequestID string
	Class     string // empty: the workspace's
	Token     string // chat token of the previous turn, if any
}

// ChatResponse is a whole and verified answer.
type ChatResponse struct {
	Content    string
	Usage      engineapi.Usage
	Token      string // to carry to the next turn
	Backend    string // as the daemon names it
	FirstToken time.Duration
	Gaps       []time.Duration // between events
}

// Chat posts one turn and returns its verified answer. It repeats the request
// elsewhere only when it has not run. The error is an *outcome.Error or a
// *LostError.
func (c *Client) Chat(ctx context.Context, call ChatCall) (ChatResponse, error) {
	call.Request.Stream = true
	body, err := json.Marshal(call.Request)
	if err != nil {
		return ChatResponse{}, err
	}
	began := time.Now()
	attempts := retrying{client: c}
	for {
		address, giveUp := attempts.next(ctx)
		if giveUp != nil {
			return ChatResponse{}, giveUp
		}
		resp, failure := c.postChat(ctx, address, call, body)
		if failure == nil {
			return readChat(resp, call.Request, began)
		}
		if failure.Outcome != outcome.NotRun || futile(failure.Code) {
			return ChatResponse{}, failure
		}
		attempts.last = failure
	}
}

// postChat returns the response of an answer that has begun.
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
		return nil, failedBeforeAnswer(err)
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
