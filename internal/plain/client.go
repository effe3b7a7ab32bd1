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

	"clementinelink.example/clementinelink/internal/claim"
	"clementinelink.example/clementinelink/internal/errs"
	"github.com/cockroachdb/errors"
)

const (
	// maxBody is the largest answer in bytes; an answer is held in memory until
	// it is complete.
	maxBody = 8 << 20
	// maxStatement bounds the part of a refusal that is read, in bytes.
	maxStatement = 4 << 10
	// dialWait bounds the connection setup, which takes under 30 ms between
	// regions.
	dialWait = time.Second
	// retryAfter is told to callers of work that did not run when the upstream
	// states no time.
	retryAfter = time.Second
	// maxRetryAfter bounds the time that an upstream states.
	maxRetryAfter = time.Hour
)

// dropped are the header fields that end at this system. Authorization names
// the workspace here, and a transport repeats requests with Idempotency-Key.
var dropped = []string{
	"Authorization", "Idempotency-Key", "X-Idempotency-Key", "X-Request-Id",
	"Connection", "Proxy-Connection", "Keep-Alive", "Proxy-Authenticate",
	"Proxy-Authorization", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
	"Content-Length", "Accept-Encoding", "Expect",
}

// Client sends calls to upstreams. It is safe for concurrent use.
type Client struct {
	lookups *http.Transport
	dial    func(ctx context.Context, network, address string) (net.Conn, error)
	now     func() time.Time
}

// New returns a client over TCP.
func New() *Client {
	d := &net.Dialer{
		Timeout: dialWait,
	}
	return &Client{
		lookups: &http.Transport{
			DialContext:           d.DialContext,
			DisableCompression:    true,
			MaxIdleConnsPerHost:   64,
			IdleConnTimeout:       30 * time.Second,
			ExpectContinueTimeout: time.Second,
		},
		dial: d.DialContext,
		now:  time.Now,
	}
}

// Close closes the idle connections.
func (c *Client) Close() { c.lookups.CloseIdleConnections() }

// Book sends the call to the upstream at address (host:port) at most once, on
// a connection of its own. The outcome is NotRun when no byte left or the
// upstream states it, Ran for a response, and Unknown otherwise.
func (c *Client) Book(ctx context.Context, address string, l *Call) Result {
	permit := &permit{
		now:      c.now,
		deadline: l.deadline,
	}
	once := &http.Transport{
		DisableKeepAlives:  true,
		DisableCompression: true,
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			conn, err := c.dial(ctx, network, address)
			if err != nil {
				return nil, err
			}
			return &onceConn{
				Conn:   conn,
				permit: permit,
			}, nil
		},
	}
	defer once.CloseIdleConnections()
	req := l.request(ctx, address)
	if len(l.body) > 0 {
		// The type hides Seek and req.GetBody stays nil, so that the transport
		// can't send the body again.
		req.Body = io.NopCloser(struct{ io.Reader }{bytes.NewReader(l.body)})
		req.ContentLength = int64(len(l.body))
	}
	return c.send(once, req, l, func() bool { return !permit.seal() })
}

// Lookup sends an idempotent call on a pooled connection. A connection whose
// call was given up is closed, so a late answer meets no other call.
func (c *Client) Lookup(ctx context.Context, address string, l *Call) Result {
	connected := new(atomic.Bool)
	trace := &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	}
	req := l.request(httptrace.WithClientTrace(ctx, trace), address)
	if len(l.body) > 0 {
		req.Body = io.NopCloser(bytes.NewReader(l.body))
		req.ContentLength = int64(len(l.body))
		req.GetBody = func() (io.ReadCloser, error) { return io.NopCloser(bytes.NewReader(l.body)), nil }
	}
	return c.send(c.lookups, req, l, connected.Load)
}

