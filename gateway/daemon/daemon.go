// Package daemon joins the parts of a gateway and runs them.
package daemon

import (
	"context"
	"errors"
	"net"
	"net/http"
	"os"
	"runtime/debug"
	"sync/atomic"
	"time"

	"cassialatch.dev/gateway/boottime"
	"cassialatch.dev/gateway/cachescan"
	"cassialatch.dev/gateway/call"
	"cassialatch.dev/gateway/catalog"
	"cassialatch.dev/gateway/directory"
	"cassialatch.dev/gateway/eventlog"
	"cassialatch.dev/gateway/health"
	"cassialatch.dev/gateway/ingress"
	"cassialatch.dev/gateway/load"
	"cassialatch.dev/gateway/metrics"
	"cassialatch.dev/gateway/peers"
	"cassialatch.dev/gateway/reader"
	"cassialatch.dev/gateway/retry"
	"cassialatch.dev/gateway/suspect"
	"cassialatch.dev/gateway/upstream"
	"cassialatch.dev/gateway/warm"
)

// Adapter is what a deployment's adapter provides.
type Adapter struct {
	Dialect call.Dialect
	Source  reader.Source
	Lister  cachescan.Lister
	// DirectoryHandler serves callers that ask where to connect.
	DirectoryHandler func(d *directory.Directory) http.Handler
	// ReadinessHandler serves checks of readiness.
	ReadinessHandler func(ready func() bool) http.Handler
	// Reload reads the settings again, for a change while the daemon runs.
	Reload func() (Settings, error)
}

// maxReadyAge is the age of the last confirmation from which a daemon is not
// ready.
const maxReadyAge = 4 * time.Second

const (
	gcPercent        = 50 // GOGC: a small heap costs little to collect
	memoryLimitRatio = 0.8
)

// Daemon is one running gateway.
type Daemon struct {
	settings Settings
	adapter  Adapter
	log      *eventlog.Log
	writer   *eventlog.Writer

	catalog    *catalog.Catalog
	self       peers.Self
	peers      *peers.Table
	exchange   *peers.Exchange
	reader     *reader.Reader
	scanner    *cachescan.Scanner
	loads      *load.Table
	health     *health.Table
	pool       *upstream.Pool
	suspects   *suspect.Table
	warm       *warm.Index
	metrics    *metrics.Registry
	handler    *ingress.Handler
	frontend   *ingress.Server
	auxServers []*http.Server

	drainDeadline atomic.Pointer[time.Time] // when the daemon ends; nil: it is not draining
}

// New joins the parts of a daemon.
func New(s Settings, a Adapter) *Daemon {
	debug.SetGCPercent(gcPercent)
	if s.Memory > 0 {
		debug.SetMemoryLimit(int64(float64(s.Memory) * memoryLimitRatio))
	}
	c := catalog.New(boottime.Now)
	writer := eventlog.NewWriter(os.Stdout)
	d := &Daemon{
		settings: s,
		adapter:  a,
		writer:   writer,
		log:      eventlog.New(writer, s.Name),
		catalog:  c,
		loads:    load.New(time.Now),
		health:   health.New(time.Now),
		pool:     upstream.NewPool(a.Dialect),
		suspects: suspect.New(time.Now),
		warm:     warm.New(time.Now),
		metrics:  metrics.New(),
	}
	d.self = peers.Self{IP: s.IP, Zone: s.Zone, Seeds: hostsOf(s.Seeds)}
	d.peers = peers.NewTable(d.self, boottime.Now, c)
	triggerExchange := func() { d.exchange.Trigger() } // Run makes the exchange
	d.scanner = cachescan.New(a.Lister, c, d.warm, d.peers, d.self, triggerExchange, d.log)
	d.reader = reader.New(a.Source, c, d.peers, boottime.Now, d.log)
	d.handler = &ingress.Handler{
		Dialect:         a.Dialect,
		Catalog:         c,
		Pool:            d.pool,
		Loads:           d.loads,
		Health:          d.health,
		Budget:          retry.New(retry.Options(s.Retry), d.peers.FleetSize, time.Now),
		Suspects:        d.suspects,
		Warm:            d.warm,
		FleetSize:       d.peers.FleetSize,
		Recorder:        d,
		Settings:        ingress.Settings{Zone: s.Zone, KeyLease: s.KeyLease},
		Draining:        d.drainTimeLeft,
		TriggerExchange: triggerExchange,
		CachesKnown:     d.scanner.Done(),
	}
	d.frontend = ingress.NewServer(d.handler)
	d.pool.OnDial = d.countDial
	d.registerGauges()
	return d
}

