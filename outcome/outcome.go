// Package outcome defines the outcomes of a request, the error codes that are
// returned to callers with their HTTP statuses, and the names of the headers
// that callers and daemons exchange. An Error may be shared between goroutines
// as long as its fields are not changed; its With methods return copies.
package outcome

import (
	"fmt"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
)

// Outcome states whether a request that has ended was run.
type Outcome string

const (
	// Answered means that the caller received the complete response.
	Answered Outcome = "answered"
	// NotRun means that no byte of the request can have reached a backend
	// server, so a retry is safe.
	NotRun Outcome = "not-run"
	// Unknown means that a backend server may have run the request.
	Unknown Outcome = "unknown"
)

// Code is the machine-readable reason for a failure. The values are stable, so
// callers may match on them.
type Code string

// Codes that are returned to callers.
const (
	CodeBadRequest          Code = "bad_request"
	CodeBodyTooLarge        Code = "body_too_large"
	CodeHeaderTooLarge      Code = "header_too_large"
	CodeUnknownModel        Code = "unknown_model"
	CodeUnknownWorkspace    Code = "unknown_workspace"
	CodeUnknownService      Code = "unknown_service"
	CodeForbidden           Code = "forbidden"
	CodeCallerTimeout       Code = "caller_timeout"
	CodeRateLimited         Code = "rate_limited"
	CodeOverloaded          Code = "overloaded"
	CodeNoBackend           Code = "no_backend_server"
	CodeDeadlineExceeded    Code = "deadline_exceeded"
	CodeQuarantined         Code = "quarantined"
	CodeTicketRequired      Code = "ticket_required"
	CodeTicketInvalid       Code = "ticket_invalid"
	CodeTicketExpired       Code = "ticket_expired"
	CodeTicketVoided        Code = "ticket_voided"
	CodeTicketInUse         Code = "ticket_in_use"
	CodeExecutorGone        Code = "executor_gone"
	CodeExecutorUnreachable Code = "executor_unreachable"
	CodeBackendFailed       Code = "backend_failed"
	CodeResponseTruncated   Code = "answer_truncated"
	CodeResponseMismatch    Code = "answer_crossed"
	CodeNotHome             Code = "not_home"
	CodeLoadLimit           Code = "load_limit"
	CodeBackendLeaving      Code = "backend_leaving"
	CodePeerFailed          Code = "peer_failed"
	CodeNotReady            Code = "not_ready"
	CodeDraining            Code = "draining"
	CodeCallerGone          Code = "caller_gone"
	CodeInternal            Code = "internal"
)

// statusByCode maps codes to HTTP statuses. Codes without an entry map to 502 (Bad
// Gateway).
var statusByCode = map[Code]int{
	CodeBadRequest:          http.StatusBadRequest,
	CodeBodyTooLarge:        http.StatusRequestEntityTooLarge,
	CodeHeaderTooLarge:      http.StatusRequestHeaderFieldsTooLarge,
	CodeUnknownModel:        http.StatusNotFound,
	CodeUnknownWorkspace:    http.StatusForbidden,
	CodeUnknownService:      http.StatusNotFound,
	CodeForbidden:           http.StatusForbidden,
	CodeCallerTimeout:       http.StatusRequestTimeout,
	CodeRateLimited:         http.StatusTooManyRequests,
	CodeOverloaded:          http.StatusServiceUnavailable,
	CodeNoBackend:           http.StatusServiceUnavailable,
	CodeDeadlineExceeded:    http.StatusGatewayTimeout,
	CodeQuarantined:         http.StatusUnprocessableEntity,
	CodeTicketRequired:      http.StatusPreconditionRequired,
	CodeTicketInvalid:       http.StatusForbidden,
	CodeTicketExpired:       http.StatusPreconditionFailed,
	CodeTicketVoided:        http.StatusPreconditionFailed,
	CodeTicketInUse:         http.StatusConflict,
	CodeExecutorGone:        http.StatusGatewayTimeout,
	CodeExecutorUnreachable: http.StatusGatewayTimeout,
	CodeNotReady:            http.StatusServiceUnavailable,
	CodeDraining:            http.StatusServiceUnavailable,
	CodeCallerGone:          499, // nginx's "client closed request"
	CodeInternal:            http.StatusInternalServerError,
}

// Status returns the HTTP status of a response that reports the code.
func Status(c Code) int {
	if s, ok := statusByCode[c]; ok {
		return s
	}
	return http.StatusBadGateway
}

// Range of the HTTP statuses of final responses. net/http sends a status from
// 100 to 199 as an interim response, and panics if it is below 100 or above 999.
const (
	minFinalStatus = 200
	maxStatus      = 999
)

// IsFinalStatus reports whether an HTTP status is valid for a final response.
func IsFinalStatus(status int) bool { return status >= minFinalStatus && status <= maxStatus }

// Error describes why a request failed and whether it may have run.
type Error struct {
	Outcome    Outcome
	Code       Code
	Message    string
	RetryAfter time.Duration // minimum delay before the caller retries; zero: unspecified
	Replan     bool          // the request may be placed on another backend server
	cause      error
}

// Error implements error.
func (e *Error) Error() string {
	if e.cause != nil {
		return fmt.Sprintf("%s: %s (%s): %v", e.Code, e.Message, e.Outcome, e.cause)
	}
	return fmt.Sprintf("%s: %s (%s)", e.Code, e.Message, e.Outcome)
}

// Unwrap returns the cause, if any.
func (e *Error) Unwrap() error { return e.cause }

// NewNotRun returns an Error with the outcome NotRun.
func NewNotRun(code Code, message string) *Error {
	return &Error{Outcome: NotRun, Code: code, Message: message}
}

// NewUnknown returns an Error with the outcome Unknown.
func NewUnknown(code Code, message string) *Error {
	return &Error{Outcome: Unknown, Code: code, Message: message}
}

// WithCause returns a copy of e that wraps cause.
func (e *Error) WithCause(cause error) *Error {
	c := *e
	c.cause = cause
	return &c
}

// WithRetryAfter returns a copy of e that asks the caller to wait for d before
// it retries.
func (e *Error) WithRetryAfter(d time.Duration) *Error {
	c := *e
	c.RetryAfter = d
	return &c
}

// WithReplan returns a copy of e that allows the request to be placed on another
// backend server.
func (e *Error) WithReplan() *Error {
	c := *e
	c.Replan = true
	return &c
}

// From returns the first *Error in err's chain. If there is none, it wraps err
// in an Error with CodeInternal and the outcome Unknown.
func From(err error) *Error {
	var e *Error
	if errors.As(err, &e) {
		return e
	}
	return NewUnknown(CodeInternal, "internal failure").WithCause(err)
}

// HTTP headers that callers and daemons exchange.
const (
	HeaderOutcome        = "Cassialatch-Outcome"
	HeaderCode           = "Cassialatch-Code"
	HeaderWorkspace      = "Cassialatch-Workspace"
	HeaderChat           = "Cassialatch-Chat"
	HeaderTicket         = "Cassialatch-Ticket"
	HeaderClass          = "Cassialatch-Class"
	HeaderBackend        = "Cassialatch-Backend"
	HeaderRequestID      = "X-Request-Id"
	HeaderIdempotencyKey = "Idempotency-Key"
	HeaderDeadline       = "Cassialatch-Deadline-Ms"
)
