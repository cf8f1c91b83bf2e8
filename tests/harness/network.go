package harness

import (
	"context"
	"net"
	"sync"

	"cassialatch.dev/fleet/peer"
)

// link is an unordered pair of peer addresses, stored with the smaller one
// first.
type link struct{ a, b string }

// newLink returns the link between two addresses.
func newLink(a, b string) link {
	if b < a {
		a, b = b, a
	}
	return link{a, b}
}

// PartitionError reports that a dial failed because its link is partitioned.
type PartitionError struct{ From, To string }

// Error implements error.
func (e *PartitionError) Error() string {
	return "harness: link from " + e.From + " to " + e.To + " is partitioned"
}

// Network tracks the connections between daemons and can partition them. It is
// safe for concurrent use.
type Network struct {
	mu          sync.Mutex
	partitioned map[link]bool
	conns       map[link]map[net.Conn]struct{}
}

// newNetwork returns a network without partitions.
func newNetwork() *Network {
	return &Network{partitioned: make(map[link]bool), conns: make(map[link]map[net.Conn]struct{})}
}

// dialer returns the dial function of the daemon whose peer address is from.
func (n *Network) dialer(from string) peer.DialFunc {
	return func(ctx context.Context, network, to string) (net.Conn, error) {
		l := newLink(from, to)
		if n.isPartitioned(l) {
			return nil, &PartitionError{From: from, To: to}
		}
		conn, err := new(net.Dialer).DialContext(ctx, network, to)
		if err != nil {
			return nil, err
		}
		return n.track(l, conn)
	}
}

// isPartitioned reports whether a link is partitioned.
func (n *Network) isPartitioned(l link) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.partitioned[l]
}

// track records an open connection. It closes the connection instead if the
// link has been partitioned since the dial began.
func (n *Network) track(l link, conn net.Conn) (net.Conn, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.partitioned[l] {
		conn.Close()
		return nil, &PartitionError{From: l.a, To: l.b}
	}
	if n.conns[l] == nil {
		n.conns[l] = make(map[net.Conn]struct{})
	}
	n.conns[l][conn] = struct{}{}
	return conn, nil
}

// Partition blocks the links between each daemon of one side and each daemon of
// the other, and closes the open connections of these links.
func (n *Network) Partition(side, other []*Daemon) { n.setPartitioned(side, other, true) }

// Heal unblocks the links between two sides.
func (n *Network) Heal(side, other []*Daemon) { n.setPartitioned(side, other, false) }

// setPartitioned blocks or unblocks the links between two sides.
func (n *Network) setPartitioned(side, other []*Daemon, partitioned bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, a := range side {
		for _, b := range other {
			l := newLink(a.Settings.Listen.Peer, b.Settings.Listen.Peer)
			n.partitioned[l] = partitioned
			if partitioned {
				n.closeConnsLocked(l)
			}
		}
	}
}

// closeConnsLocked closes the open connections of a link. The caller holds n.mu.
func (n *Network) closeConnsLocked(l link) {
	for conn := range n.conns[l] {
		conn.Close()
	}
	delete(n.conns, l)
}
