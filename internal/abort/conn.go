package abort

import (
	"context"
	"io"
	"net"
	"sync"
	"syscall"
	"time"
)

// Dial returns a dial function for connections whose peer sends the response once
// the request begins, and resets the connection. The client reads the end of file
// before its first write fails, as it does from a socket whose pending error went
// to the write.
func Dial(response string) func(ctx context.Context, network, address string) (net.Conn, error) {
	return func(context.Context, string, string) (net.Conn, error) {
		return &conn{
			response: response,
			begun:    make(chan struct{}),
			ended:    make(chan struct{}),
			closed:   make(chan struct{}),
		}, nil
	}
}

// conn is the client's end of a connection that is reset during the first write.
type conn struct {
	// response is what has not been read yet. Only Read uses it.
	response string
	// begun is closed by the first Write, ended by the Read that returns io.EOF, and
	// closed by Close.
	begun, ended, closed          chan struct{}
	beginOnce, endOnce, closeOnce sync.Once
}

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) {
	select {
	case <-c.begun:
	case <-c.closed:
		return 0, net.ErrClosed
	}
	if len(c.response) == 0 {
		c.endOnce.Do(func() { close(c.ended) })
		return 0, io.EOF
	}
	n := copy(p, c.response)
	c.response = c.response[n:]
	return n, nil
}

// Write implements net.Conn.
func (c *conn) Write([]byte) (int, error) {
	c.beginOnce.Do(func() { close(c.begun) })
	select {
	case <-c.ended:
		return 0, syscall.ECONNRESET
	case <-c.closed:
		return 0, net.ErrClosed
	}
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.closeOnce.Do(func() { close(c.closed) })
	return nil
}

// LocalAddr implements net.Conn.
func (c *conn) LocalAddr() net.Addr { return &net.TCPAddr{} }

// RemoteAddr implements net.Conn.
func (c *conn) RemoteAddr() net.Addr { return &net.TCPAddr{} }

// SetDeadline implements net.Conn and has no effect.
func (c *conn) SetDeadline(time.Time) error { return nil }

// SetReadDeadline implements net.Conn and has no effect.
func (c *conn) SetReadDeadline(time.Time) error { return nil }

// SetWriteDeadline implements net.Conn and has no effect.
func (c *conn) SetWriteDeadline(time.Time) error { return nil }
