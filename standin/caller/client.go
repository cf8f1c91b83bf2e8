// Package caller implements a client of cassialatch. It fetches the addresses of
// the daemons from an entry address, connects to the daemons directly, verifies
// every response and retries a request only where that is safe.
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
	maxAttempts      = 8
	initialBackoff   = 10 * time.Millisecond
	maxBackoff       = 500 * time.Millisecond
	maxResponseBytes = 16 << 20
	maxErrorBytes    = 64 << 10
	connsPerAddress  = 256
)

// Client makes requests for one workspace. It is not safe for concurrent use,
// but several Clients may share an http.Client.
type Client struct {
	http        *http.Client
	workspace   string
	random      *rand.Rand
	addressBook *addressBook
	retries     int
}

// NewHTTPClient returns an http.Client that many Clients can share.
func NewHTTPClient() *http.Client {
	return &http.Client{Transport: &http.Transport{
		MaxIdleConnsPerHost: connsPerAddress,
		DisableCompression:  true,
	}}
}

// New returns a Client that fetches daemon addresses from the given entry
// addresses, each host:port. It draws jitter and the order of the entry addresses
// from random.
func New(h *http.Client, workspace string, entries []string, random *rand.Rand) *Client {
	return &Client{http: h, workspace: workspace, random: random, addressBook: newAddressBook(h, workspace, entries, random)}
}

// Retries returns the number of attempts so far beyond the first attempt of each
// request.
func (c *Client) Retries() int { return c.retries }

// retryState tracks the attempts of one request.
type retryState struct {
	client  *Client
	attempt int
	last    *outcome.Error // of the previous attempt
}

// next waits for the backoff, if any, and returns the address for the next
// attempt, or an error if there is to be none.
func (r *retryState) next(ctx context.Context) (string, *outcome.Error) {
	if r.attempt >= maxAttempts {
		return "", r.last
	}
	if r.attempt > 0 {
		r.client.retries++
		if !r.wait(ctx) {
			return "", r.last
		}
	}
	addresses, err := r.client.addressBook.addresses(ctx)
	if err != nil {
		return "", outcome.NewNotRun(outcome.CodeNotReady, "no entry address responded").WithCause(err)
	}
	address := addresses[r.attempt%len(addresses)]
	r.attempt++
	return address, nil
}

// wait sleeps for the Retry-After of the last failure or, without one, for an
// exponential backoff with jitter. It reports false if the context ends first.
func (r *retryState) wait(ctx context.Context) bool {
	pause := min(maxBackoff, initialBackoff<<min(r.attempt, maxAttempts))
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

// classifyTransportError classifies an error of http.Client.Do: a request has not
// run only if the connection could not be established.
func classifyTransportError(err error) *outcome.Error {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return outcome.NewNotRun(outcome.CodeNotReady, "cannot connect").WithCause(err)
	}
	return outcome.NewUnknown(outcome.CodePeerFailed, "connection failed before a response").WithCause(err)
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

// readFailure reads the daemon's description of a failed request. Any outcome
// other than NotRun is treated as Unknown.
func readFailure(resp *http.Response) *outcome.Error {
	var body errorBody
	// Without a readable body, the headers alone describe the failure.
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

// isPermanentRefusal reports whether every further attempt would be refused for
// the same reason.
func isPermanentRefusal(code outcome.Code) bool {
	switch code {
	case outcome.CodeBadRequest, outcome.CodeBodyTooLarge, outcome.CodeHeaderTooLarge,
		outcome.CodeUnknownModel, outcome.CodeUnknownWorkspace, outcome.CodeUnknownService,
		outcome.CodeForbidden, outcome.CodeQuarantined, outcome.CodeDeadlineExceeded, outcome.CodeTicketRequired:
		return true
	default:
		return false
	}
}

// setDeadline sets the deadline header to the number of milliseconds that remain
// until the context's deadline, if it has one.
func setDeadline(ctx context.Context, h http.Header) {
	if deadline, ok := ctx.Deadline(); ok {
		h.Set(outcome.HeaderDeadline, strconv.FormatInt(time.Until(deadline).Milliseconds(), 10))
	}
}

// Defect classifies a response that began but is incomplete or does not belong to
// the request.
type Defect string

// Defects. Their values appear in error messages.
const (
	DefectAborted    Defect = "cut"       // the connection or the daemon ended the response early
	DefectTruncated  Defect = "truncated" // it ended cleanly, but is incomplete
	DefectMismatched Defect = "crossed"   // it is not the response to this request
)

// InvalidResponseError reports a response that began but was not the complete
// response to the request.
type InvalidResponseError struct {
	Defect Defect
	Detail string
	cause  error
}

// Error implements error.
func (e *InvalidResponseError) Error() string {
	text := "response " + string(e.Defect) + ": " + e.Detail
	if e.cause != nil {
		text += ": " + e.cause.Error()
	}
	return text
}

// Unwrap returns the cause, if any.
func (e *InvalidResponseError) Unwrap() error { return e.cause }
