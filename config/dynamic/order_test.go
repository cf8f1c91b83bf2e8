package dynamic

import (
	"fmt"
	"reflect"
	"testing"

	"pgregory.net/rapid"
)

// replica models how a daemon receives documents: it keeps the highest valid
// version of each document received so far.
type replica struct {
	base    *Base
	overlay *Overlay
}

type published struct {
	overlay bool
	version uint64
	text    string
}

func (r *replica) receive(p published) {
	if p.overlay {
		o, err := ParseOverlay("site.toml", []byte(p.text))
		if err == nil && (r.overlay == nil || p.version > r.overlay.Version) {
			o.Version, r.overlay = p.version, o
		}
		return
	}
	b, err := ParseBase("base.toml", []byte(p.text))
	if err == nil && (r.base == nil || p.version > r.base.Version) {
		b.Version, r.base = p.version, b
	}
}

// drawDocument generates a document that may be invalid or not fit the other
// document.
func drawDocument(t *rapid.T, version uint64) published {
	overlay := rapid.Bool().Draw(t, "overlay")
	model := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "model")
	low := rapid.IntRange(0, 4).Draw(t, "min")
	high := rapid.IntRange(1, 4).Draw(t, "max")
	text := fmt.Sprintf("[models.%s]\nmin_in_flight = %d\n", model, low)
	if !overlay || rapid.Bool().Draw(t, "both") {
		text += fmt.Sprintf("max_in_flight = %d\nshort_reserve = 0\n", high)
	}
	usedModel := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "used model")
	text += fmt.Sprintf("[workspaces.w%d]\nmodels = [%q]\n", rapid.IntRange(0, 1).Draw(t, "workspace"), usedModel)
	return published{overlay: overlay, version: version, text: text}
}

func TestMerge_IndependentOfArrivalOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		documents := make([]published, rapid.IntRange(1, 8).Draw(t, "documents"))
		for i := range documents {
			documents[i] = drawDocument(t, uint64(i+1))
		}
		var inOrder, shuffled replica
		for _, p := range documents {
			inOrder.receive(p)
		}
		for _, p := range rapid.Permutation(documents).Draw(t, "order") {
			shuffled.receive(p)
		}
		a, b := Merge(inOrder.base, inOrder.overlay), Merge(shuffled.base, shuffled.overlay)
		if !reflect.DeepEqual(a, b) {
			t.Fatalf("in order:\n%s\nshuffled:\n%s", Render(a), Render(b))
		}
	})
}
