// Package netsim simulates the links between failure domains, with their delays and cuts.
package netsim

import (
	"context"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"clementinelink.example/clementinelink/internal/ring"
)

const (
	// segmentSize is the largest number of bytes that a link carries at once.
	segmentSize = 16 << 10
	// maxQueuedSegments is the number of segments in transit in one direction
	// of a connection. When it is reached, the sender blocks.
	maxQueuedSegments = 256
	// pollInterval is the time between two checks whether a cut link is restored.
	pollInterval = 5 * time.Millisecond
)

// Link connects two failure domains with a fixed delay. While it is cut, it
// forwards nothing and closes no connection, like a network partition. It is
// safe for concurrent use.
type Link struct {
	// delay is the one-way delay.
	delay time.Duration
	cut   atomic.Bool
	// carried counts the bytes of both directions.
	carried atomic.Int64
	// listen and dial are the network, by default that of the machine.
	listen func(address string) (net.Listener, error)
	dial   func(ctx context.Context, network, address string) (net.Conn, error)
}

// NewLink returns a link with a one-way delay.
func NewLink(delay time.Duration) *Link {
	return &Link{
		delay:  delay,
		listen: ListenTCP,
		dial:   (&net.Dialer{}).DialContext,
	}
}

// WithNetwork replaces the network of the machine. Call it before Forward.
func (l *Link) WithNetwork(listen func(address string) (net.Listener, error), dial func(ctx context.Context, network, address string) (net.Conn, error)) *Link {
	l.listen, l.dial = listen, dial
	return l
}

// Cut cuts the link, or restores it if cut is false.
func (l *Link) Cut(cut bool) { l.cut.Store(cut) }

// Carried returns the bytes carried in both directions.
func (l *Link) Carried() int64 { return l.carried.Load() }

// segment is a piece of data in transit. Nil data marks the end of the stream.
type segment struct {
	data []byte
	// arrival is the time at which the segment may be delivered.
	arrival time.Time
}

// Forward listens on loopback and forwards each connection over the link to the
// target until ctx is canceled. It returns the listening address.
func (l *Link) Forward(ctx context.Context, tasks *sync.WaitGroup, target string) (string, error) {
	listener, err := l.listen("127.0.0.1:0")
	if err != nil {
		return "", errors.Wrap(err, "netsim: link")
	}
	context.AfterFunc(ctx, func() { _ = listener.Close() })
	tasks.Go(func() {
		for {
			client, err := listener.Accept()
			if err != nil {
				return
			}
			tasks.Go(func() { l.proxy(ctx, client, target) })
		}
	})
	return listener.Addr().String(), nil
}

// proxy forwards one connection until either side closes it.
func (l *Link) proxy(ctx context.Context, client net.Conn, target string) {
	defer client.Close()
	if !l.wait(ctx, l.delay) {
		return
	}
	server, err := l.dial(ctx, "tcp", target)
	if err != nil {
		// Passes a refused connection on as a reset.
		if t, ok := client.(interface{ SetLinger(sec int) error }); ok {
			_ = t.SetLinger(0)
		}
		return
	}
	defer server.Close()
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	context.AfterFunc(ctx, func() {
		_ = client.Close()
		_ = server.Close()
	})
	var both sync.WaitGroup
	both.Go(func() { l.copyOneWay(ctx, stop, client, server) })
	both.Go(func() { l.copyOneWay(ctx, stop, server, client) })
	both.Wait()
}

// copyOneWay forwards data in one direction and closes the connection at the
// end of the stream.
func (l *Link) copyOneWay(ctx context.Context, stop context.CancelFunc, from, to net.Conn) {
	queue := ring.New[segment](maxQueuedSegments, ring.Wait)
	var writer sync.WaitGroup
	writer.Go(func() {
		defer stop()
		for {
			select {
			case <-ctx.Done():
				return
			case s := <-queue.Out():
				if s.data == nil || !l.wait(ctx, time.Until(s.arrival)) {
					return
				}
				if _, err := to.Write(s.data); err != nil {
					return
				}
			}
		}
	})
	for {
		buf := make([]byte, segmentSize)
		n, err := from.Read(buf)
		if n > 0 {
			l.carried.Add(int64(n))
			queue.Put(ctx, segment{
				data:    buf[:n],
				arrival: time.Now().Add(l.delay),
			})
		}
		if err != nil {
			// Passes a reset on as a reset. An orderly close is delivered after
			// the data.
			if !errors.Is(err, io.EOF) {
				if t, ok := to.(interface{ SetLinger(sec int) error }); ok {
					_ = t.SetLinger(0)
				}
			}
			queue.Put(ctx, segment{arrival: time.Now().Add(l.delay)})
			break
		}
	}
	writer.Wait()
}

// wait waits for d, and then until the link isn't cut. It returns false if ctx
// is canceled.
func (l *Link) wait(ctx context.Context, d time.Duration) bool {
	if d > 0 {
		select {
		case <-ctx.Done():
			return false
		case <-time.After(d):
		}
	}
	for l.cut.Load() {
		select {
		case <-ctx.Done():
			return false
		case <-time.After(pollInterval):
		}
	}
	return ctx.Err() == nil
}

// ListenTCP binds an address of the machine.
func ListenTCP(address string) (net.Listener, error) { return net.Listen("tcp", address) }
