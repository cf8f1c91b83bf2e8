package document

import (
	"fmt"
	"math"
	"slices"
	"strconv"
	"strings"
	"time"

	"cassialatch.dev/config/problem"
)

// Table reads typed values from a TOML table. The read methods report whether the
// key is present and valid, add a problem if it is invalid, and leave the
// destination unchanged if they report false.
type Table struct {
	doc  *Document
	node *node
}

// Name returns the table's own key.
func (t *Table) Name() string { return t.node.name }

// Path returns the dotted path of a key of the table, or of the table itself if
// the key is empty.
func (t *Table) Path(key string) string {
	if key == "" {
		return t.node.path
	}
	return JoinPath(t.node.path, key)
}

// Line returns the line of a key, or that of the table if the key is missing.
func (t *Table) Line(key string) int {
	if c := t.node.child(key); c != nil {
		return c.line
	}
	return t.node.line
}

// ItemLine returns the line of item i of the array at key, or the line of the key
// if there is no such item.
func (t *Table) ItemLine(key string, i int) int {
	if c := t.node.child(key); c != nil && i < len(c.items) {
		return c.items[i].line
	}
	return t.Line(key)
}

// ProblemCount returns the number of problems found in the document so far.
func (t *Table) ProblemCount() int { return len(t.doc.problems) }

// Has reports whether the table has a key.
func (t *Table) Has(key string) bool { return t.node.child(key) != nil }

// Report adds a problem for a key of the table, or for the table itself if the key
// is empty.
func (t *Table) Report(key string, kind problem.Kind, expected, got string) {
	t.doc.Report(t.Line(key), t.Path(key), kind, expected, got)
}

// Forbid adds a problem for each of the keys that is present, since this document
// may not set it. Forbidden keys are not reported as unknown in addition.
func (t *Table) Forbid(expected string, keys ...string) {
	for _, key := range keys {
		if c := t.node.child(key); c != nil {
			markRead(c)
			t.Report(key, problem.ForbiddenOverride, expected, strconv.Quote(key))
		}
	}
}

// Require adds a problem for each of the keys that is missing.
func (t *Table) Require(keys ...string) {
	for _, key := range keys {
		if !t.Has(key) {
			t.Report(key, problem.MissingKey, "a value for "+key, "none")
		}
	}
}

func markRead(n *node) {
	n.read = true
	for _, c := range n.children {
		markRead(c)
	}
	for _, item := range n.items {
		markRead(item)
	}
}

// lookup returns the node of a key, or nil if it is missing, and records the key
// as one that the table may have.
func (t *Table) lookup(key string) *node {
	t.node.requested = append(t.node.requested, key)
	return t.node.child(key)
}

// lookupKind returns the node of a key if it has one of the kinds. If it has
// another kind, lookupKind adds a problem and returns nil.
func (t *Table) lookupKind(key string, kinds ...kind) *node {
	c := t.lookup(key)
	if c == nil {
		return nil
	}
	c.read = true
	for _, k := range kinds {
		if c.kind == k {
			return c
		}
	}
	markRead(c)
	t.reportType(c, kinds[0])
	return nil
}

func (t *Table) reportType(n *node, want kind) {
	got := string(n.kind)
	if n.text != "" {
		got += " " + strconv.Quote(n.text)
	}
	t.doc.Report(n.line, n.path, problem.WrongType, string(want), got)
}

// Table returns the table at key, or an empty table if it is missing or invalid.
func (t *Table) Table(key string) *Table {
	if c := t.lookupKind(key, kindTable); c != nil {
		return &Table{doc: t.doc, node: c}
	}
	return &Table{doc: t.doc, node: newChild(t.node, key, t.node.line, kindTable)}
}

// Subtables returns the tables within the table at key, in document order.
func (t *Table) Subtables(key string) []*Table {
	var tables []*Table
	outer := t.Table(key)
	for _, c := range outer.node.children {
		if outer.lookupKind(c.name, kindTable) != nil {
			tables = append(tables, &Table{doc: t.doc, node: c})
		}
	}
	return tables
}

