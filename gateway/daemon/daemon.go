// Package daemon assembles the components of a gateway, runs them and drains the
// gateway when it is stopped.
//
// What differs between deployments is supplied as an Adapter. After a stop
// signal the daemon reports that it is draining, so that callers move to other
// daemons, and serves requests until none is in flight or the grace period is
// nearly over.
//
// A Daemon is run once. Reload may be called concurrently with Run.
package daemon

import (
	"context"
	"errors"
	"net"
	"net/http"
	"os"
	"os/signal"
	"runtime/debug"
	"sync/atomic"
	"syscall"
	"time"

	"cassialatch.dev/gateway/boottime"
	"cassialatch.dev/gateway/cacheindex"
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
	"cassialatch.dev/gateway/quarantine"
	"cassialatch.dev/gateway/reader"
	"cassialatch.dev/gateway/retry"
	"cassialatch.dev/gateway/upstream"
)

// Adapter holds the parts of the gateway that are specific to a deployment.
type Adapter struct {
	Dialect call.Dialect
	Source  reader.Source
	Lister  cachescan.Lister
	// DirectoryHandler returns the handler for callers that ask which addresses
	// to connect to.
	DirectoryHandler func(d *directory.Directory) http.Handler
	// ReadinessHandler returns the handler for readiness checks.
	ReadinessHandler func(ready func() bool) http.Handler
	// Reload reads the settings again. Daemon.Reload calls it.
	Reload func() (Settings, error)
}

// maxReadyAge limits readiness: the daemon is ready only while the last confirmation
// of the catalog is younger than this.
const maxReadyAge = 4 * time.Second

const (
	// gcPercent is the GOGC value. The heap is small, so frequent collections
	// cost little.
	gcPercent = 50
	// memoryLimitRatio is the part of Settings.MemoryBytes that is set as the soft
	// memory limit of the Go runtime.
	memoryLimitRatio = 0.8
	// bodyMemoryRatio is the part of Settings.MemoryBytes for callers' request
	// bodies. A body that is being sent takes twice its size.
	bodyMemoryRatio = 0.15
)

// Daemon is a gateway process: it serves callers and exchanges its state with
// the other daemons of the fleet.
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
	quarantine *quarantine.Table
	cacheIndex *cacheindex.Index
	metrics    *metrics.Registry
	handler    *ingress.Handler
	frontend   *ingress.Server
	auxServers []*http.Server

	drainTimes atomic.Pointer[drainTimes] // nil: not draining
}

// New returns a daemon that does not listen or connect before Run. It sets the
// garbage collector's target and the memory limit of the process, and ignores
// SIGPIPE.
func New(s Settings, a Adapter) *Daemon {
	signal.Ignore(syscall.SIGPIPE) // a write to standard output whose reader is gone would end the process
	debug.SetGCPercent(gcPercent)
	if s.MemoryBytes > 0 {
		debug.SetMemoryLimit(int64(float64(s.MemoryBytes) * memoryLimitRatio))
	}
	c := catalog.New(boottime.Now)
	writer := eventlog.NewWriter(os.Stdout)
	d := &Daemon{
		settings:   s,
		adapter:    a,
		writer:     writer,
		log:        eventlog.New(writer, s.Name),
		catalog:    c,
		loads:      load.New(time.Now),
		health:     health.New(time.Now),
		pool:       upstream.NewPool(a.Dialect),
		quarantine: quarantine.New(time.Now),
		cacheIndex: cacheindex.New(time.Now),
		metrics:    metrics.New(),
	}
	d.self = peers.Self{IP: s.IP, Zone: s.Zone, Seeds: hostsOf(s.Seeds)}
	d.peers = peers.NewTable(d.self, boottime.Now, c)
	triggerExchange := func() { d.exchange.Trigger() } // d.exchange is set by Run
	d.scanner = cachescan.New(a.Lister, c, d.cacheIndex, d.peers, d.self, triggerExchange, d.log)
	d.reader = reader.New(a.Source, c, d.peers, boottime.Now, d.log)
	d.handler = &ingress.Handler{
		Dialect:         a.Dialect,
		Catalog:         c,
		Pool:            d.pool,
		Loads:           d.loads,
		Health:          d.health,
		Budget:          retry.New(retry.Options(s.Retry), d.peers.FleetSize, time.Now),
		Quarantine:      d.quarantine,
		CacheIndex:      d.cacheIndex,
		FleetSize:       d.peers.FleetSize,
		Recorder:        d,
		Settings:        ingress.Settings{Zone: s.Zone, KeyLease: s.KeyLease, BodyBytes: int64(float64(s.MemoryBytes) * bodyMemoryRatio)},
		Draining:        d.drainTimeLeft,
		TriggerExchange: triggerExchange,
		CachesKnown:     d.scanner.Done(),
	}
	d.frontend = ingress.NewServer(d.handler)
	d.pool.OnDial = d.countDial
	d.registerGauges()
	return d
}

