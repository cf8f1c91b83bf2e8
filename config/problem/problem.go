// Package problem defines the errors that are reported for settings files and
// configuration documents, with the file, line and key of each. Sort and OrNil
// reorder an Errors value in place; other uses of it must not run concurrently.
package problem

import (
	"fmt"
	"sort"
	"strings"
)

// Kind is the category of a problem.
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

// Error describes one problem in a file.
type Error struct {
	File     string `json:"file"`
	Line     int    `json:"line"` // starting at 1; 0 if the file could not be read
	Key      string `json:"key"`  // dotted path of the key; empty if the problem concerns no key
	Kind     Kind   `json:"kind"`
	Expected string `json:"expected"`
	Got      string `json:"got"`
}

// NewUnreadable returns an Error for a file that cannot be read.
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

// Errors lists all problems found in one or more files.
type Errors []*Error

// Error implements error. It returns one line per problem.
func (e Errors) Error() string {
	lines := make([]string, len(e))
	for i, p := range e {
		lines[i] = p.Error()
	}
	return strings.Join(lines, "\n")
}

// Unwrap returns the problems, so that errors.As can find an *Error.
func (e Errors) Unwrap() []error {
	errs := make([]error, len(e))
	for i, p := range e {
		errs[i] = p
	}
	return errs
}

// Sort sorts the problems by file, line and key.
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

// OrNil sorts the problems and returns them as an error, or nil if there are none.
func (e Errors) OrNil() error {
	if len(e) == 0 {
		return nil
	}
	e.Sort()
	return e
}
