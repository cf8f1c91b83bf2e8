// Package node joins the parts of a daemon and runs them.
package node

import (
	"context"
	"crypto/tls"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"

	"cassialatch.dev/config/dynamic"
	"cassialatch.dev/config/setting"
	"cassialatch.dev/fleet/adopt"
	"cassialatch.dev/fleet/backend"
	"cassialatch.dev/fleet/entry"
	"cassialatch.dev/fleet/executor"
	"cassialatch.dev/fleet/forward"
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
	"cassialatch.dev/wire/peerpb"
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

// Options configure a Node.
type Options struct {
	Settings *setting.Settings
	Version  string // of the program
	Log      zerolog.Logger
	Planner  placement.Planner // nil: the default planner
	Now      func() time.Time  // nil: time.Now

	Listeners *Listeners    // nil: opened from the settings
	DialPeer  peer.DialFunc // nil: TCP; tests cut connections by it
}

// Node is one daemon.
type Node struct {
	opts     Options
	settings *setting.Settings
	log      zerolog.Logger
	now      func() time.Time
	self     *peerpb.Identity

	directory  *member.Directory
	adopter    *adopt.Adopter
	lender     *lease.Lender
	shares     *lease.Shares
	loads      *loadtable.Table
	quarantine *quarantine.Table
	stragglers *straggler.Set
	times      *placement.Times
	index      *warm.Index
	limiter    *limit.Limiter
	metrics    *metric.Metrics
	meter      *traffic.Meter
	ring       *keyring.Ring

	client   *backend.Client
	peers    *peer.Client
	control  *peer.Control
	home     *home.Home
	router   *router.Router
	executor *executor.Executor
	exchange *heartbeat.Exchange
	orderer  *order.Orderer
	entry    *entry.Server
	watcher  *platform.Watcher
	security security

	ctx       context.Context // ends when the node stops
	cancel    context.CancelFunc
	drain     chan struct{} // closed when a drain begins
	drainOnce sync.Once

	began   time.Time
	inPlace atomic.Bool // see settled

	forwarded atomic.Int64 // requests that peers have in flight here
}

// New joins the parts of a daemon. Nothing runs before Run.
func New(opts Options) (*Node, error) {
	if opts.Now == nil {
		opts.Now = time.Now
	}
	n := &Node{
		opts:     opts,
		settings: opts.Settings,
		now:      opts.Now,
		self: &peerpb.Identity{
			Id:          opts.Settings.ID,
			Zone:        opts.Settings.Zone,
			Incarnation: rand.Uint64(),
		},
		drain: make(chan struct{}),
		began: opts.Now(),
	}
	n.log = opts.Log.With().Str("daemon", n.self.Id).Logger()
	n.ctx, n.cancel = context.WithCancel(context.Background())
	for _, step := range []func() error{n.openKeys, n.openMetrics, n.openState, n.openPaths} {
		if err := step(); err != nil {
			n.cancel()
			return nil, err
		}
	}
	return n, nil
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
func (n *Node) openState() error {
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
	n.times = &placement.Times{}
	n.index = warm.New(indexEntries)
	n.limiter = limit.New(limit.Options{})
	return nil
}

// openPaths creates the parts through which requests go.
func (n *Node) openPaths() error {
	n.client = backend.NewClient(n.countReport)
	n.peers = peer.NewClient(&peer.Dialer{TLS: n.security.peerClient, DialFunc: n.opts.DialPeer}, n.directory.Lost)
	n.control = peer.NewControl(&peer.Dialer{TLS: n.security.peerClient, Wrap: n.countPeer, DialFunc: n.opts.DialPeer})
	holder := lease.Holder{ID: n.self.Id, Incarnation: n.self.Incarnation}
	n.home = home.New(n.ctx, home.Options{
		Self: holder, Directory: n.directory, Lender: n.lender, Shares: n.shares, Loads: n.loads,
		Quarantine: n.quarantine, Stragglers: n.stragglers, Times: n.times, Client: n.client,
		Config: n.adopter.Config, Now: n.now, Observer: observer{n.metrics}, Log: n.log,
		OnCrash: func() { n.exchange.Wake() },
	})
	n.router = router.New(router.Options{
		SelfID: n.self.Id, Directory: n.directory, Loads: n.loads, Planner: n.planner(),
		Local: n.home, Peers: n.peers, Config: n.adopter.Config, Suspect: n.suspect,
		OnRetry: n.metrics.Retry, OnHedge: observer{n.metrics}.Hedge,
	})
	n.executor = executor.New(executor.Options{
		Self: holder, Ring: n.ring, Router: n.router, Peers: n.peers, MaxAnswerBytes: maxAnswerBytes,
		Book: ticketbook.New(ticketbook.Options{
			Incarnation: n.self.Incarnation, MaxEntries: bookEntries, MaxAnswerBytes: maxAnswerBytes,
			MaxTotalBytes: maxAnswersBytes, Retain: ticketRetain,
		}, n.now),
	})
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
	n.entry = entry.NewServer(entry.Options{
		Self: n.self, Peer: n.settings.Listen.Peer, Directory: n.directory, Config: n.adopter.Config,
		Ready: n.Ready, Router: n.router, Executor: n.executor, Limiter: n.limiter, Index: n.index,
		Ring: n.ring, Limits: n.settings.Limits, Observer: observer{n.metrics}, Log: n.log, Now: n.now,
	})
	n.watcher = platform.NewWatcher(platform.NewClient(platform.Options{
		Addresses: n.settings.Platform.Addresses, WatchWait: n.settings.Platform.WatchWait,
		Timeout: n.settings.Platform.Timeout, HTTP: &http.Client{Transport: n.platformTransport()},
	}), n.exchange, n.adopter.Names())
	return nil
}

// suspect reports whether a request may crash backend servers.
func (n *Node) suspect(fingerprint uint64) bool {
	return fingerprint != 0 && n.quarantine.Check(fingerprint) != quarantine.Clear
}

// planner returns the planner of the options or the default one.
func (n *Node) planner() placement.Planner {
	if n.opts.Planner != nil {
		return n.opts.Planner
	}
	return placement.NewPlanner(placement.Options{Times: n.times})
}

// configured is told of each configuration that comes into force.
func (n *Node) configured(config *dynamic.Config) {
	n.log.Info().Uint64("base", config.BaseVersion).Uint64("overlay", config.OverlayVersion).
		Int("inactive", len(config.Inactive)).Msg("configuration in force")
}

// Ready reports whether callers may be sent here: a configuration is in force,
// the VM list is known, each peer was asked for newer documents, and the daemon
// lends its shares again and serves the backend servers that it is home of. So
// an operator who restarts one daemon after the other never takes two out at
// once.
func (n *Node) Ready() bool {
	informed := n.adopter.Config() != nil && n.exchange.AskedAll()
	return informed && n.lender.Open() && n.settled() && n.ctx.Err() == nil
}

// settleLeases is how many leases' time a daemon waits at most for the shares
// of the backend servers that it is home of; in a fleet that is cut they may
// never come.
const settleLeases = 3

// settled reports whether the daemon has taken its place among the homes. Once
// true it stays so.
func (n *Node) settled() bool {
	if n.inPlace.Load() {
		return true
	}
	waited := n.now().Sub(n.began) > settleLeases*n.settings.Control.LeaseDuration
	if !waited && !n.home.Settled() {
		return false
	}
	n.inPlace.Store(true)
	return true
}

// Execute implements forward.Executor for what peers hand to this daemon: a
// ticket to run, or a request for a backend server that it is home of.
func (n *Node) Execute(ctx context.Context, start *peerpb.ForwardStart, body []byte, sink forward.Sink) error {
	n.forwarded.Add(1)
	defer n.forwarded.Add(-1)
	if start.Ticket != "" {
		return n.executor.Execute(ctx, start, body, sink)
	}
	return n.home.Execute(ctx, start, body, sink)
}

// caller joins the control connections and the pooled ones.
type caller struct {
	*peer.Control
	*peer.Client
}

// Close closes idle connections of both.
func (c caller) Close() error {
	c.Control.Close()
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
