// Package fleetproc runs daemons as processes, with the stand-ins of the
// platform and of engines in the calling process, for measurements.
package fleetproc

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"cassialatch.dev/standin/caller"
	"cassialatch.dev/standin/engine"
	"cassialatch.dev/standin/plainservice"
	"cassialatch.dev/standin/platform"
	"cassialatch.dev/wire/platformapi"
)

// Names of the fleet's site, model and plain service.
const (
	Site    = "bench"
	Model   = "bench-model"
	Service = "bench-app"
)

// Times of a start and an end.
const (
	readyTimeout  = 40 * time.Second
	lentTimeout   = 20 * time.Second
	lentPoll      = 100 * time.Millisecond
	directoryPerm = 0o755
	filePerm      = 0o600
)

// Options shape a fleet.
type Options struct {
	Binary       string // bench-daemon
	Dir          string // for settings and logs
	Network      byte   // daemons listen on 127.Network.0.0/16
	Planner      string // of bench-daemon; empty: the daemon's own
	BaseDocument string // base document
	Daemons      int
	Engines      int
	Services     int
	Zones        int
	EngineConfig engine.Config
}

// Daemon is one daemon process.
type Daemon struct {
	ID, Zone                                    string
	CallerAddress, PeerAddress, OperatorAddress string // addresses
	command                                     *exec.Cmd
	ended                                       chan struct{}
}

// Engine is one stand-in of a model engine.
type Engine struct {
	*engine.Engine
	ID      string
	Address string
	Bytes   *Counter // over all its connections
	server  *httptest.Server
}

// Fleet is a running fleet.
type Fleet struct {
	Daemons       []*Daemon
	Engines       []*Engine
	Platform      *platform.Platform
	PlatformBytes *Counter
	HTTP          *http.Client

	opts     Options
	services []*httptest.Server
	platform *httptest.Server
}

// Start starts a fleet and waits until each daemon is ready and each engine has
// a home with a limit. The caller stops it, also after a failure.
func Start(ctx context.Context, opts Options) (*Fleet, error) {
	f := &Fleet{opts: opts, HTTP: caller.NewHTTPClient(), Platform: platform.New(platform.Config{})}
	f.platform, f.PlatformBytes = serve(f.Platform)
	f.Platform.PutDocument(platformapi.DocumentBase, opts.BaseDocument, 1)
	f.startBackends()
	if err := os.MkdirAll(opts.Dir, directoryPerm); err != nil {
		return f, errors.Wrap(err, "fleetproc: directory")
	}
	f.prepareDaemons()
	f.publish()
	for _, d := range f.Daemons {
		if err := f.startDaemon(d); err != nil {
			return f, err
		}
	}
	return f, f.waitReady(ctx)
}

// serve starts a server whose bytes are counted.
func serve(handler http.Handler) (*httptest.Server, *Counter) {
	server := httptest.NewUnstartedServer(handler)
	counter := &Counter{}
	server.Listener = &countedListener{Listener: server.Listener, counter: counter}
	server.Start()
	return server, counter
}

// startBackends starts the stand-ins of backend servers.
func (f *Fleet) startBackends() {
	for i := range f.opts.Engines {
		config := f.opts.EngineConfig
		config.Instance = fmt.Sprintf("engine-%d", i)
		e := &Engine{Engine: engine.New(config), ID: fmt.Sprintf("engine-%03d", i)}
		e.server, e.Bytes = serve(e.Engine)
		e.Address = e.server.Listener.Addr().String()
		f.Engines = append(f.Engines, e)
	}
	for i := range f.opts.Services {
		service := plainservice.New(plainservice.Config{Instance: fmt.Sprintf("service-%d", i)})
		server := httptest.NewUnstartedServer(service)
		server.Listener = service.WrapListener(server.Listener)
		server.Start()
		f.services = append(f.services, server)
	}
}

// prepareDaemons names the daemons and their addresses.
func (f *Fleet) prepareDaemons() {
	for i := range f.opts.Daemons {
		ip := net.IPv4(127, f.opts.Network, byte(1+i/200), byte(1+i%200)).String()
		f.Daemons = append(f.Daemons, &Daemon{
			ID: fmt.Sprintf("entry-%03d", i), Zone: f.zone(i),
			CallerAddress: ip + ":8080", PeerAddress: ip + ":8081", OperatorAddress: ip + ":8082",
		})
	}
}

// zone returns the availability zone of the i-th VM of a kind.
func (f *Fleet) zone(i int) string { return fmt.Sprintf("zone-%d", i%f.opts.Zones) }

// publish puts the VM list.
func (f *Fleet) publish() {
	var vms []platformapi.VM
	for _, d := range f.Daemons {
		vms = append(vms, platformapi.VM{
			ID: d.ID, Role: platformapi.RoleEntry, State: platformapi.StateLive, Site: Site,
			Zone: d.Zone, Address: d.CallerAddress, Peer: d.PeerAddress,
		})
	}
	for i, e := range f.Engines {
		vms = append(vms, f.backendVM(e.ID, Model, e.Address, i))
	}
	for i, s := range f.services {
		vms = append(vms, f.backendVM(fmt.Sprintf("service-%d", i), Service, s.Listener.Addr().String(), i))
	}
	f.Platform.PutVMs(vms)
}

