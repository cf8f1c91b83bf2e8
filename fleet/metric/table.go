package metric

import (
	"maps"
	"strings"
)

// seriesKey identifies the series of one workspace and class.
type seriesKey struct{ workspace, class string }

// table holds the series in use. It is immutable once it is published.
type table struct {
	labelled map[string]struct{} // workspaces with series of their own
	classes  map[string]struct{} // classes with series of their own
	series   map[seriesKey]*series
}

func newTable() *table {
	return &table{
		labelled: make(map[string]struct{}),
		classes:  make(map[string]struct{}),
		series:   make(map[seriesKey]*series),
	}
}

func (t *table) clone() *table {
	return &table{
		labelled: maps.Clone(t.labelled),
		classes:  maps.Clone(t.classes),
		series:   maps.Clone(t.series),
	}
}

// keyFor returns the key under which a workspace and class are recorded.
func (t *table) keyFor(ws, class string) seriesKey {
	k := seriesKey{Other, Other}
	if _, ok := t.labelled[ws]; ok {
		k.workspace = ws
	}
	if _, ok := t.classes[class]; ok {
		k.class = class
	}
	return k
}

// remove removes the label of a workspace and returns its series.
func (t *table) remove(ws string) []*series {
	var removed []*series
	delete(t.labelled, ws)
	for k, s := range t.series {
		if k.workspace == ws {
			removed = append(removed, s)
			delete(t.series, k)
		}
	}
	return removed
}

// tagValue converts a name into a valid label value: UTF-8 text of bounded
// length, without the separators with which tally joins tags into the name of a
// scope.
func tagValue(name string) string {
	if len(name) > maxLabelBytes {
		name = name[:maxLabelBytes]
	}
	name = strings.ToValidUTF8(name, "_")
	return strings.Map(func(r rune) rune {
		switch r {
		case ',', '=', '+':
			return '_'
		}
		return r
	}, name)
}
