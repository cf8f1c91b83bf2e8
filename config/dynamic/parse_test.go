package dynamic

import (
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"cassialatch.dev/config/problem"
)

const validBase = `[models.klang-model]
max_in_flight = 8
min_in_flight = 2
queue_timeout = "1s"
adapters = ["bells"]

[services.arkiv-app]
deadline = "5s"

[[services.arkiv-app.rules]]
prefix = "/search"
methods = ["POST"]
idempotent = true
class = "short"

[workspaces.skole]
models = ["klang-model"]
services = ["arkiv-app"]
requests_per_sec = 2.5
`

const validOverlay = `site = "vestland"

[models.klang-model]
max_in_flight = 12

[services.arkiv-app]
deadline = "7s"

[workspaces.skole]
weight = 3

[workspaces.bergen]
models = ["klang-model"]
class = "short"
`

// location is the file, line, key and kind of a problem.
type location struct {
	File string
	Line int
	Key  string
	Kind problem.Kind
}

func locationsOf(err error) []location {
	var errs problem.Errors
	errors.As(err, &errs)
	var locations []location
	for _, e := range errs {
		locations = append(locations, location{e.File, e.Line, e.Key, e.Kind})
	}
	return locations
}

func TestParseBase_AppliesDefaults(t *testing.T) {
	is := is.New(t)
	b, err := ParseBase("base.toml", []byte(validBase))
	is.NoErr(err)
	model := newDefaultModel("klang-model")
	model.MaxInFlight, model.QueueTimeout, model.Adapters = 8, time.Second, []string{"bells"}
	is.Equal(b.Models["klang-model"], model)
	service := newDefaultService("arkiv-app")
	service.Deadline = 5 * time.Second
	service.Rules = []Rule{{Prefix: "/search", Methods: []string{"POST"}, Idempotent: true, Class: ClassShort}}
	is.Equal(b.Services["arkiv-app"], service)
	is.Equal(b.Workspaces["skole"], &Workspace{
		Name: "skole", Models: []string{"klang-model"}, Services: []string{"arkiv-app"},
		Class: ClassChat, RequestsPerSec: 2.5, Burst: 3, Weight: 1,
	})
}

func TestParseBase_LowersDefaultsToMaxInFlight(t *testing.T) {
	is := is.New(t)
	b, err := ParseBase("base.toml", []byte("[models.m]\nmax_in_flight = 1\n"))
	is.NoErr(err)
	is.Equal(b.Models["m"].MinInFlight, 1)
	is.Equal(b.Models["m"].ShortReserve, 0)
}

func TestParseBase_ReportsFileLineAndKey(t *testing.T) {
	tests := []struct {
		name     string
		old, new string
		kind     problem.Kind
		line     int
		key      string
	}{
		{"syntax", "[services.arkiv-app]", "[services.arkiv-app", problem.Syntax, 7, ""},
		{"unknown key", "adapters", "adaptors", problem.UnknownKey, 5, "models.klang-model.adaptors"},
		{"unknown key in a rule", "idempotent", "idempotant", problem.UnknownKey, 13, "services.arkiv-app.rules[0].idempotant"},
		{"unknown table", "[models.klang-model]", "[sites.x]\n[models.klang-model]", problem.UnknownKey, 1, "sites"},
		{"wrong type", "= 8", "= true", problem.WrongType, 2, "models.klang-model.max_in_flight"},
		{"wrong item type", "[\"bells\"]", "[7]", problem.WrongType, 5, "models.klang-model.adapters[0]"},
		{"entry is not a table", "[models.klang-model]", "[models]\nx = 1\n[models.klang-model]", problem.WrongType, 2, "models.x"},
		{"missing unit", "\"1s\"", "1", problem.MissingUnit, 4, "models.klang-model.queue_timeout"},
		{"number without unit in a string", "\"1s\"", "\"1\"", problem.MissingUnit, 4, "models.klang-model.queue_timeout"},
		{"missing prefix", "prefix = \"/search\"", "", problem.MissingKey, 10, "services.arkiv-app.rules[0].prefix"},
		{"workspace without access", "[workspaces.skole]", "[workspaces.x]\n[workspaces.skole]", problem.MissingKey, 16, "workspaces.x.models"},
		{"load factor below 1", "queue_timeout = \"1s\"", "load_factor = 0.9", problem.OutOfRange, 4, "models.klang-model.load_factor"},
		{"budget above 1", "queue_timeout = \"1s\"", "retry_budget = 2", problem.OutOfRange, 4, "models.klang-model.retry_budget"},
		{"budget not a number", "queue_timeout = \"1s\"", "hedge_budget = nan", problem.OutOfRange, 4, "models.klang-model.hedge_budget"},
		{"min above max", "min_in_flight = 2", "min_in_flight = 9", problem.OutOfRange, 3, "models.klang-model.min_in_flight"},
		{"reserve not below max", "queue_timeout = \"1s\"", "short_reserve = 8", problem.OutOfRange, 4, "models.klang-model.short_reserve"},
		{"rate without burst", "requests_per_sec = 2.5", "requests_per_sec = 2.5\nburst = 0", problem.OutOfRange, 20, "workspaces.skole.burst"},
		{"path without slash", "\"/search\"", "\"search\"", problem.OutOfRange, 11, "services.arkiv-app.rules[0].prefix"},
		{"method in small letters", "\"POST\"", "\"post\"", problem.OutOfRange, 12, "services.arkiv-app.rules[0].methods[0]"},
		{"unknown class", "\"short\"", "\"tiny\"", problem.OutOfRange, 14, "services.arkiv-app.rules[0].class"},
		{"invalid name", "[models.klang-model]", "[models.\"a b\"]\n[models.klang-model]", problem.OutOfRange, 1, "models.\"a b\""},
		{"dangling model", "[\"klang-model\"]", "[\n\"klang-model\",\n\"gone\"]", problem.DanglingReference, 19, "workspaces.skole.models[1]"},
		{"dangling service", "[\"arkiv-app\"]", "[\"gone\"]", problem.DanglingReference, 18, "workspaces.skole.services[0]"},
		{"repeated key", "min_in_flight = 2", "max_in_flight = 9", problem.Duplicate, 3, "models.klang-model.max_in_flight"},
		{"repeated table", "[services.arkiv-app]", "[models.klang-model]\n[services.arkiv-app]", problem.Duplicate, 7, "models.klang-model"},
		{"repeated reference", "[\"klang-model\"]", "[\"klang-model\", \"klang-model\"]", problem.Duplicate, 17, "workspaces.skole.models[1]"},
		{"service named as a model", "[workspaces.skole]", "[services.klang-model]\n[workspaces.skole]", problem.Duplicate, 16, "services.klang-model"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			is.True(strings.Contains(validBase, tt.old))
			_, err := ParseBase("base.toml", []byte(strings.Replace(validBase, tt.old, tt.new, 1)))
			is.Equal(locationsOf(err), []location{{"base.toml", tt.line, tt.key, tt.kind}})
		})
	}
}

