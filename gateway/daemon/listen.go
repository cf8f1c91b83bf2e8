package daemon

import (
	"context"
	"errors"
	"net"
	"net/http"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

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
	endpoints := []endpoint{
		{"control", s.Control, controlConnections, peers.StateHandler(d.catalog)},
		{"directory", s.Directory, directoryConnections, d.adapter.DirectoryHandler(dir)},
		{"readiness", s.Readiness, auxConnections, d.adapter.ReadinessHandler(d.ready)},
		{"metrics", s.Metrics, auxConnections, d.metrics},
	}
	for _, e := range endpoints {
		if e.address == "" {
			continue
		}
		if err := d.listen(e); err != nil {
			return err
		}
	}
	listener, err := d.listenTCP(s.Frontend)
	if err != nil {
		return err
	}
	go d.serve(listener, withTable(d.clients, d.frontend.Serve))
	return nil
}

// frontendEndpoint names the frontend in the log.
const frontendEndpoint = "frontend"

// endpoint is an HTTP endpoint other than the frontend.
type endpoint struct {
	name     string // in the log
	address  string // empty: not served
	maxConns int    // open connections
	handler  http.Handler
}

// listen serves an endpoint.
func (d *Daemon) listen(e endpoint) error {
	listener, err := d.listenTCP(e.address)
	if err != nil {
		return err
	}
	server := newAuxServer(e.handler)
	d.auxServers = append(d.auxServers, server)
	go d.serve(listener, withTable(d.clientTable(e.name, d.settings.endpointConnections(e.maxConns)), server.Serve))
	return nil
}

// listenTCP listens on an address. If the memory of the process is limited, so is what the
// kernel receives on a connection and the process has not read yet, which counts as memory
// of the process.
func (d *Daemon) listenTCP(address string) (net.Listener, error) {
	var config net.ListenConfig
	if d.settings.MemoryBytes > 0 {
		config.Control = limitReceiveBuffer
	}
	return config.Listen(context.Background(), "tcp4", address)
}

// limitReceiveBuffer sets the receive buffer of a socket, and of the connections that it
// accepts. It implements net.ListenConfig.Control.
func limitReceiveBuffer(_, _ string, raw syscall.RawConn) error {
	return raw.Control(func(fd uintptr) {
		// Where the option is not supported, the buffer has its usual size. That is no reason
		// not to serve.
		_ = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, receiveBuffer)
	})
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
		l, err := d.listenTCP(address)
		if err == nil {
			return l
		}
		d.log.Failure("listener_failed", err)
	}
}
