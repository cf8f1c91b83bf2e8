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

// Coder is an error that sets the exit code.
type Coder interface {
	error
	ExitCode() ExitCode
}

// Usage is a wrong command line.
type Usage struct{ Message string }

// NewUsage returns a Usage with a formatted message.
func NewUsage(format string, args ...any) *Usage {
	return &Usage{Message: fmt.Sprintf(format, args...)}
}

// Error implements error.
func (e *Usage) Error() string { return e.Message }

// ExitCode implements Coder.
func (e *Usage) ExitCode() ExitCode { return ExitBadInput }

// codeOf returns the exit code for the result of a verb.
func codeOf(err error) ExitCode {
	var coder Coder
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
