package platform_test

import (
	"bytes"
	"io"
	"net/http"
	"slices"
	"testing"
	"time"

	"cassialatch.dev/config/dynamic"
	"cassialatch.dev/fleet/adopt"
	"cassialatch.dev/fleet/member"
	"cassialatch.dev/fleet/platform"
	"cassialatch.dev/wire/peerpb"
)

// answer is an HTTP transport that always answers with one body.
type answer []byte

// RoundTrip implements http.RoundTripper.
func (a answer) RoundTrip(req *http.Request) (*http.Response, error) {
	body := io.NopCloser(bytes.NewReader(a))
	return &http.Response{StatusCode: http.StatusOK, Body: body, Request: req}, nil
}

// clientOf returns a Client of a platform that answers with a body.
func clientOf(body []byte) *platform.Client {
	return platform.NewClient(platform.Options{
		Addresses: []string{"platform:1"}, Timeout: time.Minute, HTTP: &http.Client{Transport: answer(body)},
	})
}

// FuzzDocument checks that no answer of the platform takes a daemon's
// configuration down or leaves it without one.
func FuzzDocument(f *testing.F) {
	f.Add([]byte(`{"name":"base","version":8,"body":"[models.m]\nmax_in_flight = 4\n"}`))
	f.Add([]byte(`{"name":"site/vestland","version":8,"body":"site = \"vestland\"\n[models.m]\nmax_in_flight = 4\n"}`))
	f.Add([]byte(`{"name":"base","version":6,"body":""}`))
	f.Add([]byte(`{"name":"base","version":-1}`))
	f.Add([]byte(`null`))
	const held = 7
	f.Fuzz(func(t *testing.T, body []byte) {
		a := adopt.New("vestland", func(*dynamic.Config) {})
		first := clientOf([]byte(`{"name":"base","version":7,"body":"[models.m]\nmax_in_flight = 8\n"}`))
		for _, client := range []*platform.Client{first, clientOf(body)} {
			if doc, err := client.Document(t.Context(), "base"); err == nil {
				a.Offer(doc)
			}
		}
		if c := a.Config(); c == nil || c.BaseVersion < held || a.Documents()[0].Version != c.BaseVersion {
			t.Fatalf("in force: %+v", c)
		}
	})
}

// FuzzVMs checks that whatever list the platform gives, groups and homes are
// daemons of the list, each once, and that an older list changes nothing.
func FuzzVMs(f *testing.F) {
	f.Add([]byte(`{"version":8,"vms":[{"id":"e","role":"backend","zone":"z"},{"id":"d","role":"entry","zone":"z"},{"id":"self","role":"entry"}]}`))
	f.Add([]byte(`{"version":8,"vms":[{"id":"x","role":"backend"},{"id":"x","role":"entry"},{"id":"x","role":"entry"}]}`))
	f.Add([]byte(`{"version":8,"vms":[{"role":"backend"},{"role":"entry"},{"role":"?"}]}`))
	f.Add([]byte(`{"version":6,"vms":null}`))
	f.Add([]byte(`[]`))
	const held = 7
	f.Fuzz(func(t *testing.T, body []byte) {
		d := member.NewDirectory(member.Options{Self: &peerpb.Identity{Id: "self"}, PeerTimeout: time.Second}, time.Now)
		first, err := clientOf([]byte(`{"version":7,"vms":[{"id":"e","role":"backend"}]}`)).VMs(t.Context())
		if err != nil || !d.SetVMList(first) {
			t.Fatal(err)
		}
		list, err := clientOf(body).VMs(t.Context())
		newer := err == nil && d.SetVMList(list)
		if d.VMListVersion() < held || newer != (d.VMListVersion() > held) {
			t.Fatalf("version %d", d.VMListVersion())
		}
		for _, server := range d.Servers("") {
			group := slices.Clone(d.Lenders(server.ID))
			taken, found := d.Home(server.ID)
			if found && !slices.Contains(group, taken.ID) || len(group) > member.MaxLenders {
				t.Fatalf("home %v, group %v", taken, group)
			}
			for _, id := range group {
				if _, listed := d.Daemon(id); !listed {
					t.Fatalf("group %v", group)
				}
			}
			slices.Sort(group)
			if len(slices.Compact(group)) != len(d.Lenders(server.ID)) {
				t.Fatalf("group %v", d.Lenders(server.ID))
			}
		}
	})
}
