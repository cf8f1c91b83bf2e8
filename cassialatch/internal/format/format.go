// Package format writes the results of subcommands as tables of aligned columns or
// as JSON.
package format

import (
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
)

// ColumnGap is the number of spaces between two columns.
const ColumnGap = 2

// JSON writes a value as indented JSON.
func JSON(w io.Writer, v any) error {
	enc := json.NewEncoder(w)
	enc.SetIndent("", "  ")
	return enc.Encode(v)
}

// JSONLine writes a value as JSON on one line.
func JSONLine(w io.Writer, v any) error { return json.NewEncoder(w).Encode(v) }

// Table collects rows of aligned columns.
type Table struct {
	title   string
	columns []string
	rows    [][]string
}

// NewTable returns an empty table. A table without columns has no heading.
func NewTable(title string, columns ...string) *Table {
	return &Table{title: title, columns: columns}
}

// AddRow adds a row. Empty cells are shown as "-". Control characters are escaped
// because some of the text comes from other machines and could otherwise control
// the terminal.
func (t *Table) AddRow(cells ...any) {
	row := make([]string, len(cells))
	for i, c := range cells {
		row[i] = Printable(fmt.Sprint(c))
		if row[i] == "" {
			row[i] = "-"
		}
	}
	t.rows = append(t.rows, row)
}

// Printable returns the text with its control characters escaped.
func Printable(text string) string {
	var b strings.Builder
	for _, r := range text {
		if r < ' ' || r >= 0x7f && r < 0xa0 {
			fmt.Fprintf(&b, `\x%02x`, r)
			continue
		}
		b.WriteRune(r)
	}
	return b.String()
}

// Write writes the table, or nothing when it has no rows.
func (t *Table) Write(w io.Writer) error {
	if len(t.rows) == 0 {
		return nil
	}
	tw := tabwriter.NewWriter(w, 0, 0, ColumnGap, ' ', 0)
	if t.title != "" {
		fmt.Fprintf(tw, "\n%s\n", t.title)
	}
	if len(t.columns) > 0 {
		fmt.Fprintln(tw, strings.Join(t.columns, "\t"))
	}
	for _, row := range t.rows {
		fmt.Fprintln(tw, strings.Join(row, "\t"))
	}
	return tw.Flush()
}
