package plain

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"clementinelink.example/clementinelink/internal/errs"
)

// countedConn counts the bytes that were handed to the network.
type countedConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (c *countedConn) Write(b []byte) (int, error) {
	c.bytes.Add(int64(len(b)))
	return c.Conn.Write(b)
}

// TestNotRunProof guards the proof after which a booking may be sent to a second
// upstream: when a call that ends around its deadline, its caller's end or its
// first byte counts as not run, no byte of it leaves, then or later.
func TestNotRunProof(t *testing.T) {
	u := newUpstream(t, okStep)
	defer u.stop()
	rng := rand.New(rand.NewPCG(7, 0))
	seen := map[errs.Outcome]int{}
	for n := range 600 {
		var bytes atomic.Int64
		slow := time.Duration(rng.Int64N(int64(3 * time.Millisecond)))
		limit := time.Duration(rng.Int64N(int64(12 * time.Millisecond)))
		leave := time.Duration(rng.Int64N(int64(20 * time.Millisecond)))
		c := New()
		c.dial = func(ctx context.Context, network, address string) (net.Conn, error) {
			time.Sleep(slow)
			conn, err := (&net.Dialer{}).DialContext(context.WithoutCancel(ctx), network, address)
			return &countedConn{
				Conn:  conn,
				bytes: &bytes,
			}, err
		}
		// The VM is paused between a look at the clock and what follows it, such
		// as the first byte.
		pause := time.Duration(rng.Int64N(int64(3 * time.Millisecond)))
		c.now = func() time.Time {
			now := time.Now()
			time.Sleep(pause)
			return now
		}
		ctx, cancel := context.WithTimeout(t.Context(), leave)
		r := c.Book(ctx, u.address(), NewCall(fmt.Sprint(n), "POST", "/b", http.Header{}, []byte("body"), time.Now().Add(limit)))
		cancel()
		seen[r.Outcome()]++
		if r.Outcome() != errs.NotRun {
			continue
		}
		time.Sleep(5 * time.Millisecond)
		if sent := bytes.Load(); sent > 0 {
			t.Fatalf("call %d counts as not run, and %d bytes left: %v", n, sent, r.Problem())
		}
	}
	if seen[errs.NotRun] < 100 || seen[errs.Ran] < 100 {
		t.Errorf("outcomes %v: the calls don't end around their first byte", seen)
	}
	t.Logf("outcomes: %v", seen)
}
