// Package problem defines the typed errors that describe what is wrong with a
// settings file or a configuration document, and where.
package problem

import (
	"fmt"
	"sort"
	"strings"
)

// Kind classifies a problem.
type Kind string

// Kinds of problems.
const (
	Syntax            Kind = "syntax"
	UnknownKey        Kind = "unknown key"
	WrongType         Kind = "wrong type"
	MissingUnit       Kind = "missing unit"
	MissingKey        Kind = "missing key"
	OutOfRange        Kind = "out of range"
	DanglingReference Kind = "dangling reference"
	ForbiddenOverride Kind = "forbidden override"
	Duplicate         Kind = "duplicate"
	Unreadable        Kind = "unreadable"
)

// Error is one problem in one file.
type Error struct {
	File     string `json:"file"`
	Line     int    `json:"line"` // starting at 1; 0 when the file could not be read
	Key      string `json:"key"`  // dotted path of the key
	Kind     Kind   `json:"kind"`
	Expected string `json:"expected"`
	Got      string `json:"got"`
}

// NewUnreadable returns the problem of a file that cannot be read.
func NewUnreadable(file string, cause error) *Error {
	return &Error{File: file, Kind: Unreadable, Expected: "a readable file", Got: cause.Error()}
}

// Error implements error.
func (e *Error) Error() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s:%d: ", e.File, e.Line)
	if e.Key != "" {
		fmt.Fprintf(&b, "%s: ", e.Key)
	}
	b.WriteString(string(e.Kind))
	if e.Expected != "" {
		fmt.Fprintf(&b, ": expected %s", e.Expected)
	}
	if e.Got != "" {
		fmt.Fprintf(&b, ", got %s", e.Got)
	}
	return b.String()
}

// Errors lists every problem found in a set of files.
type Errors []*Error

// Error implements error with one problem on each line.
func (e Errors) Error() string {
	lines := make([]string, len(e))
	for i, p := range e {
		lines[i] = p.Error()
	}
	return strings.Join(lines, "\n")
}

// Unwrap returns each problem, so that errors.As finds a single Error.
func (e Errors) Unwrap() []error {
	errs := make([]error, len(e))
	for i, p := range e {
		errs[i] = p
	}
	return errs
}

// Sort orders the problems by file, line and key.
func (e Errors) Sort() {
	sort.SliceStable(e, func(i, j int) bool {
		a, b := e[i], e[j]
		if a.File != b.File {
			return a.File < b.File
		}
		if a.Line != b.Line {
			return a.Line < b.Line
		}
		return a.Key < b.Key
	})
}

// OrNil returns the sorted problems as an error, or nil when there are none.
func (e Errors) OrNil() error {
	if len(e) == 0 {
		return nil
	}
	e.Sort()
	return e
}
