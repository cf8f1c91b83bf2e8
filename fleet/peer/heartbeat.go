package peer

import (
	"context"
	"sync"

	"github.com/cockroachdb/errors"
	"storj.io/drpc/drpcconn"

	"cassialatch.dev/wire/peerpb"
)

// HeartbeatClient sends heartbeats over dedicated connections, one per peer. It is
// safe for concurrent use by calls with different addresses.
type HeartbeatClient struct {
	dialer *Dialer

	mu    sync.Mutex
	conns map[string]*drpcconn.Conn // by address
}

// NewHeartbeatClient returns a HeartbeatClient that opens connections with dialer.
func NewHeartbeatClient(dialer *Dialer) *HeartbeatClient {
	return &HeartbeatClient{dialer: dialer, conns: make(map[string]*drpcconn.Conn)}
}

// Heartbeat sends a heartbeat and returns the response. There must be at most one
// call at a time per address. A failed call closes the connection, and the next
// call dials again.
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

// conn returns the connection to an address and dials it if there is none.
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

// drop closes a failed connection and removes it from the map.
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
