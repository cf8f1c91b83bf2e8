package cli

import (
	"bytes"
	"context"
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"

	"cassialatch.dev/cassialatch/internal/command"
	"cassialatch.dev/cassialatch/internal/configcmd"
	"cassialatch.dev/config/dynamic"
	"cassialatch.dev/config/problem"
	"cassialatch.dev/wire/platformapi"
)

// files holds the documents and settings files of the tests by file name.
var files = map[string]string{
	"base.toml":     "[models.klang-model]\nmax_in_flight = 8\n[workspaces.skole]\nmodels = [\"klang-model\"]\n",
	"next.toml":     "[models.klang-model]\nmax_in_flight = 9\n[workspaces.skole]\nmodels = [\"klang-model\"]\n",
	"site.toml":     "site = \"vestland\"\n[workspaces.skole]\nweight = 2\n",
	"inactive.toml": "[models.gone]\nmax_in_flight = 3\n",
	"settings.toml": "id = \"vm-1\"\nsite = \"vestland\"\nzone = \"bergen-a\"\n" +
		"[listen]\ncaller = \"10.0.0.1:1\"\npeer = \"10.0.0.1:2\"\noperator = \"10.0.0.1:3\"\n" +
		"[platform]\naddresses = [\"10.1.0.1:80\"]\n[tls]\nmode = \"off\"\n" +
		"[[keys]]\nid = \"k\"\nsecret = \"MDEyMzQ1Njc4OWFiY2RlZjAxMjM0NTY3ODlhYmNkZWY=\"\n",
	"syntax.toml":    "a =\n",
	"unknown.toml":   "[models.m]\nx = 1\n",
	"type.toml":      "\n[models.m]\nmax_in_flight = \"8\"\n",
	"unit.toml":      "[models.m]\ndeadline = 5\n",
	"missing.toml":   "[workspaces.w]\n",
	"range.toml":     "[models.m]\nload_factor = 0.5\n",
	"dangling.toml":  "[workspaces.w]\nmodels = [\"gone\"]\n",
	"duplicate.toml": "[models.m]\n[models.m]\n",
	"forbidden.toml": "[models.klang-model]\nload_factor = 2\n",
	"large.toml":     strings.Repeat("#", platformapi.MaxBodyBytes+1),
}

// chdirTestFiles writes the test files to a new directory and makes it the working
// directory.
func chdirTestFiles(t *testing.T) {
	t.Helper()
	is := is.New(t)
	dir := t.TempDir()
	for name, text := range files {
		is.NoErr(os.WriteFile(filepath.Join(dir, name), []byte(text), 0o600))
	}
	t.Chdir(dir)
}

// result is the exit code and the output of one run of the tool.
type result struct {
	code        command.ExitCode
	out, errOut string
}

// run executes the tool with the arguments.
func run(ctx context.Context, args ...string) result {
	var out, errOut bytes.Buffer
	code := Run(ctx, args, &out, &errOut)
	return result{code: code, out: out.String(), errOut: errOut.String()}
}

func TestRun_ReportsLocationAndExitCodeOfBadFiles(t *testing.T) {
	chdirTestFiles(t)
	tests := []struct {
		args string
		line int
		key  string
		kind problem.Kind
	}{
		{"config check syntax.toml", 1, "", problem.Syntax},
		{"config check unknown.toml", 2, "models.m.x", problem.UnknownKey},
		{"config render type.toml", 3, "models.m.max_in_flight", problem.WrongType},
		{"config check unit.toml", 2, "models.m.deadline", problem.MissingUnit},
		{"config check missing.toml", 1, "workspaces.w.models", problem.MissingKey},
		{"config diff base.toml range.toml", 2, "models.m.load_factor", problem.OutOfRange},
		{"config check dangling.toml", 2, "workspaces.w.models[0]", problem.DanglingReference},
		{"config check duplicate.toml", 2, "models.m", problem.Duplicate},
		{"config check base.toml forbidden.toml", 2, "models.klang-model.load_factor", problem.ForbiddenOverride},
		{"config check base.toml inactive.toml", 1, "models.gone", problem.DanglingReference},
		{"config check large.toml", 1, "", problem.OutOfRange},
		{"config check none.toml", 0, "", problem.Unreadable},
		{"settings check none.toml", 0, "", problem.Unreadable},
		{"settings check syntax.toml", 1, "", problem.Syntax},
	}
	for _, tt := range tests {
		t.Run(tt.args, func(t *testing.T) {
			is := is.New(t)
			args := strings.Fields(tt.args)
			file := args[len(args)-1]
			r := run(t.Context(), append(args, "--json")...)
			is.Equal(r.code, command.ExitBadInput)
			var failure command.Failure
			is.NoErr(json.Unmarshal([]byte(r.out), &failure))
			is.Equal(failure.ExitCode, command.ExitBadInput)
			is.Equal(len(failure.Problems), 1)
			p := *failure.Problems[0]
			is.Equal([]any{p.File, p.Line, p.Key, p.Kind}, []any{file, tt.line, tt.key, tt.kind})
			r = run(t.Context(), args...)
			is.Equal(r.code, command.ExitBadInput)
			is.Equal(r.out, "")
			is.Equal(r.errOut, p.Error()+"\n")
		})
	}
}

