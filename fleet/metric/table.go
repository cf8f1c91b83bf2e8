package metric

import (
	"maps"
	"strings"
)

// key names the series of one workspace and class.
type key struct{ workspace, class string }

// table holds the series in use. It is never changed once it is published.
type table struct {
	labelled map[string]struct{} // workspaces with series of their own
	classes  map[string]struct{} // the first ones seen
	series   map[key]*series
}

func newTable() *table {
	return &table{
		labelled: make(map[string]struct{}),
		classes:  make(map[string]struct{}),
		series:   make(map[key]*series),
	}
}

func (t *table) clone() *table {
	return &table{
		labelled: maps.Clone(t.labelled),
		classes:  maps.Clone(t.classes),
		series:   maps.Clone(t.series),
	}
}

// label returns the key under which a workspace and class are recorded.
func (t *table) label(ws, class string) key {
	k := key{Other, Other}
	if _, ok := t.labelled[ws]; ok {
		k.workspace = ws
	}
	if _, ok := t.classes[class]; ok {
		k.class = class
	}
	return k
}

// remove takes a workspace's label and returns the series that it had.
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

// tagValue makes a name safe as a label value: valid text of bounded length,
// without the marks by which tally joins tags into the name of a scope.
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
