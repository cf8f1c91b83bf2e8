package configcheck

import (
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"cassialatch.dev/gateway/route"
)

// The findings have their table in the tests of package platform, where paths have names.

// neverMatches reports whether there is a finding that says so about a route.
func neverMatches(findings []Finding, i int) bool {
	for _, f := range findings {
		if f.Path[0] == (Step{FieldRoutes, i}) && strings.Contains(f.Text, "never matches") {
			return true
		}
	}
	return false
}

// Guards against findings about hosts that differ from what the gateway matches, with
// and without a port in the request.
func TestCheck_AgreesWithTableAboutHosts(t *testing.T) {
	for _, host := range []string{"h.example", "H.Example", "h.example:80", "[::1]", "[::1]:80", ""} {
		t.Run(host, func(t *testing.T) {
			is := is.New(t)
			r := route.Route{Name: "r", Host: host, Prefix: "/a/", Targets: []route.Target{{Service: "s", Weight: 1}}}
			table := route.NewTable(&route.Config{Routes: []route.Route{r}})
			matches := table.Match(host, "/a/x") != nil
			if !strings.HasSuffix(host, ":80") {
				matches = matches || table.Match(host+":80", "/a/x") != nil
			}
			d := &Document{Version: 1, Routes: []Route{{Route: r}}}
			is.Equal(neverMatches(Check(d, nil, Bounds{}), 0), !matches)
		})
	}
}

// Guards against a second route on the same host and prefix that gets no requests, also
// if the hosts differ in case; and against findings about longer prefixes, which match.
func TestCheck_AgreesWithTableAboutPrefixes(t *testing.T) {
	is := is.New(t)
	var d Document
	for _, r := range []route.Route{
		{Name: "short", Host: "h", Prefix: "/a/"},
		{Name: "long", Host: "h", Prefix: "/a/b/"},
		{Name: "again", Host: "H", Prefix: "/a/"},
		{Name: "other host", Host: "o", Prefix: "/a/"},
	} {
		d.Routes = append(d.Routes, Route{Route: r})
	}
	found := Check(&d, nil, Bounds{})
	for i, want := range []bool{false, false, true, false} {
		is.Equal(neverMatches(found, i), want)
	}
}

// Guards against an empty API key that is taken for harmless: the gateway accepts
// requests without a key by it.
func TestCheck_EmptyKeyIsAnError(t *testing.T) {
	is := is.New(t)
	workspaces := []route.Workspace{{Name: "w", Keys: []string{""}}}
	is.True(route.NewTable(&route.Config{Workspaces: workspaces}).Workspace("") != nil)
	found := Check(&Document{Version: 1, Workspaces: workspaces}, nil, Bounds{})
	is.Equal(found[0].Severity, Error)
	is.Equal(found[0].Path, Path{{FieldWorkspaces, 0}, {FieldKeys, 0}})
}

// Guards against paths that share their memory: one finding would name the field of
// another.
func TestPath_EntriesAreIndependent(t *testing.T) {
	is := is.New(t)
	p := make(Path, 0, 8).entry(FieldRoutes, 0)
	host, prefix := p.field(FieldHost), p.field(FieldPrefix)
	is.Equal(host[1].Field, FieldHost)
	is.Equal(prefix[1].Field, FieldPrefix)
}

// Guards against a timeout of 0, which means the gateway's default, that is taken for a
// contradiction with every objective.
func TestCheck_NoObjectiveIsAboveATimeoutThatIsNotSet(t *testing.T) {
	is := is.New(t)
	d := &Document{Version: 1, Routes: []Route{{LatencyGoal: time.Second, GapTarget: time.Second}}}
	for _, f := range Check(d, nil, Bounds{}) {
		is.True(!strings.Contains(f.Text, "above the timeout"))
	}
}
