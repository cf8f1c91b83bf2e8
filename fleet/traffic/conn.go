package traffic

import "net"

// Conn wraps c and counts the bytes read from and written to it under kind. The
// bytes are charged to the budget of m.
func (m *Meter) Conn(kind Kind, c net.Conn) net.Conn {
	return &conn{Conn: c, meter: m, kind: kind}
}

// conn is a net.Conn that reports its bytes to a Meter.
type conn struct {
	net.Conn
	meter *Meter
	kind  Kind
}

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.meter.count(c.kind, 0, n)
	return n, err
}

// Write implements net.Conn.
func (c *conn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.meter.count(c.kind, n, 0)
	return n, err
}
