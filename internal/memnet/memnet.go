// Package memnet joins clients and servers of one process by pipes. In a bubble of
// testing/synctest a goroutine that waits for a pipe lets the clock advance, which
// one that waits for the kernel does not, so a test on it is independent of how
// busy the machine is.
package memnet

import (
	"context"
	"net"
	"strconv"
	"sync"

	"github.com/cockroachdb/errors"
)

// ErrRefused means that nobody listens on an address.
var ErrRefused = errors.New("memnet: connection refused")

// firstPort is the first port that Listen chooses.
const firstPort = 20000

// Network holds listeners by address. It is safe for concurrent use.
type Network struct {
	mutex     sync.Mutex
	listeners map[string]*listener
	// nextPort is the next port that Listen chooses.
	nextPort int
}

// New returns a network without listeners.
func New() *Network {
	return &Network{
		listeners: map[string]*listener{},
		nextPort:  firstPort,
	}
}

// Listen listens on the address host:port; port 0 takes a free one.
func (n *Network) Listen(address string) (net.Listener, error) {
	host, port, err := net.SplitHostPort(address)
	if err != nil {
		return nil, errors.Wrap(err, "memnet")
	}
	n.mutex.Lock()
	defer n.mutex.Unlock()
	if port == "0" {
		address = net.JoinHostPort(host, strconv.Itoa(n.nextPort))
		n.nextPort++
	}
	if n.listeners[address] != nil {
		return nil, errors.Newf("memnet: %s is in use", address)
	}
	l := &listener{
		network: n,
		address: address,
		conns:   make(chan net.Conn),
		closed:  make(chan struct{}),
	}
	n.listeners[address] = l
	return l, nil
}

// Dial connects to a listener. It has the form of net.Dialer.DialContext.
func (n *Network) Dial(ctx context.Context, _, address string) (net.Conn, error) {
	n.mutex.Lock()
	l := n.listeners[address]
	n.mutex.Unlock()
	if l == nil {
		return nil, errors.Wrap(ErrRefused, address)
	}
	near, far := pair()
	select {
	case l.conns <- far:
		return near, nil
	case <-l.closed:
		return nil, errors.Wrap(ErrRefused, address)
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// listener is a net.Listener of a network. Its Addr is itself.
type listener struct {
	network *Network
	address string
	conns   chan net.Conn
	// closed is closed by the first Close.
	closed    chan struct{}
	closeOnce sync.Once
}

func (l *listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *listener) Close() error {
	l.closeOnce.Do(func() {
		l.network.mutex.Lock()
		defer l.network.mutex.Unlock()
		delete(l.network.listeners, l.address)
		close(l.closed)
	})
	return nil
}

func (l *listener) Addr() net.Addr { return l }

// Network implements net.Addr.
func (l *listener) Network() string { return "tcp" }

// String implements net.Addr.
func (l *listener) String() string { return l.address }
