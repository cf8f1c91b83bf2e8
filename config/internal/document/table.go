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

// Table reads the typed values of one TOML table.
type Table struct {
	doc  *Document
	node *node
}

// Name returns the table's own key.
func (t *Table) Name() string { return t.node.name }

// Path returns the dotted path of a key of the table, or of the table itself
// for an empty key.
func (t *Table) Path(key string) string {
	if key == "" {
		return t.node.path
	}
	return JoinPath(t.node.path, key)
}

// Line returns the line of a key, or that of the table when it lacks the key.
func (t *Table) Line(key string) int {
	if c := t.node.child(key); c != nil {
		return c.line
	}
	return t.node.line
}

// ItemLine returns the line of an array's item.
func (t *Table) ItemLine(key string, i int) int {
	if c := t.node.child(key); c != nil && i < len(c.items) {
		return c.items[i].line
	}
	return t.Line(key)
}

// ProblemCount counts the document's problems so far.
func (t *Table) ProblemCount() int { return len(t.doc.problems) }

// Has tells whether the table holds a key.
func (t *Table) Has(key string) bool { return t.node.child(key) != nil }

// Report adds a problem with a key of the table.
func (t *Table) Report(key string, kind problem.Kind, expected, got string) {
	t.doc.Report(t.Line(key), t.Path(key), kind, expected, got)
}

// Forbid reports the key, if it is there, as one that this document may not
// set.
func (t *Table) Forbid(expected string, keys ...string) {
	for _, key := range keys {
		if c := t.node.child(key); c != nil {
			markRead(c)
			t.Report(key, problem.ForbiddenOverride, expected, strconv.Quote(key))
		}
	}
}

// Require reports each key that is missing.
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

// lookUp returns a key's node, or nil, and notes the key as a known one.
func (t *Table) lookUp(key string) *node {
	t.node.known = append(t.node.known, key)
	return t.node.child(key)
}

// find returns a key's node when it has one of the kinds, and reports another
// kind.
func (t *Table) find(key string, kinds ...kind) *node {
	c := t.lookUp(key)
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

// Table returns a table by key; a missing one reads as empty.
func (t *Table) Table(key string) *Table {
	if c := t.find(key, kindTable); c != nil {
		return &Table{doc: t.doc, node: c}
	}
	return &Table{doc: t.doc, node: newChild(t.node, key, t.node.line, kindTable)}
}

// Subtables returns the tables within a table, in the order of the text.
func (t *Table) Subtables(key string) []*Table {
	var tables []*Table
	outer := t.Table(key)
	for _, c := range outer.node.children {
		if outer.find(c.name, kindTable) != nil {
			tables = append(tables, &Table{doc: t.doc, node: c})
		}
	}
	return tables
}

// TableArray returns the items of an array of tables.
func (t *Table) TableArray(key string) []*Table {
	c := t.find(key, kindTableArray, kindArray)
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

// String reads a string and tells whether it was there and sound.
func (t *Table) String(key string, into *string) bool {
	c := t.find(key, kindString)
	if c == nil {
		return false
	}
	*into = c.text
	return true
}

// Secret reads a string whose value no problem may quote.
func (t *Table) Secret(key string, into *string) bool {
	c := t.lookUp(key)
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

// OneOf reads a string that must be one of the allowed ones.
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

// Strings reads an array of strings; an empty one reads as nil.
func (t *Table) Strings(key string, into *[]string) bool {
	c := t.find(key, kindArray)
	if c == nil {
		return false
	}
	var values []string
	sound := true
	for _, item := range c.items {
		if item.kind != kindString {
			markRead(item)
			t.reportType(item, kindString)
			sound = false
			continue
		}
		values = append(values, item.text)
	}
	if sound {
		*into = values
	}
	return sound
}

// Bool reads a boolean.
func (t *Table) Bool(key string, into *bool) bool {
	c := t.find(key, kindBool)
	if c == nil {
		return false
	}
	*into = c.text == "true"
	return true
}

// Int reads an integer between low and high.
func (t *Table) Int(key string, into *int, low, high int) bool {
	c := t.find(key, kindInteger)
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

// Float reads a number between low and high.
func (t *Table) Float(key string, into *float64, low, high float64) bool {
	c := t.find(key, kindFloat, kindInteger)
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

// durationExample shows the form of a duration.
const durationExample = `a duration with a unit, such as "500ms"`

// Duration reads a duration between low and high from a string with a unit.
func (t *Table) Duration(key string, into *time.Duration, low, high time.Duration) bool {
	c := t.lookUp(key)
	if c == nil {
		return false
	}
	if c.kind == kindInteger || c.kind == kindFloat {
		c.read = true
		t.Report(key, problem.MissingUnit, durationExample, c.text)
		return false
	}
	if c = t.find(key, kindString); c == nil {
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
