package adopt_test

import (
	"fmt"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"cassialatch.dev/config/dynamic"
	"cassialatch.dev/fleet/adopt"
	"cassialatch.dev/wire/platformapi"
)

// base returns version v of the base document, with one model whose limit is
// the version.
func base(v uint64, model string) *platformapi.Document {
	body := fmt.Sprintf("[models.%s]\nmax_in_flight = %d\nmin_in_flight = 1\nshort_reserve = 0\n", model, v)
	return &platformapi.Document{Name: "base", Version: v, Body: body}
}

// overlay returns version v of the overlay, which gives a model a limit of ten
// times the version.
func overlay(v uint64, model string) *platformapi.Document {
	body := fmt.Sprintf("site = \"vestland\"\n[models.%s]\nmax_in_flight = %d\n", model, 10*v)
	return &platformapi.Document{Name: "site/vestland", Version: v, Body: body}
}

// invalid returns version v of a document that cannot be parsed.
func invalid(name string, v uint64) *platformapi.Document {
	return &platformapi.Document{Name: name, Version: v, Body: "no such key = "}
}

// newAdopter returns an Adopter and the list of the configurations that come into
// force.
func newAdopter() (*adopt.Adopter, *[]*dynamic.Config) {
	var inForce []*dynamic.Config
	a := adopt.New("vestland", func(c *dynamic.Config) { inForce = append(inForce, c) })
	return a, &inForce
}

// TestModelCounterexamples replays the shortest counterexamples that
// model/README.md lists for the mutants of config.pml. Each mutant breaks one
// rule of the adoption.
func TestModelCounterexamples(t *testing.T) {
	for _, tc := range []struct {
		mutant   string
		offered  []*platformapi.Document
		versions [2]uint64 // of base and overlay in force
		inactive int       // overlay entries without effect
	}{
		{"MUT_LOWER_ACCEPTED", []*platformapi.Document{base(2, "m"), base(1, "m")}, [2]uint64{2, 0}, 0},
		{"MUT_LOWER_ACCEPTED, overlay", []*platformapi.Document{base(2, "m"), overlay(2, "m"), overlay(1, "m")}, [2]uint64{2, 2}, 0},
		{"MUT_INVALID_ACCEPTED", []*platformapi.Document{base(1, "m"), invalid("base", 2)}, [2]uint64{1, 0}, 0},
		{"MUT_INVALID_ACCEPTED, overlay", []*platformapi.Document{base(1, "m"), overlay(1, "m"), invalid("site/vestland", 2)}, [2]uint64{1, 1}, 0},
		{"MUT_JOINT_ACCEPTANCE, B: overlay first", []*platformapi.Document{base(1, "m"), overlay(1, "m"), overlay(2, "m"), base(2, "n")}, [2]uint64{2, 2}, 1},
		{"MUT_JOINT_ACCEPTANCE, C: base first", []*platformapi.Document{base(1, "m"), overlay(1, "m"), base(2, "n"), overlay(2, "m")}, [2]uint64{2, 2}, 1},
		{"another site's overlay", []*platformapi.Document{base(1, "m"), {Name: "site/junin", Version: 9, Body: "site = \"junin\"\n"}}, [2]uint64{1, 0}, 0},
	} {
		t.Run(tc.mutant, func(t *testing.T) {
			is := is.New(t)
			a, _ := newAdopter()
			for _, doc := range tc.offered {
				a.Offer(doc)
			}
			c := a.Config()
			is.Equal([2]uint64{c.BaseVersion, c.OverlayVersion}, tc.versions)
			is.Equal(len(c.Inactive), tc.inactive)
		})
	}
}

// TestOffer_ResultIndependentOfOrder offers the same documents in random order,
// some of them twice. The final configuration is always the same, and no version
// decreases on the way.
func TestOffer_ResultIndependentOfOrder(t *testing.T) {
	documents := []*platformapi.Document{
		base(1, "m"), base(2, "n"), base(3, "m"), invalid("base", 4),
		overlay(1, "m"), overlay(2, "n"), overlay(3, "m"), invalid("site/vestland", 4),
	}
	rapid.Check(t, func(t *rapid.T) {
		a, inForce := newAdopter()
		arrivals := rapid.Permutation(append(documents, documents[:4]...)).Draw(t, "arrivals")
		for _, doc := range arrivals {
			a.Offer(doc)
		}
		var last [2]uint64
		for _, c := range *inForce {
			now := [2]uint64{c.BaseVersion, c.OverlayVersion}
			if now[0] < last[0] || now[1] < last[1] {
				t.Fatalf("versions of base and overlay decreased from %v to %v", last, now)
			}
			last = now
		}
		if last != [2]uint64{3, 3} || a.Config().Models["m"].MaxInFlight != 30 || len(a.Config().Inactive) != 0 {
			t.Fatalf("final versions %v, configuration %+v", last, a.Config())
		}
	})
}
