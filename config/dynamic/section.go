package dynamic

import (
	"maps"
	"slices"
	"strconv"
	"strings"

	"cassialatch.dev/config/internal/document"
	"cassialatch.dev/config/problem"
)

// section describes the schema of the entries of one top-level table.
type section[T any] struct {
	key            string
	fields         []field[T]
	newDefault     func(name string) *T          // returns an entry with the defaults
	deriveDefaults func(t *document.Table, v *T) // sets defaults that depend on other keys
	check          func(v *T) []inconsistency    // checks the keys of an entry against each other
}

// override is an overlay entry that changes an entry of the base.
type override[T any] struct {
	name   string
	path   string
	line   int
	values T
	fields []overriddenField[T]
}

type overriddenField[T any] struct {
	field[T]
	line int
}

// parseEntry reads an entry of a base, or a workspace defined by an overlay, and
// checks its consistency unless the entry already has other problems.
func (s *section[T]) parseEntry(t *document.Table) *T {
	before := t.ProblemCount()
	t.CheckName()
	v := s.newDefault(t.Name())
	for _, f := range s.fields {
		f.read(t, v)
	}
	s.deriveDefaults(t, v)
	if t.ProblemCount() > before {
		return v
	}
	for _, f := range s.check(v) {
		t.Report(presentKey(t, f.keys), problem.OutOfRange, f.expected, f.got)
	}
	return v
}

// presentKey returns the first of the keys that is present in the table, or the
// first key if none is.
func presentKey(t *document.Table, keys []string) string {
	if i := slices.IndexFunc(keys, t.Has); i >= 0 {
		return keys[i]
	}
	return keys[0]
}

// parseOverride reads an overlay entry that changes an entry of the base.
func (s *section[T]) parseOverride(t *document.Table) *override[T] {
	t.CheckName()
	t.Forbid("only numbers and durations in an overlay", nonOverridableKeys(s.fields)...)
	o := &override[T]{name: t.Name(), path: t.Path(""), line: t.Line("")}
	for _, f := range s.fields {
		if f.overridable && t.Has(f.key) {
			f.read(t, &o.values)
			o.fields = append(o.fields, overriddenField[T]{field: f, line: t.Line(f.key)})
		}
	}
	return o
}

// apply returns a copy of the base entry with the values of the override.
func (o *override[T]) apply(base *T) *T {
	v := *base
	for _, f := range o.fields {
		f.copy(&v, &o.values)
	}
	return &v
}

// merge applies the override to its entry in entries. If there is no such entry or
// the result is inconsistent, merge leaves entries unchanged and returns the
// problems.
func (s *section[T]) merge(entries map[string]*T, o *override[T], file string) problem.Errors {
	base, ok := entries[o.name]
	if !ok {
		return problem.Errors{{
			File: file, Line: o.line, Key: o.path, Kind: problem.DanglingReference,
			Expected: "an entry of the base", Got: strconv.Quote(o.name),
		}}
	}
	merged := o.apply(base)
	var problems problem.Errors
	for _, f := range s.check(merged) {
		problems = append(problems, o.problemFor(f, file))
	}
	if len(problems) == 0 {
		entries[o.name] = merged
	}
	return problems
}

// problemFor returns a problem for an inconsistency, located at the first involved
// key that the override sets.
func (o *override[T]) problemFor(f inconsistency, file string) *problem.Error {
	e := &problem.Error{
		File: file, Line: o.line, Key: o.path,
		Kind: problem.OutOfRange, Expected: f.expected, Got: f.got,
	}
	for _, key := range f.keys {
		i := slices.IndexFunc(o.fields, func(s overriddenField[T]) bool { return s.key == key })
		if i >= 0 {
			e.Line, e.Key = o.fields[i].line, document.JoinPath(o.path, key)
			return e
		}
	}
	return e
}

// render writes the entries to b as TOML, ordered by name.
func (s *section[T]) render(b *strings.Builder, entries map[string]*T) {
	for _, name := range slices.Sorted(maps.Keys(entries)) {
		b.WriteString("\n[" + document.JoinPath(s.key, name) + "]\n")
		for _, f := range s.fields {
			b.WriteString(f.key + " = " + f.format(entries[name]) + "\n")
		}
	}
}

// diff returns the changes from old to new, ordered by name. The changes within an
// entry are in the order of the section's fields.
func (s *section[T]) diff(old, new map[string]*T) []Change {
	var changes []Change
	names := maps.Clone(old)
	if names == nil {
		names = make(map[string]*T)
	}
	maps.Copy(names, new)
	for _, name := range slices.Sorted(maps.Keys(names)) {
		path := document.JoinPath(s.key, name)
		before, after := old[name], new[name]
		switch {
		case before == nil:
			changes = append(changes, Change{Kind: Added, Key: path})
		case after == nil:
			changes = append(changes, Change{Kind: Removed, Key: path})
		default:
			changes = append(changes, s.diffEntry(path, before, after)...)
		}
	}
	return changes
}

func (s *section[T]) diffEntry(path string, old, new *T) []Change {
	var changes []Change
	for _, f := range s.fields {
		before, after := f.format(old), f.format(new)
		if before != after {
			changes = append(changes, Change{Kind: Changed, Key: path + "." + f.key, Old: before, New: after})
		}
	}
	return changes
}