func (l *Call) request(ctx context.Context, address string) *http.Request {
	header := http.Header{}
	for k, v := range l.header {
		header[k] = v
	}
	for _, v := range l.header.Values("Connection") {
		header.Del(v)
	}
	for _, k := range dropped {
		header.Del(k)
	}
	header.Set("X-Request-Id", l.id)
	if header.Get("User-Agent") == "" {
		// An empty value keeps net/http from naming itself.
		header.Set("User-Agent", "")
	}
	target := &url.URL{
		Scheme: "http",
		Host:   address,
	}
	if u, err := url.ParseRequestURI(l.uri); err == nil {
		target.Path, target.RawPath, target.RawQuery = u.Path, u.RawPath, u.RawQuery
	}
	req := &http.Request{
		Method: l.method,
		URL:    target,
		Host:   address,
		Header: header,
		Body:   http.NoBody,
	}
	return req.WithContext(ctx)
}

// send carries out one request. left reports whether a byte may have left or
// may leave later.
func (c *Client) send(t *http.Transport, req *http.Request, l *Call, left func() bool) Result {
	if late(c.now(), l.deadline) {
		return Failed(errs.New(errs.Expired, errs.NotRun, "the deadline passed before the call was sent").WithRetry(retryAfter))
	}
	ctx, cancel := context.WithDeadline(req.Context(), l.deadline)
	defer cancel()
	resp, err := t.RoundTrip(req.WithContext(ctx))
	if err != nil {
		return failure(err, left())
	}
	defer resp.Body.Close()
	if id := resp.Header.Get("X-Request-Id"); id != "" && id != l.id {
		// Closing the body before its end closes the connection.
		return Failed(errs.New(errs.Upstream, errs.Unknown, "the upstream sent the answer of another request"))
	}
	if notRun(resp) {
		r := Failed(errs.New(errs.Unavailable, errs.NotRun, "the upstream states that it did not run the call").WithRetry(pause(resp)))
		r.leaving = leaving(resp)
		return r
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxBody+1))
	if err != nil {
		return Failed(errs.New(errs.Upstream, errs.Ran, "the answer with status %d broke off: %v", resp.StatusCode, err))
	}
	if len(body) > maxBody {
		return Failed(errs.New(errs.Upstream, errs.Ran, "the answer with status %d is over %d bytes", resp.StatusCode, maxBody))
	}
	header := resp.Header.Clone()
	for _, k := range dropped {
		header.Del(k)
	}
	return Answered(claim.NewAnswer(resp.StatusCode, resp.Header.Get("Content-Type"), body).WithHeader(header))
}

func failure(err error, left bool) Result {
	kind := errs.Upstream
	if errors.Is(err, context.DeadlineExceeded) || errors.Is(err, errLate) {
		kind = errs.Expired
	}
	if left {
		return Failed(errs.New(kind, errs.Unknown, "the call was sent and has no answer: %v", err))
	}
	if kind == errs.Upstream {
		kind = errs.Unavailable
	}
	return Failed(errs.New(kind, errs.NotRun, "the call was not sent: %v", err).WithRetry(retryAfter))
}

// notRun reports whether the upstream proves that it did not run the call.
func notRun(r *http.Response) bool {
	return r.Header.Get("X-Not-Run") == "true" &&
		(r.StatusCode == http.StatusTooManyRequests || r.StatusCode == http.StatusServiceUnavailable)
}

// leaving reports whether a 503 states that the upstream is leaving. A body
// that can't be read or decoded states nothing.
func leaving(r *http.Response) bool {
	var body struct {
		Leaving bool `json:"leaving"`
	}
	err := json.NewDecoder(io.LimitReader(r.Body, maxStatement)).Decode(&body)
	return err == nil && body.Leaving && r.StatusCode == http.StatusServiceUnavailable
}

// pause returns the Retry-After in seconds of an answer, at least a second.
func pause(r *http.Response) time.Duration {
	n, err := strconv.Atoi(r.Header.Get("Retry-After"))
	if err != nil || n < 1 {
		return retryAfter
	}
	return min(time.Duration(n)*time.Second, maxRetryAfter)
}
