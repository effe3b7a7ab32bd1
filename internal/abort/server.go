package abort

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// Tries is the number of times that a test repeats a request to a Server with
// Script.Reset. The reset meets a write of the client in about 8 of 10 requests
// with a body of 16 MB.
const Tries = 10

// resetDelay is the time between the response and the reset, in which the client
// reads the response and goes on with its upload.
const resetDelay = 20 * time.Millisecond

// Script says how a Server treats each request. The fields are exported for
// construction only.
type Script struct {
	// Response is sent as soon as the head of the request has arrived.
	Response string
	// Rest is sent after the whole request was read.
	Rest string
	// Reset resets the connection instead of reading the body of the request.
	Reset bool
	// HalfClose ends the server's side of the connection after Response. The body
	// of the request is read all the same.
	HalfClose bool
}

// Server serves one request on each connection to a local port.
type Server struct {
	listener net.Listener
	script   Script
	wait     sync.WaitGroup
}

// Start starts a server.
func Start(s Script) (*Server, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, errors.Wrap(err, "abort")
	}
	server := &Server{
		listener: l,
		script:   s,
	}
	server.wait.Go(server.accept)
	return server, nil
}

// Address returns the server's address as host:port.
func (s *Server) Address() string { return s.listener.Addr().String() }

// Close stops the server and waits until all requests have ended.
func (s *Server) Close() {
	_ = s.listener.Close()
	s.wait.Wait()
}

func (s *Server) accept() {
	for {
		c, err := s.listener.Accept()
		if err != nil {
			return
		}
		s.wait.Go(func() { s.serve(c.(*net.TCPConn)) })
	}
}

// serve treats the request of a connection and closes it.
func (s *Server) serve(c *net.TCPConn) {
	defer func() { _ = c.Close() }()
	req, err := http.ReadRequest(bufio.NewReader(c))
	if err != nil {
		return
	}
	_, _ = io.WriteString(c, s.script.Response)
	if s.script.Reset {
		time.Sleep(resetDelay)
		_ = c.SetLinger(0)
		return
	}
	if s.script.HalfClose {
		_ = c.CloseWrite()
		time.Sleep(resetDelay)
	}
	_, _ = io.Copy(io.Discard, req.Body)
	_, _ = io.WriteString(c, s.script.Rest)
}
