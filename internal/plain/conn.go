package plain

import (
	"net"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
)

// errDeadlinePassed means that the deadline passed before the first byte was
// written.
var errDeadlinePassed = errors.New("deadline passed before the first byte")

// errRevoked means that the call was given up, or that another connection has
// acquired the permit.
var errRevoked = errors.New("call must not be written any more")

// permit allows one connection to write the bytes of a call. net/http writes in
// a different goroutine from the one that waits for the response, possibly after
// the wait has ended, so it is certain that no byte is written only once the
// permit is revoked without having been acquired.
type permit struct {
	now      func() time.Time
	deadline time.Time
	// state is permitUnused and changes once, to permitUsed or permitRevoked.
	state atomic.Int32
}

const (
	permitUnused int32 = iota
	permitUsed
	permitRevoked
)

// acquire allows the caller's connection to write. It is called immediately
// before the first byte and checks the deadline again, because the VM may have
// been paused since the call was started.
func (p *permit) acquire() error {
	if passed(p.now(), p.deadline) {
		return errDeadlinePassed
	}
	if !p.state.CompareAndSwap(permitUnused, permitUsed) {
		return errRevoked
	}
	return nil
}

// revoke forbids all writes and reports whether the permit had not been acquired,
// so that no byte was or will be written.
func (p *permit) revoke() bool {
	return p.state.CompareAndSwap(permitUnused, permitRevoked) || p.state.Load() == permitRevoked
}

// singleCallConn is a connection that carries one call.
type singleCallConn struct {
	net.Conn
	permit *permit
	// acquired is true once this connection has acquired the permit. It is used
	// only by the goroutine of net/http that writes the request.
	acquired bool
}

// Write writes p if the connection has the permit or can acquire it.
func (c *singleCallConn) Write(p []byte) (int, error) {
	if !c.acquired {
		if err := c.permit.acquire(); err != nil {
			return 0, err
		}
		c.acquired = true
	}
	return c.Conn.Write(p)
}

// passed reports whether the deadline has passed on the monotonic or the wall
// clock. The monotonic clock may stop while a VM is suspended.
func passed(now, deadline time.Time) bool {
	return !now.Before(deadline) || !now.Round(0).Before(deadline.Round(0))
}
