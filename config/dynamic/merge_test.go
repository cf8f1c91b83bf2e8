package dynamic

import (
	"reflect"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"cassialatch.dev/config/problem"
)

func parseBoth(t *testing.T, base, overlay string) (*Base, *Overlay) {
	t.Helper()
	is := is.New(t)
	b, err := ParseBase("base.toml", []byte(base))
	is.NoErr(err)
	o, err := ParseOverlay("site.toml", []byte(overlay))
	is.NoErr(err)
	b.Version, o.Version = 7, 4
	return b, o
}

func TestMerge_AppliesOverlay(t *testing.T) {
	is := is.New(t)
	b, o := parseBoth(t, validBase, validOverlay)
	is.NoErr(Check(b, o))
	c := Merge(b, o)
	is.Equal(len(c.Inactive), 0)
	is.Equal([]any{c.BaseVersion, c.OverlayVersion, c.Site}, []any{uint64(7), uint64(4), "vestland"})
	is.Equal(c.Models["klang-model"].MaxInFlight, 12)
	is.Equal(c.Models["klang-model"].MinInFlight, 2) // not overridden
	is.Equal(c.Services["arkiv-app"].Deadline, 7*time.Second)
	is.Equal(c.Workspaces["skole"].Weight, 3)
	is.Equal(c.Workspaces["bergen"].Class, ClassShort)
	is.Equal(b.Models["klang-model"].MaxInFlight, 8) // the base is not modified
	is.Equal(len(b.Workspaces), 1)
}

func TestMerge_WithoutOverlayReturnsBase(t *testing.T) {
	is := is.New(t)
	b, _ := parseBoth(t, validBase, "")
	is.NoErr(Check(b, nil))
	is.Equal(Merge(b, nil).Models, b.Models)
}

func TestMerge_OmitsEntriesThatDoNotFitBase(t *testing.T) {
	tests := []struct {
		name, overlay, entry string
		line                 int
		key                  string
		kind                 problem.Kind
	}{
		{"unknown model", "[models.m]\nmax_in_flight = 3\n", "models.m", 1, "models.m", problem.DanglingReference},
		{"unknown service", "\n[services.s]\n", "services.s", 2, "services.s", problem.DanglingReference},
		{"unknown workspace", "[workspaces.w]\nweight = 2\n", "workspaces.w", 1, "workspaces.w", problem.DanglingReference},
		{"min above the base's max", "[models.klang-model]\nretry_budget = 0\nmin_in_flight = 9\n", "models.klang-model", 3, "models.klang-model.min_in_flight", problem.OutOfRange},
		{"max below the base's min", "[models.klang-model]\nmax_in_flight = 1\nshort_reserve = 0\n", "models.klang-model", 2, "models.klang-model.max_in_flight", problem.OutOfRange},
		{"models of a base workspace", "[workspaces.skole]\nmodels = []\n", "workspaces.skole", 1, "workspaces.skole", problem.ForbiddenOverride},
		{"unknown model of a site workspace", "[workspaces.w]\nmodels = [\"klang-model\",\n\"gone\"]\n", "workspaces.w", 3, "workspaces.w.models[1]", problem.DanglingReference},
		{"unknown service of a site workspace", "[workspaces.w]\nservices = [\"gone\"]\n", "workspaces.w", 2, "workspaces.w.services[0]", problem.DanglingReference},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			b, o := parseBoth(t, validBase, tt.overlay)
			is.Equal(locationsOf(Check(b, o)), []location{{"site.toml", tt.line, tt.key, tt.kind}})
			c := Merge(b, o)
			is.Equal(len(c.Inactive), 1)
			is.Equal(c.Inactive[0].Key, tt.entry)
			is.True(c.Inactive[0].Reason != "")
			without := Merge(b, nil) // no part of the entry is applied
			is.Equal(Diff(without, c), []Change(nil))
		})
	}
}

