package store

import (
	"context"
	"net"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"
)

// TestRedial guards against a call that waits for a second for a connection whose opening
// packet was lost while the link was cut, although a new one is there at once.
func TestRedial(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var calls, closed atomic.Int64
		client, server := net.Pipe()
		defer func() { _ = server.Close() }()
		dial := repeated(func(ctx context.Context, _, _ string) (net.Conn, error) {
			if calls.Add(1) < 3 {
				<-ctx.Done()
				closed.Add(1)
				return nil, ctx.Err()
			}
			return client, nil
		}, redialDelay)
		began := time.Now()
		conn, err := dial(t.Context(), "tcp", "store")
		if took := time.Since(began); err != nil || took != 2*redialDelay {
			t.Fatalf("after %s: %v", took, err)
		}
		synctest.Wait()
		if conn != client || calls.Load() != 3 || closed.Load() != 2 {
			t.Errorf("%d calls, %d ended", calls.Load(), closed.Load())
		}
		_ = conn.Close()
	})
}

// TestRedialRefused guards against a refused connection that is reported only when the
// time for connections has passed.
func TestRedialRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		dial := repeated(func(context.Context, string, string) (net.Conn, error) {
			return nil, net.ErrClosed
		}, redialDelay)
		began := time.Now()
		if _, err := dial(t.Context(), "tcp", "store"); err == nil || time.Since(began) != 0 {
			t.Errorf("after %s: %v", time.Since(began), err)
		}
	})
}
