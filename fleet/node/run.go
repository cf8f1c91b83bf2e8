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
	"cassialatch.dev/wire/httpvalid"
)

// Times of a graceful shutdown.
const (
	drainMargin       = time.Second            // callers may keep an endpoint list slightly longer than its TTL
	drainPollInterval = 100 * time.Millisecond // interval of checks for in-flight requests
)

// Run serves until a drain is complete. A drain is started by Drain or by the
// cancellation of ctx.
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
	n.shutdown(servers)
	err = group.Wait()
	n.closeClients()
	n.log.Info().Msg("stopped")
	return err
}

// Listeners holds the listening sockets of a daemon.
type Listeners struct {
	Caller, Peer, Operator net.Listener
}

// listen opens the listening sockets, unless the options provide them.
func (n *Node) listen() (Listeners, error) {
	if n.opts.Listeners != nil {
		return n.wrapTLS(*n.opts.Listeners), nil
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
	return n.wrapTLS(ls), nil
}

// wrapTLS enables TLS on the ports for peers and operators.
func (n *Node) wrapTLS(ls Listeners) Listeners {
	ls.Peer = tlsListener(ls.Peer, n.tlsConfigs.peerServer)
	ls.Operator = tlsListener(ls.Operator, n.tlsConfigs.operator)
	return ls
}

// tlsListener wraps a listener in TLS, unless config is nil because TLS is off.
func tlsListener(listener net.Listener, config *tls.Config) net.Listener {
	if config == nil {
		return listener
	}
	return tls.NewListener(listener, config)
}

// httpServers holds the HTTP servers of a daemon.
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

// serve starts all servers and background loops in group. They end when n.ctx is
// canceled or their server is shut down.
func (n *Node) serve(group *errgroup.Group, servers httpServers, ls Listeners) {
	peers := peer.NewServer(n.exchange, n, n.settings.Limits.MaxBodyBytes)
	group.Go(func() error { return ignoreServerClosed(servers.caller.Serve(ls.Caller)) })
	group.Go(func() error { return ignoreServerClosed(servers.operator.Serve(ls.Operator)) })
	group.Go(func() error { return n.ignoreAfterStop(peers.Serve(n.ctx, ls.Peer)) })
	group.Go(func() error { n.watcher.Run(n.ctx); return nil })
	group.Go(func() error { n.exchange.Run(n.ctx); return nil })
	group.Go(func() error { n.orderer.Run(n.ctx); return nil })
	group.Go(func() error { n.updateGauges(); return nil })
}

// ignoreServerClosed returns nil for the error of an HTTP server that was shut
// down.
func ignoreServerClosed(err error) error {
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return errors.Wrap(err, "node: serve HTTP")
}

// ignoreAfterStop returns nil for any error after n.ctx is canceled.
func (n *Node) ignoreAfterStop(err error) error {
	if n.ctx.Err() != nil {
		return nil
	}
	return err
}

// shutdown stops the daemon gracefully. It first waits until the endpoint lists
// that still contain this daemon have expired, and serves their callers until
// then. By that time, peers no longer send new requests to it either. Then it
// waits for in-flight requests, at most for the drain timeout.
func (n *Node) shutdown(servers httpServers) {
	limits := n.settings.Limits
	pause.For(n.ctx, limits.EntryTTL+drainMargin)
	ctx, cancel := context.WithTimeout(n.ctx, limits.DrainTimeout)
	defer cancel()

	if err := servers.caller.Shutdown(ctx); err != nil {
		n.log.Error().Err(err).Int("in_flight", n.entry.InFlight()).Msg("drain timed out; requests are cut")
		servers.caller.Close()
	}
	for n.forwarded.Load() > 0 && ctx.Err() == nil {
		pause.For(ctx, drainPollInterval)
	}
	n.cancel()
	servers.operator.Close()
}

// closeClients waits until the home has ended its reading of load reports, and
// closes the clients and metrics.
func (n *Node) closeClients() {
	n.home.Wait()
	n.heartbeats.Close()
	_ = n.peers.Close() // all remaining connections are idle
	n.client.Close()
	if err := n.metrics.Close(); err != nil {
		n.log.Warn().Err(err).Msg("failed to close metrics")
	}
}

// gaugeInterval is the interval between updates of the gauges.
const gaugeInterval = time.Second

// updateGauges updates the gauges and traffic counters periodically until the node
// stops.
func (n *Node) updateGauges() {
	for n.ctx.Err() == nil {
		n.metrics.SetLeasesHeld(n.shares.Count())
		n.metrics.SetLeasesLent(n.lender.ActiveLeases())
		n.metrics.SetHomes(n.home.BackendCount())
		n.metrics.SetQuarantined(len(n.quarantine.Export(maxShownQuarantined)))
		n.metrics.RecordControlTraffic(n.meter.Snapshot())
		pause.For(n.ctx, gaugeInterval)
	}
}

// countReport wraps a connection to a backend server to count its load report
// and order traffic.
func (n *Node) countReport(conn net.Conn) net.Conn {
	return n.meter.Conn(traffic.KindReport, conn)
}

// countPeer wraps a control connection to a peer to count its traffic.
func (n *Node) countPeer(conn net.Conn) net.Conn {
	return n.meter.Conn(traffic.KindPeer, conn)
}

// maxPlatformHeaderBytes limits the headers of a response of the platform, with
// those of interim (1xx) responses.
const maxPlatformHeaderBytes = 64 << 10

// platformTransport returns the HTTP transport for requests to the platform. It
// counts their traffic.
func (n *Node) platformTransport() http.RoundTripper {
	var dialer net.Dialer
	return httpvalid.Transport{Transport: &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			conn, err := dialer.DialContext(ctx, network, address)
			if err != nil {
				return nil, err
			}
			return n.meter.Conn(traffic.KindPlatform, conn), nil
		},
		MaxResponseHeaderBytes: maxPlatformHeaderBytes,
	}}
}
