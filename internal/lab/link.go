package lab

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
	// segmentSize is the largest piece of data that a link carries at once.
	segmentSize = 16 << 10
	// inFlight is the number of pieces on the way in one direction of one
	// connection; a full link holds up its sender.
	inFlight = 256
	// cutPoll is the time between two looks at a link that is cut.
	cutPoll = 5 * time.Millisecond
)

// Link joins two failure domains with a delay. A cut link carries nothing and
// closes nothing, like a network partition.
type Link struct {
	// delay is one way.
	delay time.Duration
	cut   atomic.Bool
	// carried counts the bytes of both directions.
	carried atomic.Int64
}

// NewLink returns a link with a one-way delay.
func NewLink(delay time.Duration) *Link { return &Link{delay: delay} }

// Cut stops or restores the link.
func (l *Link) Cut(cut bool) { l.cut.Store(cut) }

// Carried returns the bytes carried in both directions.
func (l *Link) Carried() int64 { return l.carried.Load() }

// segment is a piece of data on its way.
type segment struct {
	data []byte
	// due is the time of its arrival.
	due time.Time
}

// Forward listens on loopback and joins each connection with the target over
// the link. It returns the address to connect to.
func (l *Link) Forward(ctx context.Context, tasks *sync.WaitGroup, target string) (string, error) {
	in, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", errors.Wrap(err, "lab: link")
	}
	context.AfterFunc(ctx, func() { _ = in.Close() })
	tasks.Go(func() {
		for {
			c, err := in.Accept()
			if err != nil {
				return
			}
			tasks.Go(func() { l.join(ctx, c, target) })
		}
	})
	return in.Addr().String(), nil
}

// join carries one connection until either side closes it.
func (l *Link) join(ctx context.Context, c net.Conn, target string) {
	defer c.Close()
	if !l.wait(ctx, l.delay) {
		return
	}
	d, err := (&net.Dialer{}).DialContext(ctx, "tcp", target)
	if err != nil {
		// A refused connection is passed on as a reset.
		_ = c.(*net.TCPConn).SetLinger(0)
		return
	}
	defer d.Close()
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	context.AfterFunc(ctx, func() {
		_ = c.Close()
		_ = d.Close()
	})
	var both sync.WaitGroup
	both.Go(func() { l.carry(ctx, stop, c, d) })
	both.Go(func() { l.carry(ctx, stop, d, c) })
	both.Wait()
}

// carry moves data in one direction and ends the connection when it ends.
func (l *Link) carry(ctx context.Context, stop context.CancelFunc, from, to net.Conn) {
	line := ring.New[segment](inFlight, ring.Wait)
	var writer sync.WaitGroup
	writer.Go(func() {
		defer stop()
		for {
			select {
			case <-ctx.Done():
				return
			case s := <-line.Out():
				if s.data == nil || !l.wait(ctx, time.Until(s.due)) {
					return
				}
				if _, err := to.Write(s.data); err != nil {
					return
				}
			}
		}
	})
	for {
		b := make([]byte, segmentSize)
		n, err := from.Read(b)
		if n > 0 {
			l.carried.Add(int64(n))
			line.Put(ctx, segment{
				data: b[:n],
				due:  time.Now().Add(l.delay),
			})
		}
		if err != nil {
			// A reset is passed on as one; an ordinary end follows the data.
			if !errors.Is(err, io.EOF) {
				if t, ok := to.(*net.TCPConn); ok {
					_ = t.SetLinger(0)
				}
			}
			line.Put(ctx, segment{due: time.Now().Add(l.delay)})
			break
		}
	}
	writer.Wait()
}

// wait lets time pass, and then waits while the link is cut. It returns false
// when ctx ends.
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
		case <-time.After(cutPoll):
		}
	}
	return ctx.Err() == nil
}
