package plain

import (
	"net"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
)

// errLate means that the deadline passed before the first byte was written.
var errLate = errors.New("deadline passed before the first byte")

// errSealed means that the call was given up, or was written on another
// connection.
var errSealed = errors.New("call must not be written any more")

// permit allows the bytes of one call to leave. net/http writes from another
// goroutine than the one that waits, and may do so after the wait was given
// up, so "no byte left" is only proven once the permit is sealed.
type permit struct {
	now      func() time.Time
	deadline time.Time
	// state is fresh until it becomes used or sealed, once.
	state atomic.Int32
}

const (
	fresh int32 = iota
	used
	sealed
)

// use permits one connection to write. It checks the deadline immediately
// before the first byte, because the VM may have been paused since the call
// was started.
func (p *permit) use() error {
	if late(p.now(), p.deadline) {
		return errLate
	}
	if !p.state.CompareAndSwap(fresh, used) {
		return errSealed
	}
	return nil
}

// seal forbids all writes and reports whether none was permitted before.
func (p *permit) seal() bool {
	return p.state.CompareAndSwap(fresh, sealed) || p.state.Load() == sealed
}

// onceConn is a connection that carries one call.
type onceConn struct {
	net.Conn
	permit *permit
	// started is true once the permit was used here. Only the goroutine of
	// net/http that writes the request uses it.
	started bool
}

// Write writes p if the permit allows it.
func (c *onceConn) Write(p []byte) (int, error) {
	if !c.started {
		if err := c.permit.use(); err != nil {
			return 0, err
		}
		c.started = true
	}
	return c.Conn.Write(p)
}

// late reports whether the deadline has passed by the monotonic or by the wall
// clock. The monotonic clock may stand still while a VM is suspended.
func late(now, deadline time.Time) bool {
	return !now.Before(deadline) || !now.Round(0).Before(deadline.Round(0))
}
