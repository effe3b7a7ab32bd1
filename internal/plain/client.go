package plain

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strconv"
	"sync/atomic"
	"time"

	"clementinelink.example/clementinelink/internal/bound"
	"clementinelink.example/clementinelink/internal/claim"
	"clementinelink.example/clementinelink/internal/errs"
	"clementinelink.example/clementinelink/internal/intact"
	"github.com/cockroachdb/errors"
)

const (
	// maxAnswerBytes is the largest accepted answer body. A body is held in memory
	// until it is complete.
	maxAnswerBytes = 8 << 20
	// maxHeldBytes limits the unfinished bodies of all answers together, on VMs
	// that have 184 MB or more.
	maxHeldBytes = 32 << 20
	// maxRefusalBytes is the length to which the body of a refusal is read.
	maxRefusalBytes = 4 << 10
	// dialTimeout limits the connection setup, which takes under 30 ms between
	// regions.
	dialTimeout = time.Second
	// defaultRetryAfter is sent to the caller of a call that did not run when the
	// upstream sends no Retry-After.
	defaultRetryAfter = time.Second
	// maxRetryAfter limits the Retry-After of an upstream.
	maxRetryAfter = time.Hour
)

// strippedHeaders are the header fields that are not forwarded in either direction.
// Authorization identifies the workspace to this system only, and net/http
// retries requests that have an Idempotency-Key.
var strippedHeaders = []string{
	"Authorization", "Idempotency-Key", "X-Idempotency-Key", "X-Request-Id",
	"Connection", "Proxy-Connection", "Keep-Alive", "Proxy-Authenticate",
	"Proxy-Authorization", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
	"Content-Length", "Accept-Encoding", "Expect",
}

// Client sends calls to upstreams. It is safe for concurrent use.
type Client struct {
	lookups *intact.Transport
	// bodies limits the unfinished bodies of all answers together.
	bodies *bound.Budget
	dial   func(ctx context.Context, network, address string) (net.Conn, error)
	now    func() time.Time
}

// New returns a client over TCP.
func New() *Client {
	d := &net.Dialer{
		Timeout: dialTimeout,
	}
	c := &Client{
		bodies: bound.NewBudget(maxHeldBytes),
		dial:   d.DialContext,
		now:    time.Now,
	}
	c.lookups = intact.NewTransport(&http.Transport{
		DisableKeepAlives:      true,
		DisableCompression:     true,
		ExpectContinueTimeout:  time.Second,
		MaxResponseHeaderBytes: bound.MaxHead,
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			return c.dial(ctx, network, address)
		},
	})
	return c
}

// WithDial replaces the function that connects to upstreams. Call it before any other
// method.
func (c *Client) WithDial(dial func(ctx context.Context, network, address string) (net.Conn, error)) *Client {
	c.dial = dial
	return c
}

// Close closes the idle connections.
func (c *Client) Close() { c.lookups.CloseIdleConnections() }

// Book sends the call to the upstream at address (host:port) at most once, on
// a connection of its own. The outcome is NotRun when no byte was written or the
// upstream states that it did not run the call, Ran for any other response, and
// Unknown otherwise.
func (c *Client) Book(ctx context.Context, address string, call *Call) Result {
	permit := &permit{
		now:      c.now,
		deadline: call.deadline,
	}
	once := intact.NewTransport(&http.Transport{
		DisableKeepAlives:      true,
		DisableCompression:     true,
		MaxResponseHeaderBytes: bound.MaxHead,
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			conn, err := c.dial(ctx, network, address)
			if err != nil {
				return nil, err
			}
			return &singleCallConn{
				Conn:   conn,
				permit: permit,
			}, nil
		},
	})
	defer once.CloseIdleConnections()
	req := call.request(ctx, address)
	if len(call.body) > 0 {
		// The struct hides Seek, and req.GetBody stays nil, so that the transport
		// can't rewind the body and send it again.
		req.Body = io.NopCloser(struct{ io.Reader }{bytes.NewReader(call.body)})
		req.ContentLength = int64(len(call.body))
	}
	return c.send(once, req, call, func() bool { return !permit.revoke() })
}

// Lookup sends an idempotent call on a connection of its own. An answer need not
// have the call's id, so on a kept connection a late or repeated one could be taken
// for the answer to another call.
func (c *Client) Lookup(ctx context.Context, address string, call *Call) Result {
	connected := new(atomic.Bool)
	trace := &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	}
	req := call.request(httptrace.WithClientTrace(ctx, trace), address)
	if len(call.body) > 0 {
		req.Body = io.NopCloser(bytes.NewReader(call.body))
		req.ContentLength = int64(len(call.body))
		req.GetBody = func() (io.ReadCloser, error) { return io.NopCloser(bytes.NewReader(call.body)), nil }
	}
	return c.send(c.lookups, req, call, connected.Load)
}

