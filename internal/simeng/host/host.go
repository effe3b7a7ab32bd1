package host

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// bindTries and bindPause bound the wait for a port that a client connection
// of the kernel's ephemeral range occupies for a moment after a kill.
const (
	bindTries = 40
	bindPause = 50 * time.Millisecond
)

type connKey struct{}

// Host is a listener with its connections. It keeps its address over restarts.
type Host struct {
	guard sync.Mutex
	// address is host:port; the port is fixed by the first Start.
	address string
	// server is nil while the host is down.
	server *http.Server
	// conns holds the open connections as keys.
	conns sync.Map
}

// New returns a host for the address host:port; port 0 takes a free one.
func New(address string) *Host {
	return &Host{
		address: address,
	}
}

// Address returns host:port, with the chosen port after the first Start.
func (h *Host) Address() string {
	h.guard.Lock()
	defer h.guard.Unlock()
	return h.address
}

// Start listens and serves handler until Kill or Close.
func (h *Host) Start(handler http.Handler) error {
	h.guard.Lock()
	defer h.guard.Unlock()
	if h.server != nil {
		return errors.Newf("host %s already runs", h.address)
	}
	listener, err := listen(h.address)
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
	h.stop(func(c net.Conn) { abort(c) })
}

// Close closes every connection in the usual way and stops listening.
func (h *Host) Close() {
	h.stop(func(c net.Conn) { _ = c.Close() })
}

// Reset resets the connection of a request. It ends the calling handler.
func Reset(r *http.Request) {
	if c, ok := r.Context().Value(connKey{}).(net.Conn); ok {
		abort(c)
	}
	panic(http.ErrAbortHandler)
}

func (h *Host) track(c net.Conn, state http.ConnState) {
	switch state {
	case http.StateNew:
		h.conns.Store(c, nil)
	case http.StateClosed, http.StateHijacked:
		h.conns.Delete(c)
	}
}

func (h *Host) stop(end func(net.Conn)) {
	h.guard.Lock()
	defer h.guard.Unlock()
	if h.server == nil {
		return
	}
	server := h.server
	h.server = nil
	// Shutdown with an ended context closes only the listener, so that the
	// connections are still open when end sees them.
	ended, cancel := context.WithCancel(context.Background())
	cancel()
	_ = server.Shutdown(ended)
	h.conns.Range(func(c, _ any) bool {
		end(c.(net.Conn))
		return true
	})
	_ = server.Close()
}

// abort closes c with a reset instead of an orderly end.
func abort(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetLinger(0)
	}
	_ = c.Close()
}

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
	return nil, errors.Wrapf(last, "listen on %s", address)
}
