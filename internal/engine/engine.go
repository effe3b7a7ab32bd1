package engine

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"clementinelink.example/clementinelink/internal/bound"
	"clementinelink.example/clementinelink/internal/fleet"
	"clementinelink.example/clementinelink/internal/intact"
	"clementinelink.example/clementinelink/internal/relay"
	"clementinelink.example/clementinelink/internal/router"
	"clementinelink.example/clementinelink/internal/world"
)

const (
	// dialTimeout allows for several round trips between regions. A host that
	// does not answer by then is treated as unreachable.
	dialTimeout = 300 * time.Millisecond
	// maxLine is the largest size in bytes of one stream event or of the body
	// of another response.
	maxLine = 64 << 10
	// maxIdle is the largest number of idle connections kept to one engine.
	maxIdle = 32
	// idleTimeout is shorter than the usual keep-alive timeout of a server, so
	// that a reused connection is rarely already closed.
	idleTimeout = 20 * time.Second
)

// Client sends requests to model engines. It is safe for concurrent use.
type Client struct {
	// polls fetches load reports on kept connections, which carry nothing else. A
	// repeated report is at most one poll older than the engine says.
	polls *http.Client
	// single sends each attempt, cancel and order on a connection of its own, on
	// which no engine can repeat its answer to an earlier request.
	single *http.Client
	// emit passes an event to the dispatcher. It blocks while the dispatcher's
	// ring is full.
	emit func(ctx context.Context, ev router.Event)
	// dial connects to an engine.
	dial func(ctx context.Context, network, address string) (net.Conn, error)
}

// NewClient returns a client that passes the events of its streams to emit, which
// may be called concurrently.
func NewClient(emit func(ctx context.Context, ev router.Event)) *Client {
	d := &net.Dialer{Timeout: dialTimeout}
	c := &Client{
		dial: d.DialContext,
		emit: emit,
	}
	dial := func(ctx context.Context, network, address string) (net.Conn, error) {
		return c.dial(ctx, network, address)
	}
	c.polls = &http.Client{
		Transport: intact.NewTransport(&http.Transport{
			DialContext:         dial,
			MaxIdleConnsPerHost: maxIdle,
			IdleConnTimeout:     idleTimeout,
			DisableCompression:  true,

			MaxResponseHeaderBytes: bound.MaxHead,
		}),
	}
	c.single = &http.Client{
		Transport: intact.NewTransport(&http.Transport{
			DialContext:        dial,
			DisableKeepAlives:  true,
			DisableCompression: true,

			MaxResponseHeaderBytes: bound.MaxHead,
		}),
	}
	return c
}

// WithDial replaces the function that connects to engines. Call it before any other
// method.
func (c *Client) WithDial(dial func(ctx context.Context, network, address string) (net.Conn, error)) *Client {
	c.dial = dial
	return c
}

// Open starts the attempt of an Open action and reads its stream until the stream
// ends or ctx is cancelled.
func (c *Client) Open(ctx context.Context, a relay.Action) {
	body, err := json.Marshal(newOpenBody(a))
	if err != nil {
		c.reportLost(ctx, a, relay.InvalidResponse)
		return
	}
	url := "http://" + a.Address() + "/v1/completions"
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		c.reportLost(ctx, a, relay.InvalidResponse)
		return
	}
	req.Header.Set("Content-Type", "application/json")
	c.run(ctx, req, a)
}

// Attach continues reading the stream that the engine retains for an earlier
// attempt, until the stream ends or ctx is cancelled. The engine gives the stream
// the number of the new attempt, so the earlier attempt can no longer read it.
func (c *Client) Attach(ctx context.Context, a relay.Action) {
	url := fmt.Sprintf("http://%s/v1/streams/%s/%d?offset=%d&as=%d",
		a.Address(), a.Request().ID(), a.Source(), a.Offset(), a.Attempt())
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		c.reportLost(ctx, a, relay.InvalidResponse)
		return
	}
	c.run(ctx, req, a)
}

// Cancel stops an attempt on its engine. It returns nil if the engine confirmed
// that the attempt does not run.
func (c *Client) Cancel(ctx context.Context, address, id string, attempt uint32) error {
	url := fmt.Sprintf("http://%s/v1/streams/%s/%d", address, id, attempt)
	req, err := http.NewRequestWithContext(ctx, http.MethodDelete, url, nil)
	if err != nil {
		return errors.Wrap(err, "engine: cancel")
	}
	resp, err := c.single.Do(req)
	if err != nil {
		return errors.Wrap(err, "engine: cancel")
	}
	if _, err := readAll(resp); err != nil {
		return errors.Wrap(err, "engine: cancel")
	}
	if resp.StatusCode != http.StatusOK && resp.StatusCode != http.StatusNotFound {
		return errors.Newf("engine: cancel: status %d", resp.StatusCode)
	}
	return nil
}

