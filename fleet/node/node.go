// Package node assembles a daemon from its parts and runs it: the servers for
// callers, peers and operators, the exchange of heartbeats with peers, the watch
// of the platform, and the orders to model engines.
//
// The methods of a Node are safe for concurrent use. Run must be called at
// most once.
package node

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

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
	"cassialatch.dev/fleet/order"
	"cassialatch.dev/fleet/peer"
	"cassialatch.dev/fleet/placement"
	"cassialatch.dev/fleet/platform"
	"cassialatch.dev/fleet/prefixindex"
	"cassialatch.dev/fleet/quarantine"
	"cassialatch.dev/fleet/router"
	"cassialatch.dev/fleet/straggler"
	"cassialatch.dev/fleet/traffic"
	"cassialatch.dev/seal/keyring"
	"cassialatch.dev/wire/peerpb"
)

// Options configure a Node.
type Options struct {
	Settings *setting.Settings
	Version  string // version of the program
	Log      zerolog.Logger
	Planner  placement.Planner // nil means the default planner
	Now      func() time.Time  // nil means time.Now

	Listeners *Listeners    // nil means to open those of the settings
	DialPeer  peer.DialFunc // nil means TCP; tests use it to break connections
}

// Node is a daemon.
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
	estimator  *placement.TimeEstimator
	index      *prefixindex.Index
	limiter    *limit.Limiter
	metrics    *metric.Metrics
	meter      *traffic.Meter
	ring       *keyring.Ring

	client     *backend.Client
	peers      *peer.Client
	heartbeats *peer.HeartbeatClient
	home       *home.Home
	router     *router.Router
	executor   *executor.Executor
	exchange   *heartbeat.Exchange
	orderer    *order.Orderer
	entry      *entry.Server
	watcher    *platform.Watcher
	tlsConfigs tlsConfigs

	ctx       context.Context // canceled when the node stops
	cancel    context.CancelFunc
	drain     chan struct{} // closed when a drain begins
	drainOnce sync.Once

	createdAt time.Time
	started   atomic.Bool // see checkStarted

	forwarded atomic.Int64 // number of in-flight requests from peers
}

// New creates a Node. The daemon runs only after Run is called.
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
		drain:     make(chan struct{}),
		createdAt: opts.Now(),
	}
	n.log = opts.Log.With().Str("daemon", n.self.Id).Logger()
	n.ctx, n.cancel = context.WithCancel(context.Background())
	if err := n.initParts(); err != nil {
		n.cancel()
		return nil, err
	}
	return n, nil
}

// isSuspect reports whether the request with the fingerprint is suspected of
// crashing backend servers.
func (n *Node) isSuspect(fingerprint uint64) bool {
	return fingerprint != 0 && n.quarantine.Check(fingerprint) != quarantine.Clear
}

// planner returns the planner from the options, or the default one.
func (n *Node) planner() placement.Planner {
	if n.opts.Planner != nil {
		return n.opts.Planner
	}
	return placement.NewPlanner(placement.Options{Estimator: n.estimator})
}

// logConfig logs a configuration that has come into force.
func (n *Node) logConfig(config *dynamic.Config) {
	n.log.Info().Uint64("base", config.BaseVersion).Uint64("overlay", config.OverlayVersion).
		Int("inactive", len(config.Inactive)).Msg("configuration in force")
}

// Ready reports whether callers may use this daemon. Once a daemon has started,
// it stays ready until it stops.
func (n *Node) Ready() bool {
	return n.ctx.Err() == nil && (n.started.Load() || n.checkStarted())
}

// checkStarted reports whether the daemon has started, and sets n.started if so.
// It has started when a configuration is in force, the VM list is known, each
// peer was asked for newer documents, the lender grants leases again, and the
// daemon serves the backend servers that it is home of. This keeps a rolling
// restart from having two daemons out of service at once.
func (n *Node) checkStarted() bool {
	upToDate := n.adopter.Config() != nil && n.exchange.AllPeersContacted()
	if !upToDate || !n.lender.Ready() || !n.homesReady() {
		return false
	}
	n.started.Store(true)
	return true
}

// maxHomesWait is the maximum time, in lease durations, that a starting daemon
// waits for its shares of the backend servers that it is home of. During a
// network partition the shares may never be granted.
const maxHomesWait = 3

// homesReady reports whether the daemon serves the backend servers that it is
// home of, or the maximum wait for that has passed.
func (n *Node) homesReady() bool {
	elapsed := n.now().Sub(n.createdAt)
	return elapsed > maxHomesWait*n.settings.Control.LeaseDuration || n.home.Ready()
}

// Execute implements forward.Executor for requests from peers. A request with a
// ticket goes to the ticket executor, any other one to the home of its backend
// server.
func (n *Node) Execute(ctx context.Context, start *peerpb.ForwardStart, body []byte, sink forward.Sink) error {
	n.forwarded.Add(1)
	defer n.forwarded.Add(-1)
	if start.Ticket != "" {
		return n.executor.Execute(ctx, start, body, sink)
	}
	return n.home.Execute(ctx, start, body, sink)
}
