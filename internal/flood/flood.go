// Package flood serves HTTP responses without end. Tests use it as a broken peer.
package flood

import (
	"bufio"
	"bytes"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"

	"github.com/cockroachdb/errors"
)

// form is a response without end: prefix is sent once, and repeat until the
// client closes.
type form struct {
	prefix string
	repeat string
}

const (
	// okHead is replaced by a status line and the additional header fields.
	okHead     = "OK"
	statusLine = "HTTP/1.1 200 OK\r\n"
	streamHead = okHead + "Content-Type: text/event-stream\r\n"
)

// forms holds the responses by kind.
var forms = map[string]form{
	"head-line": {
		prefix: "HTTP/1.1 200 ",
		repeat: "x",
	},
	"head-field": {
		prefix: okHead + "X-Long: ",
		repeat: "x",
	},
	"head-fields": {
		prefix: okHead,
		repeat: "X-Again: 1\r\n",
	},
	"informational": {
		repeat: "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n",
	},
	"body": {
		prefix: okHead + "\r\n",
		repeat: "x",
	},
	"spaces": {
		prefix: okHead + "\r\n",
		repeat: " ",
	},
	"chunks": {
		prefix: okHead + "Transfer-Encoding: chunked\r\n\r\n",
		repeat: "1\r\nx\r\n",
	},
	"extension": {
		prefix: okHead + "Transfer-Encoding: chunked\r\n\r\n1;",
		repeat: "x",
	},
	"extensions": {
		prefix: okHead + "Transfer-Encoding: chunked\r\n\r\n",
		repeat: "1;a=bbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbb\r\nx\r\n",
	},
	"trailer": {
		prefix: okHead + "Transfer-Encoding: chunked\r\n\r\n0\r\n",
		repeat: "X-Again: 1\r\n",
	},
	"event-line": {
		prefix: streamHead + "\r\n",
		repeat: "x",
	},
	"event-data": {
		prefix: streamHead + "\r\n",
		repeat: "data: x\n",
	},
	"event-comment": {
		prefix: streamHead + "\r\n",
		repeat: ": x\n",
	},
	"event-id": {
		prefix: streamHead + "\r\n",
		repeat: "id: 1\n",
	},
	"event-empty": {
		prefix: streamHead + "\r\n",
		repeat: "\n",
	},
	"after-end": {
		prefix: okHead + "Content-Length: 2\r\n\r\n{}",
		repeat: "x",
	},
}

// block is the number of bytes of one write.
const block = 32 << 10

// Server answers each request with a response without end.
type Server struct {
	listener net.Listener
	form     form
	sent     atomic.Int64
	running  sync.WaitGroup
}

// Start starts a server of the given kind on a local port. The heads of its
// responses have the additional header fields, each "NAME: VALUE".
func Start(kind string, fields ...string) (*Server, error) {
	f, ok := forms[kind]
	if !ok {
		return nil, errors.Newf("flood: unknown kind %q", kind)
	}
	head := statusLine
	for _, field := range fields {
		head += field + "\r\n"
	}
	if rest, ok := strings.CutPrefix(f.prefix, okHead); ok {
		f.prefix = head + rest
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, errors.Wrap(err, "flood")
	}
	s := &Server{
		listener: l,
		form:     f,
	}
	s.running.Go(s.accept)
	return s, nil
}

// Address returns the server's IP:port.
func (s *Server) Address() string { return s.listener.Addr().String() }

// Sent returns the number of bytes that clients have accepted, including those
// in the buffers of the connection.
func (s *Server) Sent() int64 { return s.sent.Load() }

// Close stops the server. It waits until the clients have closed their
// connections.
func (s *Server) Close() {
	_ = s.listener.Close()
	s.running.Wait()
}

func (s *Server) accept() {
	for {
		c, err := s.listener.Accept()
		if err != nil {
			return
		}
		s.running.Go(func() { s.serve(c) })
	}
}

func (s *Server) serve(c net.Conn) {
	defer func() { _ = c.Close() }()
	if _, err := http.ReadRequest(bufio.NewReader(c)); err != nil {
		return
	}
	if _, err := fmt.Fprint(c, s.form.prefix); err != nil {
		return
	}
	data := bytes.Repeat([]byte(s.form.repeat), block/len(s.form.repeat))
	for {
		n, err := c.Write(data)
		s.sent.Add(int64(n))
		if err != nil {
			return
		}
	}
}