// TableArray returns the items of the array of tables at key.
func (t *Table) TableArray(key string) []*Table {
	c := t.lookupKind(key, kindTableArray, kindArray)
	if c == nil {
		return nil
	}
	var tables []*Table
	for _, item := range c.items {
		if item.kind != kindTable {
			markRead(item)
			t.reportType(item, kindTable)
			continue
		}
		tables = append(tables, &Table{doc: t.doc, node: item})
	}
	return tables
}

// String reads a string.
func (t *Table) String(key string, into *string) bool {
	c := t.lookupKind(key, kindString)
	if c == nil {
		return false
	}
	*into = c.text
	return true
}

// Secret reads a string without quoting its value in problems.
func (t *Table) Secret(key string, into *string) bool {
	c := t.lookup(key)
	if c == nil {
		return false
	}
	if c.kind != kindString {
		markRead(c)
		t.Report(key, problem.WrongType, string(kindString), string(c.kind))
		return false
	}
	return t.String(key, into)
}

// OneOf reads a string that must be one of the allowed values.
func (t *Table) OneOf(key string, into *string, allowed ...string) bool {
	var v string
	if !t.String(key, &v) {
		return false
	}
	if !slices.Contains(allowed, v) {
		t.Report(key, problem.OutOfRange, "one of "+strings.Join(allowed, ", "), strconv.Quote(v))
		return false
	}
	*into = v
	return true
}

// Strings reads an array of strings. An empty array is read as nil.
func (t *Table) Strings(key string, into *[]string) bool {
	c := t.lookupKind(key, kindArray)
	if c == nil {
		return false
	}
	var values []string
	valid := true
	for _, item := range c.items {
		if item.kind != kindString {
			markRead(item)
			t.reportType(item, kindString)
			valid = false
			continue
		}
		values = append(values, item.text)
	}
	if valid {
		*into = values
	}
	return valid
}

// Bool reads a boolean.
func (t *Table) Bool(key string, into *bool) bool {
	c := t.lookupKind(key, kindBool)
	if c == nil {
		return false
	}
	*into = c.text == "true"
	return true
}

// Int reads an integer from low to high, inclusive.
func (t *Table) Int(key string, into *int, low, high int) bool {
	c := t.lookupKind(key, kindInteger)
	if c == nil {
		return false
	}
	v, err := strconv.ParseInt(c.text, 0, strconv.IntSize)
	if err != nil || int(v) < low || int(v) > high {
		t.Report(key, problem.OutOfRange, fmt.Sprintf("%d to %d", low, high), c.text)
		return false
	}
	*into = int(v)
	return true
}

// Float reads an integer or floating-point number from low to high, inclusive.
func (t *Table) Float(key string, into *float64, low, high float64) bool {
	c := t.lookupKind(key, kindFloat, kindInteger)
	if c == nil {
		return false
	}
	v, err := parseFloat(c)
	if err != nil || math.IsNaN(v) || v < low || v > high {
		t.Report(key, problem.OutOfRange, fmt.Sprintf("%g to %g", low, high), c.text)
		return false
	}
	*into = v
	return true
}

func parseFloat(n *node) (float64, error) {
	if n.kind == kindInteger {
		v, err := strconv.ParseInt(n.text, 0, 64)
		return float64(v), err
	}
	return strconv.ParseFloat(strings.ReplaceAll(n.text, "_", ""), 64)
}

// durationExample describes the format of a duration in problems.
const durationExample = `a duration with a unit, such as "500ms"`

// Duration reads a duration from low to high, inclusive, from a string with a
// unit.
func (t *Table) Duration(key string, into *time.Duration, low, high time.Duration) bool {
	c := t.lookup(key)
	if c == nil {
		return false
	}
	if c.kind == kindInteger || c.kind == kindFloat {
		c.read = true
		t.Report(key, problem.MissingUnit, durationExample, c.text)
		return false
	}
	if c = t.lookupKind(key, kindString); c == nil {
		return false
	}
	if _, err := strconv.ParseFloat(c.text, 64); err == nil {
		t.Report(key, problem.MissingUnit, durationExample, strconv.Quote(c.text))
		return false
	}
	v, err := time.ParseDuration(c.text)
	if err != nil {
		t.Report(key, problem.WrongType, durationExample, strconv.Quote(c.text))
		return false
	}
	if v < low || v > high {
		t.Report(key, problem.OutOfRange, fmt.Sprintf("%s to %s", low, high), c.text)
		return false
	}
	*into = v
	return true
}
