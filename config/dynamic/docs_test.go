package dynamic

import (
	"os"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// readPage returns a page's tables by heading and its TOML examples.
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

// expectRows fails unless the table has a row for each field, and for no other
// key, that tells whether an overlay may set it.
func expectRows[T any](t *testing.T, s section[T], defaults *T, tables map[string]string) {
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
		overlay := map[bool]string{true: "| yes |", false: "| no |"}[f.site]
		is.True(strings.HasSuffix(row, overlay)) // whether an overlay may set it
		if f.key != "burst" {
			is.True(strings.Contains(row, "| `"+f.text(defaults)+"`")) // its default
		}
	}
}

func TestPageListsEachKeyWithItsDefault(t *testing.T) {
	tables, _ := readPage(t, "../../docs/operators/configuration.md")
	expectRows(t, modelSection, modelSection.fresh(""), tables)
	expectRows(t, serviceSection, serviceSection.fresh(""), tables)
	expectRows(t, workspaceSection, workspaceSection.fresh(""), tables)
}

func TestExamplesOfThePageFitTogether(t *testing.T) {
	is := is.New(t)
	_, examples := readPage(t, "../../docs/operators/configuration.md")
	is.Equal(len(examples), 2)
	is.NoErr(Check(parseBoth(t, examples[0], examples[1])))
}
