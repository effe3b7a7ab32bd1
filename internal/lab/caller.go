package lab

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
)

// maxBodySize is the largest accepted response body in bytes.
const maxBodySize = 8 << 20

// Caller sends requests to a set of entry VM addresses in turn. It is safe for
// concurrent use.
type Caller struct {
	addresses []string
	token     string
	client    *http.Client
	transport *http.Transport
	// nextAddress counts the requests to spread them over the addresses.
	nextAddress atomic.Uint64
	idleTimeout time.Duration
	retryDelay  time.Duration
	timeout     time.Duration
}

// NewCaller returns a caller for entry VM addresses host:port with the bearer
// token of a workspace.
func NewCaller(addresses []string, token string) *Caller {
	transport := &http.Transport{
		MaxIdleConnsPerHost: 256,
		IdleConnTimeout:     10 * time.Second,
	}
	return &Caller{
		addresses: addresses,
		token:     token,
		client: &http.Client{
			Transport: transport,
		},
		transport:   transport,
		idleTimeout: 10 * time.Second,
		retryDelay:  20 * time.Millisecond,
		timeout:     2 * time.Minute,
	}
}

// WithDial replaces the function that connects to entry VMs. Call it before any
// other method.
func (c *Caller) WithDial(dial func(ctx context.Context, network, address string) (net.Conn, error)) *Caller {
	c.transport.DialContext = dial
	return c
}

// WithIdleTimeout sets the time without an event after which the caller
// reconnects to another address; default 10 s.
func (c *Caller) WithIdleTimeout(d time.Duration) *Caller {
	c.idleTimeout = d
	return c
}

// WithTimeout sets the time after which the caller gives up on a request;
// default 2 min.
func (c *Caller) WithTimeout(d time.Duration) *Caller {
	c.timeout = d
	return c
}

// Close closes the idle connections.
func (c *Caller) Close() { c.client.CloseIdleConnections() }

// Call sends a request and returns its verified response. When a connection is
// refused or lost, it continues on the next address.
func (c *Caller) Call(ctx context.Context, q *Request) *Response {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	response := &Response{
		request: q,
		sent:    time.Now(),
	}
	next := c.nextAddress.Add(1)
	for ctx.Err() == nil {
		address := c.addresses[next%uint64(len(c.addresses))]
		err := c.attempt(ctx, address, response)
		if err == nil {
			break
		}
		response.problem = err.Error()
		response.connectionErrors++
		response.disconnected = true
		next++
		sleep(ctx, c.retryDelay)
	}
	response.elapsed = time.Since(response.sent)
	response.classify()
	return response
}

// attempt sends the request over one connection. It returns nil once the
// response has ended, with an error or not, and an error if the connection was
// lost.
func (c *Caller) attempt(ctx context.Context, address string, response *Response) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	// Closes a connection that sends nothing for too long.
	idle := time.AfterFunc(c.idleTimeout, cancel)
	defer idle.Stop()
	r, err := c.newRequest(ctx, address, response)
	if err != nil {
		return err
	}
	resp, err := c.client.Do(r)
	if err != nil {
		return errors.Wrap(err, "send")
	}
	defer resp.Body.Close()
	response.status = resp.StatusCode
	response.retryAfter = resp.Header.Get("Retry-After")
	if response.status != http.StatusOK || !response.request.stream {
		return readBody(resp.Body, response)
	}
	return c.readStream(resp.Body, response, func() { idle.Reset(c.idleTimeout) })
}

func (c *Caller) newRequest(ctx context.Context, address string, response *Response) (*http.Request, error) {
	body, err := response.request.body()
	if err != nil {
		return nil, err
	}
	url := "http://" + address + response.request.path()
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return nil, errors.Wrap(err, "request")
	}
	r.Header.Set("Content-Type", "application/json")
	r.Header.Set("Authorization", "Bearer "+c.token)
	if response.cursor != "" {
		r.Header.Set("Last-Event-ID", response.cursor)
	}
	return r, nil
}

// readBody reads a response or problem document that isn't streamed.
func readBody(body io.Reader, response *Response) error {
	data, err := io.ReadAll(io.LimitReader(body, maxBodySize))
	if err != nil {
		return errors.Wrap(err, "read body")
	}
	if response.status != http.StatusOK {
		response.setProblem(data)
		return nil
	}
	if !response.addChunk(data, "", time.Now()) {
		response.problem = fmt.Sprintf("unreadable body: %.200s", data)
		return nil
	}
	response.done = true
	return nil
}

// readStream reads the events of a stream and calls onEvent for each of them.
func (c *Caller) readStream(body io.Reader, response *Response, onEvent func()) error {
	events := newEventReader(body)
	for {
		e, err := events.next()
		if err != nil {
			return err
		}
		onEvent()
		switch {
		case e.name == "error":
			response.setProblem(e.data)
			return nil
		case string(e.data) == "[DONE]":
			response.done = true
			return nil
		case !response.addChunk(e.data, e.id, time.Now()):
			response.problem = fmt.Sprintf("unreadable event: %.200s", e.data)
			return nil
		}
	}
}

func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}
