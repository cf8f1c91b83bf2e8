package document

import (
	"slices"
	"testing"

	"github.com/pelletier/go-toml/v2"
)

// containsUnvalidated reports whether the tree contains a value that the decoder
// may reject but the tree builder does not validate: a time, or a number that is
// out of range. The typed read methods validate these.
func containsUnvalidated(n *node) bool {
	if n.kind == kindTime {
		return true
	}
	if n.kind == kindInteger || n.kind == kindFloat {
		_, err := parseFloat(n)
		return err != nil
	}
	return slices.ContainsFunc(n.children, containsUnvalidated) || slices.ContainsFunc(n.items, containsUnvalidated)
}

// FuzzParse checks that the tree builder and the library's decoder accept the same
// texts, except for values that only the typed read methods validate.
func FuzzParse(f *testing.F) {
	for _, seed := range []string{
		"a.b.c = 1\n[a]\nb = nan\n",
		"a = {b = 1, c.d = [1, {e = 2}]}\n[a.x]\n",
		"[[a]]\n[a.b]\n[[a]]\n[a.b]\n[a]\n",
		"[a.b]\n[a]\nb.c = 1\n",
		"a.b.c = 1\n[a.b.d]\n[a.b]\n",
		"[a]\nb.c = 1\n[a.b]\n",
		"a = [1]\n[[a]]\n",
		"[a]\n[[a]]\n",
		"[[a.b]]\n[a]\nb.c = 1\n",
		"n = [1__0, 0x_1, 9223372036854775808, 1.e1]\n",
		"t = 2020-13-01\n",
		"s = \"\\u00e9\"\n'q.r' = '''x\ny'''\n",
		"s = \"\xff\"\n",
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		var ignored any
		want := toml.Unmarshal(text, &ignored)
		d := Parse("f.toml", text)
		got := d.problems.OrNil()
		if got != nil && want == nil || got == nil && want != nil && !containsUnvalidated(d.root) {
			t.Fatalf("decoder returned %v, tree builder %v", want, got)
		}
	})
}
