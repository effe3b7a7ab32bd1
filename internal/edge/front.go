package edge

import (
	"context"
	stdlog "log"
	"net"
	"net/http"
	"sync"
	"time"

	"clementinelink.example/clementinelink/internal/table"
	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"
)

// defaultLimits apply until the first configuration arrives.
var defaultLimits = table.NewLimits(16<<10, 4<<20, 3*time.Second, 15*time.Second)

// connQueueCap is the number of accepted connections that may wait for a
// server. The accept loop blocks when the queue is full.
const connQueueCap = 16

// Front accepts callers' connections and serves each under the limits that were
// in effect when it was accepted. An http.Server can't change its limits while
// it runs, so each set of limits has its own server.
type Front struct {
	listener net.Listener
	handler  http.Handler
	limits   func() table.Limits
	log      zerolog.Logger

	// mutex guards servers, which the accept loop adds to and shutdown reads.
	mutex   sync.Mutex
	servers map[table.Limits]*frontServer
}

// frontServer serves the connections that were accepted under one set of
// limits.
type frontServer struct {
	server *http.Server
	conns  *connListener
}

func newFront(l net.Listener, h http.Handler, limits func() table.Limits, log zerolog.Logger) *Front {
	return &Front{
		listener: l,
		handler:  h,
		limits:   limits,
		log:      log,
		servers:  make(map[table.Limits]*frontServer),
	}
}

// run accepts connections until the listener is closed.
func (f *Front) run() {
	for {
		conn, err := f.listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			// The usual cause is that the process has no free file
			// descriptors until other connections are closed.
			f.log.Warn().Err(err).Msg("front: Accept failed.")
			time.Sleep(acceptRetryDelay)
			continue
		}
		f.server(f.limits()).conns.put(conn)
	}
}

// acceptRetryDelay is the delay after a failed accept. It keeps the loop from
// spinning while there are no free file descriptors.
const acceptRetryDelay = 20 * time.Millisecond

func (f *Front) server(l table.Limits) *frontServer {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if s := f.servers[l]; s != nil {
		return s
	}
	s := &frontServer{
		server: &http.Server{
			Handler:           f.handler,
			MaxHeaderBytes:    l.MaxHeaderBytes(),
			ReadHeaderTimeout: l.HeaderTimeout(),
			IdleTimeout:       l.IdleTimeout(),
			ErrorLog:          stdlog.New(f.log, "front: ", 0),
		},
		conns: &connListener{
			conns:   make(chan net.Conn, connQueueCap),
			closed:  make(chan struct{}),
			address: f.listener.Addr(),
		},
	}
	f.servers[l] = s
	go func() {
		if err := s.server.Serve(s.conns); !errors.Is(err, http.ErrServerClosed) {
			f.log.Error().Err(err).Msg("front: A server stopped.")
		}
	}()
	return s
}

// shutdown stops accepting connections and waits until no request is being
// served or ctx ends. It returns the first error of a server.
func (f *Front) shutdown(ctx context.Context) error {
	_ = f.listener.Close()
	f.mutex.Lock()
	defer f.mutex.Unlock()
	var first error
	for _, s := range f.servers {
		if err := s.server.Shutdown(ctx); err != nil && first == nil {
			first = errors.Wrap(err, "front")
		}
	}
	return first
}

// connListener is a net.Listener whose connections were accepted by another
// goroutine, which passes them to put.
type connListener struct {
	conns   chan net.Conn
	closed  chan struct{}
	once    sync.Once
	address net.Addr
}

func (h *connListener) put(c net.Conn) {
	select {
	case h.conns <- c:
	case <-h.closed:
		_ = c.Close()
	}
}

// Accept implements net.Listener.
func (h *connListener) Accept() (net.Conn, error) {
	select {
	case c := <-h.conns:
		return c, nil
	case <-h.closed:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (h *connListener) Close() error {
	h.once.Do(func() { close(h.closed) })
	return nil
}

// Addr implements net.Listener.
func (h *connListener) Addr() net.Addr { return h.address }
