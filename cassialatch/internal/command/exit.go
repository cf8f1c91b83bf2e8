package command

import (
	"fmt"

	"github.com/cockroachdb/errors"

	"cassialatch.dev/config/problem"
)

// ExitCode is the tool's exit status.
type ExitCode int

// Exit codes.
const (
	ExitOK          ExitCode = 0
	ExitFailed      ExitCode = 1 // a call failed or the daemon refused it
	ExitBadInput    ExitCode = 2 // wrong usage or a bad file
	ExitUnreachable ExitCode = 3 // no answer from the daemon
)

// ExitCoder is an error that sets the exit code.
type ExitCoder interface {
	error
	ExitCode() ExitCode
}

// UsageError is a wrong command line.
type UsageError struct{ Message string }

// NewUsageError returns a Usage with a formatted message.
func NewUsageError(format string, args ...any) *UsageError {
	return &UsageError{Message: fmt.Sprintf(format, args...)}
}

// Error implements error.
func (e *UsageError) Error() string { return e.Message }

// ExitCode implements Coder.
func (e *UsageError) ExitCode() ExitCode { return ExitBadInput }

// exitCodeOf returns the exit code for the result of a verb.
func exitCodeOf(err error) ExitCode {
	var coder ExitCoder
	var problems problem.Errors
	switch {
	case err == nil:
		return ExitOK
	case errors.As(err, &coder):
		return coder.ExitCode()
	case errors.As(err, &problems):
		return ExitBadInput
	default:
		return ExitFailed
	}
}
