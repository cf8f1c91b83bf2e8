// Package node joins the parts of a daemon and runs them.
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
	"cassialatch.dev/fleet/quarantine"
	"cassialatch.dev/fleet/router"
	"cassialatch.dev/fleet/straggler"
	"cassialatch.dev/fleet/traffic"
	"cassialatch.dev/fleet/warm"
	"cassialatch.dev/seal/keyring"
	"cassialatch.dev/wire/peerpb"
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
	times      *placement.TimeEstimator
	index      *warm.Index
	limiter    *limit.Limiter
	metrics    *metric.Metrics
	meter      *traffic.Meter
	ring       *keyring.Ring

	client   *backend.Client
	peers    *peer.Client
	control  *peer.HeartbeatClient
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
	started atomic.Bool // see start

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
	if err := n.open(); err != nil {
		n.cancel()
		return nil, err
	}
	return n, nil
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
	return placement.NewPlanner(placement.Options{Estimator: n.times})
}

// configured is told of each configuration that comes into force.
func (n *Node) configured(config *dynamic.Config) {
	n.log.Info().Uint64("base", config.BaseVersion).Uint64("overlay", config.OverlayVersion).
		Int("inactive", len(config.Inactive)).Msg("configuration in force")
}

// Ready reports whether callers may be sent here. A daemon that has started
// stays ready until it stops.
func (n *Node) Ready() bool {
	return n.ctx.Err() == nil && (n.started.Load() || n.start())
}

// start reports whether the daemon has started, and remembers it: a
// configuration is in force, the VM list is known, each peer was asked for newer
// documents, and the daemon lends its shares again and serves the backend
// servers that it is home of. So an operator who restarts one daemon after the
// other never takes two out at once.
func (n *Node) start() bool {
	informed := n.adopter.Config() != nil && n.exchange.AllPeersContacted()
	if !informed || !n.lender.Ready() || !n.settled() {
		return false
	}
	n.started.Store(true)
	return true
}

// settleLeases is how many leases' time a daemon waits at most for the shares
// of the backend servers that it is home of; in a fleet that is cut they may
// never come.
const settleLeases = 3

// settled reports whether the daemon serves the backend servers that it is home
// of, or has waited long enough for it.
func (n *Node) settled() bool {
	waited := n.now().Sub(n.began)
	return waited > settleLeases*n.settings.Control.LeaseDuration || n.home.Ready()
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
