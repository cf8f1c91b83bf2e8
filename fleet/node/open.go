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
	"cassialatch.dev/fleet/quarantine"
	"cassialatch.dev/fleet/router"
	"cassialatch.dev/fleet/straggler"
	"cassialatch.dev/fleet/ticketbook"
	"cassialatch.dev/fleet/traffic"
	"cassialatch.dev/fleet/warm"
	"cassialatch.dev/seal/keyring"
)

// Bounds of a daemon's memory and time.
const (
	loadKeep        = 5 * time.Second // load figures are forgotten after this
	indexEntries    = 200_000         // warm prefixes remembered
	bookEntries     = 100_000         // tickets remembered
	maxAnswerBytes  = 256 << 10       // of one answer kept for resends
	maxAnswersBytes = 32 << 20        // of all of them
	ticketRetain    = time.Minute     // beyond a ticket's expiry
)

// open creates the parts, each of which needs those before it.
func (n *Node) open() error {
	if err := n.openKeys(); err != nil {
		return err
	}
	if err := n.openMetrics(); err != nil {
		return err
	}
	n.openState()
	n.openClients()
	n.openServing()
	n.openExchange()
	n.openEntry()
	return nil
}

// openKeys reads keys and certificates.
func (n *Node) openKeys() error {
	keys := make([]keyring.Key, 0, len(n.settings.Keys))
	for _, key := range n.settings.Keys {
		keys = append(keys, keyring.Key{ID: key.ID, Secret: key.Secret})
	}
	ring, err := keyring.New(keys)
	if err != nil {
		return errors.Wrap(err, "node: keys")
	}
	n.ring = ring
	n.security, err = openSecurity(n.settings.TLS)
	return err
}

// openMetrics creates the metrics and the meter of control traffic.
func (n *Node) openMetrics() error {
	metrics, err := metric.New(metric.Options{MaxWorkspaces: n.settings.Limits.MetricSeries})
	if err != nil {
		return errors.Wrap(err, "node: metrics")
	}
	n.metrics = metrics
	n.meter = traffic.NewMeter(n.settings.Control.BytesPerSecond, n.now)
	return nil
}

// openState creates what the daemon knows.
func (n *Node) openState() {
	n.directory = member.NewDirectory(member.Options{
		Self:        n.self,
		Site:        n.settings.Site,
		PeerTimeout: n.settings.Control.PeerTimeout,
	}, n.now)
	n.adopter = adopt.New(n.settings.Site, n.configured)
	n.lender = lease.NewLender(n.settings.Control.LeaseDuration, n.now)
	n.shares = lease.NewShares(n.now)
	n.loads = loadtable.New(loadKeep, n.now)
	n.quarantine = quarantine.New(quarantine.Options{}, n.now)
	n.stragglers = straggler.NewSet(straggler.Options{}, n.now)
	n.times = &placement.TimeEstimator{}
	n.index = warm.New(indexEntries)
	n.limiter = limit.New(limit.Options{})
}

// openClients creates what calls backend servers and peers.
func (n *Node) openClients() {
	n.client = backend.NewClient(n.countReport)
	n.peers = peer.NewClient(&peer.Dialer{TLS: n.security.peerClient, DialFunc: n.opts.DialPeer}, n.directory.PeerDown)
	n.control = peer.NewHeartbeatClient(&peer.Dialer{TLS: n.security.peerClient, Wrap: n.countPeer, DialFunc: n.opts.DialPeer})
}

// openServing creates the parts through which requests go behind the entry.
func (n *Node) openServing() {
	holder := lease.Holder{ID: n.self.Id, Incarnation: n.self.Incarnation}
	n.home = home.New(n.ctx, home.Options{
		Self: holder, Directory: n.directory, Lender: n.lender, Shares: n.shares, Loads: n.loads,
		Quarantine: n.quarantine, Stragglers: n.stragglers, Estimator: n.times, Client: n.client,
		Config: n.adopter.Config, Now: n.now, Observer: observer{n.metrics}, Log: n.log,
		OnCrash: func() { n.exchange.Trigger() },
	})
	n.router = router.New(router.Options{
		SelfID: n.self.Id, Directory: n.directory, Loads: n.loads, Planner: n.planner(),
		Local: n.home, Peers: n.peers, Config: n.adopter.Config, IsSuspect: n.suspect,
		OnRetry: n.metrics.RecordRetry, OnHedge: observer{n.metrics}.Hedge,
	})
	n.executor = executor.New(executor.Options{
		Self: holder, Ring: n.ring, Router: n.router, Peers: n.peers, MaxResponseBytes: maxAnswerBytes,
		Book: ticketbook.New(ticketbook.Options{
			Incarnation: n.self.Incarnation, MaxEntries: bookEntries, MaxResponseBytes: maxAnswerBytes,
			MaxTotalBytes: maxAnswersBytes, Retention: ticketRetain,
		}, n.now),
	})
}

// openExchange creates what talks to peers, the platform and engines by itself.
func (n *Node) openExchange() {
	n.exchange = heartbeat.New(heartbeat.Options{
		Self: n.self, Directory: n.directory, Adopter: n.adopter, Lender: n.lender, Shares: n.shares,
		Home: n.home, Quarantine: n.quarantine, Tickets: n.executor,
		Peers: caller{n.control, n.peers}, Budget: n.meter, Seeds: n.settings.Control.Seeds,
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

// openEntry creates the part that serves callers.
func (n *Node) openEntry() {
	n.entry = entry.NewServer(entry.Options{
		Self: n.self, Peer: n.settings.Listen.Peer, Directory: n.directory, Config: n.adopter.Config,
		Ready: n.Ready, Router: n.router, Executor: n.executor, Limiter: n.limiter, Index: n.index,
		Ring: n.ring, Limits: n.settings.Limits, Observer: observer{n.metrics}, Log: n.log, Now: n.now,
	})
}

// caller joins the control connections and the pooled ones.
type caller struct {
	*peer.HeartbeatClient
	*peer.Client
}

// Close closes idle connections of both.
func (c caller) Close() error {
	c.HeartbeatClient.Close()
	return c.Client.Close()
}

// security holds the TLS configurations; all are nil when TLS is off.
type security struct {
	peerServer *tls.Config
	peerClient *tls.Config
	operator   *tls.Config
}

// openSecurity reads certificates.
func openSecurity(settings setting.TLS) (security, error) {
	server, client, err := mtls.Config(settings)
	if err != nil {
		return security{}, errors.Wrap(err, "node: TLS")
	}
	return security{peerServer: server, peerClient: client, operator: mtls.ForOperators(server)}, nil
}
