// Package peer implements the protocol between daemons over drpc.
//
// Server serves the protocol. Client forwards requests, fetches documents and
// voids tickets over pooled connections. HeartbeatClient sends heartbeats over
// dedicated connections, whose bytes can be metered apart from those of forwarded
// requests. All three are safe for concurrent use, but HeartbeatClient allows only
// one call at a time per address.
package peer

import (
	"context"
	"crypto/tls"
	"net"
	"time"

	"github.com/cockroachdb/errors"
	"storj.io/drpc/drpcconn"
	"storj.io/drpc/drpcmanager"
	"storj.io/drpc/drpcpool"
	"storj.io/drpc/drpcstream"
	"storj.io/drpc/drpcwire"

	"cassialatch.dev/wire/peerpb"
)

// Limits of connections between daemons.
const (
	dialTimeout     = time.Second
	idleExpiration  = 30 * time.Second // after which an idle connection is closed
	connsPerPeer    = 256              // maximum number of idle connections per peer
	maxMessageBytes = 4 << 20          // size of one drpc message
	softCancelGrace = 5 * time.Millisecond
)

// managerOptions returns the drpc options that both ends of a connection use.
func managerOptions() drpcmanager.Options {
	return drpcmanager.Options{
		Reader:          drpcwire.ReaderOptions{MaximumBufferSize: maxMessageBytes},
		Stream:          drpcstream.Options{MaximumBufferSize: maxMessageBytes},
		SoftCancel:      true,
		SoftCancelGrace: softCancelGrace,
	}
}

// WrapFunc wraps a dialed connection below TLS, for example to count its bytes.
type WrapFunc func(net.Conn) net.Conn

// DialFunc opens a TCP connection, as net.Dialer.DialContext does.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// Dialer opens drpc connections to peers. Its fields must not change after the
// first call of Dial.
type Dialer struct {
	TLS      *tls.Config // nil: plain TCP
	Wrap     WrapFunc    // nil: connections are not wrapped
	DialFunc DialFunc    // nil: net.Dialer.DialContext
}

// Dial opens one connection. Dialing and the TLS handshake together take at most
// dialTimeout.
func (d *Dialer) Dial(ctx context.Context, address string) (*drpcconn.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()

	dial := d.DialFunc
	if dial == nil {
		dial = new(net.Dialer).DialContext
	}
	conn, err := dial(ctx, "tcp", address)
	if err != nil {
		return nil, errors.Wrap(err, "peer: dial")
	}
	if d.Wrap != nil {
		conn = d.Wrap(conn)
	}
	if d.TLS == nil {
		return drpcconn.NewWithOptions(conn, drpcconn.Options{Manager: managerOptions()}), nil
	}
	secured := tls.Client(conn, d.TLS)
	if err := secured.HandshakeContext(ctx); err != nil {
		conn.Close()
		return nil, errors.Wrap(err, "peer: TLS handshake")
	}
	return drpcconn.NewWithOptions(secured, drpcconn.Options{Manager: managerOptions()}), nil
}

// Client calls peers over pooled connections. It is safe for concurrent use.
// Heartbeats are sent by HeartbeatClient instead.
type Client struct {
	dialer   *Dialer
	peerDown PeerDownFunc
	pool     *drpcpool.Pool[string, drpcpool.Conn]
}

// PeerDownFunc reports whether the peer at the given address is considered down.
type PeerDownFunc func(address string) bool

// NewClient returns a Client that opens connections with dialer. While it waits
// for the response to a forwarded request, it aborts the request as soon as
// peerDown reports that the peer is down.
func NewClient(dialer *Dialer, peerDown PeerDownFunc) *Client {
	pool := drpcpool.New[string, drpcpool.Conn](drpcpool.Options{
		Expiration:  idleExpiration,
		KeyCapacity: connsPerPeer,
	})
	return &Client{dialer: dialer, peerDown: peerDown, pool: pool}
}

// Close closes the idle connections of the pool.
func (c *Client) Close() error { return c.pool.Close() }

// peer returns a drpc client for one peer.
func (c *Client) peer(ctx context.Context, address string) peerpb.DRPCPeerClient {
	conn := c.pool.Get(ctx, address, func(ctx context.Context, address string) (drpcpool.Conn, error) {
		return c.dialer.Dial(ctx, address)
	})
	return peerpb.NewDRPCPeerClient(conn)
}

// FetchDocument fetches a document from a peer.
func (c *Client) FetchDocument(ctx context.Context, address, name string) (*peerpb.Document, error) {
	doc, err := c.peer(ctx, address).FetchDocument(ctx, &peerpb.FetchDocumentRequest{Name: name})
	return doc, errors.Wrap(err, "peer: fetch document")
}

// VoidTicket asks the daemon at address, which executes the ticket, to withdraw
// it.
func (c *Client) VoidTicket(ctx context.Context, address, ticket string) (peerpb.VoidTicketResponse_State, error) {
	resp, err := c.peer(ctx, address).VoidTicket(ctx, &peerpb.VoidTicketRequest{Ticket: ticket})
	if err != nil {
		return peerpb.VoidTicketResponse_UNKNOWN, errors.Wrap(err, "peer: void ticket")
	}
	return resp.State, nil
}
