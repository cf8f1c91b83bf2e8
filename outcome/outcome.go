// Package outcome defines the three ways in which a request can end and the
// typed errors that carry them between the daemon's parts and to callers.
package outcome

import (
	"fmt"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
)

// Outcome says what is known about a request that has ended.
type Outcome string

const (
	// Answered means that the caller received the whole answer.
	Answered Outcome = "answered"
	// NotRun means that no byte of the request can have reached a backend
	// server.
	NotRun Outcome = "not-run"
	// Unknown means that the request may have run.
	Unknown Outcome = "unknown"
)

// Code is a stable, machine-readable reason. Callers may match on it.
type Code string

// Codes towards callers.
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

// statuses maps each code to its HTTP status; a code not listed answers 502.
var statuses = map[Code]int{
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
	CodeCallerGone:          499,
	CodeInternal:            http.StatusInternalServerError,
}

// Status returns the HTTP status for a code.
func Status(c Code) int {
	if s, ok := statuses[c]; ok {
		return s
	}
	return http.StatusBadGateway
}

// Bounds of the HTTP statuses that end a request. net/http takes lower ones for
// interim answers or panics at them, as it does at higher ones.
const (
	minFinalStatus = 200
	maxStatus      = 999
)

// IsFinalStatus reports whether an HTTP status may begin an answer.
func IsFinalStatus(status int) bool { return status >= minFinalStatus && status <= maxStatus }

// Error is a failed request: its outcome, its code and when to come back.
type Error struct {
	Outcome    Outcome
	Code       Code
	Message    string
	RetryAfter time.Duration // zero: no advice
	Replan     bool          // another backend server may take the request
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

// NewNotRun returns an Error for a request that has not run.
func NewNotRun(code Code, message string) *Error {
	return &Error{Outcome: NotRun, Code: code, Message: message}
}

// NewUnknown returns an Error for a request that may have run.
func NewUnknown(code Code, message string) *Error {
	return &Error{Outcome: Unknown, Code: code, Message: message}
}

// WithCause returns a copy of e that wraps cause.
func (e *Error) WithCause(cause error) *Error {
	c := *e
	c.cause = cause
	return &c
}

// WithRetryAfter returns a copy of e that tells the caller when to return.
func (e *Error) WithRetryAfter(d time.Duration) *Error {
	c := *e
	c.RetryAfter = d
	return &c
}

// WithReplan returns a copy of e that allows another backend server.
func (e *Error) WithReplan() *Error {
	c := *e
	c.Replan = true
	return &c
}

// From returns the Error in err's chain. An error of another type is taken as
// an internal failure of unknown outcome.
func From(err error) *Error {
	var e *Error
	if errors.As(err, &e) {
		return e
	}
	return NewUnknown(CodeInternal, "internal failure").WithCause(err)
}

// Wire headers that carry outcomes and identities between callers and daemons.
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
