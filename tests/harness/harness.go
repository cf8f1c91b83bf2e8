// Package harness runs a small fleet of daemons in one test process, together
// with stand-ins for the platform and the backend servers. All connections use
// the loopback interface; tests can partition the links between daemons. The
// methods of Fleet are to be called from the goroutine of its test; Network is
// safe for concurrent use.
package harness

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"cassialatch.dev/config/setting"
	"cassialatch.dev/fleet/node"
	"cassialatch.dev/standin/caller"
	"cassialatch.dev/standin/engine"
	"cassialatch.dev/standin/plainservice"
	"cassialatch.dev/standin/platform"
	"cassialatch.dev/wire/platformapi"
)

// Names that all tests use.
const (
	Site      = "vestland"
	Model     = "klang-model"
	Service   = "arkiv-app"
	Workspace = "skule"
)

// WaitTimeout is how long a test waits for a condition before it fails. It is
// far longer than any condition takes on a busy machine.
const WaitTimeout = 60 * time.Second

// zones are the availability zones of the fleet. VMs are assigned to them round
// robin.
var zones = []string{"bergen-a", "bergen-b", "voss-c"}

// BaseDocument is the default base document of a fleet.
const BaseDocument = `
[models.klang-model]
load_factor = 1.25
min_in_flight = 2
max_in_flight = 8
short_reserve = 1
queue_timeout = "5s"
deadline = "30s"

[services.arkiv-app]
max_in_flight = 8
queue_timeout = "5s"
deadline = "20s"

[workspaces.skule]
models = ["klang-model"]
services = ["arkiv-app"]
class = "short"
`

// Options configures a fleet.
type Options struct {
	Daemons        int
	Engines        int
	Services       int
	Base           string        // BaseDocument if empty
	Engine         engine.Config // FastEngineConfig if Slots is zero
	Service        plainservice.Config
	ModifySettings func(*setting.Settings) // adjusts the settings of each daemon; may be nil
	Client         *http.Client            // for callers; caller.NewHTTPClient() if nil
}

// Engine is a stand-in for a model engine and the HTTP server that serves it.
type Engine struct {
	*engine.Engine
	ID     string
	Server *httptest.Server
}

// PlainService is a stand-in for a backend server of a plain service and the
// HTTP server that serves it.
type PlainService struct {
	*plainservice.Service
	ID     string
	Server *httptest.Server
}

// Fleet is a running fleet of daemons, backend servers and a platform.
type Fleet struct {
	t              testing.TB
	opts           Options
	Platform       *platform.Platform
	Engines        []*Engine
	Services       []*PlainService
	Daemons        []*Daemon
	Network        *Network
	platformServer *httptest.Server
}

// Start starts a fleet and waits until each daemon is ready. The fleet is
// stopped when the test ends.
func Start(t testing.TB, opts Options) *Fleet {
	t.Helper()
	f := &Fleet{t: t, opts: opts, Platform: platform.New(platform.Config{}), Network: newNetwork()}
	f.platformServer = httptest.NewServer(f.Platform)
	t.Cleanup(f.stop)

	base := opts.Base
	if base == "" {
		base = BaseDocument
	}
	f.Platform.PutDocument(platformapi.DocumentBase, base, 1)
	f.startBackends()
	f.Daemons = make([]*Daemon, opts.Daemons)
	for i := range f.Daemons {
		f.Daemons[i] = f.newDaemon(i)
	}
	f.Publish()
	for _, d := range f.Daemons {
		d.start()
	}
	f.WaitReady()
	return f
}

// startBackends starts the stand-ins for the backend servers.
func (f *Fleet) startBackends() {
	for i := range f.opts.Engines {
		config := f.opts.Engine
		if config.Slots == 0 {
			config = FastEngineConfig()
		}
		config.Instance = fmt.Sprintf("engine-%d", i)
		e := &Engine{Engine: engine.New(config), ID: fmt.Sprintf("klang-%d", i)}
		e.Server = httptest.NewServer(e.Engine)
		f.Engines = append(f.Engines, e)
	}
	for i := range f.opts.Services {
		s := &PlainService{Service: plainservice.New(f.opts.Service), ID: fmt.Sprintf("arkiv-%d", i)}
		server := httptest.NewUnstartedServer(s.Service)
		server.Listener = s.Service.WrapListener(server.Listener)
		server.Start()
		s.Server = server
		f.Services = append(f.Services, s)
	}
}

