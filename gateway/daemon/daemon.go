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
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/signal"
	"runtime/debug"
	"sync/atomic"
	"syscall"
	"time"

	"cassialatch.dev/gateway/admission"
	"cassialatch.dev/gateway/avoid"
	"cassialatch.dev/gateway/boottime"
	"cassialatch.dev/gateway/cacheindex"
	"cassialatch.dev/gateway/cachescan"
	"cassialatch.dev/gateway/call"
	"cassialatch.dev/gateway/catalog"
	"cassialatch.dev/gateway/clientlimit"
	"cassialatch.dev/gateway/directory"
	"cassialatch.dev/gateway/eventlog"
	"cassialatch.dev/gateway/health"
	"cassialatch.dev/gateway/ingress"
	"cassialatch.dev/gateway/load"
	"cassialatch.dev/gateway/memory"
	"cassialatch.dev/gateway/metrics"
	"cassialatch.dev/gateway/peers"
	"cassialatch.dev/gateway/placement"
	"cassialatch.dev/gateway/quarantine"
	"cassialatch.dev/gateway/reader"
	"cassialatch.dev/gateway/retry"
	"cassialatch.dev/gateway/serverstate"
	"cassialatch.dev/gateway/upstream"
	"cassialatch.dev/gateway/warmup"
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
	avoid      *avoid.Table
	servers    *serverstate.Table // nil unless Settings.ServerState
	warmup     *warmup.Table
	pool       *upstream.Pool
	quarantine *quarantine.Table
	cacheIndex *cacheindex.Index
	metrics    *metrics.Registry
	handler    *ingress.Handler
	frontend   *ingress.Server
	clients    *clientlimit.Table // connections of the frontend
	heads      *memory.Budget     // request heads, of all endpoints
	closings   closings
	auxServers []*http.Server

	drainTimes atomic.Pointer[drainTimes] // nil: not draining

	datagramLoggedAt time.Time // used by the exchange's receiver only
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
		avoid:      avoid.New(time.Now),
		pool:       upstream.NewPool(a.Dialect),
		quarantine: quarantine.New(time.Now),
		cacheIndex: cacheindex.New(time.Now),
		metrics:    metrics.New(),
	}
	d.self = peers.Self{IP: s.IP, Zone: s.Zone, Seeds: hostsOf(s.Seeds)}
	d.peers = peers.NewTable(d.self, boottime.Now, c)
	triggerExchange := func() { d.exchange.Trigger() } // d.exchange is set by Run
	d.warmup = warmup.New(time.Now, d.peers.FleetSize, rand.Float64)
	c.BeforeChange = d.beforeStateChange
	d.scanner = cachescan.New(a.Lister, c, d.cacheIndex, d.peers, d.self, triggerExchange, d.log)
	d.reader = reader.New(a.Source, c, d.peers, boottime.Now, readerLog{d.log, d.metrics})
	heads, bodies, responses := d.newBudgets()
	d.heads = heads
	d.clients = d.clientTable(frontendEndpoint, s.maxConnections())
	d.handler = &ingress.Handler{
		Dialect:         a.Dialect,
		Catalog:         c,
		Pool:            d.pool,
		Loads:           d.loads,
		Health:          d.health,
		Avoid:           d.avoid,
		Warmup:          d.warmup,
		Budget:          retry.New(retry.Options(s.Retry), d.peers.FleetSize, time.Now),
		Quarantine:      d.quarantine,
		CacheIndex:      d.cacheIndex,
		FleetSize:       d.peers.FleetSize,
		Jitter:          d.placementJitter,
		Recorder:        d,
		Settings:        ingress.Settings{Zone: s.Zone, KeyLease: s.KeyLease, ConfigLag: s.ConfigLag},
		Bodies:          bodies,
		Responses:       responses,
		Draining:        d.drainTimeLeft,
		TriggerExchange: triggerExchange,
		CachesKnown:     d.scanner.Done(),
	}
	if s.Overload {
		d.handler.Admission = admission.New(time.Now, rand.Float64)
	}
	d.quarantine.Log = d.log
	if s.ServerState {
		d.servers = serverstate.New(time.Now)
		d.servers.OnUrgent = triggerExchange
		d.servers.OnRestart = func(tags []uint32) { d.warmup.SuspectTags(c.View(), tags) }
		d.handler.ServerState = d.servers
	}
	d.frontend = ingress.NewServer(d.handler)
	d.pool.OnDial = d.countDial
	d.registerGauges()
	return d
}

