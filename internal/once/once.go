package once

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"time"

	"clementinelink.example/clementinelink/internal/bound"
	"clementinelink.example/clementinelink/internal/intact"
	"clementinelink.example/clementinelink/internal/pause"
	"github.com/cockroachdb/errors"
)

const (
	// maxBlockingWrite is the largest body in bytes that is written before the
	// response is read. An upstream may respond without reading a longer body,
	// which would block the write, so that the response is never read.
	maxBlockingWrite = 16 << 10
	// readBufferSize is in bytes and large enough for an event of an SSE stream.
	readBufferSize = 4 << 10
	// TCP keep-alive with these values detects within two seconds a peer that
	// vanished without closing its connections.
	keepAliveIdle     = time.Second
	keepAliveInterval = 500 * time.Millisecond
	keepAliveProbes   = 2
)

// ErrBarred means that Hooks.Connected ended the request before any byte of it was
// written.
var ErrBarred = errors.New("once: request barred")

// ErrNotSent marks a failure before any byte of the request was written, so that
// the upstream can't have run it.
var ErrNotSent = errors.New("once: request not sent")

// Dialer sends requests, each on a new connection. It is safe for concurrent
// use. The zero value is not usable; use New.
type Dialer struct {
	dial pause.Dial
	// maxHead limits the bytes of a response's head, including informational
	// heads before it.
	maxHead int64
}

// New returns a dialer over TCP that gives up a connection attempt after
// dialTimeout.
func New(dialTimeout time.Duration) *Dialer {
	d := &net.Dialer{
		KeepAliveConfig: net.KeepAliveConfig{
			Enable:   true,
			Idle:     keepAliveIdle,
			Interval: keepAliveInterval,
			Count:    keepAliveProbes,
		},
	}
	return &Dialer{
		dial:    pause.Dial(d.DialContext).Within(dialTimeout, time.Now),
		maxHead: bound.MaxHead,
	}
}

// WithMaxHead sets the largest response head in bytes. Call it before any other
// method.
func (d *Dialer) WithMaxHead(n int64) *Dialer {
	d.maxHead = n
	return d
}

// Hooks observes the course of a request and may end it. Fields may be nil.
type Hooks struct {
	// Connected is called before the first byte is written. If it returns false,
	// the request is not sent, and the error is ErrBarred.
	Connected func() bool
	// Head is called with the status and header of each response as it arrives,
	// which includes informational ones.
	Head func(status int, header http.Header)
}

// Answer is a response and the connection from which its body is read. It must
// be closed.
type Answer struct {
	*http.Response
	conn net.Conn
	// unwatch stops closing the connection at the end of the context.
	unwatch func() bool
}

// Close closes the connection, so that the upstream can cancel a response that
// is not complete.
func (a *Answer) Close() {
	a.unwatch()
	_ = a.conn.Close()
}

// Do sends a request with the given body to address (host:port) and returns the
// response once its header has arrived. It replaces req.Body and
// req.ContentLength. When ctx ends, the connection is closed, even while the
// response body is read. If the error is ErrNotSent, no byte of the request was
// written. If it is bound.ErrTooLarge, the response has too long a head. Reading the body
// fails with intact.ErrIncomplete if the response ends with the connection before the
// request was written.
func (d *Dialer) Do(ctx context.Context, address string, req *http.Request, body []byte) (*Answer, error) {
	return d.DoHooked(ctx, address, req, body, Hooks{})
}

// DoHooked is like Do and calls the functions in h.
func (d *Dialer) DoHooked(ctx context.Context, address string, req *http.Request, body []byte, h Hooks) (*Answer, error) {
	dialed, err := d.dial(ctx, "tcp", address)
	if err != nil {
		return nil, errors.Mark(errors.Wrap(err, "once: connect"), ErrNotSent)
	}
	conn := intact.NewConn(dialed)
	if err := ctx.Err(); err != nil {
		_ = conn.Close()
		return nil, errors.Mark(errors.Wrap(err, "once"), ErrNotSent)
	}
	if h.Connected != nil && !h.Connected() {
		_ = conn.Close()
		return nil, ErrBarred
	}
	unwatch := context.AfterFunc(ctx, func() { _ = conn.Close() })
	resp, err := exchange(conn, req, body, d.maxHead, h)
	if err != nil {
		unwatch()
		_ = conn.Close()
		return nil, err
	}
	return &Answer{
		Response: resp,
		conn:     conn,
		unwatch:  unwatch,
	}, nil
}

// exchange writes the request to conn and reads the header of the response.
func exchange(conn *intact.Conn, req *http.Request, body []byte, maxHead int64, h Hooks) (*http.Response, error) {
	setBody(req, body)
	conn.Begin(int64(len(body)))
	if len(body) > maxBlockingWrite {
		go func() {
			// A failed write shows up as an error when the response is read, unless
			// that is complete.
			_ = req.Write(conn)
		}()
	} else if err := req.Write(conn); err != nil {
		return nil, errors.Wrap(err, "once: write")
	}
	limited := bound.NewReader(conn, "head", maxHead)
	r := bufio.NewReaderSize(limited, readBufferSize)
	for {
		resp, err := http.ReadResponse(r, req)
		if err != nil && limited.Exceeded() {
			return nil, errors.Wrapf(bound.ErrTooLarge, "once: head is over %d", maxHead)
		}
		if err != nil {
			return nil, errors.Wrap(err, "once: read")
		}
		if err := intact.CheckStatus(resp.StatusCode); err != nil {
			return nil, errors.Wrap(err, "once")
		}
		if h.Head != nil {
			h.Head(resp.StatusCode, resp.Header)
		}
		if !informational(resp.StatusCode) {
			limited.Unlimit()
			return resp, nil
		}
	}
}

// informational reports whether another response follows the one with the
// status.
func informational(status int) bool {
	return status >= http.StatusContinue && status < http.StatusOK && status != http.StatusSwitchingProtocols
}
