// Package configcmd implements the subcommands that check, render and compare
// configuration documents in local files before they are published.
package configcmd

import (
	"os"
	"strconv"

	"github.com/cockroachdb/errors"

	"cassialatch.dev/config/dynamic"
	"cassialatch.dev/config/problem"
	"cassialatch.dev/wire/platformapi"
)

// documents holds a base document and its overlay. The overlay may be nil.
type documents struct {
	base    *dynamic.Base
	overlay *dynamic.Overlay
}

// load reads the base document at paths[0] and, if there is a second path, the
// overlay. The error is a problem.Errors with the problems of both documents.
func load(paths []string) (*documents, error) {
	var d documents
	var problems problem.Errors
	var err error
	if d.base, err = parse(paths[0], dynamic.ParseBase); err != nil {
		problems = append(problems, problemsOf(err)...)
	}
	if len(paths) > 1 {
		if d.overlay, err = parse(paths[1], dynamic.ParseOverlay); err != nil {
			problems = append(problems, problemsOf(err)...)
		}
	}
	if len(problems) > 0 {
		return nil, errors.WithStack(problems)
	}
	return &d, nil
}

// parse reads a document from a file. Documents that the platform would not accept
// because of their size are rejected.
func parse[T any](path string, parser func(string, []byte) (*T, error)) (*T, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, problem.Errors{problem.NewUnreadable(path, err)}
	}
	if len(text) > platformapi.MaxBodyBytes {
		return nil, problem.Errors{tooLarge(path, len(text))}
	}
	return parser(path, text)
}

func tooLarge(path string, size int) *problem.Error {
	return &problem.Error{
		File: path, Line: 1, Kind: problem.OutOfRange,
		Expected: "at most " + strconv.Itoa(platformapi.MaxBodyBytes) + " bytes",
		Got:      strconv.Itoa(size) + " bytes",
	}
}

// problemsOf returns the problems that err holds.
func problemsOf(err error) problem.Errors {
	var problems problem.Errors
	errors.As(err, &problems)
	return problems
}

func (d *documents) merge() *dynamic.Config { return dynamic.Merge(d.base, d.overlay) }
