package process

import (
	"fmt"
	"math/rand/v2"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"cassialatch.dev/standin/engine"
	"cassialatch.dev/standin/plainservice"
	"cassialatch.dev/standin/platform"
	"cassialatch.dev/tests/harness"
	"cassialatch.dev/wire/operatorapi"
	"cassialatch.dev/wire/platformapi"
)

var zones = []string{"bergen-a", "bergen-b", "voss-c"}

// options shape a fleet.
type options struct {
	daemons, engines, services int

	base    string // empty: harness.Base
	engine  engine.Config
	service plainservice.Config
	seeds   bool // daemons know each other's addresses by their settings
}

// fleet is a platform, backend servers in this process and daemons in others.
type fleet struct {
	t        *testing.T
	opts     options
	dir      string
	platform *platform.Platform
	address  string // of the platform
	daemons  []*daemon
	engines  []*harness.Engine
	services []*harness.PlainService
}

// start starts a fleet and waits until it serves.
func start(t *testing.T, opts options) *fleet {
	t.Helper()
	f := &fleet{t: t, opts: opts, dir: t.TempDir(), platform: platform.New(platform.Config{})}
	server := httptest.NewServer(f.platform)
	t.Cleanup(server.Close)
	f.address = server.Listener.Addr().String()
	if f.opts.base == "" {
		f.opts.base = harness.BaseDocument
	}
	f.platform.PutDocument(platformapi.DocumentBase, f.opts.base, 1)
	f.startBackends()
	network := fmt.Sprintf("127.%d.%d.", 1+rand.IntN(250), 1+rand.IntN(250))
	for i := range opts.daemons {
		f.daemons = append(f.daemons, &daemon{fleet: f, id: fmt.Sprintf("entry-%d", i), zone: zones[i%len(zones)], ip: fmt.Sprint(network, i+1)})
	}
	f.platform.PutVMs(f.vms())
	t.Cleanup(f.stop)
	for _, d := range f.daemons {
		d.start()
	}
	f.waitServing()
	return f
}

// startBackends starts the stand-ins of backend servers.
func (f *fleet) startBackends() {
	for i := range f.opts.engines {
		config := f.opts.engine
		if config.Slots == 0 {
			config = harness.FastEngineConfig()
		}
		config.Instance = fmt.Sprintf("engine-%d", i)
		e := &harness.Engine{Engine: engine.New(config), ID: fmt.Sprintf("klang-%d", i)}
		e.Server = httptest.NewServer(e.Engine)
		f.t.Cleanup(e.Server.Close)
		f.engines = append(f.engines, e)
	}
	for i := range f.opts.services {
		s := &harness.PlainService{Service: plainservice.New(f.opts.service), ID: fmt.Sprintf("arkiv-%d", i)}
		s.Server = httptest.NewServer(s.Service)
		f.t.Cleanup(s.Server.Close)
		f.services = append(f.services, s)
	}
}

// vms describes the fleet as the platform publishes it.
func (f *fleet) vms() []platformapi.VM {
	var vms []platformapi.VM
	add := func(id, service, address string, i int) {
		vms = append(vms, platformapi.VM{
			ID: id, Role: platformapi.RoleBackend, State: platformapi.StateLive, Site: harness.Site,
			Zone: zones[i%len(zones)], Service: service, Address: address,
		})
	}
	for i, e := range f.engines {
		add(e.ID, harness.Model, e.Server.Listener.Addr().String(), i)
	}
	for i, s := range f.services {
		add(s.ID, harness.Service, s.Server.Listener.Addr().String(), i)
	}
	for _, d := range f.daemons {
		vms = append(vms, platformapi.VM{
			ID: d.id, Role: platformapi.RoleEntry, State: platformapi.StateLive, Site: harness.Site,
			Zone: d.zone, Address: d.caller(), Peer: d.peer(),
		})
	}
	return vms
}

// waitServing waits until all daemons are ready and each backend server has a
// home that admits work.
func (f *fleet) waitServing() {
	f.t.Helper()
	for _, d := range f.daemons {
		harness.Eventually(f.t, d.id+" serves", d.serves)
	}
}

// stop stops the daemons that run.
func (f *fleet) stop() {
	for _, d := range f.daemons {
		d.kill()
	}
}

// entries returns the addresses for callers of some daemons.
func (f *fleet) entries(daemons ...*daemon) []string {
	var entries []string
	for _, d := range daemons {
		entries = append(entries, d.caller())
	}
	return entries
}

// others returns all daemons but one.
func (f *fleet) others(but *daemon) []*daemon {
	var others []*daemon
	for _, d := range f.daemons {
		if d != but {
			others = append(others, d)
		}
	}
	return others
}

// homeOf returns the home of a backend server by the first daemon's view.
func (f *fleet) homeOf(backend string) *daemon {
	f.t.Helper()
	for _, b := range f.daemons[0].status().Backends {
		for _, d := range f.daemons {
			if b.ID == backend && b.Home == d.id {
				return d
			}
		}
	}
	f.t.Fatalf("%s has no home", backend)
	return nil
}

// runs returns how often a booking ran on any backend server.
func (f *fleet) runs(id string) int {
	runs := 0
	for _, s := range f.services {
		runs += s.Ledger().Bookings[id]
	}
	return runs
}

// document returns a daemon's account of a document.
func document(status operatorapi.Status, name string) operatorapi.Document {
	for _, doc := range status.Documents {
		if doc.Name == name {
			return doc
		}
	}
	return operatorapi.Document{}
}

// settings writes the settings file of a daemon.
func (f *fleet) settings(d *daemon) string {
	var seeds []string
	for _, peer := range f.others(d) {
		if f.opts.seeds {
			seeds = append(seeds, `"`+peer.peer()+`"`)
		}
	}
	text := fmt.Sprintf(settingsText, d.id, harness.Site, d.zone, d.caller(), d.peer(), d.operator(), f.address, strings.Join(seeds, ", "))
	path := filepath.Join(f.dir, d.id+".toml")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		f.t.Fatal(err)
	}
	return path
}

// settingsText is the settings file of a daemon.
const settingsText = `
id = %q
site = %q
zone = %q

[listen]
caller = %q
peer = %q
operator = %q

[platform]
addresses = [%q]
watch_wait = "300ms"
timeout = "1s"

[tls]
mode = "off"

[[keys]]
id = "test"
secret = "MDEyMzQ1Njc4OWFiY2RlZjAxMjM0NTY3ODlhYmNkZWY="

[control]
heartbeat = "100ms"
peer_timeout = "800ms"
lease_duration = "800ms"
bytes_per_second = 1000000
seeds = [%s]

[limits]
entry_ttl = "500ms"
drain_timeout = "30s"

[log]
level = "info"
`