// hostsOf returns the hostsOf of addresses.
func hostsOf(addresses []string) []string {
	var ips []string
	for _, a := range addresses {
		if host, _, err := net.SplitHostPort(a); err == nil {
			ips = append(ips, host)
		}
	}
	return ips
}

// Record implements ingress.Recorder.
func (d *Daemon) Record(r *ingress.Record) {
	d.log.Request(r)
	d.metrics.Request(r.Service, string(r.Outcome), string(r.Reason), r.FirstByte, r.Duration)
}

func (d *Daemon) countDial(err error) {
	if err != nil {
		d.metrics.Count("dial_failures")
		return
	}
	d.metrics.Count("dials")
}

func (d *Daemon) registerGauges() {
	d.metrics.Gauge("confirmed_age_seconds", func() float64 {
		age, ok := d.catalog.Age()
		if !ok {
			return -1
		}
		return age.Seconds()
	})
	d.metrics.Gauge("peers", func() float64 { return float64(len(d.peers.Alive())) })
	d.metrics.Gauge("server_connections", func() float64 { return float64(d.pool.OpenConns()) })
	d.metrics.Gauge("cache_news_lost", func() float64 { return float64(d.warm.DroppedUpdates()) })
	d.metrics.Gauge("log_lines_dropped", func() float64 { return float64(d.writer.Dropped()) })
}

func (d *Daemon) draining() bool { return d.drainDeadline.Load() != nil }

// ready tells whether callers may be sent here.
func (d *Daemon) ready() bool {
	age, ok := d.catalog.Age()
	return ok && age < maxReadyAge && !d.draining() && d.catalog.View().Table != nil
}

func (d *Daemon) peerState() peers.State {
	return peers.State{Ready: d.ready(), Leaving: d.draining(), CachesKnown: d.scanner.Settled()}
}

// Run serves until the context ends, then drains. It returns when the process
// may end.
func (d *Daemon) Run(ctx context.Context) error {
	d.log.Lifecycle("start", d.settings.IP)
	background, stop := context.WithCancel(context.Background())
	defer stop()
	if err := d.startListeners(background); err != nil {
		return err
	}
	if d.settings.FirstStart && !d.self.IsSeed() {
		d.reader.DelayFirstPoll()
	}
	go d.reader.Run(background)
	go d.exchange.Run(background)
	go d.maintain(background)
	if d.settings.FirstStart {
		d.scanner.Skip()
	} else {
		go d.scanner.Run(background)
	}
	<-ctx.Done()
	d.drain()
	return nil
}

// startListeners listens on all addresses.
func (d *Daemon) startListeners(ctx context.Context) error {
	s := d.settings
	_, port, err := net.SplitHostPort(s.Control)
	if err != nil {
		return err
	}
	fetcher := peers.NewFetcher(d.catalog, boottime.Now, port, d.reader)
	addr, err := net.ResolveUDPAddr("udp4", s.Exchange)
	if err != nil {
		return err
	}
	d.exchange, err = peers.Listen(addr, d.peers, d.loads, d.suspects, d.warm, fetcher, d.peerState)
	if err != nil {
		return err
	}
	dir := &directory.Directory{Self: s.Frontend, Ready: d.ready, Peers: d.peers}
	small := []struct {
		address string
		handler http.Handler
	}{
		{s.Control, peers.StateHandler(d.catalog)},
		{s.Directory, d.adapter.DirectoryHandler(dir)},
		{s.Readiness, d.adapter.ReadinessHandler(d.ready)},
		{s.Metrics, d.metrics},
	}
	for _, l := range small {
		if l.address == "" {
			continue
		}
		if err := d.listen(l.address, l.handler); err != nil {
			return err
		}
	}
	listener, err := net.Listen("tcp4", s.Frontend)
	if err != nil {
		return err
	}
	go d.serve(func() error { return d.frontend.Serve(listener) })
	return nil
}

