package store

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"sync/atomic"
	"time"

	"clementinelink.example/clementinelink/internal/bound"
	"clementinelink.example/clementinelink/internal/intact"
	"github.com/cockroachdb/errors"
	"golang.org/x/time/rate"
)

const (
	// MaxValue is the size limit of a value in bytes.
	MaxValue = 1 << 20
	// defaultDeadline bounds the wait for an answer, in addition to the waiting
	// time of a watch. The store answers in milliseconds, so a longer wait only
	// delays the detection of an outage.
	defaultDeadline = 2 * time.Second
	// bodyTimeout bounds the reading of an answer's body. After the loss of many
	// upstreams an answer holds megabytes, which take seconds on the slowest
	// link. stallTimeout bounds each pause in it.
	bodyTimeout  = 8 * time.Second
	stallTimeout = time.Second
	// connectTimeout bounds the setup of a connection, which takes under 30 ms
	// between regions. A connection whose peer is gone is detected by keep-alive
	// probes within 3 s.
	connectTimeout = time.Second
	// redialDelay is when a further connection is begun beside the first one, whose
	// opening packet may be lost. It would be sent again after a second.
	redialDelay = 300 * time.Millisecond
	// maxAttempts is the number of times that a read is sent.
	maxAttempts = 3
	// baseBackoff is the mean delay before the second attempt; the delay doubles
	// with each attempt.
	baseBackoff = 50 * time.Millisecond
	// idleTimeout is how long an unused connection is kept. It is short because a
	// write on a connection that the store has closed has an unknown outcome.
	idleTimeout = 15 * time.Second
	// maxAnswerBytes bounds the body of an answer. The platform limits pages and
	// values to 1 MB, but an answer to a watch may hold several values.
	maxAnswerBytes = 16 << 20
)

// Client calls the store. It is safe for concurrent use. All calls return the
// package's errors. A write that returns an error other than ErrUnknown did not
// happen.
type Client struct {
	base     string
	wire     Wire
	eras     *eras
	deadline time.Duration
	reads    *rate.Limiter
	writes   *rate.Limiter
	seed     uint64
	// draws counts the random numbers derived from seed so far.
	draws *atomic.Uint64

	// send performs one HTTP exchange and must not repeat a request.
	send      func(*http.Request) (*http.Response, error)
	transport *intact.Transport
	// observe is called with the verb and the result of each exchange.
	observe func(verb, result string)
	// sleep waits for a time and returns ctx's error if that ends first.
	sleep func(ctx context.Context, d time.Duration) error
}

// New returns a client of the store at base, such as http://127.0.0.1:7000. The
// jitter of the backoff is derived from seed. The budget is 30 writes and 200
// reads a second; see SetBudget.
func New(base string, seed uint64) *Client {
	dialer := &net.Dialer{
		Timeout: connectTimeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable:   true,
			Idle:     time.Second,
			Interval: time.Second,
			Count:    2,
		},
	}
	transport := intact.NewTransport(&http.Transport{
		DialContext:         repeated(dialer.DialContext, redialDelay),
		DisableCompression:  true,
		IdleConnTimeout:     idleTimeout,
		MaxIdleConnsPerHost: 16,

		MaxResponseHeaderBytes: bound.MaxHead,
	})
	c := &Client{
		base:     base,
		wire:     defaultWire(),
		eras:     &eras{},
		deadline: defaultDeadline,
		seed:     seed,
		draws:    &atomic.Uint64{},
		send:     transport.RoundTrip,
		observe:  func(string, string) {},
		sleep:    sleep,

		transport: transport,
	}
	return c.WithBudget(200, 30)
}

// WithBudget sets the budget of a new client; see SetBudget. It also sets the
// burst to the calls of a tenth of a second. Call it before any other method.
func (c *Client) WithBudget(reads, writes float64) *Client {
	c.reads = rate.NewLimiter(rate.Limit(reads), max(1, int(reads/10)))
	c.writes = rate.NewLimiter(rate.Limit(writes), max(1, int(writes/10)))
	return c
}

// SetBudget limits the client to a number of reads and writes a second. The
// budgets of all VMs together should stay below the platform's limits, so they
// depend on the number of VMs.
func (c *Client) SetBudget(reads, writes float64) {
	c.reads.SetLimit(rate.Limit(reads))
	c.writes.SetLimit(rate.Limit(writes))
}

