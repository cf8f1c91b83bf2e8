package node

import (
	"crypto/tls"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"cassialatch.dev/config/setting"
	"cassialatch.dev/fleet/adopt"
	"cassialatch.dev/fleet/backend"
	"cassialatch.dev/fleet/entry"
	"cassialatch.dev/fleet/executor"
	"cassialatch.dev/fleet/heartbeat"
	"cassialatch.dev/fleet/home"
	"cassialatch.dev/fleet/lease"
	"cassialatch.dev/fleet/limit"
	"cassialatch.dev/fleet/loadtable"
	"cassialatch.dev/fleet/member"
	"cassialatch.dev/fleet/metric"
	"cassialatch.dev/fleet/mtls"
	"cassialatch.dev/fleet/order"
	"cassialatch.dev/fleet/peer"
	"cassialatch.dev/fleet/placement"
	"cassialatch.dev/fleet/platform"
	"cassialatch.dev/fleet/prefixindex"
	"cassialatch.dev/fleet/quarantine"
	"cassialatch.dev/fleet/router"
	"cassialatch.dev/fleet/straggler"
	"cassialatch.dev/fleet/ticketbook"
	"cassialatch.dev/fleet/traffic"
	"cassialatch.dev/seal/keyring"
)

// Limits of a daemon's memory and retention times.
const (
	loadReportTTL    = 5 * time.Second // time to live of load reports
	maxIndexEntries  = 200_000         // prefixes in the index of backend caches
	maxTicketEntries = 100_000         // tickets in the ticket book
	maxResponseBytes = 256 << 10       // size of one response that is stored for resends
	maxStoredBytes   = 32 << 20        // total size of the stored responses
	ticketRetention  = time.Minute     // after the expiry of a ticket
)

// initParts creates the parts of the daemon. Each part depends on earlier ones, so
// the order matters.
func (n *Node) initParts() error {
	if err := n.loadKeys(); err != nil {
		return err
	}
	if err := n.initMetrics(); err != nil {
		return err
	}
	n.initState()
	n.initClients()
	n.initServing()
	n.initExchange()
	n.initEntry()
	return nil
}

// loadKeys creates the keyring and loads the TLS certificates.
func (n *Node) loadKeys() error {
	keys := make([]keyring.Key, 0, len(n.settings.Keys))
	for _, key := range n.settings.Keys {
		keys = append(keys, keyring.Key{ID: key.ID, Secret: key.Secret})
	}
	ring, err := keyring.New(keys)
	if err != nil {
		return errors.Wrap(err, "node: load keys")
	}
	n.ring = ring
	n.tlsConfigs, err = loadTLS(n.settings.TLS)
	return err
}

// initMetrics creates the metrics and the meter of control traffic.
func (n *Node) initMetrics() error {
	metrics, err := metric.New(metric.Options{MaxWorkspaces: n.settings.Limits.MetricSeries})
	if err != nil {
		return errors.Wrap(err, "node: create metrics")
	}
	n.metrics = metrics
	n.meter = traffic.NewMeter(n.settings.Control.BytesPerSecond, n.now)
	return nil
}

// initState creates the tables that hold the daemon's state.
func (n *Node) initState() {
	n.directory = member.NewDirectory(member.Options{
		Self:        n.self,
		Site:        n.settings.Site,
		PeerTimeout: n.settings.Control.PeerTimeout,
	}, n.now)
	n.adopter = adopt.New(n.settings.Site, n.logConfig)
	n.lender = lease.NewLender(n.settings.Control.LeaseDuration, n.now)
	n.shares = lease.NewShares(n.now)
	n.loads = loadtable.New(loadReportTTL, n.now)
	n.quarantine = quarantine.New(quarantine.Options{}, n.now)
	n.stragglers = straggler.NewSet(straggler.Options{}, n.now)
	n.estimator = &placement.TimeEstimator{}
	n.index = prefixindex.New(maxIndexEntries)
	n.limiter = limit.New(limit.Options{})
}

// initClients creates the clients for backend servers and peers.
func (n *Node) initClients() {
	n.client = backend.NewClient(n.countReport)
	n.peers = peer.NewClient(&peer.Dialer{TLS: n.tlsConfigs.peerClient, DialFunc: n.opts.DialPeer}, n.directory.PeerDown)
	n.heartbeats = peer.NewHeartbeatClient(&peer.Dialer{TLS: n.tlsConfigs.peerClient, Wrap: n.countPeer, DialFunc: n.opts.DialPeer})
}