func TestMerge_SortsInactiveEntriesByKey(t *testing.T) {
	is := is.New(t)
	b, o := parseBoth(t, validBase, "[workspaces.z]\n[workspaces.y]\n[services.x]\n[models.q]\n[models.p]\n")
	var keys []string
	for _, i := range Merge(b, o).Inactive {
		keys = append(keys, i.Key)
	}
	is.Equal(keys, []string{"models.p", "models.q", "services.x", "workspaces.y", "workspaces.z"})
}

func TestDiff_ListsChangesByKind(t *testing.T) {
	is := is.New(t)
	b, o := parseBoth(t, validBase, validOverlay)
	is.Equal(Diff(Merge(b, nil), Merge(b, o)), []Change{
		{Kind: Changed, Key: "models.klang-model.max_in_flight", Old: "8", New: "12"},
		{Kind: Changed, Key: "services.arkiv-app.deadline", Old: `"5s"`, New: `"7s"`},
		{Kind: Added, Key: "workspaces.bergen"},
		{Kind: Changed, Key: "workspaces.skole.weight", Old: "1", New: "3"},
	})
	is.Equal(Diff(Merge(b, o), Merge(b, nil))[2], Change{Kind: Removed, Key: "workspaces.bergen"})
}

// requireRenderRoundTrip fails the test unless parsing the rendered configuration
// returns the same entries.
func requireRenderRoundTrip(t *testing.T, c *Config) {
	t.Helper()
	text := Render(c)
	b, err := ParseBase("render.toml", text)
	if err != nil {
		t.Fatalf("rendered text does not parse: %v\n%s", err, text)
	}
	again := Merge(b, nil)
	same := reflect.DeepEqual(c.Models, again.Models) &&
		reflect.DeepEqual(c.Services, again.Services) &&
		reflect.DeepEqual(c.Workspaces, again.Workspaces)
	if !same {
		t.Fatalf("rendered text parses to a different configuration: %v\n%s", Diff(c, again), text)
	}
}

func TestRender_ReturnsStableBaseDocument(t *testing.T) {
	is := is.New(t)
	b, o := parseBoth(t, validBase, validOverlay+"[models.gone]\n")
	c := Merge(b, o)
	requireRenderRoundTrip(t, c)
	text := string(Render(c))
	is.Equal(text, string(Render(Merge(parseBoth(t, validBase, validOverlay+"[models.gone]\n")))))
	is.True(strings.HasPrefix(text, "# base version 7, overlay version 4\n# site vestland\n# inactive models.gone: dangling reference"))
}

func FuzzParseBase(f *testing.F) {
	f.Add([]byte(validBase))
	f.Add([]byte("[models]\n\"a.b\" = {}\n[workspaces.w]\nmodels = [\"a.b\"]\nrequests_per_sec = 1e-3\n"))
	f.Add([]byte("[services.s]\nrules = [{prefix = \"/\", methods = []}]\n"))
	f.Fuzz(func(t *testing.T, text []byte) {
		if b, err := ParseBase("base.toml", text); err == nil {
			requireRenderRoundTrip(t, Merge(b, nil))
		}
	})
}

func FuzzParseOverlay(f *testing.F) {
	f.Add([]byte(validOverlay))
	f.Add([]byte("[models.klang-model]\nmin_in_flight = 9\n[workspaces.\"x.y\"]\nservices = [\"arkiv-app\"]\n"))
	f.Fuzz(func(t *testing.T, text []byte) {
		b, _ := parseBoth(t, validBase, "")
		o, err := ParseOverlay("site.toml", text)
		if err != nil {
			return
		}
		c := Merge(b, o)
		requireRenderRoundTrip(t, c)
		if (Check(b, o) == nil) != (len(c.Inactive) == 0) {
			t.Fatalf("Check returned %v, but inactive entries are %v", Check(b, o), c.Inactive)
		}
	})
}
