// Package peer carries the protocol between daemons over drpc.
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
	idleExpiration  = 30 * time.Second
	connsPerPeer    = 256     // idle connections kept for each peer
	maxMessageBytes = 4 << 20 // of one drpc message
	softCancelGrace = 5 * time.Millisecond
)

// managerOptions are shared by both ends of a connection.
func managerOptions() drpcmanager.Options {
	return drpcmanager.Options{
		Reader:          drpcwire.ReaderOptions{MaximumBufferSize: maxMessageBytes},
		Stream:          drpcstream.Options{MaximumBufferSize: maxMessageBytes},
		SoftCancel:      true,
		SoftCancelGrace: softCancelGrace,
	}
}

// WrapFunc changes a connection after it was dialled, to count its bytes.
type WrapFunc func(net.Conn) net.Conn

// DialFunc opens a TCP connection.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// Dialer opens drpc connections to peers.
type Dialer struct {
	TLS      *tls.Config // nil: plain TCP
	Wrap     WrapFunc    // nil: none
	DialFunc DialFunc    // nil: the ordinary dialer
}

// Dial opens one connection.
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
type Client struct {
	dialer *Dialer
	lost   LostFunc
	pool   *drpcpool.Pool[string, drpcpool.Conn]
}

// LostFunc reports whether the peer with an address is taken as dead.
type LostFunc func(address string) bool

// NewClient returns a Client that gives up waiting for the answer of a peer
// that is lost.
func NewClient(dialer *Dialer, lost LostFunc) *Client {
	pool := drpcpool.New[string, drpcpool.Conn](drpcpool.Options{
		Expiration:  idleExpiration,
		KeyCapacity: connsPerPeer,
	})
	return &Client{dialer: dialer, lost: lost, pool: pool}
}

// Close closes idle connections.
func (c *Client) Close() error { return c.pool.Close() }

// peer returns the client of one peer.
func (c *Client) peer(ctx context.Context, address string) peerpb.DRPCPeerClient {
	conn := c.pool.Get(ctx, address, func(ctx context.Context, address string) (drpcpool.Conn, error) {
		return c.dialer.Dial(ctx, address)
	})
	return peerpb.NewDRPCPeerClient(conn)
}

// FetchDocument asks a peer for a document.
func (c *Client) FetchDocument(ctx context.Context, address, name string) (*peerpb.Document, error) {
	doc, err := c.peer(ctx, address).FetchDocument(ctx, &peerpb.FetchDocumentRequest{Name: name})
	return doc, errors.Wrap(err, "peer: fetch document")
}

// VoidTicket asks the executor of a ticket to withdraw it.
func (c *Client) VoidTicket(ctx context.Context, address, ticket string) (peerpb.VoidTicketResponse_State, error) {
	resp, err := c.peer(ctx, address).VoidTicket(ctx, &peerpb.VoidTicketRequest{Ticket: ticket})
	if err != nil {
		return peerpb.VoidTicketResponse_UNKNOWN, errors.Wrap(err, "peer: void ticket")
	}
	return resp.State, nil
}