// Load fetches the engine's load report.
func (c *Client) Load(ctx context.Context, vm *world.VM) (fleet.Load, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+vm.Address()+"/load", nil)
	if err != nil {
		return fleet.Load{}, errors.Wrap(err, "engine: load")
	}
	resp, err := c.polls.Do(req)
	if err != nil {
		return fleet.Load{}, errors.Wrap(err, "engine: load")
	}
	raw, err := readAll(resp)
	if err != nil {
		return fleet.Load{}, errors.Wrap(err, "engine: load")
	}
	if resp.StatusCode != http.StatusOK {
		return fleet.Load{}, errors.Newf("engine: load: status %d", resp.StatusCode)
	}
	var b loadBody
	if err := json.NewDecoder(bytes.NewReader(raw)).Decode(&b); err != nil {
		return fleet.Load{}, errors.Wrap(err, "engine: load")
	}
	age := time.Duration(b.AgeMS) * time.Millisecond
	return fleet.NewLoad(strconv.FormatUint(b.Incarnation, 10), b.Running, b.Waiting, b.Slots, b.Versions, b.Leaving, age), nil
}

// Unreachable reports whether err means that no connection to the host could be
// opened.
func Unreachable(err error) bool { return dialCause(err) == relay.Unreachable }

// Close closes idle connections.
func (c *Client) Close() { c.polls.CloseIdleConnections() }

// run sends the request of an attempt and emits the events of its stream.
func (c *Client) run(ctx context.Context, req *http.Request, a relay.Action) {
	if t := a.Request().Trace(); t != "" {
		req.Header.Set("Traceparent", t)
	}
	resp, err := c.single.Do(req)
	if err != nil {
		c.reportLost(ctx, a, dialCause(err))
		return
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		c.reportLost(ctx, a, statusCause(resp))
		return
	}
	c.read(ctx, resp.Body, a)
}

// read emits the events of a stream up to its finish, or a loss if the stream
// ends before that.
func (c *Client) read(ctx context.Context, body io.Reader, a relay.Action) {
	lines := bufio.NewScanner(body)
	lines.Buffer(make([]byte, 0, 1024), maxLine)
	prefix := []byte("data:")
	skipped := 0
	for lines.Scan() {
		data, ok := bytes.CutPrefix(lines.Bytes(), prefix)
		if !ok {
			// Lines without data are no progress, however many there are.
			if skipped += len(lines.Bytes()) + 1; skipped > maxLine {
				c.reportLost(ctx, a, relay.InvalidResponse)
				return
			}
			continue
		}
		skipped = 0
		var ch chunk
		if err := json.Unmarshal(data, &ch); err != nil {
			c.reportLost(ctx, a, relay.InvalidResponse)
			return
		}
		// An event with another ID or attempt number belongs to another
		// request on this connection.
		if ch.Request != a.Request().ID() || ch.Attempt != a.Attempt() {
			c.reportLost(ctx, a, relay.InvalidResponse)
			return
		}
		if ch.Finish != "" {
			c.emit(ctx, router.NewFinish(ch.Request, ch.Attempt, ch.Index, ch.Finish, ch.Prompt))
			return
		}
		c.emit(ctx, router.NewToken(ch.Request, ch.Attempt, ch.Index, ch.Token, ch.Text))
	}
	c.reportLost(ctx, a, relay.Reset)
}

// reportLost emits the loss of an attempt, unless ctx was cancelled, which means
// that the attempt was stopped on purpose.
func (c *Client) reportLost(ctx context.Context, a relay.Action, cause relay.Cause) {
	if ctx.Err() != nil {
		return
	}
	c.emit(ctx, router.NewLost(a.Request().ID(), a.Attempt(), cause))
}

func newOpenBody(a relay.Action) *openBody {
	q := a.Request()
	b := &openBody{
		Request:   q.ID(),
		Attempt:   a.Attempt(),
		Model:     q.Service(),
		Version:   a.Version(),
		Prompt:    q.Prompt(),
		Messages:  q.Messages(),
		Prefix:    a.Prefix(),
		MaxTokens: q.Limit(),
		Seed:      q.Seed(),
		Stop:      q.Sampling().Stop(),
		Priority:  priority(q, len(a.Prefix()) > 0),
		Stream:    true,
	}
	if t := q.Sampling().Temperature(); t >= 0 {
		b.Temperature = &t
	}
	if p := q.Sampling().TopP(); p >= 0 {
		b.TopP = &p
	}
	return b
}

// priority returns the priority of a request on the engine, where lower values
// are served first: requests are ordered by class, and within a class resumes
// precede new requests.
func priority(q *relay.Request, resume bool) int {
	p := 2 * int(q.Class())
	if !resume {
		p++
	}
	return p
}

// dialCause returns Unreachable if the connection could not be opened, and Reset
// if it broke later.
func dialCause(err error) relay.Cause {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return relay.Unreachable
	}
	return relay.Reset
}

func statusCause(resp *http.Response) relay.Cause {
	switch resp.StatusCode {
	case http.StatusTooManyRequests:
		return relay.Refused
	case http.StatusConflict, http.StatusNotFound:
		return relay.NotFound
	case http.StatusServiceUnavailable:
		var b unavailableBody
		if err := json.NewDecoder(io.LimitReader(resp.Body, maxLine)).Decode(&b); err == nil && b.Leaving {
			return relay.Departing
		}
	}
	return relay.InvalidResponse
}

// readAll reads up to maxLine bytes of a body and closes it, so that the connection can
// be reused. It fails if a shorter body is not complete.
func readAll(resp *http.Response) ([]byte, error) {
	defer resp.Body.Close()
	return io.ReadAll(io.LimitReader(resp.Body, maxLine))
}