// WithDeadline sets the deadline of calls, 2 s by default. It bounds the wait for
// the budget and for retries, and separately the wait for each answer, to which
// the waiting time of a watch is added. Call it before any other method.
func (c *Client) WithDeadline(d time.Duration) *Client {
	c.deadline = d
	return c
}

// CopyWithDeadline returns a copy of c with another deadline; see WithDeadline.
// Both clients share one budget.
func (c *Client) CopyWithDeadline(d time.Duration) *Client {
	copied := *c
	copied.deadline = d
	return &copied
}

// WithWire replaces the encoding of calls and answers. Call it before any other
// method.
func (c *Client) WithWire(w Wire) *Client {
	c.wire = w
	return c
}

// WithObserver calls observe after each exchange with its verb, such as "get",
// and its result, such as "ok" or "conflict"; it may be called concurrently.
// Call it before any other method.
func (c *Client) WithObserver(observe func(verb, result string)) *Client {
	c.observe = observe
	return c
}

// WithSend replaces the HTTP exchange. send must not repeat a request. Call
// WithSend before any other method.
func (c *Client) WithSend(send func(*http.Request) (*http.Response, error)) *Client {
	c.send = send
	return c
}

// WithDial replaces the function that connects to the store. Call it before any other
// method.
func (c *Client) WithDial(dial func(ctx context.Context, network, address string) (net.Conn, error)) *Client {
	c.transport.WithDial(dial)
	return c
}

// Get returns the entry of a key; an absent key is the zero Entry.
func (c *Client) Get(ctx context.Context, key string) (Entry, error) {
	var found Entry
	err := c.read(ctx, "get", c.wire.Get(key), func(era uint64, b []byte) (err error) {
		if found, err = c.wire.Entry(b); err != nil {
			return err
		}
		found, err = found.locate(era)
		return err
	})
	if errors.Is(err, ErrExpired) {
		return Entry{}, nil
	}
	return found, err
}

// maxLists is the number of times that a list is begun that the store's restorations
// interrupt.
const maxLists = 3

// List returns the entries whose keys begin with prefix, in key order, and the
// store's revision, after which to watch for changes. If the store returns the
// list in pages, the entries are not a snapshot of one revision, but a watch
// after the returned revision misses no change. All pages are of one era.
func (c *Client) List(ctx context.Context, prefix string) ([]Entry, uint64, error) {
	for range maxLists {
		found, revision, err := c.listOnce(ctx, prefix)
		if !errors.Is(err, errEraChanged) {
			return found, revision, err
		}
	}
	return nil, 0, errors.Wrapf(ErrUnavailable, "list %s: restored %d times meanwhile", prefix, maxLists)
}

// errEraChanged means that the pages of a list are of several eras.
var errEraChanged = errors.New("store: restored between two pages")

// listOnce reads all pages of a list.
func (c *Client) listOnce(ctx context.Context, prefix string) ([]Entry, uint64, error) {
	var found []Entry
	var revision uint64
	after := ""
	for first := true; ; first = false {
		var p Page
		err := c.read(ctx, "list", c.wire.List(prefix, after), func(era uint64, b []byte) (err error) {
			if p, err = c.wire.Page(b); err != nil {
				return err
			}
			p, err = p.locate(era)
			return err
		})
		if err != nil {
			return nil, 0, err
		}
		if first {
			revision = p.revision
		}
		if Era(p.revision) != Era(revision) {
			return nil, 0, errEraChanged
		}
		found = append(found, p.entries...)
		if !p.more || len(p.entries) == 0 {
			return found, revision, nil
		}
		after = p.entries[len(p.entries)-1].Key()
	}
}

// Put stores a value if the key's revision is expect, 0 for an absent key, and
// returns the new revision. The key is deleted when the lease ends, unless lease
// is "". A revision of an earlier era is a conflict. Put is never retried.
func (c *Client) Put(ctx context.Context, key string, value []byte, expect uint64, lease string) (uint64, error) {
	if len(value) > MaxValue {
		return 0, errors.Wrapf(ErrTooLarge, "%s: %d bytes", key, len(value))
	}
	if err := c.outdated(expect, lease); err != nil {
		return 0, err
	}
	id, _ := splitLease(lease)
	var revision uint64
	err := c.write(ctx, "put", c.wire.Put(key, value, Number(expect), id), func(era uint64, b []byte) error {
		n, err := c.wire.Revision(b)
		if err != nil {
			return err
		}
		if revision, err = position(era, n); err != nil {
			return err
		}
		return verifyEra(era, expect, lease)
	})
	return revision, err
}

