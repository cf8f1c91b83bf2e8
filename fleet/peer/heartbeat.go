package peer

import (
	"context"
	"sync"

	"github.com/cockroachdb/errors"
	"storj.io/drpc/drpcconn"

	"cassialatch.dev/wire/peerpb"
)

// HeartbeatClient sends heartbeats over connections of their own, one for each peer.
type HeartbeatClient struct {
	dialer *Dialer

	mu    sync.Mutex
	conns map[string]*drpcconn.Conn // by address
}

// NewHeartbeatClient returns a Control.
func NewHeartbeatClient(dialer *Dialer) *HeartbeatClient {
	return &HeartbeatClient{dialer: dialer, conns: make(map[string]*drpcconn.Conn)}
}

// Heartbeat sends one heartbeat. There is at most one at a time for each
// address; a failed call closes the connection.
func (c *HeartbeatClient) Heartbeat(ctx context.Context, address string, req *peerpb.HeartbeatRequest) (*peerpb.HeartbeatResponse, error) {
	conn, err := c.conn(ctx, address)
	if err != nil {
		return nil, err
	}
	resp, err := peerpb.NewDRPCPeerClient(conn).Heartbeat(ctx, req)
	if err != nil {
		c.drop(address, conn)
		return nil, errors.Wrap(err, "peer: heartbeat")
	}
	return resp, nil
}

// conn returns the connection to an address and dials it when there is none.
func (c *HeartbeatClient) conn(ctx context.Context, address string) (*drpcconn.Conn, error) {
	c.mu.Lock()
	conn := c.conns[address]
	c.mu.Unlock()
	if conn != nil {
		return conn, nil
	}
	conn, err := c.dialer.Dial(ctx, address)
	if err != nil {
		return nil, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.conns[address] = conn
	return conn, nil
}

// drop closes a connection that failed.
func (c *HeartbeatClient) drop(address string, conn *drpcconn.Conn) {
	conn.Close()
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.conns[address] == conn {
		delete(c.conns, address)
	}
}

// Close closes all connections.
func (c *HeartbeatClient) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for address, conn := range c.conns {
		conn.Close()
		delete(c.conns, address)
	}
}
