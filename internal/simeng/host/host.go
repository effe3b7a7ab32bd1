package host

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// bindTries and bindPause bound the wait for the port on a restart. The port is
// in the kernel's ephemeral range, so that an outgoing connection may briefly
// use it after a kill.
const (
	bindTries = 40
	bindPause = 50 * time.Millisecond
)

// connKey is the context key of a request's net.Conn.
type connKey struct{}

// Host is a listener and its connections. It keeps its address over restarts.
// Its methods may be called concurrently.
type Host struct {
	mu sync.Mutex
	// address is host:port; the port is fixed by the first Start.
	address string
	// listen binds an address.
	listen func(address string) (net.Listener, error)
	// server is nil while the host is down.
	server *http.Server
	// conns holds the open connections as keys.
	conns sync.Map
}

// New returns a host for the address host:port; port 0 takes a free one.
func New(address string) *Host {
	return &Host{
		address: address,
		listen:  listen,
	}
}

// WithListen replaces the function that binds an address, unless it is nil. Call it before
// Start.
func (h *Host) WithListen(listen func(address string) (net.Listener, error)) *Host {
	if listen != nil {
		h.listen = listen
	}
	return h
}

// Address returns host:port, with the chosen port after the first Start.
func (h *Host) Address() string {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.address
}

// Start listens and serves handler in the background until Kill or Close. It
// fails if the host already runs or the address can't be bound within 2 s.
func (h *Host) Start(handler http.Handler) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.server != nil {
		return errors.Newf("host: %s is already running", h.address)
	}
	listener, err := h.listen(h.address)
	if err != nil {
		return err
	}
	h.address = listener.Addr().String()
	server := &http.Server{
		Handler: handler,
		// A ReadTimeout would end the context of streams that last longer.
		ReadHeaderTimeout: time.Minute,
		ConnContext: func(ctx context.Context, c net.Conn) context.Context {
			return context.WithValue(ctx, connKey{}, c)
		},
		ConnState: h.track,
	}
	h.server = server
	go func() {
		// Serve always returns an error; after Kill or Close it is expected.
		_ = server.Serve(listener)
	}()
	return nil
}

// Kill resets every connection and stops listening. Start may follow.
func (h *Host) Kill() {
	h.stop(func(c net.Conn) { closeWithReset(c) })
}

// Close closes every connection without a reset and stops listening.
func (h *Host) Close() {
	h.stop(func(c net.Conn) { _ = c.Close() })
}

// Reset resets the connection of a request that a Host serves. It doesn't
// return: it ends the calling handler by a panic with http.ErrAbortHandler.
func Reset(r *http.Request) {
	if c, ok := r.Context().Value(connKey{}).(net.Conn); ok {
		closeWithReset(c)
	}
	panic(http.ErrAbortHandler)
}

// track keeps conns up to date.
func (h *Host) track(c net.Conn, state http.ConnState) {
	switch state {
	case http.StateNew:
		h.conns.Store(c, nil)
	case http.StateClosed, http.StateHijacked:
		h.conns.Delete(c)
	}
}

func (h *Host) stop(closeConn func(net.Conn)) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.server == nil {
		return
	}
	server := h.server
	h.server = nil
	// Shutdown with an ended context closes the listener but no connection, so
	// that closeConn decides how the connections end.
	ended, cancel := context.WithCancel(context.Background())
	cancel()
	_ = server.Shutdown(ended)
	h.conns.Range(func(c, _ any) bool {
		closeConn(c.(net.Conn))
		return true
	})
	_ = server.Close()
}

// closeWithReset closes c with a TCP reset instead of a regular shutdown.
func closeWithReset(c net.Conn) {
	if t, ok := c.(interface{ SetLinger(sec int) error }); ok {
		_ = t.SetLinger(0)
	}
	_ = c.Close()
}

// listen binds address and tries again while it is in use.
func listen(address string) (net.Listener, error) {
	var last error
	for range bindTries {
		l, err := net.Listen("tcp", address)
		if err == nil {
			return l, nil
		}
		last = err
		time.Sleep(bindPause)
	}
	return nil, errors.Wrapf(last, "host: listen on %s", address)
}
