// Package document parses TOML into a tree that records the line of each key and
// reads typed values from it. It collects all problems instead of stopping at
// the first one. Its types are not safe for concurrent use.
package document

import (
	"slices"
	"sort"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/pelletier/go-toml/v2/unstable"

	"cassialatch.dev/config/problem"
)

// Document is a parsed TOML document and the problems found in it so far.
type Document struct {
	name           string
	newlines       []int // byte offsets of line breaks
	root           *node
	problems       problem.Errors
	hasSyntaxError bool // the tree is incomplete
}

// Parse parses text; name is the file name used in problems. Syntax errors and
// duplicate keys are added to the document's problems. The decoder of the TOML
// library is not used, because its check for duplicates takes quadratic time in
// the number of entries of a table.
func Parse(name string, text []byte) *Document {
	data := append([]byte(nil), text...)
	d := &Document{name: name, root: &node{line: 1, kind: kindTable}}
	for i, c := range data {
		if c == '\n' {
			d.newlines = append(d.newlines, i)
		}
	}
	d.build(data)
	return d
}

// HasSyntaxError reports whether the text is not valid TOML. Reading values from
// such a document would only report problems that result from the syntax error.
func (d *Document) HasSyntaxError() bool { return d.hasSyntaxError }

// Root returns the root table.
func (d *Document) Root() *Table { return &Table{doc: d, node: d.root} }

// Report adds a problem to the document.
func (d *Document) Report(line int, key string, kind problem.Kind, expected, got string) {
	d.problems = append(d.problems, &problem.Error{
		File: d.name, Line: line, Key: key, Kind: kind, Expected: expected, Got: got,
	})
}

// Finish reports each key that was not read as unknown. It returns all problems
// of the document as a problem.Errors, or nil if there are none.
func (d *Document) Finish() error {
	if !d.hasSyntaxError {
		d.reportUnread(d.root)
	}
	return d.problems.OrNil()
}

func (d *Document) reportUnread(n *node) {
	for _, c := range n.children {
		if !c.read {
			d.Report(c.line, c.path, problem.UnknownKey, expectedKeys(n), strconv.Quote(c.name))
			continue
		}
		d.reportUnread(c)
	}
	for _, item := range n.items {
		d.reportUnread(item)
	}
}

func expectedKeys(n *node) string {
	keys := slices.Clone(n.requested)
	slices.Sort(keys)
	return "one of " + strings.Join(slices.Compact(keys), ", ")
}

// build adds the expressions of the text to the tree.
func (d *Document) build(data []byte) {
	p := &unstable.Parser{}
	p.Reset(data)
	current := d.root
	for p.NextExpression() {
		e := p.Expression()
		switch e.Kind {
		case unstable.Table:
			current = d.openTable(e)
		case unstable.ArrayTable:
			current = d.openArrayTable(e)
		case unstable.KeyValue:
			d.addKeyValue(current, e)
		}
	}
	if err := p.Error(); err != nil {
		d.reportSyntax(data, err)
	}
}

func (d *Document) reportSyntax(data []byte, err error) {
	d.hasSyntaxError = true
	offset := len(data)
	var pe *unstable.ParserError
	if errors.As(err, &pe) && pe.Highlight != nil {
		offset = min(max(cap(data)-cap(pe.Highlight), 0), len(data))
	}
	d.Report(d.lineAt(offset), "", problem.Syntax, "valid TOML", err.Error())
}

// lineAt returns the line number, starting at 1, of a byte offset.
func (d *Document) lineAt(offset int) int {
	return 1 + sort.SearchInts(d.newlines, offset)
}