func TestParseBase_ReportsAllProblems(t *testing.T) {
	is := is.New(t)
	_, err := ParseBase("base.toml", []byte("[models.m]\nadapters = [1, 2]\nx = 1\n[workspaces.w]\nmodels = [\"n\", \"o\"]\nweight = 0\n"))
	is.Equal(locationsOf(err), []location{
		{"base.toml", 2, "models.m.adapters[0]", problem.WrongType},
		{"base.toml", 2, "models.m.adapters[1]", problem.WrongType},
		{"base.toml", 3, "models.m.x", problem.UnknownKey},
		{"base.toml", 5, "workspaces.w.models[0]", problem.DanglingReference},
		{"base.toml", 5, "workspaces.w.models[1]", problem.DanglingReference},
		{"base.toml", 6, "workspaces.w.weight", problem.OutOfRange},
	})
}

func TestParseOverlay_ReportsFileLineAndKey(t *testing.T) {
	tests := []struct {
		name, text string
		kind       problem.Kind
		line       int
		key        string
	}{
		{"syntax", "site = \"a\"\n[models\n", problem.Syntax, 2, ""},
		{"unknown key", "[models.m]\nweights = 1\n", problem.UnknownKey, 2, "models.m.weights"},
		{"wrong type", "[models.m]\nmax_in_flight = \"8\"\n", problem.WrongType, 2, "models.m.max_in_flight"},
		{"missing unit", "[services.s]\ndeadline = 5\n", problem.MissingUnit, 2, "services.s.deadline"},
		{"out of range", "[workspaces.w]\nweight = 0\n", problem.OutOfRange, 2, "workspaces.w.weight"},
		{"invalid site", "site = \"a b\"\n", problem.OutOfRange, 1, "site"},
		{"inconsistent site workspace", "[workspaces.w]\nmodels = []\nrequests_per_sec = 1\nburst = 0\n", problem.OutOfRange, 4, "workspaces.w.burst"},
		{"duplicate", "[models.m]\n[models.m]\n", problem.Duplicate, 2, "models.m"},
		{"load factor", "[models.m]\nload_factor = 9.0\n", problem.ForbiddenOverride, 2, "models.m.load_factor"},
		{"fence", "[models.m]\nchecks_fence = true\n", problem.ForbiddenOverride, 2, "models.m.checks_fence"},
		{"adapters", "[models.m]\nadapters = []\n", problem.ForbiddenOverride, 2, "models.m.adapters"},
		{"key check", "[services.s]\nchecks_key = true\n", problem.ForbiddenOverride, 2, "services.s.checks_key"},
		{"rules", "[services.s]\n[[services.s.rules]]\nprefix = \"/\"\n", problem.ForbiddenOverride, 2, "services.s.rules"},
		{"class of a base workspace", "[workspaces.w]\nclass = \"short\"\n", problem.ForbiddenOverride, 2, "workspaces.w.class"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			_, err := ParseOverlay("site.toml", []byte(tt.text))
			is.Equal(locationsOf(err), []location{{"site.toml", tt.line, tt.key, tt.kind}})
		})
	}
}