// initServing creates the parts that process requests behind the entry: the home,
// the router and the ticket executor.
func (n *Node) initServing() {
	holder := lease.Holder{ID: n.self.Id, Incarnation: n.self.Incarnation}
	n.home = home.New(n.ctx, home.Options{
		Self: holder, Directory: n.directory, Lender: n.lender, Shares: n.shares, Loads: n.loads,
		Quarantine: n.quarantine, Stragglers: n.stragglers, Estimator: n.estimator, Client: n.client,
		Config: n.adopter.Config, Now: n.now, Observer: observer{n.metrics}, Log: n.log,
		OnCrash: func() { n.exchange.Trigger() },
	})
	n.router = router.New(router.Options{
		SelfID: n.self.Id, Directory: n.directory, Loads: n.loads, Planner: n.planner(),
		Local: n.home, Peers: n.peers, Config: n.adopter.Config, IsSuspect: n.isSuspect,
		OnRetry: n.metrics.RecordRetry, OnHedge: observer{n.metrics}.Hedge,
	})
	n.executor = executor.New(executor.Options{
		Self: holder, Ring: n.ring, Router: n.router, Peers: n.peers, MaxResponseBytes: maxResponseBytes,
		Book: ticketbook.New(ticketbook.Options{
			Incarnation: n.self.Incarnation, MaxEntries: maxTicketEntries, MaxResponseBytes: maxResponseBytes,
			MaxTotalBytes: maxStoredBytes, Retention: ticketRetention,
		}, n.now),
	})
}

// initExchange creates the background parts: the heartbeat exchange with peers, the
// sender of orders to model engines, and the platform watcher.
func (n *Node) initExchange() {
	n.exchange = heartbeat.New(heartbeat.Options{
		Self: n.self, Directory: n.directory, Adopter: n.adopter, Lender: n.lender, Shares: n.shares,
		Home: n.home, Quarantine: n.quarantine, Tickets: n.executor,
		Peers: peerClients{n.heartbeats, n.peers}, Budget: n.meter, Seeds: n.settings.Control.Seeds,
		Interval: n.settings.Control.Heartbeat, MaxPeers: n.settings.Control.MaxPeers,
		Now: n.now, Log: n.log,
	})
	n.orderer = order.New(order.Options{
		Config: n.adopter.Config, Homes: n.home, Client: n.client, Now: n.now, Log: n.log,
	})
	n.watcher = platform.NewWatcher(platform.NewClient(platform.Options{
		Addresses: n.settings.Platform.Addresses, WatchWait: n.settings.Platform.WatchWait,
		Timeout: n.settings.Platform.Timeout, HTTP: &http.Client{Transport: n.platformTransport()},
	}), n.exchange, n.adopter.DocumentNames())
}

// initEntry creates the server for callers.
func (n *Node) initEntry() {
	n.entry = entry.NewServer(entry.Options{
		Self: n.self, Peer: n.settings.Listen.Peer, Directory: n.directory, Config: n.adopter.Config,
		Ready: n.Ready, Router: n.router, Executor: n.executor, Limiter: n.limiter, Index: n.index,
		Ring: n.ring, Limits: n.settings.Limits, Observer: observer{n.metrics}, Log: n.log, Now: n.now,
	})
}

// peerClients combines the client for heartbeats with the pooled client for
// requests.
type peerClients struct {
	*peer.HeartbeatClient
	*peer.Client
}

// Close closes the idle connections of both clients.
func (c peerClients) Close() error {
	c.HeartbeatClient.Close()
	return c.Client.Close()
}

// tlsConfigs holds the TLS configurations. All are nil if TLS is off.
type tlsConfigs struct {
	peerServer *tls.Config
	peerClient *tls.Config
	operator   *tls.Config
}

// loadTLS loads the certificates and returns the TLS configurations.
func loadTLS(settings setting.TLS) (tlsConfigs, error) {
	server, client, err := mtls.Config(settings)
	if err != nil {
		return tlsConfigs{}, errors.Wrap(err, "node: load TLS certificates")
	}
	return tlsConfigs{peerServer: server, peerClient: client, operator: mtls.ForOperators(server)}, nil
}