// request returns the HTTP request for the call, without its body.
func (c *Call) request(ctx context.Context, address string) *http.Request {
	header := http.Header{}
	for k, v := range c.header {
		header[k] = v
	}
	for _, v := range c.header.Values("Connection") {
		header.Del(v)
	}
	for _, k := range strippedHeaders {
		header.Del(k)
	}
	header.Set("X-Request-Id", c.id)
	if header.Get("User-Agent") == "" {
		// An empty value keeps net/http from sending its own User-Agent.
		header.Set("User-Agent", "")
	}
	target := &url.URL{
		Scheme: "http",
		Host:   address,
	}
	if u, err := url.ParseRequestURI(c.uri); err == nil {
		target.Path, target.RawPath, target.RawQuery = u.Path, u.RawPath, u.RawQuery
	}
	req := &http.Request{
		Method: c.method,
		URL:    target,
		Host:   address,
		Header: header,
		Body:   http.NoBody,
	}
	return req.WithContext(ctx)
}

// send carries out one request. maybeSent is called after a failure and reports
// whether a byte may have been written or may be written later.
func (c *Client) send(t *intact.Transport, req *http.Request, call *Call, maybeSent func() bool) Result {
	if passed(c.now(), call.deadline) {
		return Failed(errs.New(errs.Expired, errs.NotRun, "the deadline passed before the call was sent").WithRetry(defaultRetryAfter))
	}
	ctx, cancel := context.WithDeadline(req.Context(), call.deadline)
	defer cancel()
	resp, err := t.RoundTrip(req.WithContext(ctx))
	if err != nil {
		return failure(err, maybeSent())
	}
	defer resp.Body.Close()
	ids := resp.Header.Values("X-Request-Id")
	if len(ids) > 1 || len(ids) == 1 && ids[0] != call.id {
		return Failed(errs.New(errs.Upstream, errs.Unknown, "the upstream sent the answer of another request"))
	}
	if statesNotRun(resp) {
		r := Failed(errs.New(errs.Unavailable, errs.NotRun, "the upstream states that it did not run the call").WithRetry(retryDelay(resp)))
		r.leaving = statesLeaving(resp)
		return r
	}
	body, err := c.bodies.ReadAll(resp.Body, maxAnswerBytes)
	if err != nil {
		return Failed(errs.New(errs.Upstream, errs.Ran, "the answer with status %d broke off: %v", resp.StatusCode, err))
	}
	header := resp.Header.Clone()
	for _, k := range strippedHeaders {
		header.Del(k)
	}
	return Answered(claim.NewAnswer(resp.StatusCode, resp.Header.Get("Content-Type"), body).WithHeader(header))
}

// failure returns the result of a request that got no response.
func failure(err error, maybeSent bool) Result {
	kind := errs.Upstream
	if errors.Is(err, context.DeadlineExceeded) || errors.Is(err, errDeadlinePassed) {
		kind = errs.Expired
	}
	if maybeSent {
		return Failed(errs.New(kind, errs.Unknown, "the call was sent and has no answer: %v", err))
	}
	if kind == errs.Upstream {
		kind = errs.Unavailable
	}
	return Failed(errs.New(kind, errs.NotRun, "the call was not sent: %v", err).WithRetry(defaultRetryAfter))
}

// statesNotRun reports whether the upstream states that it did not run the call.
// Only 429 and 503 can state it.
func statesNotRun(r *http.Response) bool {
	return r.Header.Get("X-Not-Run") == "true" &&
		(r.StatusCode == http.StatusTooManyRequests || r.StatusCode == http.StatusServiceUnavailable)
}

// statesLeaving reports whether a 503 states in its JSON body that the upstream
// is leaving and takes no new work. It is false for a body that can't be read or
// decoded.
func statesLeaving(r *http.Response) bool {
	var body struct {
		Leaving bool `json:"leaving"`
	}
	err := json.NewDecoder(io.LimitReader(r.Body, maxRefusalBytes)).Decode(&body)
	return err == nil && body.Leaving && r.StatusCode == http.StatusServiceUnavailable
}

// retryDelay returns the Retry-After of an answer, at most maxRetryAfter, or
// defaultRetryAfter if it is missing or not a positive number of seconds.
func retryDelay(r *http.Response) time.Duration {
	n, err := strconv.Atoi(r.Header.Get("Retry-After"))
	if err != nil || n < 1 {
		return defaultRetryAfter
	}
	return min(time.Duration(n)*time.Second, maxRetryAfter)
}