// hostsOf returns the hosts of host:port addresses. It skips addresses that have
// no port.
func hostsOf(addresses []string) []string {
	var hosts []string
	for _, a := range addresses {
		if host, _, err := net.SplitHostPort(a); err == nil {
			hosts = append(hosts, host)
		}
	}
	return hosts
}

// Record implements ingress.Recorder. It logs and counts a request that has
// ended.
func (d *Daemon) Record(r *ingress.Record) {
	d.log.Request(r)
	d.metrics.Request(r.Service, string(r.Outcome), string(r.Reason), r.FirstByte, r.Duration)
}

// countDial counts an attempt to connect to a backend server.
func (d *Daemon) countDial(err error) {
	if err != nil {
		d.metrics.Count("dial_failures")
		return
	}
	d.metrics.Count("dials")
}

// registerGauges registers the gauges with the metrics registry.
// confirmed_age_seconds is -1 before the first confirmation.
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
	d.metrics.Gauge("cache_news_lost", func() float64 { return float64(d.cacheIndex.DroppedUpdates()) })
	d.metrics.Gauge("log_lines_dropped", func() float64 { return float64(d.writer.Dropped()) })
}

func (d *Daemon) draining() bool { return d.drainTimes.Load() != nil }

// ready reports whether callers may connect to this daemon: it has a
// configuration that was confirmed recently, and it is not draining.
func (d *Daemon) ready() bool {
	age, ok := d.catalog.Age()
	return ok && age < maxReadyAge && !d.draining() && d.catalog.View().Table != nil
}

// peerState returns the state that is sent to the other daemons.
func (d *Daemon) peerState() peers.State {
	return peers.State{Ready: d.ready(), Leaving: d.draining(), CachesKnown: d.scanner.CachesKnown()}
}

// Run serves until the context ends, then drains. The process may exit when it
// returns. It returns an error only if an address can't be listened on.
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

// startListeners listens on all addresses and starts to serve them.
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
	d.exchange, err = peers.Listen(addr, d.peers, d.loads, d.quarantine, d.cacheIndex, fetcher, d.peerState)
	if err != nil {
		return err
	}
	dir := &directory.Directory{Self: s.Frontend, Ready: d.ready, Peers: d.peers}
	endpoints := []struct {
		address string
		handler http.Handler
	}{
		{s.Control, peers.StateHandler(d.catalog)},
		{s.Directory, d.adapter.DirectoryHandler(dir)},
		{s.Readiness, d.adapter.ReadinessHandler(d.ready)},
		{s.Metrics, d.metrics},
	}
	for _, l := range endpoints {
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
	go d.serve(listener, d.frontend.Serve)
	return nil
}

// listen serves an HTTP endpoint other than the frontend.
func (d *Daemon) listen(address string, h http.Handler) error {
	const headerTimeout, idleTimeout = 5 * time.Second, time.Minute
	listener, err := net.Listen("tcp4", address)
	if err != nil {
		return err
	}
	server := &http.Server{Handler: h, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout}
	d.auxServers = append(d.auxServers, server)
	go d.serve(listener, server.Serve)
	return nil
}

// serve runs a server, whose Serve method is run, until it is closed. If the
// listener fails, it listens on the same address again: a daemon without a
// listener would be ready for callers that it does not accept.
func (d *Daemon) serve(l net.Listener, run func(net.Listener) error) {
	for {
		err := run(l) // closes the listener
		if errors.Is(err, http.ErrServerClosed) {
			return
		}
		d.log.Failure("listener_failed", err)
		l = d.listenAgain(l.Addr().String())
	}
}

// listenAgain listens on an address. It tries until it succeeds.
func (d *Daemon) listenAgain(address string) net.Listener {
	const interval = 100 * time.Millisecond
	for {
		time.Sleep(interval)
		l, err := net.Listen("tcp4", address)
		if err == nil {
			return l
		}
		d.log.Failure("listener_failed", err)
	}
}

