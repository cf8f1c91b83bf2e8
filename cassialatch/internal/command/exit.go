package command

import (
	"fmt"

	"github.com/cockroachdb/errors"

	"cassialatch.dev/config/problem"
)

// ExitCode is the exit status of the tool.
type ExitCode int

// Exit codes.
const (
	ExitOK          ExitCode = 0
	ExitFailed      ExitCode = 1 // a call failed or the daemon refused it
	ExitBadInput    ExitCode = 2 // wrong usage or a bad file
	ExitUnreachable ExitCode = 3 // no response from the daemon
)

// ExitCoder is an error that determines the exit code.
type ExitCoder interface {
	error
	ExitCode() ExitCode
}

// UsageError reports an invalid command line.
type UsageError struct{ Message string }

// NewUsageError returns a UsageError with a formatted message.
func NewUsageError(format string, args ...any) *UsageError {
	return &UsageError{Message: fmt.Sprintf(format, args...)}
}

// Error implements error.
func (e *UsageError) Error() string { return e.Message }

// ExitCode implements ExitCoder.
func (e *UsageError) ExitCode() ExitCode { return ExitBadInput }

// exitCodeOf returns the exit code for the error of a subcommand.
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