// FastEngineConfig returns the configuration of an engine that responds within
// milliseconds.
func FastEngineConfig() engine.Config {
	config := engine.DefaultConfig()
	config.PrefillPerToken = 10 * time.Microsecond
	config.DecodePerToken = 200 * time.Microsecond
	config.ReportLag = 200 * time.Millisecond
	return config
}

// Publish stores the VM list of the fleet at the platform.
func (f *Fleet) Publish() { f.Platform.PutVMs(f.vms()) }

// PublishUnreachableDaemon publishes the VM list with an additional daemon that
// does not accept connections.
func (f *Fleet) PublishUnreachableDaemon(id string) {
	f.Platform.PutVMs(append(f.vms(), platformapi.VM{
		ID: id, Role: platformapi.RoleEntry, State: platformapi.StateLive, Site: Site,
		Zone: zones[0], Address: "127.0.0.1:1", Peer: "127.0.0.1:1",
	}))
}

// vms returns the VM list of the fleet.
func (f *Fleet) vms() []platformapi.VM {
	var vms []platformapi.VM
	for _, d := range f.Daemons {
		vms = append(vms, d.vm())
	}
	for i, e := range f.Engines {
		vms = append(vms, backendVM(e.ID, Model, e.Server, i))
	}
	for i, s := range f.Services {
		vms = append(vms, backendVM(s.ID, Service, s.Server, i))
	}
	return vms
}

// backendVM returns the VM list entry of the i-th backend server of its kind.
func backendVM(id, service string, server *httptest.Server, i int) platformapi.VM {
	return platformapi.VM{
		ID: id, Role: platformapi.RoleBackend, State: platformapi.StateLive, Site: Site,
		Zone: zones[i%len(zones)], Service: service, Address: server.Listener.Addr().String(),
	}
}

// WaitReady waits until each running daemon is ready and each backend server
// has a home that may admit requests.
func (f *Fleet) WaitReady() {
	f.t.Helper()
	f.Eventually("daemons ready", func() bool {
		for _, d := range f.running() {
			if !d.Node.Ready() {
				return false
			}
		}
		return true
	})
	f.Eventually("limits leased", func() bool { return f.limitsLeased() })
}

// minLimit is the lowest limit that a backend server has in any base document
// of the tests once its home holds all shares.
const minLimit = 2

// limitsLeased reports whether the status of each running daemon shows that the
// home of each backend server holds all shares of that server.
func (f *Fleet) limitsLeased() bool {
	for _, d := range f.running() {
		for _, b := range d.Node.Status().Backends {
			if b.Limit < minLimit && !b.Leaving {
				return false
			}
		}
	}
	return true
}

// running returns the daemons that are running.
func (f *Fleet) running() []*Daemon {
	var running []*Daemon
	for _, d := range f.Daemons {
		if d.Node != nil {
			running = append(running, d)
		}
	}
	return running
}

// Eventually waits until condition returns true and fails the test after
// WaitTimeout.
func (f *Fleet) Eventually(what string, condition func() bool) {
	f.t.Helper()
	Eventually(f.t, what, condition)
}

