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

// staticTransport is an HTTP transport that responds to every request with
// status 200 and the same body.
type staticTransport []byte

// RoundTrip implements http.RoundTripper.
func (s staticTransport) RoundTrip(req *http.Request) (*http.Response, error) {
	body := io.NopCloser(bytes.NewReader(s))
	return &http.Response{StatusCode: http.StatusOK, Body: body, Request: req}, nil
}

// newClient returns a Client whose platform responds with body.
func newClient(body []byte) *platform.Client {
	return platform.NewClient(platform.Options{
		Addresses: []string{"platform:1"}, Timeout: time.Minute, HTTP: &http.Client{Transport: staticTransport(body)},
	})
}

// FuzzDocument checks that no response of the platform replaces a daemon's
// configuration by an older one or leaves the daemon without a configuration.
func FuzzDocument(f *testing.F) {
	f.Add([]byte(`{"name":"base","version":8,"body":"[models.m]\nmax_in_flight = 4\n"}`))
	f.Add([]byte(`{"name":"site/vestland","version":8,"body":"site = \"vestland\"\n[models.m]\nmax_in_flight = 4\n"}`))
	f.Add([]byte(`{"name":"base","version":6,"body":""}`))
	f.Add([]byte(`{"name":"base","version":-1}`))
	f.Add([]byte(`null`))
	const held = 7
	f.Fuzz(func(t *testing.T, body []byte) {
		adopter := adopt.New("vestland", func(*dynamic.Config) {})
		first := newClient([]byte(`{"name":"base","version":7,"body":"[models.m]\nmax_in_flight = 8\n"}`))
		for _, client := range []*platform.Client{first, newClient(body)} {
			if doc, err := client.Document(t.Context(), "base"); err == nil {
				adopter.Offer(doc)
			}
		}
		if c := adopter.Config(); c == nil || c.BaseVersion < held || adopter.Documents()[0].Version != c.BaseVersion {
			t.Fatalf("configuration in force: %+v", c)
		}
	})
}

// FuzzVMs checks for any VM list of the platform that lenders and homes are
// daemons of the list, that a backend server has no lender twice, and that an
// older list is ignored.
func FuzzVMs(f *testing.F) {
	f.Add([]byte(`{"version":8,"vms":[{"id":"e","role":"backend","zone":"z"},{"id":"d","role":"entry","zone":"z"},{"id":"self","role":"entry"}]}`))
	f.Add([]byte(`{"version":8,"vms":[{"id":"x","role":"backend"},{"id":"x","role":"entry"},{"id":"x","role":"entry"}]}`))
	f.Add([]byte(`{"version":8,"vms":[{"role":"backend"},{"role":"entry"},{"role":"?"}]}`))
	f.Add([]byte(`{"version":6,"vms":null}`))
	f.Add([]byte(`[]`))
	const held = 7
	f.Fuzz(func(t *testing.T, body []byte) {
		d := member.NewDirectory(member.Options{Self: &peerpb.Identity{Id: "self"}, PeerTimeout: time.Second}, time.Now)
		first, err := newClient([]byte(`{"version":7,"vms":[{"id":"e","role":"backend"}]}`)).VMs(t.Context())
		if err != nil || !d.SetVMList(first) {
			t.Fatal(err)
		}
		list, err := newClient(body).VMs(t.Context())
		newer := err == nil && d.SetVMList(list)
		if d.VMListVersion() < held || newer != (d.VMListVersion() > held) {
			t.Fatalf("VM list version %d", d.VMListVersion())
		}
		for _, server := range d.Servers("") {
			lenders := slices.Clone(d.Lenders(server.ID))
			home, found := d.Home(server.ID)
			if found && !slices.Contains(lenders, home.ID) || len(lenders) > member.MaxLenders {
				t.Fatalf("home %v, lenders %v", home, lenders)
			}
			for _, id := range lenders {
				if _, listed := d.Daemon(id); !listed {
					t.Fatalf("lenders %v: one is not in the VM list", lenders)
				}
			}
			slices.Sort(lenders)
			if len(slices.Compact(lenders)) != len(d.Lenders(server.ID)) {
				t.Fatalf("lenders %v: one is listed twice", d.Lenders(server.ID))
			}
		}
	})
}
