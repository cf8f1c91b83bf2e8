package caller

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strings"

	"cassialatch.dev/outcome"
)

// ServiceCall is one call to a plain service.
type ServiceCall struct {
	Service    string
	Method     string
	Path       string // within the service, with its leading slash
	Body       []byte
	RequestID  string
	Class      string
	Idempotent bool // else the call carries a ticket
}

// ServiceResponse is a whole answer of a plain service.
type ServiceResponse struct {
	Status int
	Body   []byte
}

// Call makes one call. It repeats a call elsewhere when it has not run; a
// call with a ticket also when its outcome is unclear, with the same ticket.
// The error is an *outcome.Error.
func (c *Client) Call(ctx context.Context, call ServiceCall) (ServiceResponse, error) {
	ticket := ""
	unclear := false // an earlier attempt may have run
	attempts := retrying{client: c}
	for {
		address, giveUp := attempts.next(ctx)
		if giveUp != nil {
			return ServiceResponse{}, afterUnclear(unclear, giveUp)
		}
		if !call.Idempotent && ticket == "" {
			fresh, err := c.book.ticket(ctx)
			if err != nil {
				return ServiceResponse{}, outcome.NewNotRun(outcome.CodeNotReady, "no ticket to be had").WithCause(err)
			}
			ticket = fresh
		}
		answer, failure := c.send(ctx, address, call, ticket)
		if failure == nil {
			return answer, nil
		}
		if failure.Outcome == outcome.Unknown {
			unclear = true
		}
		failure = afterUnclear(unclear, failure)
		if !repeatable(call, failure) {
			return ServiceResponse{}, failure
		}
		if !unclear {
			ticket = "" // a ticket whose run was refused stays used
		}
		attempts.last = failure
	}
}

// afterUnclear returns what a failure says about the whole call: when an
// earlier attempt may have run, "not run" holds for the last attempt only.
func afterUnclear(unclear bool, failure *outcome.Error) *outcome.Error {
	if !unclear || failure.Outcome != outcome.NotRun {
		return failure
	}
	whole := *failure
	whole.Outcome = outcome.Unknown
	return &whole
}

// repeatable tells whether another attempt is safe and of use.
func repeatable(call ServiceCall, failure *outcome.Error) bool {
	if futile(failure.Code) {
		return false
	}
	if failure.Outcome == outcome.NotRun {
		return true
	}
	return !call.Idempotent && failure.Code != outcome.CodeExecutorGone
}

// send makes one attempt.
func (c *Client) send(ctx context.Context, address string, call ServiceCall, ticket string) (ServiceResponse, *outcome.Error) {
	url := "http://" + address + "/svc/" + call.Service + "/" + strings.TrimPrefix(call.Path, "/")
	req, err := http.NewRequestWithContext(ctx, call.Method, url, bytes.NewReader(call.Body))
	if err != nil {
		return ServiceResponse{}, outcome.NewNotRun(outcome.CodeBadRequest, "cannot build the request").WithCause(err)
	}
	c.setHeaders(ctx, req.Header, call.RequestID, call.Class)
	if len(call.Body) > 0 {
		req.Header.Set("Content-Type", "application/json")
	}
	if ticket != "" {
		req.Header.Set(outcome.HeaderTicket, ticket)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return ServiceResponse{}, failedBeforeAnswer(err)
	}
	defer resp.Body.Close()
	return readService(resp)
}

// readService reads an answer of the service, or the daemon's account of a
// failure.
func readService(resp *http.Response) (ServiceResponse, *outcome.Error) {
	switch outcome.Outcome(resp.Header.Get(outcome.HeaderOutcome)) {
	case outcome.NotRun, outcome.Unknown:
		return ServiceResponse{}, readFailure(resp)
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes))
	if err != nil {
		return ServiceResponse{}, outcome.NewUnknown(outcome.CodeResponseTruncated, "the answer was cut").WithCause(err)
	}
	switch outcome.Outcome(resp.Trailer.Get(outcome.HeaderOutcome)) {
	case outcome.NotRun, outcome.Unknown:
		return ServiceResponse{}, outcome.NewUnknown(outcome.CodeResponseTruncated, "the trailer does not say answered")
	}
	return ServiceResponse{Status: resp.StatusCode, Body: body}, nil
}
