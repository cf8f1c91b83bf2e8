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

// zones are the availability zones of the fleet; VMs are assigned to them in turn.
var zones = []string{"bergen-a", "bergen-b", "voss-c"}

// options configure a fleet.
type options struct {
	daemons, engines, services int

	base    string // empty: harness.BaseDocument
	engine  engine.Config
	service plainservice.Config
	seeds   bool // the settings of each daemon list the others as seeds
}

// fleet is a platform and backend servers in the test process and daemons in
// processes of their own.
type fleet struct {
	t               *testing.T
	options         options
	dir             string
	platform        *platform.Platform
	platformAddress string
	daemons         []*daemon
	engines         []*harness.Engine
	services        []*harness.PlainService
}

// start starts a fleet and waits until all its daemons serve.
func start(t *testing.T, opts options) *fleet {
	t.Helper()
	f := &fleet{t: t, options: opts, dir: t.TempDir(), platform: platform.New(platform.Config{})}
	server := httptest.NewServer(f.platform)
	t.Cleanup(server.Close)
	f.platformAddress = server.Listener.Addr().String()
	if f.options.base == "" {
		f.options.base = harness.BaseDocument
	}
	f.platform.PutDocument(platformapi.DocumentBase, f.options.base, 1)
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
	f.awaitServing()
	return f
}

// startBackends starts the stand-ins for backend servers.
func (f *fleet) startBackends() {
	for i := range f.options.engines {
		config := f.options.engine
		if config.Slots == 0 {
			config = harness.FastEngineConfig()
		}
		config.Instance = fmt.Sprintf("engine-%d", i)
		e := &harness.Engine{Engine: engine.New(config), ID: fmt.Sprintf("klang-%d", i)}
		e.Server = httptest.NewServer(e.Engine)
		f.t.Cleanup(e.Server.Close)
		f.engines = append(f.engines, e)
	}
	for i := range f.options.services {
		s := &harness.PlainService{Service: plainservice.New(f.options.service), ID: fmt.Sprintf("arkiv-%d", i)}
		s.Server = httptest.NewServer(s.Service)
		f.t.Cleanup(s.Server.Close)
		f.services = append(f.services, s)
	}
}

// vms returns the VM list of the fleet as the platform publishes it.
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

// awaitServing waits until all daemons are ready and each backend server has a
// home that admits requests.
func (f *fleet) awaitServing() {
	f.t.Helper()
	for _, d := range f.daemons {
		harness.Eventually(f.t, d.id+" serves", d.serves)
	}
}

// stop kills the running daemons.
func (f *fleet) stop() {
	for _, d := range f.daemons {
		d.kill()
	}
}

// entryAddresses returns the caller addresses of the given daemons.
func (f *fleet) entryAddresses(daemons ...*daemon) []string {
	var addresses []string
	for _, d := range daemons {
		addresses = append(addresses, d.caller())
	}
	return addresses
}

// others returns all daemons except one.
func (f *fleet) others(excluded *daemon) []*daemon {
	var others []*daemon
	for _, d := range f.daemons {
		if d != excluded {
			others = append(others, d)
		}
	}
	return others
}

// homeOf returns the home of a backend server as reported by the first daemon.
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

// bookingRuns returns how often a booking ran, summed over all plain services.
func (f *fleet) bookingRuns(id string) int {
	runs := 0
	for _, s := range f.services {
		runs += s.Ledger().Bookings[id]
	}
	return runs
}

// documentStatus returns a document's part of a daemon's status, or a zero value.
func documentStatus(status operatorapi.Status, name string) operatorapi.Document {
	for _, doc := range status.Documents {
		if doc.Name == name {
			return doc
		}
	}
	return operatorapi.Document{}
}

// writeSettings writes the settings file of a daemon and returns its path.
func (f *fleet) writeSettings(d *daemon) string {
	var seeds []string
	for _, peer := range f.others(d) {
		if f.options.seeds {
			seeds = append(seeds, `"`+peer.peer()+`"`)
		}
	}
	text := fmt.Sprintf(settingsTemplate, d.id, harness.Site, d.zone, d.caller(), d.peer(), d.operator(), f.platformAddress, strings.Join(seeds, ", "))
	path := filepath.Join(f.dir, d.id+".toml")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		f.t.Fatal(err)
	}
	return path
}

// settingsTemplate is the format string for the settings file of a daemon.
const settingsTemplate = `
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
