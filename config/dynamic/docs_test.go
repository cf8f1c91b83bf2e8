package dynamic

import (
	"os"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// readPage returns the text of a page's sections by heading, and the page's TOML
// examples.
func readPage(t *testing.T, path string) (tables map[string]string, examples []string) {
	t.Helper()
	text, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	tables = make(map[string]string)
	for _, part := range strings.Split(string(text), "\n## ")[1:] {
		heading, body, _ := strings.Cut(part, "\n")
		tables[heading] = body
		if _, example, ok := strings.Cut(body, "```toml\n"); ok {
			example, _, _ = strings.Cut(example, "```")
			examples = append(examples, example)
		}
	}
	return tables, examples
}

// requireRows fails the test unless the documented table of a section has exactly
// one row per field, with its default and whether an overlay may set it.
func requireRows[T any](t *testing.T, s section[T], defaults *T, tables map[string]string) {
	t.Helper()
	is := is.New(t)
	table := tables["`["+s.key+".NAME]`"]
	is.Equal(strings.Count(table, "\n| `"), len(s.fields))
	for _, f := range s.fields {
		_, row, found := strings.Cut(table, "\n| `"+f.key+"` |")
		if !found {
			t.Errorf("no row for %s.NAME.%s", s.key, f.key)
			continue
		}
		row, _, _ = strings.Cut(row, "\n")
		overlay := map[bool]string{true: "| yes |", false: "| no |"}[f.overridable]
		is.True(strings.HasSuffix(row, overlay)) // whether an overlay may set it
		// The default of burst depends on requests_per_sec.
		if f.key != "burst" {
			is.True(strings.Contains(row, "| `"+f.format(defaults)+"`")) // its default
		}
	}
}

func TestDocumentation_ListsEachKeyWithDefault(t *testing.T) {
	tables, _ := readPage(t, "../../docs/operators/configuration.md")
	requireRows(t, modelSection, modelSection.newDefault(""), tables)
	requireRows(t, serviceSection, serviceSection.newDefault(""), tables)
	requireRows(t, workspaceSection, workspaceSection.newDefault(""), tables)
}

func TestDocumentation_ExamplesMergeWithoutProblems(t *testing.T) {
	is := is.New(t)
	_, examples := readPage(t, "../../docs/operators/configuration.md")
	is.Equal(len(examples), 2)
	is.NoErr(Check(parseBoth(t, examples[0], examples[1])))
}