// placementJitter returns the random load for the choice of a server. In a large fleet,
// counts take several gossip rounds to arrive.
func (d *Daemon) placementJitter() placement.Jitter {
	if !d.peers.LargeFleet() {
		return nil
	}
	return rand.ExpFloat64
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
	for range r.ColdDeferred {
		d.metrics.Count("cold_deferred")
	}
	if r.Waited > 0 {
		d.metrics.Count("admission_delayed")
	}
	if r.Reason == ingress.ReasonNoRoom {
		d.metrics.Count("admission_refused")
	}
}

// PeerFetchFailed implements peers.FetchLog. It logs and counts the failure.
func (d *Daemon) PeerFetchFailed(ip string, took time.Duration, err error) {
	d.log.PeerFetchFailed(ip, took, err)
	d.metrics.Count("peer_fetch_failures")
}

// readerLog is the reader's log. It also counts the servers that are rejected.
type readerLog struct {
	*eventlog.Log
	metrics *metrics.Registry
}

// ServerRejected implements reader.Log.
func (l readerLog) ServerRejected(origin string, err error, revision int64) {
	l.Log.ServerRejected(origin, err, revision)
	l.metrics.Count("servers_rejected")
}

// datagramLogInterval is the minimum time between two log lines about datagrams that
// were rejected. All of them are counted.
const datagramLogInterval = 10 * time.Second

// datagramRejected counts a datagram that no daemon has sent, and logs some.
func (d *Daemon) datagramRejected(ip string, err error) {
	d.metrics.Count("datagrams_rejected")
	if now := time.Now(); now.Sub(d.datagramLoggedAt) >= datagramLogInterval {
		d.datagramLoggedAt = now
		d.log.DatagramRejected(ip, err)
	}
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
	d.metrics.Gauge("peers", func() float64 { return float64(d.peers.CountAlive()) })
	d.metrics.Gauge("server_connections", func() float64 { return float64(d.pool.OpenConns()) })
	d.metrics.Gauge("body_memory_bytes", func() float64 { return float64(d.handler.Bodies.Used()) })
	d.metrics.Gauge("response_memory_bytes", func() float64 { return float64(d.handler.Responses.Used()) })
	d.metrics.Gauge("cold_servers", func() float64 { return float64(d.warmup.Cold()) })
	d.metrics.Gauge("evacuated_zones", func() float64 { return float64(len(d.catalog.View().Evacuated)) })
	if d.handler.Admission != nil {
		d.metrics.Gauge("admission_waiting", func() float64 { return float64(d.handler.Admission.Waiting()) })
	}
	d.metrics.Gauge("client_connections", func() float64 { return float64(d.clients.Open()) })
	d.metrics.Gauge("head_memory_bytes", func() float64 { return float64(d.heads.Used()) })
	d.metrics.Gauge("cache_news_lost", func() float64 { return float64(d.cacheIndex.DroppedUpdates()) })
	d.metrics.Gauge("log_lines_dropped", func() float64 { return float64(d.writer.Dropped()) })
	if d.servers != nil {
		d.metrics.Gauge("servers_slow", func() float64 { slow, _ := d.servers.Count(); return float64(slow) })
		d.metrics.Gauge("servers_refusing", func() float64 { _, refusing := d.servers.Count(); return float64(refusing) })
	}
}

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
