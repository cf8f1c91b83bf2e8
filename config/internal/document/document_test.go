package document

import (
	"slices"
	"testing"

	"github.com/pelletier/go-toml/v2"
)

// holdsUnchecked tells whether the tree holds a value that the decoder may
// refuse and the builder leaves to the typed readers: a time, or a number that
// is too large.
func holdsUnchecked(n *node) bool {
	if n.kind == kindTime {
		return true
	}
	if n.kind == kindInteger || n.kind == kindFloat {
		_, err := parseFloat(n)
		return err != nil
	}
	return slices.ContainsFunc(n.children, holdsUnchecked) || slices.ContainsFunc(n.items, holdsUnchecked)
}

// FuzzParse holds the tree builder to the library's decoder: both take the same
// texts.
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
		if got != nil && want == nil || got == nil && want != nil && !holdsUnchecked(d.root) {
			t.Fatalf("decoder says %v, tree builder %v", want, got)
		}
	})
}