// Eventually polls condition until it returns true. It fails the test after
// WaitTimeout; what describes the condition in the failure message.
func Eventually(t testing.TB, what string, condition func() bool) {
	t.Helper()
	deadline := time.Now().Add(WaitTimeout)
	for !condition() {
		if time.Now().After(deadline) {
			t.Fatalf("timed out waiting for: %s", what)
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// Caller returns a client that knows the caller addresses of all daemons. The
// seed makes its random choices reproducible.
func (f *Fleet) Caller(seed uint64) *caller.Client {
	client := f.opts.Client
	if client == nil {
		client = caller.NewHTTPClient()
		f.t.Cleanup(client.CloseIdleConnections)
	}
	var entries []string
	for _, d := range f.Daemons {
		entries = append(entries, d.Settings.Listen.Caller)
	}
	return caller.New(client, Workspace, entries, rand.New(rand.NewPCG(seed, seed)))
}

// stop stops the running daemons, the backend servers and the platform.
func (f *Fleet) stop() {
	var wg sync.WaitGroup
	for _, d := range f.running() {
		wg.Go(d.Stop)
	}
	wg.Wait()
	for _, e := range f.Engines {
		e.Server.Close()
	}
	for _, s := range f.Services {
		s.Server.Close()
	}
	f.platformServer.Close()
}

// Daemon is a daemon of a fleet. It can be stopped and restarted.
type Daemon struct {
	fleet    *Fleet
	Settings setting.Settings
	Node     *node.Node // nil while the daemon is stopped

	listeners node.Listeners
	cancel    context.CancelFunc
	done      chan error
}

// newDaemon prepares the i-th daemon, whose addresses stay the same across
// restarts.
func (f *Fleet) newDaemon(i int) *Daemon {
	d := &Daemon{fleet: f}
	d.listen("127.0.0.1:0", "127.0.0.1:0", "127.0.0.1:0")
	d.Settings = setting.Settings{
		ID: fmt.Sprintf("entry-%d", i), Site: Site, Zone: zones[i%len(zones)],
		Listen: setting.Listen{
			Caller:   d.listeners.Caller.Addr().String(),
			Peer:     d.listeners.Peer.Addr().String(),
			Operator: d.listeners.Operator.Addr().String(),
		},
		Platform: setting.Platform{
			Addresses: []string{f.platformServer.Listener.Addr().String()},
			WatchWait: time.Second, Timeout: 2 * time.Second,
		},
		TLS:  setting.TLS{Mode: setting.TLSOff},
		Keys: []setting.Key{{ID: "k1", Secret: []byte("0123456789abcdef0123456789abcdef")}},
		Control: setting.Control{
			BytesPerSecond: setting.DefaultBytesPerSecond, Heartbeat: 50 * time.Millisecond,
			PeerTimeout: 500 * time.Millisecond, LeaseDuration: 800 * time.Millisecond, MaxPeers: 16,
		},
		Limits: setting.Limits{
			MaxBodyBytes: 1 << 20, MaxHeaderBytes: 64 << 10, HeaderTimeout: 5 * time.Second,
			BodyTimeout: 5 * time.Second, DrainTimeout: 30 * time.Second,
			EntryTTL: 500 * time.Millisecond, TicketTTL: time.Minute, MetricSeries: 8,
		},
		Log: setting.Log{Level: "error"},
	}
	if f.opts.ModifySettings != nil {
		f.opts.ModifySettings(&d.Settings)
	}
	return d
}

// listen opens the listeners of the daemon.
func (d *Daemon) listen(callers, peers, operators string) {
	d.listeners = node.Listeners{
		Caller:   d.fleet.listen(callers),
		Peer:     d.fleet.listen(peers),
		Operator: d.fleet.listen(operators),
	}
}

// listen opens a listener. It retries because the address may still be in use
// for a moment when a daemon restarts.
func (f *Fleet) listen(address string) net.Listener {
	f.t.Helper()
	var listener net.Listener
	f.Eventually("address "+address+" is free", func() bool {
		var err error
		listener, err = net.Listen("tcp", address)
		return err == nil
	})
	return listener
}

// vm returns the VM list entry of the daemon.
func (d *Daemon) vm() platformapi.VM {
	return platformapi.VM{
		ID: d.Settings.ID, Role: platformapi.RoleEntry, State: platformapi.StateLive, Site: Site,
		Zone: d.Settings.Zone, Address: d.Settings.Listen.Caller, Peer: d.Settings.Listen.Peer,
	}
}

// start runs the daemon in a goroutine.
func (d *Daemon) start() {
	n, err := node.New(node.Options{
		Settings:  &d.Settings,
		Version:   "test",
		Log:       zerolog.New(zerolog.NewTestWriter(d.fleet.t)).Level(zerolog.ErrorLevel),
		Listeners: &d.listeners,
		DialPeer:  d.fleet.Network.dialer(d.Settings.Listen.Peer),
	})
	if err != nil {
		d.fleet.t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	d.Node = n
	d.cancel = cancel
	d.done = make(chan error, 1)
	done := d.done
	go func() { done <- n.Run(ctx) }()
}

// Stop shuts the daemon down gracefully and waits until it has ended.
func (d *Daemon) Stop() {
	d.cancel()
	if err := <-d.done; err != nil {
		d.fleet.t.Errorf("daemon %s: %v", d.Settings.ID, err)
	}
	d.Node = nil
}

// Restart starts a stopped daemon as a new incarnation at the same addresses.
func (d *Daemon) Restart() {
	listen := d.Settings.Listen
	d.listen(listen.Caller, listen.Peer, listen.Operator)
	d.start()
}