// listen serves one of the small interfaces.
func (d *Daemon) listen(address string, h http.Handler) error {
	const headerTimeout, idleTimeout = 5 * time.Second, time.Minute
	listener, err := net.Listen("tcp4", address)
	if err != nil {
		return err
	}
	server := &http.Server{Handler: h, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout}
	d.auxServers = append(d.auxServers, server)
	go d.serve(func() error { return server.Serve(listener) })
	return nil
}

func (d *Daemon) serve(run func() error) {
	if err := run(); err != nil && !errors.Is(err, http.ErrServerClosed) {
		d.log.Failure("listener_failed", err)
	}
}

// maintain forgets what is old and logs which daemons come and go.
func (d *Daemon) maintain(ctx context.Context) {
	const interval = time.Second
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	known := make(map[string]bool)
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		view := d.catalog.View()
		listed := make(map[string]bool, len(view.Servers))
		holders := make(map[warm.Holder]bool, len(view.Servers))
		for i, server := range view.Servers {
			listed[i.ID] = true
			holders[warm.Holder(server.Tag())] = true
		}
		d.warm.Expire(func(h warm.Holder) bool { return holders[h] })
		d.pool.Expire(func(id string) bool { return listed[id] })
		d.health.Expire()
		if view.Table != nil {
			d.frontend.CloseIdle(view.Table.Limits().IdleTimeout)
		}
		known = d.logPeers(known)
	}
}

func (d *Daemon) logPeers(known map[string]bool) map[string]bool {
	alive := make(map[string]bool)
	var heard, lost []string
	for _, p := range d.peers.Alive() {
		alive[p.IP] = true
		if !known[p.IP] {
			heard = append(heard, p.IP)
		}
	}
	for ip := range known {
		if !alive[ip] {
			lost = append(lost, ip)
		}
	}
	if len(heard)+len(lost) > 0 {
		d.log.Peers(heard, lost, len(alive))
	}
	return alive
}

const (
	// lastRequestMargin is how long before the end requests that may last until then are
	// no longer taken.
	lastRequestMargin = 300 * time.Millisecond
	// closeMargin is how long before the platform kills the process its callers'
	// connections are closed.
	closeMargin = 700 * time.Millisecond
	// minDrain is the shortest drain: callers that keep an old answer go on
	// coming for this long.
	minDrain          = 7 * time.Second
	drainPollInterval = 50 * time.Millisecond
	logFlushTimeout   = 100 * time.Millisecond
)

// drainTimeLeft returns how long the daemon serves on, if it is draining.
func (d *Daemon) drainTimeLeft() (time.Duration, bool) {
	end := d.drainDeadline.Load()
	if end == nil {
		return 0, false
	}
	return time.Until(*end) - lastRequestMargin, true
}

// drain serves on while callers go elsewhere.
func (d *Daemon) drain() {
	start := time.Now()
	end := start.Add(d.settings.Grace - closeMargin)
	d.drainDeadline.Store(&end)
	d.log.Lifecycle("drain_started", "")
	d.exchange.Trigger()
	least := start.Add(min(minDrain, d.settings.Grace-closeMargin))
	for now := start; now.Before(end); now = time.Now() {
		if now.After(least) && d.frontend.Active() == 0 {
			break
		}
		time.Sleep(drainPollInterval)
	}
	d.frontend.Close()
	for _, s := range d.auxServers {
		s.Close()
	}
	d.log.Lifecycle("stop", "")
	d.writer.Close(logFlushTimeout)
}

// Reload reads the settings again. What can't be changed while the daemon runs
// stays as it is.
func (d *Daemon) Reload() {
	s, err := d.adapter.Reload()
	if err != nil {
		d.log.Failure("reload_failed", err)
		return
	}
	d.peers.AddSeeds(hostsOf(s.Seeds))
	d.log.Lifecycle("reload", "")
}
