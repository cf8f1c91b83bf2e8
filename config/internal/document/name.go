package document

import (
	"fmt"
	"regexp"
	"strconv"

	"cassialatch.dev/config/problem"
)

// nameFormat describes namePattern in problems.
const nameFormat = "a name of at most 128 letters, digits, dots, underscores and hyphens, starting with a letter or digit"

var namePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,127}$`)

// NameOf reads a string that must match namePattern. It reports whether the key
// is present and valid.
func (t *Table) NameOf(key string, into *string) bool {
	var v string
	if !t.String(key, &v) {
		return false
	}
	if !namePattern.MatchString(v) {
		t.Report(key, problem.OutOfRange, nameFormat, strconv.Quote(v))
		return false
	}
	*into = v
	return true
}

// CheckName adds a problem if the table's own key is not a valid name.
func (t *Table) CheckName() {
	if !namePattern.MatchString(t.node.name) {
		t.Report("", problem.OutOfRange, nameFormat, strconv.Quote(t.node.name))
	}
}

// CheckNames adds a problem for each item of an array of strings that is not a
// valid name or repeats an earlier item.
func (t *Table) CheckNames(key string, names []string) {
	seen := make(map[string]bool, len(names))
	for i, name := range names {
		if !namePattern.MatchString(name) {
			t.ReportItem(key, i, problem.OutOfRange, nameFormat, strconv.Quote(name))
		} else if seen[name] {
			t.ReportItem(key, i, problem.Duplicate, "each name once", strconv.Quote(name))
		}
		seen[name] = true
	}
}

// ReportItem adds a problem for item i of the array at key.
func (t *Table) ReportItem(key string, i int, kind problem.Kind, expected, got string) {
	path := fmt.Sprintf("%s[%d]", t.Path(key), i)
	t.doc.Report(t.ItemLine(key, i), path, kind, expected, got)
}
