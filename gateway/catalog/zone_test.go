package catalog

import (
	"encoding/json"
	"errors"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// Guards against requests to servers of an evacuated zone, and against servers that leave
// on their own but are taken for evacuated ones.
func TestView_SeparatesServersOfEvacuatedZones(t *testing.T) {
	is := is.New(t)
	c := New((&fakeClock{now: 1}).read)
	servers := []Server{
		{ID: "a", Service: "s", Zone: "x"}, {ID: "b", Service: "s", Zone: "y"}, {ID: "c", Service: "s", Zone: "x", Draining: true},
	}
	c.Adopt(State{Revision: 1, Servers: servers, Evacuated: []string{"x"}}, tableVersion(1), 1)
	v := c.View()
	is.Equal(len(v.ByService["s"]), 1)
	is.Equal(v.ByService["s"][0].ID, "b")
	is.Equal(len(v.EvacuatedByService["s"]), 1)
	is.Equal(len(v.DrainingByService["s"]), 1)
	is.Equal(len(v.Servers), 3)
	is.True(v.Evacuated["x"] && !v.Evacuated["y"])
	c.Adopt(State{Revision: 2, Servers: servers}, nil, 1)
	is.Equal(len(c.View().ByService["s"]), 2)
	is.Equal(c.View().Evacuated, nil)
}

// The list is part of what peers compare, and costs nothing where it is empty.
func TestEvacuated_IsPartOfContentHash(t *testing.T) {
	is := is.New(t)
	plain, one := State{RawRev: 9}, State{RawRev: 9, Evacuated: []string{`x"|evacuated "y`}}
	two := State{RawRev: 9, Evacuated: []string{"x", "y"}}
	is.True(contentHash(&plain) != contentHash(&one))
	is.True(contentHash(&one) != contentHash(&two))
	b, err := json.Marshal(&plain)
	is.NoErr(err)
	is.True(!strings.Contains(string(b), "Evacuated"))
	b, err = json.Marshal(&two)
	is.NoErr(err)
	var read State
	is.NoErr(json.Unmarshal(b, &read))
	is.Equal(read.Evacuated, two.Evacuated)
}

// Guards against names that no zone has, and lists that differ in order only.
func TestUsableZones(t *testing.T) {
	is := is.New(t)
	var rejected []error
	zones := UsableZones([]string{"b", "", "a/1", "b", "málaga", "\xff", "a\n", strings.Repeat("x", 201)}, func(err error) { rejected = append(rejected, err) })
	is.Equal(zones, []string{"a/1", "b", "málaga"})
	is.Equal(len(rejected), 4)
	var bad *ZoneError
	is.True(errors.As(rejected[0], &bad) && errors.Is(rejected[0], ErrNotAZone))
	is.True(UsableZones(nil, nil) == nil)
}