// Delete removes a key if its revision is expect. It is never retried.
func (c *Client) Delete(ctx context.Context, key string, expect uint64) error {
	if err := c.outdated(expect, ""); err != nil {
		return err
	}
	return c.write(ctx, "delete", c.wire.Delete(key, Number(expect)), func(era uint64, _ []byte) error {
		return verifyEra(era, expect, "")
	})
}

// Grant returns the id of a new lease with a time to live, which starts at an
// unknown instant during the call. It is never retried; a lease whose id is lost
// expires by itself.
func (c *Client) Grant(ctx context.Context, ttl time.Duration) (string, error) {
	var lease string
	err := c.write(ctx, "grant", c.wire.Grant(ttl), func(era uint64, b []byte) error {
		id, err := c.wire.Lease(b)
		lease = leaseIn(era, id)
		return err
	})
	return lease, err
}

// Renew restarts the time to live of a lease at an unknown instant during the
// call. It returns ErrExpired for a lease that has ended, and for one of an earlier
// era, whose id may belong to another lease. It is never retried.
func (c *Client) Renew(ctx context.Context, lease string) error {
	if err := c.outdated(0, lease); err != nil {
		return err
	}
	id, granted := splitLease(lease)
	return c.write(ctx, "renew", c.wire.Renew(id), func(era uint64, _ []byte) error {
		if era != granted {
			return errors.Wrapf(ErrExpired, "lease of era %d, era %d now", granted, era)
		}
		return nil
	})
}

// Revoke ends a lease and deletes its keys. It returns ErrExpired for a lease of an
// earlier era, and ErrUnknown if the store was restored meanwhile. It is never retried.
func (c *Client) Revoke(ctx context.Context, lease string) error {
	if err := c.outdated(0, lease); err != nil {
		return err
	}
	id, _ := splitLease(lease)
	return c.write(ctx, "revoke", c.wire.Revoke(id), func(era uint64, _ []byte) error { return verifyEra(era, 0, lease) })
}

// read sends a GET until it succeeds, fails with an error other than
// ErrUnavailable, or maxAttempts or the deadline is reached.
func (c *Client) read(ctx context.Context, verb string, call Call, decode func(era uint64, answer []byte) error) error {
	waitCtx, cancel := context.WithTimeout(ctx, c.deadline)
	defer cancel()
	for attempt := 0; ; attempt++ {
		if err := c.reads.Wait(waitCtx); err != nil {
			return errors.Mark(errors.Mark(errors.Wrap(err, "store: read budget"), errBudget), ErrUnavailable)
		}
		err := c.exchange(ctx, verb, c.deadline, call, decode)
		if errors.Is(err, ErrUnknown) {
			err = errors.Mark(errors.Newf("store: read %s: %v", call.path, err), ErrUnavailable)
		}
		if !errors.Is(err, ErrUnavailable) || attempt+1 == maxAttempts {
			return err
		}
		delay := max(c.backoffDelay(attempt), RetryAfter(err))
		if end, ok := waitCtx.Deadline(); ok && time.Until(end) < delay {
			return err
		}
		if c.sleep(waitCtx, delay) != nil {
			return err
		}
	}
}

// write sends a request that changes the store. It never retries it, since the
// outcome may be unknown.
func (c *Client) write(ctx context.Context, verb string, call Call, decode func(era uint64, answer []byte) error) error {
	waitCtx, cancel := context.WithTimeout(ctx, c.deadline)
	defer cancel()
	if err := c.writes.Wait(waitCtx); err != nil {
		return errors.Mark(errors.Mark(errors.Wrap(err, "store: write budget"), errBudget), ErrUnavailable)
	}
	return c.exchange(ctx, verb, c.deadline, call, decode)
}

// exchange sends one request, waits up to wait for the header of the answer and
// reads its body. If no connection could be made, nothing was sent and the error
// is ErrUnavailable. Any later failure to read the answer is ErrUnknown.
func (c *Client) exchange(ctx context.Context, verb string, wait time.Duration, call Call, decode func(era uint64, answer []byte) error) error {
	err := c.doExchange(ctx, wait, call, decode)
	if errors.Is(err, context.DeadlineExceeded) {
		// The idle connections may have gone silent with that of this call.
		c.transport.CloseIdleConnections()
	}
	c.observe(verb, resultName(err))
	return err
}

