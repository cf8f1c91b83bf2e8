package daemonclient

import (
	"fmt"

	"cassialatch.dev/cassialatch/internal/command"
)

// Unreachable means that the daemon gave no answer.
type Unreachable struct {
	Address string
	cause   error
}

// Error implements error.
func (e *Unreachable) Error() string {
	return fmt.Sprintf("daemon %s is unreachable: %v", e.Address, e.cause)
}

// Unwrap returns the cause.
func (e *Unreachable) Unwrap() error { return e.cause }

// ExitCode implements command.Coder.
func (e *Unreachable) ExitCode() command.ExitCode { return command.ExitUnreachable }

// Refused means that the daemon answered with a failure.
type Refused struct {
	Status  int // of HTTP
	Code    string
	Message string
}

// Error implements error.
func (e *Refused) Error() string {
	return fmt.Sprintf("daemon refused: %s: %s (HTTP status %d)", e.Code, e.Message, e.Status)
}

// ExitCode implements command.Coder.
func (e *Refused) ExitCode() command.ExitCode { return command.ExitFailed }

// BadAnswer means that the daemon's answer could not be read. The call may
// have taken effect.
type BadAnswer struct {
	Path  string
	cause error
}

// Error implements error.
func (e *BadAnswer) Error() string {
	return fmt.Sprintf("answer to %s cannot be read, the call may have taken effect: %v", e.Path, e.cause)
}

// Unwrap returns the cause.
func (e *BadAnswer) Unwrap() error { return e.cause }

// ExitCode implements command.Coder.
func (e *BadAnswer) ExitCode() command.ExitCode { return command.ExitFailed }
