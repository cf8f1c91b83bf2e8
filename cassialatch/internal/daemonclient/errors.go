package daemonclient

import (
	"fmt"

	"cassialatch.dev/cassialatch/internal/command"
)

// UnreachableError reports that no response came from the daemon.
type UnreachableError struct {
	Address string
	cause   error
}

// Error implements error.
func (e *UnreachableError) Error() string {
	return fmt.Sprintf("daemon %s is unreachable: %v", e.Address, e.cause)
}

// Unwrap returns the cause.
func (e *UnreachableError) Unwrap() error { return e.cause }

// ExitCode implements command.ExitCoder.
func (e *UnreachableError) ExitCode() command.ExitCode { return command.ExitUnreachable }

// StatusError reports that the daemon responded with a status other than 2xx.
type StatusError struct {
	Status  int // HTTP status code
	Code    string
	Message string
}

// Error implements error.
func (e *StatusError) Error() string {
	return fmt.Sprintf("daemon refused: %s: %s (HTTP status %d)", e.Code, e.Message, e.Status)
}

// ExitCode implements command.ExitCoder.
func (e *StatusError) ExitCode() command.ExitCode { return command.ExitFailed }

// InvalidResponseError reports that the response of the daemon could not be read
// or decoded. The call may have taken effect.
type InvalidResponseError struct {
	Path  string
	cause error
}

// Error implements error.
func (e *InvalidResponseError) Error() string {
	return fmt.Sprintf("answer to %s cannot be read, the call may have taken effect: %v", e.Path, e.cause)
}

// Unwrap returns the cause.
func (e *InvalidResponseError) Unwrap() error { return e.cause }

// ExitCode implements command.ExitCoder.
func (e *InvalidResponseError) ExitCode() command.ExitCode { return command.ExitFailed }