// doExchange is exchange without the call of the observer.
func (c *Client) doExchange(ctx context.Context, wait time.Duration, call Call, decode func(era uint64, answer []byte) error) error {
	connected := false
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected = true },
	})
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	timer := time.AfterFunc(wait, func() { cancel(context.DeadlineExceeded) })
	defer timer.Stop()
	req, err := c.newRequest(ctx, call)
	if err != nil {
		return err
	}
	resp, err := c.send(req)
	if err != nil {
		if cause := context.Cause(ctx); cause != nil {
			err = cause
		}
		if !connected {
			return errors.Mark(errors.Wrap(err, "store: connect"), ErrUnavailable)
		}
		return errors.Mark(errors.Wrap(err, "store: no answer"), ErrUnknown)
	}
	timer.Reset(stallTimeout)
	defer func() { _ = resp.Body.Close() }()
	body := &stallReader{
		source:   resp.Body,
		end:      time.Now().Add(bodyTimeout),
		timer:    timer,
		progress: func() { Progressed(ctx) },
	}
	era, failure := c.eraOf(resp.Header)
	if err := statusError(resp.StatusCode, resp.Header); err != nil {
		body.progress = func() {}
		_, _ = io.CopyN(io.Discard, body, 4096)
		if failure != nil && !errors.Is(err, ErrUnavailable) {
			err = errors.Mark(failure, ErrUnknown)
		}
		return errors.Wrapf(err, "%s %s", call.method, call.path)
	}
	answer, err := io.ReadAll(bound.NewReader(body, "answer", maxAnswerBytes))
	if err != nil {
		if cause := context.Cause(ctx); cause != nil {
			err = cause
		}
		return errors.Mark(errors.Wrap(err, "store: read answer"), ErrUnknown)
	}
	if failure != nil {
		return errors.Mark(failure, ErrUnknown)
	}
	if decode == nil {
		return nil
	}
	err = decode(era, answer)
	if err == nil || errors.IsAny(err, ErrExpired, ErrCompacted) {
		return err
	}
	return errors.Mark(errors.Wrap(err, "store: decode answer"), ErrUnknown)
}

// stallReader reads a body and restarts a timer with each part that arrives, so
// that the timer expires after stallTimeout without one, or at the end time.
type stallReader struct {
	source   io.Reader
	end      time.Time
	timer    *time.Timer
	progress func()
}

// Read implements io.Reader.
func (r *stallReader) Read(p []byte) (int, error) {
	n, err := r.source.Read(p)
	if n > 0 {
		r.timer.Reset(min(stallTimeout, time.Until(r.end)))
		r.progress()
	}
	return n, err
}

// newRequest returns a request whose body can't be rewound, so that
// http.Transport does not repeat it when a connection breaks.
func (c *Client) newRequest(ctx context.Context, call Call) (*http.Request, error) {
	u, err := url.Parse(c.base)
	if err != nil {
		return nil, errors.Mark(errors.Wrap(err, "store: address"), ErrRejected)
	}
	u.Path = call.path
	u.RawQuery = call.query.Encode()
	var r io.Reader
	if call.method != http.MethodGet {
		r = io.NopCloser(bytes.NewReader(call.body))
	}
	req, err := http.NewRequestWithContext(ctx, call.method, u.String(), r)
	if err != nil {
		return nil, errors.Mark(errors.Wrap(err, "store: request"), ErrRejected)
	}
	if call.method != http.MethodGet {
		req.ContentLength = int64(len(call.body))
	}
	for k, v := range call.header {
		req.Header[k] = v
	}
	return req, nil
}

// backoffDelay returns the random delay after an attempt, from 0.5 to 1.5 times
// its mean. The first attempt is 0.
func (c *Client) backoffDelay(attempt int) time.Duration {
	mean := baseBackoff << attempt
	return mean/2 + time.Duration(c.randomFloat()*float64(mean))
}

// randomFloat returns the next number in [0, 1) of the seeded sequence. It uses
// splitmix64, whose only state is a counter, so no lock is needed.
func (c *Client) randomFloat() float64 {
	x := c.seed + c.draws.Add(1)*0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return float64((x^x>>31)>>11) / (1 << 53)
}

func sleep(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