// backendVM describes one backend server.
func (f *Fleet) backendVM(id, service, address string, i int) platformapi.VM {
	return platformapi.VM{
		ID: id, Role: platformapi.RoleBackend, State: platformapi.StateLive, Site: Site,
		Zone: f.zone(i), Service: service, Address: address,
	}
}

// startDaemon writes a daemon's settings and starts its process.
func (f *Fleet) startDaemon(d *Daemon) error {
	file := filepath.Join(f.opts.Dir, d.ID+".toml")
	if err := os.WriteFile(file, []byte(f.settings(d)), filePerm); err != nil {
		return errors.Wrap(err, "fleetproc: settings")
	}
	log, err := os.Create(filepath.Join(f.opts.Dir, d.ID+".log"))
	if err != nil {
		return errors.Wrap(err, "fleetproc: log")
	}
	defer log.Close()
	planner := f.opts.Planner
	if planner == "" {
		planner = "ours"
	}
	d.command = exec.Command(f.opts.Binary, "-config", file, "-planner", planner)
	d.command.Stderr = log
	if err := d.command.Start(); err != nil {
		return errors.Wrap(err, "fleetproc: start daemon")
	}
	d.ended = make(chan struct{})
	go func() {
		_ = d.command.Wait() // ended by Stop
		close(d.ended)
	}()
	return nil
}

// settings returns a daemon's settings.
func (f *Fleet) settings(d *Daemon) string {
	return fmt.Sprintf(`id = %q
site = %q
zone = %q
[listen]
caller = %q
peer = %q
operator = %q
[platform]
addresses = [%q]
[tls]
mode = "off" # loopback only
[[keys]]
id = "bench"
secret = "YmVuY2htYXJrIGtleSwgd2hpY2ggaXMgbm8gc2VjcmV0IGF0IGFsbC4="
[limits]
entry_ttl = "10s"
[log]
level = "warn"
`, d.ID, Site, d.Zone, d.CallerAddress, d.PeerAddress, d.OperatorAddress, f.platform.Listener.Addr().String())
}

// waitReady waits for the daemons and for limits of all engines.
func (f *Fleet) waitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	var operators []string
	for _, d := range f.Daemons {
		operators = append(operators, d.OperatorAddress)
	}
	if err := caller.WaitReady(ctx, f.HTTP, operators); err != nil {
		return err
	}
	return f.waitLent(ctx)
}

// waitLent waits until each engine has a home with a limit, as its home sees it.
func (f *Fleet) waitLent(ctx context.Context) error {
	deadline := time.Now().Add(lentTimeout)
	for {
		missing, err := f.unlent(ctx)
		switch {
		case err != nil:
			return err
		case missing == 0:
			return nil
		case time.Now().After(deadline):
			return &NoLimitError{Backends: missing}
		}
		time.Sleep(lentPoll)
	}
}

// unlent counts the engines for which no home has a limit.
func (f *Fleet) unlent(ctx context.Context) (int, error) {
	lent := make(map[string]bool)
	for _, d := range f.Daemons {
		status, err := f.Status(ctx, d)
		if err != nil {
			return 0, err
		}
		for _, b := range status.Backends {
			if b.Home == d.ID && b.Limit > 0 {
				lent[b.ID] = true
			}
		}
	}
	return len(f.Engines) + len(f.services) - len(lent), nil
}

// EntryAddresses returns the addresses for callers.
func (f *Fleet) EntryAddresses() []string {
	var entries []string
	for _, d := range f.Daemons {
		entries = append(entries, d.CallerAddress)
	}
	return entries
}

// Stop ends the daemons and the stand-ins. Daemons are killed: nobody waits
// for an answer when a measurement is over.
func (f *Fleet) Stop() {
	var wg sync.WaitGroup
	for _, d := range f.Daemons {
		if d.ended != nil {
			wg.Go(d.kill)
		}
	}
	wg.Wait()
	f.HTTP.CloseIdleConnections()
	servers := append([]*httptest.Server{f.platform}, f.services...)
	for _, e := range f.Engines {
		servers = append(servers, e.server)
	}
	for _, server := range servers {
		server.CloseClientConnections()
		server.Close()
	}
}

// kill ends the process and waits for its end.
func (d *Daemon) kill() {
	_ = d.command.Process.Kill() // it may have ended already
	<-d.ended
}

// NoLimitError tells that engines have no home with a limit.
type NoLimitError struct{ Backends int }

// Error implements error.
func (e *NoLimitError) Error() string {
	return fmt.Sprintf("fleetproc: %d backend servers without a limit", e.Backends)
}
