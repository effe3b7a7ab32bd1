package memnet

import (
	"net"
	"sync/atomic"
	"syscall"

	"github.com/cockroachdb/errors"
)

// conn is one end of a connection. Like a TCP connection it can be reset.
type conn struct {
	net.Conn
	// abort is true if Close resets the connection.
	abort atomic.Bool
	// reset is shared by both ends and true once the connection was reset.
	reset *atomic.Bool
}

// pair returns both ends of a new connection.
func pair() (near, far *conn) {
	a, b := net.Pipe()
	reset := &atomic.Bool{}
	near = &conn{
		Conn:  a,
		reset: reset,
	}
	far = &conn{
		Conn:  b,
		reset: reset,
	}
	return near, far
}

// SetLinger has the effect of net.TCPConn.SetLinger for 0 seconds, after which
// Close resets the connection. Other values have none.
func (c *conn) SetLinger(sec int) error {
	c.abort.Store(sec == 0)
	return nil
}

// Close implements net.Conn.
func (c *conn) Close() error {
	if c.abort.Load() {
		c.reset.Store(true)
	}
	return c.Conn.Close()
}

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	return n, c.cause(err)
}

// Write implements net.Conn.
func (c *conn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	return n, c.cause(err)
}

// cause returns ECONNRESET for an error on a connection that was reset.
func (c *conn) cause(err error) error {
	if err == nil || !c.reset.Load() {
		return err
	}
	return errors.Wrap(syscall.ECONNRESET, "memnet")
}
