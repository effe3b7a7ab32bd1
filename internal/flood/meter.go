package flood

import (
	"context"
	"net"
	"sync/atomic"
)

// Meter counts the bytes that a client reads from its connections. Server.Sent
// counts what the kernel has taken too, whose buffers grow while the client waits
// for a processor.
type Meter struct {
	dial func(ctx context.Context, network, address string) (net.Conn, error)
	read atomic.Int64
}

// NewMeter returns a meter of the connections that dial makes.
func NewMeter(dial func(ctx context.Context, network, address string) (net.Conn, error)) *Meter {
	return &Meter{
		dial: dial,
	}
}

// Dial connects to an address.
func (m *Meter) Dial(ctx context.Context, network, address string) (net.Conn, error) {
	c, err := m.dial(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return &meteredConn{
		Conn: c,
		read: &m.read,
	}, nil
}

// Read returns the number of bytes that the client has read.
func (m *Meter) Read() int64 { return m.read.Load() }

// meteredConn adds the bytes read from a connection to read.
type meteredConn struct {
	net.Conn
	read *atomic.Int64
}

// Read implements net.Conn.
func (c *meteredConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.read.Add(int64(n))
	return n, err
}
