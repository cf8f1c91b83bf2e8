package harness

import (
	"context"
	"net"
	"sync"

	"cassialatch.dev/fleet/peer"
)

// link is a pair of peer addresses, the lesser first.
type link struct{ a, b string }

// newLink returns the link between two addresses.
func newLink(a, b string) link {
	if b < a {
		a, b = b, a
	}
	return link{a, b}
}

// PartitionError is the failure of a dial over a cut link.
type PartitionError struct{ From, To string }

// Error implements error.
func (e *PartitionError) Error() string { return "harness: link " + e.From + " to " + e.To + " is cut" }

// Network carries the connections between daemons and can cut them.
type Network struct {
	mu    sync.Mutex
	cut   map[link]bool
	conns map[link]map[net.Conn]struct{}
}

// newNetwork returns a network without cuts.
func newNetwork() *Network {
	return &Network{cut: make(map[link]bool), conns: make(map[link]map[net.Conn]struct{})}
}

// dialer returns the dialer of the daemon with a peer address.
func (n *Network) dialer(from string) peer.DialFunc {
	return func(ctx context.Context, network, to string) (net.Conn, error) {
		l := newLink(from, to)
		if n.isCut(l) {
			return nil, &PartitionError{From: from, To: to}
		}
		conn, err := new(net.Dialer).DialContext(ctx, network, to)
		if err != nil {
			return nil, err
		}
		return n.track(l, conn)
	}
}

// isCut reports whether a link is cut.
func (n *Network) isCut(l link) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.cut[l]
}

// track notes an open connection, unless its link was cut meanwhile.
func (n *Network) track(l link, conn net.Conn) (net.Conn, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.cut[l] {
		conn.Close()
		return nil, &PartitionError{From: l.a, To: l.b}
	}
	if n.conns[l] == nil {
		n.conns[l] = make(map[net.Conn]struct{})
	}
	n.conns[l][conn] = struct{}{}
	return conn, nil
}

// Partition cuts the links between each daemon of one side and each of the other,
// with the connections that are open.
func (n *Network) Partition(side, other []*Daemon) { n.set(side, other, true) }

// Heal mends the links between two sides.
func (n *Network) Heal(side, other []*Daemon) { n.set(side, other, false) }

// set cuts or mends links.
func (n *Network) set(side, other []*Daemon, cut bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, a := range side {
		for _, b := range other {
			l := newLink(a.Settings.Listen.Peer, b.Settings.Listen.Peer)
			n.cut[l] = cut
			if cut {
				n.closeLocked(l)
			}
		}
	}
}

// closeLocked closes the open connections of a link. The caller holds n.mu.
func (n *Network) closeLocked(l link) {
	for conn := range n.conns[l] {
		conn.Close()
	}
	delete(n.conns, l)
}
