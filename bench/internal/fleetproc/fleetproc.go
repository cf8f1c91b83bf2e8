// Package fleetproc starts fleets for benchmarks: each daemon is a process, and
// the stand-ins for the platform, the engines and the plain services run in the
// calling process. A Fleet is not safe for concurrent use.
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

// Names of the fleet's site, model and plain service in the base document.
const (
	Site    = "bench"
	Model   = "bench-model"
	Service = "bench-app"
)

// Timeouts of Start, and permissions of the files it creates.
const (
	startTimeout      = 40 * time.Second
	limitTimeout      = 20 * time.Second
	limitPollInterval = 100 * time.Millisecond
	dirPerm           = 0o755
	filePerm          = 0o600
)

// Options configures a fleet.
type Options struct {
	Binary       string // path of the bench-daemon program
	Dir          string // directory for the settings and logs of the daemons
	Network      byte   // daemons listen on 127.Network.0.0/16
	Planner      string // value of bench-daemon's -planner flag; empty for the daemon's own planner
	BaseDocument string // TOML
	Daemons      int    // number of daemons
	Engines      int    // number of engines
	Services     int    // number of plain services
	Zones        int    // number of availability zones
	EngineConfig engine.Config
}

// Daemon is one daemon process.
type Daemon struct {
	ID, Zone                                    string
	CallerAddress, PeerAddress, OperatorAddress string
	command                                     *exec.Cmd
	exited                                      chan struct{} // closed when the process has exited
}

// Engine is the stand-in for one model engine.
type Engine struct {
	*engine.Engine
	ID      string
	Address string
	Bytes   *Counter // of all connections, in both directions
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

// Start starts a fleet and waits until each daemon is ready and each backend
// server has a home with a limit. The Fleet is never nil; the caller must call
// Stop even if Start returns an error.
func Start(ctx context.Context, opts Options) (*Fleet, error) {
	f := &Fleet{opts: opts, HTTP: caller.NewHTTPClient(), Platform: platform.New(platform.Config{})}
	f.platform, f.PlatformBytes = startCountedServer(f.Platform)
	f.Platform.PutDocument(platformapi.DocumentBase, opts.BaseDocument, 1)
	f.startBackends()
	if err := os.MkdirAll(opts.Dir, dirPerm); err != nil {
		return f, errors.Wrap(err, "fleetproc: create directory")
	}
	f.assignAddresses()
	f.publishVMs()
	for _, d := range f.Daemons {
		if err := f.startDaemon(d); err != nil {
			return f, err
		}
	}
	return f, f.waitReady(ctx)
}

// startCountedServer starts an HTTP server and counts the bytes of its
// connections.
func startCountedServer(handler http.Handler) (*httptest.Server, *Counter) {
	server := httptest.NewUnstartedServer(handler)
	counter := &Counter{}
	server.Listener = &countedListener{Listener: server.Listener, counter: counter}
	server.Start()
	return server, counter
}

// startBackends starts the stand-ins for the backend servers.
func (f *Fleet) startBackends() {
	for i := range f.opts.Engines {
		config := f.opts.EngineConfig
		config.Instance = fmt.Sprintf("engine-%d", i)
		e := &Engine{Engine: engine.New(config), ID: fmt.Sprintf("engine-%03d", i)}
		e.server, e.Bytes = startCountedServer(e.Engine)
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

// assignAddresses assigns IDs, zones and addresses to the daemons.
func (f *Fleet) assignAddresses() {
	for i := range f.opts.Daemons {
		ip := net.IPv4(127, f.opts.Network, byte(1+i/200), byte(1+i%200)).String()
		f.Daemons = append(f.Daemons, &Daemon{
			ID: fmt.Sprintf("entry-%03d", i), Zone: f.zone(i),
			CallerAddress: ip + ":8080", PeerAddress: ip + ":8081", OperatorAddress: ip + ":8082",
		})
	}
}

// zone returns the availability zone of the i-th VM of a role.
func (f *Fleet) zone(i int) string { return fmt.Sprintf("zone-%d", i%f.opts.Zones) }

// publishVMs publishes the VM list on the platform.
func (f *Fleet) publishVMs() {
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

// backendVM returns the VM list entry of one backend server.
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
		return errors.Wrap(err, "fleetproc: write settings")
	}
	log, err := os.Create(filepath.Join(f.opts.Dir, d.ID+".log"))
	if err != nil {
		return errors.Wrap(err, "fleetproc: create log")
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
	d.exited = make(chan struct{})
	go func() {
		_ = d.command.Wait() // Stop kills the process, so an error is expected
		close(d.exited)
	}()
	return nil
}

// settings returns the TOML settings of a daemon.
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

// waitReady waits until all daemons are ready and all backend servers have a
// limit.
func (f *Fleet) waitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	var operators []string
	for _, d := range f.Daemons {
		operators = append(operators, d.OperatorAddress)
	}
	if err := caller.WaitReady(ctx, f.HTTP, operators); err != nil {
		return err
	}
	return f.waitForLimits(ctx)
}

// waitForLimits waits until each backend server has a limit in the status of
// its home. It returns a NoLimitError after limitTimeout.
func (f *Fleet) waitForLimits(ctx context.Context) error {
	deadline := time.Now().Add(limitTimeout)
	for {
		missing, err := f.countWithoutLimit(ctx)
		switch {
		case err != nil:
			return err
		case missing == 0:
			return nil
		case time.Now().After(deadline):
			return &NoLimitError{Backends: missing}
		}
		time.Sleep(limitPollInterval)
	}
}

// countWithoutLimit returns the number of backend servers whose home reports no
// limit above zero.
func (f *Fleet) countWithoutLimit(ctx context.Context) (int, error) {
	withLimit := make(map[string]bool)
	for _, d := range f.Daemons {
		status, err := f.Status(ctx, d)
		if err != nil {
			return 0, err
		}
		for _, b := range status.Backends {
			if b.Home == d.ID && b.Limit > 0 {
				withLimit[b.ID] = true
			}
		}
	}
	return len(f.Engines) + len(f.services) - len(withLimit), nil
}

// EntryAddresses returns the addresses at which the daemons accept callers.
func (f *Fleet) EntryAddresses() []string {
	var entries []string
	for _, d := range f.Daemons {
		entries = append(entries, d.CallerAddress)
	}
	return entries
}

// Stop kills the daemons and closes the stand-ins. The daemons are not drained,
// because no caller waits for a response after a measurement.
func (f *Fleet) Stop() {
	var wg sync.WaitGroup
	for _, d := range f.Daemons {
		if d.exited != nil {
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

// kill kills the process and waits until it has exited.
func (d *Daemon) kill() {
	_ = d.command.Process.Kill() // fails if the process has already exited
	<-d.exited
}

// NoLimitError reports the number of backend servers that have no home with a
// limit.
type NoLimitError struct{ Backends int }

// Error implements error.
func (e *NoLimitError) Error() string {
	return fmt.Sprintf("fleetproc: %d backend servers have no home with a limit", e.Backends)
}
