package dynamic

import (
	"slices"
	"strconv"
	"strings"
	"time"

	"cassialatch.dev/config/internal/document"
)

// field describes one key of entries of type T.
type field[T any] struct {
	key         string
	overridable bool // an overlay may set it
	read        func(t *document.Table, into *T)
	copy        func(into, from *T)
	format      func(v *T) string // returns the value as TOML
}

// allowOverride returns a copy of the field that an overlay may set.
func (f field[T]) allowOverride() field[T] {
	f.overridable = true
	return f
}

func newField[T, V any](key string, at func(*T) *V, read func(*document.Table, *V), format func(V) string) field[T] {
	return field[T]{
		key:    key,
		read:   func(t *document.Table, into *T) { read(t, at(into)) },
		copy:   func(into, from *T) { *at(into) = *at(from) },
		format: func(v *T) string { return format(*at(v)) },
	}
}

func intField[T any](key string, at func(*T) *int, low, high int) field[T] {
	read := func(t *document.Table, into *int) { t.Int(key, into, low, high) }
	return newField(key, at, read, strconv.Itoa)
}

func floatField[T any](key string, at func(*T) *float64, low, high float64) field[T] {
	read := func(t *document.Table, into *float64) { t.Float(key, into, low, high) }
	return newField(key, at, read, formatFloat)
}

func formatFloat(v float64) string { return strconv.FormatFloat(v, 'g', -1, 64) }

func durationField[T any](key string, at func(*T) *time.Duration, low time.Duration) field[T] {
	read := func(t *document.Table, into *time.Duration) { t.Duration(key, into, low, maxDuration) }
	format := func(d time.Duration) string { return strconv.Quote(d.String()) }
	return newField(key, at, read, format)
}

func boolField[T any](key string, at func(*T) *bool) field[T] {
	read := func(t *document.Table, into *bool) { t.Bool(key, into) }
	return newField(key, at, read, strconv.FormatBool)
}

func classField[T any](key string, at func(*T) *Class) field[T] {
	return newField(key, at, func(t *document.Table, into *Class) { readClass(t, key, into) }, quoteClass)
}

func readClass(t *document.Table, key string, into *Class) {
	text := string(*into)
	t.OneOf(key, &text, string(ClassShort), string(ClassChat), string(ClassLong))
	*into = Class(text)
}

func quoteClass(c Class) string { return strconv.Quote(string(c)) }

func namesField[T any](key string, at func(*T) *[]string) field[T] {
	read := func(t *document.Table, into *[]string) {
		if t.Strings(key, into) {
			t.CheckNames(key, *into)
		}
	}
	return newField(key, at, read, quoteAll)
}

func quoteAll(values []string) string {
	quoted := make([]string, len(values))
	for i, v := range values {
		quoted[i] = strconv.Quote(v)
	}
	return "[" + strings.Join(quoted, ", ") + "]"
}

// nonOverridableKeys returns the keys that an overlay may not set.
func nonOverridableKeys[T any](fields []field[T]) []string {
	var keys []string
	for _, f := range fields {
		if !f.overridable {
			keys = append(keys, f.key)
		}
	}
	return slices.Clip(keys)
}
