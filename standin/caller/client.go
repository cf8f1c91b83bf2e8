// Package caller is a caller of cassialatch: it asks which daemons to use,
// connects to them itself, verifies every answer, and repeats a request only
// where that is safe.
package caller

import (
	"context"
	"encoding/json"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"time"

	"cassialatch.dev/outcome"
	"github.com/cockroachdb/errors"
)

const (
	maxAttempts     = 8
	firstBackoff    = 10 * time.Millisecond
	maxBackoff      = 500 * time.Millisecond
	maxAnswerBytes  = 16 << 20
	maxErrorBytes   = 64 << 10
	connsPerAddress = 256
)

// Client is one caller in one workspace. It is not safe for concurrent use;
// many clients may share an http.Client.
type Client struct {
	http      *http.Client
	workspace string
	random    *rand.Rand
	book      *addressBook
	retries   int
}

// NewHTTPClient returns an http.Client fit to be shared by many clients.
func NewHTTPClient() *http.Client {
	return &http.Client{Transport: &http.Transport{
		MaxIdleConnsPerHost: connsPerAddress,
		DisableCompression:  true,
	}}
}

// New returns a caller that knows the given entry addresses, host:port.
func New(h *http.Client, workspace string, entries []string, random *rand.Rand) *Client {
	return &Client{http: h, workspace: workspace, random: random, book: newAddressBook(h, workspace, entries, random)}
}

// Retries returns how many attempts followed the first ones so far.
func (c *Client) Retries() int { return c.retries }

// retrying is the state of one request over its attempts.
type retrying struct {
	client  *Client
	attempt int
	last    *outcome.Error
}

// next waits before the next attempt and returns the address to use, or the
// reason to give up.
func (r *retrying) next(ctx context.Context) (string, *outcome.Error) {
	if r.attempt >= maxAttempts {
		return "", r.last
	}
	if r.attempt > 0 {
		r.client.retries++
		if !r.wait(ctx) {
			return "", r.last
		}
	}
	addresses, err := r.client.book.addresses(ctx)
	if err != nil {
		return "", outcome.NewNotRun(outcome.CodeNotReady, "no entry address answers").WithCause(err)
	}
	address := addresses[r.attempt%len(addresses)]
	r.attempt++
	return address, nil
}

// wait pauses as long as the last failure advises, else backs off; it reports
// false when the context ends first.
func (r *retrying) wait(ctx context.Context) bool {
	pause := min(maxBackoff, firstBackoff<<min(r.attempt, maxAttempts))
	pause = pause/2 + time.Duration(r.client.random.Int64N(int64(pause)))
	if r.last.RetryAfter > 0 {
		pause = r.last.RetryAfter
	}
	timer := time.NewTimer(pause)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// failedBeforeAnswer classifies an error of http.Client.Do.
func failedBeforeAnswer(err error) *outcome.Error {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return outcome.NewNotRun(outcome.CodeNotReady, "cannot connect").WithCause(err)
	}
	return outcome.NewUnknown(outcome.CodePeerFailed, "connection failed before an answer").WithCause(err)
}

// errorBody is the body of a failed request.
type errorBody struct {
	Error struct {
		Code         outcome.Code    `json:"code"`
		Message      string          `json:"message"`
		Outcome      outcome.Outcome `json:"outcome"`
		RetryAfterMs int64           `json:"retry_after_ms"`
	} `json:"error"`
}

// readFailure reads the daemon's account of a failed request. Whatever does
// not say "not run" is taken as unknown.
func readFailure(resp *http.Response) *outcome.Error {
	var body errorBody
	// A body that cannot be read leaves what the headers say.
	_ = json.NewDecoder(io.LimitReader(resp.Body, maxErrorBytes)).Decode(&body)
	failure := &outcome.Error{
		Outcome:    outcome.Outcome(resp.Header.Get(outcome.HeaderOutcome)),
		Code:       outcome.Code(resp.Header.Get(outcome.HeaderCode)),
		Message:    body.Error.Message,
		RetryAfter: retryAfter(resp, body),
	}
	if failure.Outcome != outcome.NotRun {
		failure.Outcome = outcome.Unknown
	}
	if failure.Code == "" {
		failure.Code = outcome.Code("status_" + strconv.Itoa(resp.StatusCode))
	}
	return failure
}

func retryAfter(resp *http.Response, body errorBody) time.Duration {
	if body.Error.RetryAfterMs > 0 {
		return time.Duration(body.Error.RetryAfterMs) * time.Millisecond
	}
	seconds, err := strconv.Atoi(resp.Header.Get("Retry-After"))
	if err != nil {
		return 0
	}
	return time.Duration(seconds) * time.Second
}

// futile tells whether a refusal would be the same at any other attempt.
func futile(code outcome.Code) bool {
	switch code {
	case outcome.CodeBadRequest, outcome.CodeBodyTooLarge, outcome.CodeHeaderTooLarge,
		outcome.CodeUnknownModel, outcome.CodeUnknownWorkspace, outcome.CodeUnknownService,
		outcome.CodeForbidden, outcome.CodeQuarantined, outcome.CodeDeadlineExceeded, outcome.CodeTicketRequired:
		return true
	default:
		return false
	}
}

// setDeadline tells the daemon how long the caller will wait.
func setDeadline(ctx context.Context, h http.Header) {
	if deadline, ok := ctx.Deadline(); ok {
		h.Set(outcome.HeaderDeadline, strconv.FormatInt(time.Until(deadline).Milliseconds(), 10))
	}
}

// Defect is a way in which an answer that began was not whole.
type Defect string

// Losses.
const (
	DefectAborted    Defect = "cut"       // the connection ended within the answer
	DefectTruncated  Defect = "truncated" // a clean end before the answer was whole
	DefectMismatched Defect = "crossed"   // not the answer to this request
)

// InvalidResponseError is an answer that began and was not the caller's whole answer.
type InvalidResponseError struct {
	Defect Defect
	Detail string
	cause  error
}

// Error implements error.
func (e *InvalidResponseError) Error() string {
	text := "answer " + string(e.Defect) + ": " + e.Detail
	if e.cause != nil {
		text += ": " + e.cause.Error()
	}
	return text
}

// Unwrap returns the cause, if any.
func (e *InvalidResponseError) Unwrap() error { return e.cause }
