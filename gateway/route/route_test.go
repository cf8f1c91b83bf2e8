package route

import (
	"fmt"
	"testing"

	"github.com/matryer/is"
)

func newTestTable() *Table {
	return NewTable(&Config{
		Version: 7,
		Routes: []Route{
			{Name: "short", Host: "h.example", Prefix: "/a/", Targets: []Target{{"s", 1}}},
			{Name: "long", Host: "h.example", Prefix: "/a/b/", Targets: []Target{{"s", 90}, {"t", 10}}},
			{Name: "other", Host: "o.example", Prefix: "/", Targets: []Target{{"s", 1}}},
		},
		Services:   []Service{{Name: "s"}, {Name: "t"}},
		Workspaces: []Workspace{{Name: "w", Keys: []string{"k1", "k2"}}},
	})
}

func TestMatchReturnsLongestPrefixOfHost(t *testing.T) {
	is := is.New(t)
	tb := newTestTable()
	is.Equal(tb.Match("h.example", "/a/b/c").Name, "long")
	is.Equal(tb.Match("H.example:80", "/a/x").Name, "short")
	is.Equal(tb.Match("o.example", "/a/b/c").Name, "other")
	is.True(tb.Match("h.example", "/ab/") == nil)
	is.True(tb.Match("h.example", "/a") == nil)
	is.True(tb.Match("unknown.example", "/a/") == nil)
}

func TestServiceIsStableAndFollowsWeights(t *testing.T) {
	is := is.New(t)
	r := newTestTable().Match("h.example", "/a/b/")
	const requests = 10_000
	toT := 0
	for i := range requests {
		id := fmt.Sprint(i)
		service := r.Service(id)
		is.Equal(service, r.Service(id))
		if service == "t" {
			toT++
		}
	}
	is.True(toT > requests*8/100 && toT < requests*12/100) // the weight is a tenth
}

func TestWorkspaceReturnsOwnerOfKey(t *testing.T) {
	is := is.New(t)
	tb := newTestTable()
	is.True(tb.NeedsKeys())
	is.Equal(tb.Workspace("k2").Name, "w")
	is.True(tb.Workspace("gone") == nil)
	is.True(tb.Workspace("") == nil)
}

func TestRepeatable(t *testing.T) {
	is := is.New(t)
	is.True((&Route{Kind: Safe}).Repeatable())
	is.True((&Route{Kind: Stream, Resumable: true}).Repeatable())
	is.True(!(&Route{Kind: Stream}).Repeatable())
	is.True(!(&Route{Kind: Unsafe, Resumable: true}).Repeatable())
}
