package intact

import (
	"io"
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// ErrIncomplete means that the peer ended the connection before the request was written
// in full.
var ErrIncomplete = errors.New("intact: the connection ended before the request was written")

// settle bounds the wait for a write in progress when the peer ends the connection. A
// write that the peer has read may not have returned yet, since the goroutine that
// writes runs later than the one that reads. Throttled VMs stand still for some 100 ms.
const settle = time.Second

// headEnd ends the head of a request.
const headEnd = "\r\n\r\n"

// Conn is the client's side of a connection. When the peer resets a TCP connection
// during a write, the write gets the error and the next read gets io.EOF, as if the peer
// had ended its response. Conn returns ErrIncomplete instead of io.EOF unless the whole
// request was written before. Begin says where a request starts. Read and Write may be
// called concurrently with each other, but neither with itself.
type Conn struct {
	net.Conn
	mutex sync.Mutex
	// changed is signalled when a field below changes.
	changed *sync.Cond
	// pending is true from Begin until the request was written in full.
	pending bool
	// matched is the number of bytes of headEnd that the end of what was written
	// matches; len(headEnd) means that the head was written.
	matched int
	// left is the number of bytes of the body that are still to be written, negative if
	// the length is unknown.
	left int64
	// begun counts the calls of Write.
	begun int
	// failed is true once a write has failed or the connection was closed.
	failed bool
}

// NewConn returns a Conn over c that no request uses yet.
func NewConn(c net.Conn) *Conn {
	conn := &Conn{
		Conn: c,
	}
	conn.changed = sync.NewCond(&conn.mutex)
	return conn
}

// Begin states that the next Write begins a request whose body has length bytes. A
// negative length is unknown, and the request then never counts as written in full.
func (c *Conn) Begin(length int64) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.pending, c.matched, c.left = true, 0, length
}

// Read implements io.Reader.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if errors.Is(err, io.EOF) && !c.written() {
		return n, ErrIncomplete
	}
	return n, err
}

// written reports whether no request is pending, or the last write of the pending one
// has begun and succeeds within settle.
func (c *Conn) written() bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if !c.pending {
		return true
	}
	expired := false
	timer := time.AfterFunc(settle, func() {
		c.mutex.Lock()
		defer c.mutex.Unlock()
		expired = true
		c.changed.Broadcast()
	})
	defer timer.Stop()
	begun := c.begun
	for c.pending && !c.failed && !expired && c.begun == begun {
		c.changed.Wait()
	}
	return !c.pending && c.begun == begun
}

// Write implements io.Writer.
func (c *Conn) Write(p []byte) (int, error) {
	c.mutex.Lock()
	c.begun++
	c.changed.Broadcast()
	c.mutex.Unlock()
	n, err := c.Conn.Write(p)
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.count(p[:n])
	c.failed = c.failed || err != nil
	c.changed.Broadcast()
	return n, err
}

// count notes written bytes of the request. The caller must hold the mutex.
func (c *Conn) count(p []byte) {
	if !c.pending {
		return
	}
	for len(p) > 0 && c.matched < len(headEnd) {
		switch p[0] {
		case headEnd[c.matched]:
			c.matched++
		case '\r':
			c.matched = 1
		default:
			c.matched = 0
		}
		p = p[1:]
	}
	if c.matched < len(headEnd) || c.left < 0 {
		return
	}
	c.left = max(c.left-int64(len(p)), 0)
	c.pending = c.left > 0
}

// ReadFrom implements io.ReaderFrom. It keeps a buffered writer from splitting a long
// body into parts of its buffer's size, as net.TCPConn does.
func (c *Conn) ReadFrom(r io.Reader) (int64, error) {
	return io.Copy(struct{ io.Writer }{c}, r)
}

// Close implements io.Closer.
func (c *Conn) Close() error {
	err := c.Conn.Close()
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.failed = true
	c.changed.Broadcast()
	return err
}
