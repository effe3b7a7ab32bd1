package main

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"syscall"
	"time"
)

// host is the host of all routes.
const host = "a.example"

// callDeadline is the time that a client waits for the answer to a call.
const callDeadline = 1500 * time.Millisecond

// caller is a client that sends calls one after the other on a connection that it
// keeps open.
type caller struct {
	name   string
	front  string
	record *record
	// authorization is the value of the header field, or "" for none.
	authorization string
	body          []byte

	conn   net.Conn
	reader *bufio.Reader
	// kept counts the answers on the present connection.
	kept int
}

// outcome is how a call ended for the client.
type outcome struct {
	id string
	// kept is true if the connection had carried a call before.
	kept bool
	// status is 0 if there was no answer, and closed is true if the other side ended
	// the connection then.
	status int
	closed bool
	at     time.Time
}

// call sends one call and returns its outcome, or false if there is no connection.
func (c *caller) call(id, path string) (outcome, bool) {
	if c.conn == nil {
		conn, err := net.DialTimeout("tcp", c.front, time.Second)
		if err != nil {
			c.record.add("%s can't connect: %v", c.name, err)
			return outcome{}, false
		}
		c.conn, c.reader, c.kept = conn, bufio.NewReader(conn), 0
	}
	o := outcome{
		id:   id,
		kept: c.kept > 0,
	}
	c.record.add("%s sends %s, call %d of its connection", c.name, id, c.kept+1)
	_ = c.conn.SetDeadline(time.Now().Add(callDeadline + 200*time.Millisecond))
	var b bytes.Buffer
	fmt.Fprintf(&b, "POST %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: %d\r\n", path, host, headerID, id, headerDeadline, callDeadline.Milliseconds())
	if c.authorization != "" {
		fmt.Fprintf(&b, "Authorization: %s\r\n", c.authorization)
	}
	fmt.Fprintf(&b, "Content-Length: %d\r\n\r\n", len(c.body))
	b.Write(c.body)
	_, err := c.conn.Write(b.Bytes())
	var resp *http.Response
	if err == nil {
		resp, err = http.ReadResponse(c.reader, nil)
	}
	if err == nil {
		_, err = io.Copy(io.Discard, resp.Body)
	}
	o.at = time.Now()
	if err != nil {
		o.closed = !errors.Is(err, os.ErrDeadlineExceeded)
		c.record.add("%s gets no answer to %s: %v", c.name, id, err)
		c.close()
		return o, true
	}
	o.status = resp.StatusCode
	c.record.add("%s gets %d for %s", c.name, o.status, id)
	c.kept++
	if resp.Close {
		c.close()
	}
	return o, true
}

func (c *caller) close() {
	if c.conn != nil {
		_ = c.conn.Close()
		c.conn = nil
	}
}

// generator is a client that sends generations.
type generator struct {
	name  string
	front string
	body  []byte
	// up and down are the links over which it sends and reads, or nil.
	up   *link
	down *link
}

// generate sends a generation, reads its stream and reports whether that was
// complete.
func (g *generator) generate(ctx context.Context, r *record, id string) bool {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+g.front+"/draft/x", &carried{
		source: bytes.NewReader(g.body),
		link:   g.up,
	})
	if err != nil {
		panic(err)
	}
	req.Host = host
	req.ContentLength = int64(len(g.body))
	if len(g.body) == 0 {
		req.Body = http.NoBody
	}
	req.Header.Set(headerID, id)
	req.Header.Set(headerDeadline, "25000")
	req.Header.Set("X-Model", "m")
	req.Header.Set(names["tokens"], "5200,1120")
	req.Header.Set(names["parts"], "aa:200,"+id+":5000")
	r.add("a client sends %s with a body of %d bytes", id, len(g.body))
	resp, err := http.DefaultTransport.RoundTrip(req)
	if err != nil {
		if !errors.Is(err, syscall.ECONNREFUSED) && ctx.Err() == nil {
			r.add("%s: no answer: %v", id, err)
		}
		return false
	}
	defer func() { _ = resp.Body.Close() }()
	n, err := io.Copy(io.Discard, &carried{
		source: resp.Body,
		link:   g.down,
	})
	if err != nil {
		r.add("%s: status %d, ended after %d bytes: %v", id, resp.StatusCode, n, err)
		return false
	}
	r.add("%s: status %d, complete after %d bytes", id, resp.StatusCode, n)
	return resp.StatusCode == http.StatusOK
}

// carried reads over a link.
type carried struct {
	source io.Reader
	link   *link
}

// Read implements io.Reader.
func (c *carried) Read(p []byte) (int, error) {
	n, err := c.source.Read(p[:min(len(p), 8<<10)])
	c.link.carry(n)
	return n, err
}