func TestConfigCheck_ReportsProblemsOfBaseAndOverlay(t *testing.T) {
	is := is.New(t)
	chdirTestFiles(t)
	r := run(t.Context(), "config", "check", "unit.toml", "forbidden.toml")
	is.Equal(r.code, command.ExitBadInput)
	is.Equal(strings.Count(r.errOut, "\n"), 2)
}

func TestFileCommands(t *testing.T) {
	chdirTestFiles(t)
	tests := []struct{ args, out, errOut string }{
		{"config check base.toml", "ok: 1 models, 0 services, 1 workspaces\n", ""},
		{"config check base.toml site.toml", "ok: 1 models, 0 services, 1 workspaces\n", ""},
		{"config diff base.toml base.toml,site.toml", "CHANGE   KEY                      OLD  NEW\nchanged  workspaces.skole.weight  1    2\n", ""},
		{"config diff base.toml base.toml", "no changes\n", ""},
		{"settings check settings.toml", "ok: daemon vm-1, site vestland, availability zone bergen-a\n", "warning: tls.mode is off\n"},
	}
	for _, tt := range tests {
		t.Run(tt.args, func(t *testing.T) {
			is := is.New(t)
			is.Equal(run(t.Context(), strings.Fields(tt.args)...), result{command.ExitOK, tt.out, tt.errOut})
		})
	}
}

func TestConfigRender_ShowsDefaultsAndWarnsOfInactiveEntries(t *testing.T) {
	is := is.New(t)
	chdirTestFiles(t)
	r := run(t.Context(), "config", "render", "base.toml", "inactive.toml")
	is.Equal(r.code, command.ExitOK)
	is.True(strings.Contains(r.out, "load_factor = 1.25\n"))
	is.True(strings.HasPrefix(r.errOut, "warning: inactive models.gone: dangling reference"))
}

func TestConfigDiff_WritesTypedChanges(t *testing.T) {
	is := is.New(t)
	chdirTestFiles(t)
	r := run(t.Context(), "config", "diff", "--json", "base.toml", "next.toml")
	var got configcmd.DiffResult
	is.NoErr(json.Unmarshal([]byte(r.out), &got))
	is.Equal(got.Changes, []dynamic.Change{
		{Kind: dynamic.Changed, Key: "models.klang-model.max_in_flight", Old: "8", New: "9"},
	})
}

func TestRun_InvalidUsage(t *testing.T) {
	for _, args := range []string{
		"", "bogus", "config", "config bogus", "help bogus", "config check", "config check a b c", "config diff a",
		"config diff a,b,c d", "config check -bogus a", "settings check", "status", "status -daemon nowhere -tls-off",
		"status -daemon 127.0.0.1:1", "status -daemon 127.0.0.1:1 -tls-off -tls-ca x", "status extra",
		"status -daemon 127.0.0.1:1 -tls-ca no -tls-cert no -tls-key no", "status -daemon 127.0.0.1:1 -tls-cert no",
		"route explain -daemon 127.0.0.1:1 -tls-off", "watch -daemon 127.0.0.1:1 -tls-off -interval 0s",
	} {
		t.Run(args, func(t *testing.T) {
			is := is.New(t)
			r := run(t.Context(), strings.Fields(args)...)
			is.Equal(r.code, command.ExitBadInput)
			is.Equal(r.out, "")
			is.True(r.errOut != "")
			if args == "" {
				return // shows the help text, also with --json
			}
			r = run(t.Context(), append(strings.Fields(args), "--json")...)
			is.Equal(r.code, command.ExitBadInput)
			is.True(json.Valid([]byte(r.out)))
		})
	}
}

func TestHelp(t *testing.T) {
	is := is.New(t)
	for _, c := range commands {
		words := strings.Fields(c.Name)
		r := run(t.Context(), append([]string{"help"}, words...)...)
		is.Equal(r.code, command.ExitOK)
		is.True(strings.Contains(r.out, c.Summary))
		is.Equal(run(t.Context(), append(words, "-h")...), r)
	}
	r := run(t.Context(), "help")
	is.Equal(r.code, command.ExitOK)
	is.True(strings.Contains(r.out, "route explain"))
	is.Equal(run(t.Context(), "version").code, command.ExitOK)
}
