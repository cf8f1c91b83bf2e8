// Package document parses TOML into a tree whose nodes know their line, and
// reads typed values from it. It collects every problem instead of stopping
// at the first one.
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

// Document is a parsed TOML text and the problems found in it so far.
type Document struct {
	name     string
	newlines []int // offsets of line breaks
	root     *node
	problems problem.Errors
	broken   bool // syntax errors make the tree unreliable
}

// Parse reads text into a tree. Syntax errors and duplicate keys are among the
// document's problems afterwards. It stands in for the library's decoder, whose
// search for duplicates takes quadratic time over tables with many entries.
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

// HasSyntaxError tells that the text is not TOML, so that reading on would only
// report problems that follow from it.
func (d *Document) HasSyntaxError() bool { return d.broken }

// Root returns the top-level table.
func (d *Document) Root() *Table { return &Table{doc: d, node: d.root} }

// Report adds a problem.
func (d *Document) Report(line int, key string, kind problem.Kind, expected, got string) {
	d.problems = append(d.problems, &problem.Error{
		File: d.name, Line: line, Key: key, Kind: kind, Expected: expected, Got: got,
	})
}

// Finish reports each key that was never read as unknown and returns every
// problem found, or nil.
func (d *Document) Finish() error {
	if !d.broken {
		d.reportUnread(d.root)
	}
	return d.problems.OrNil()
}

func (d *Document) reportUnread(n *node) {
	for _, c := range n.children {
		if !c.read {
			d.Report(c.line, c.path, problem.UnknownKey, knownKeys(n), strconv.Quote(c.name))
			continue
		}
		d.reportUnread(c)
	}
	for _, item := range n.items {
		d.reportUnread(item)
	}
}

func knownKeys(n *node) string {
	keys := slices.Clone(n.known)
	slices.Sort(keys)
	return "one of " + strings.Join(slices.Compact(keys), ", ")
}

// build fills the tree expression by expression.
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
	d.broken = true
	offset := len(data)
	var pe *unstable.ParserError
	if errors.As(err, &pe) && pe.Highlight != nil {
		offset = min(max(cap(data)-cap(pe.Highlight), 0), len(data))
	}
	d.Report(d.lineAt(offset), "", problem.Syntax, "valid TOML", err.Error())
}

// lineAt returns the line, starting at 1, of a byte offset.
func (d *Document) lineAt(offset int) int {
	return 1 + sort.SearchInts(d.newlines, offset)
}