// maintain removes expired cache entries, connections and health records, and
// logs which daemons join and leave. It runs once a second until the context
// ends.
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
		holders := make(map[cacheindex.Holder]bool, len(view.Servers))
		for incarnation, server := range view.Servers {
			listed[incarnation.ID] = true
			holders[cacheindex.Holder(server.Tag())] = true
		}
		d.cacheIndex.Expire(func(h cacheindex.Holder) bool { return holders[h] })
		d.pool.Expire(func(id string) bool { return listed[id] })
		d.health.Expire()
		if view.Table != nil {
			for range d.frontend.CloseIdle(view.Table.Limits().IdleTimeout) {
				d.metrics.Count("idle_connections_closed")
			}
		}
		known = d.logPeers(known)
	}
}

// logPeers logs the difference between the known daemons and those that are
// alive now, and returns the latter.
func (d *Daemon) logPeers(known map[string]bool) map[string]bool {
	alive := make(map[string]bool)
	var joined, lost []string
	for _, p := range d.peers.Alive() {
		alive[p.IP] = true
		if !known[p.IP] {
			joined = append(joined, p.IP)
		}
	}
	for ip := range known {
		if !alive[ip] {
			lost = append(lost, ip)
		}
	}
	if len(joined)+len(lost) > 0 {
		d.log.PeersChanged(joined, lost, len(alive))
	}
	return alive
}

const (
	// lastRequestMargin is the time between the latest possible end of a request
	// that is admitted during the drain and the end of the drain.
	lastRequestMargin = 300 * time.Millisecond
	// closeMargin is the time between the end of the drain, when requests in
	// flight are ended, and the SIGKILL from the platform.
	closeMargin = 700 * time.Millisecond
	// minDrain is the shortest drain, unless the grace period is shorter. Callers
	// keep connecting for this long to addresses that they have cached from the
	// directory.
	minDrain          = 7 * time.Second
	drainPollInterval = 50 * time.Millisecond
	// stopTimeout limits how long the daemon waits, after the drain, for responses
	// to the requests that are still in flight.
	stopTimeout = 200 * time.Millisecond
	// logFlushTimeout limits how long the daemon waits for queued log lines.
	logFlushTimeout = 100 * time.Millisecond
)

// drainTimes holds the times that bound a drain.
type drainTimes struct {
	// earliest is when no more requests are admitted. From then on the drain ends
	// as soon as none is in flight.
	earliest time.Time
	latest   time.Time // when requests in flight are ended
}

// drainTimeLeft returns how long a request that is admitted now may run, and
// whether the daemon is draining. Once the drain may end, it is not positive.
func (d *Daemon) drainTimeLeft() (time.Duration, bool) {
	t := d.drainTimes.Load()
	if t == nil {
		return 0, false
	}
	now := time.Now()
	if !now.Before(t.earliest) {
		return 0, true
	}
	return t.latest.Sub(now) - lastRequestMargin, true
}

// drain keeps serving while callers move to other daemons. It closes the
// frontend once no request is in flight, but not before minDrain. Requests that
// are in flight closeMargin before the end of the grace period are ended.
func (d *Daemon) drain() {
	start := time.Now()
	longest := d.settings.Grace - closeMargin
	t := &drainTimes{earliest: start.Add(min(minDrain, longest)), latest: start.Add(longest)}
	d.drainTimes.Store(t)
	d.log.Lifecycle("drain_started", "")
	d.exchange.Trigger()
	time.Sleep(time.Until(t.earliest))
	d.awaitIdle(t.latest)
	d.frontend.Stop(stopTimeout)
	for _, s := range d.auxServers {
		s.Close()
	}
	d.log.Lifecycle("stop", "")
	d.writer.Close(logFlushTimeout)
}

// awaitIdle waits until no request is in flight, but not longer than until the
// given time.
func (d *Daemon) awaitIdle(until time.Time) {
	for time.Now().Before(until) && d.frontend.Active() > 0 {
		time.Sleep(drainPollInterval)
	}
}

// Reload reads the settings again and adds the seeds that they list. A change of
// any other setting takes effect only after a restart.
func (d *Daemon) Reload() {
	s, err := d.adapter.Reload()
	if err != nil {
		d.log.Failure("reload_failed", err)
		return
	}
	d.peers.AddSeeds(hostsOf(s.Seeds))
	d.log.Lifecycle("reload", "")
}
