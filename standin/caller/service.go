package caller

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strings"

	"cassialatch.dev/outcome"
)

// ServiceCall describes one call to a plain service.
type ServiceCall struct {
	Service    string
	Method     string
	Path       string // within the service, with its leading slash
	Body       []byte
	RequestID  string
	Class      string
	Idempotent bool // if false, the call carries a ticket
}

// ServiceResponse is a complete response of a plain service.
type ServiceResponse struct {
	Status int
	Body   []byte
}

// Call makes one call. It retries the call at another daemon if it has not run. A
// call with a ticket is also retried, with the same ticket, if its outcome is
// unknown, unless the code is CodeExecutorGone. The error is an *outcome.Error.
func (c *Client) Call(ctx context.Context, call ServiceCall) (ServiceResponse, error) {
	ticket := ""
	mayHaveRun := false // an earlier attempt may have run
	attempts := retryState{client: c}
	for {
		address, stopErr := attempts.next(ctx)
		if stopErr != nil {
			return ServiceResponse{}, combineOutcomes(mayHaveRun, stopErr)
		}
		if !call.Idempotent && ticket == "" {
			newTicket, err := c.addressBook.ticket(ctx)
			if err != nil {
				return ServiceResponse{}, outcome.NewNotRun(outcome.CodeNotReady, "no ticket available").WithCause(err)
			}
			ticket = newTicket
		}
		response, failure := c.send(ctx, address, call, ticket)
		if failure == nil {
			return response, nil
		}
		if failure.Outcome == outcome.Unknown {
			mayHaveRun = true
		}
		failure = combineOutcomes(mayHaveRun, failure)
		if !canRetry(call, failure) {
			return ServiceResponse{}, failure
		}
		if !mayHaveRun {
			ticket = "" // a ticket cannot be used again after a refusal
		}
		attempts.last = failure
	}
}

// combineOutcomes returns the outcome of all attempts together: if an earlier
// attempt may have run, NotRun holds for the last attempt only and the call's
// outcome is Unknown.
func combineOutcomes(mayHaveRun bool, failure *outcome.Error) *outcome.Error {
	if !mayHaveRun || failure.Outcome != outcome.NotRun {
		return failure
	}
	combined := *failure
	combined.Outcome = outcome.Unknown
	return &combined
}

// canRetry reports whether another attempt is safe and may succeed.
func canRetry(call ServiceCall, failure *outcome.Error) bool {
	if isPermanentRefusal(failure.Code) {
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
		return ServiceResponse{}, classifyTransportError(err)
	}
	defer resp.Body.Close()
	return readService(resp)
}

// readService reads a response of the service, or the daemon's description of a
// failure.
func readService(resp *http.Response) (ServiceResponse, *outcome.Error) {
	switch outcome.Outcome(resp.Header.Get(outcome.HeaderOutcome)) {
	case outcome.NotRun, outcome.Unknown:
		return ServiceResponse{}, readFailure(resp)
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	if err != nil {
		return ServiceResponse{}, outcome.NewUnknown(outcome.CodeResponseTruncated, "connection closed before the end of the response").WithCause(err)
	}
	switch outcome.Outcome(resp.Trailer.Get(outcome.HeaderOutcome)) {
	case outcome.NotRun, outcome.Unknown:
		return ServiceResponse{}, outcome.NewUnknown(outcome.CodeResponseTruncated, "trailer reports that the response is incomplete")
	}
	return ServiceResponse{Status: resp.StatusCode, Body: body}, nil
}
