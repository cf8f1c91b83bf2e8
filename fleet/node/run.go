package node

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"

	"cassialatch.dev/config/setting"
	"cassialatch.dev/fleet/operator"
	"cassialatch.dev/fleet/pause"
	"cassialatch.dev/fleet/peer"
	"cassialatch.dev/fleet/traffic"
)

// Times of a graceful stop.
const (
	drainMargin = time.Second            // callers may keep an entry answer a little longer
	drainPoll   = 100 * time.Millisecond // between looks at what is in flight
)

// Run serves until ctx ends or a drain is done. The end of ctx starts a drain.
func (n *Node) Run(ctx context.Context) error {
	defer n.cancel()
	listeners, err := n.listen()
	if err != nil {
		return err
	}
	if n.settings.TLS.Mode == setting.TLSOff {
		n.log.Warn().Msg("TLS is off: anyone who reaches the peer and operator ports is trusted")
	}
	stopDrain := context.AfterFunc(ctx, func() { n.Drain() })
	defer stopDrain()

	servers := n.httpServers()
	var group errgroup.Group
	n.serve(&group, servers, listeners)
	n.log.Info().Str("caller", n.settings.Listen.Caller).Str("peer", n.settings.Listen.Peer).Msg("serving")

	<-n.drain
	n.finish(servers)
	err = group.Wait()
	n.close()
	n.log.Info().Msg("stopped")
	return err
}

// Listeners are the sockets of a daemon.
type Listeners struct {
	Caller, Peer, Operator net.Listener
}

// listen opens the sockets.
func (n *Node) listen() (Listeners, error) {
	if n.opts.Listeners != nil {
		return n.secure(*n.opts.Listeners), nil
	}
	var ls Listeners
	var err error
	if ls.Caller, err = net.Listen("tcp", n.settings.Listen.Caller); err != nil {
		return ls, errors.Wrap(err, "node: listen for callers")
	}
	if ls.Peer, err = net.Listen("tcp", n.settings.Listen.Peer); err != nil {
		ls.Caller.Close()
		return ls, errors.Wrap(err, "node: listen for peers")
	}
	if ls.Operator, err = net.Listen("tcp", n.settings.Listen.Operator); err != nil {
		ls.Caller.Close()
		ls.Peer.Close()
		return ls, errors.Wrap(err, "node: listen for operators")
	}
	return n.secure(ls), nil
}

// secure puts TLS on the ports of peers and operators.
func (n *Node) secure(ls Listeners) Listeners {
	ls.Peer = secured(ls.Peer, n.security.peerServer)
	ls.Operator = secured(ls.Operator, n.security.operator)
	return ls
}

// secured wraps a listener in TLS unless it is off.
func secured(listener net.Listener, config *tls.Config) net.Listener {
	if config == nil {
		return listener
	}
	return tls.NewListener(listener, config)
}

// httpServers are the HTTP servers of a daemon.
type httpServers struct {
	caller, operator *http.Server
}

// httpServers returns the servers for callers and operators.
func (n *Node) httpServers() httpServers {
	limits := n.settings.Limits
	return httpServers{
		caller: &http.Server{
			Handler:           n.entry.Handler(),
			ReadHeaderTimeout: limits.HeaderTimeout,
			MaxHeaderBytes:    limits.MaxHeaderBytes,
		},
		operator: &http.Server{
			Handler:           operator.Handler(n, n.metrics.Handler()),
			ReadHeaderTimeout: limits.HeaderTimeout,
		},
	}
}

// serve starts all loops. They end with n.ctx or when their server is shut
// down.
func (n *Node) serve(group *errgroup.Group, servers httpServers, ls Listeners) {
	peers := peer.NewServer(n.exchange, n, n.settings.Limits.MaxBodyBytes)
	group.Go(func() error { return closed(servers.caller.Serve(ls.Caller)) })
	group.Go(func() error { return closed(servers.operator.Serve(ls.Operator)) })
	group.Go(func() error { return n.ended(peers.Serve(n.ctx, ls.Peer)) })
	group.Go(func() error { n.watcher.Run(n.ctx); return nil })
	group.Go(func() error { n.exchange.Run(n.ctx); return nil })
	group.Go(func() error { n.orderer.Run(n.ctx); return nil })
	group.Go(func() error { n.gauge(); return nil })
}

// closed takes the ordinary end of an HTTP server for success.
func closed(err error) error {
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return errors.Wrap(err, "node: HTTP")
}

// ended takes an error after the end of n.ctx for success.
func (n *Node) ended(err error) error {
	if n.ctx.Err() != nil {
		return nil
	}
	return err
}

// finish stops the daemon without cutting a request. Peers and entry answers
// have dropped it by then; callers that hold an older answer are served until
// that has run out.
func (n *Node) finish(servers httpServers) {
	limits := n.settings.Limits
	pause.For(n.ctx, limits.EntryTTL+drainMargin)
	ctx, cancel := context.WithTimeout(n.ctx, limits.DrainTimeout)
	defer cancel()

	if err := servers.caller.Shutdown(ctx); err != nil {
		n.log.Error().Err(err).Int("in_flight", n.entry.InFlight()).Msg("drain timed out; requests are cut")
		servers.caller.Close()
	}
	for n.forwarded.Load() > 0 && ctx.Err() == nil {
		pause.For(ctx, drainPoll)
	}
	n.cancel()
	servers.operator.Close()
}

// close releases what is left.
func (n *Node) close() {
	n.home.Wait()
	n.control.Close()
	_ = n.peers.Close() // only idle connections are left
	n.client.Close()
	if err := n.metrics.Close(); err != nil {
		n.log.Warn().Err(err).Msg("metrics not closed")
	}
}

// gaugeInterval is the time between two readings of the gauges.
const gaugeInterval = time.Second

// gauge reads what the metrics show as gauges until the node stops.
func (n *Node) gauge() {
	for n.ctx.Err() == nil {
		n.metrics.SetLeasesHeld(n.shares.Count())
		n.metrics.SetLeasesLent(n.lender.ActiveLeases())
		n.metrics.SetHomes(n.home.BackendCount())
		n.metrics.SetQuarantined(len(n.quarantine.Export(maxShownQuarantined)))
		n.metrics.RecordControlTraffic(n.meter.Snapshot())
		pause.For(n.ctx, gaugeInterval)
	}
}

// countReport counts a connection for load reports.
func (n *Node) countReport(conn net.Conn) net.Conn {
	return n.meter.Conn(traffic.KindReport, conn)
}

// countPeer counts a control connection to a peer.
func (n *Node) countPeer(conn net.Conn) net.Conn {
	return n.meter.Conn(traffic.KindPeer, conn)
}

// platformTransport returns the transport of platform reads, counted.
func (n *Node) platformTransport() http.RoundTripper {
	var dialer net.Dialer
	return &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			conn, err := dialer.DialContext(ctx, network, address)
			if err != nil {
				return nil, err
			}
			return n.meter.Conn(traffic.KindPlatform, conn), nil
		},
	}
}
