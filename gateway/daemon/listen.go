package daemon

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"

	"cassialatch.dev/gateway/boottime"
	"cassialatch.dev/gateway/directory"
	"cassialatch.dev/gateway/peers"
)

// startListeners listens on all addresses and starts to serve them.
func (d *Daemon) startListeners(ctx context.Context) error {
	s := d.settings
	_, port, err := net.SplitHostPort(s.Control)
	if err != nil {
		return err
	}
	fetcher := peers.NewFetcher(d.catalog, boottime.Now, port, d.reader, d)
	addr, err := net.ResolveUDPAddr("udp4", s.Exchange)
	if err != nil {
		return err
	}
	d.exchange, err = peers.Listen(addr, d.peers, d.loads, d.quarantine, d.cacheIndex, fetcher, d.peerState)
	if err != nil {
		return err
	}
	d.exchange.OnReject = d.datagramRejected
	if d.servers != nil {
		d.exchange.ShareServerState(d.servers)
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
