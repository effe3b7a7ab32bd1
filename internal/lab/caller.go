package lab

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
)

// bodyMax bounds an answer or problem that comes in one body, in bytes.
const bodyMax = 8 << 20

// Caller sends questions to one of several entry addresses.
type Caller struct {
	addresses []string
	token     string
	client    *http.Client
	// turn spreads the questions over the addresses.
	turn    atomic.Uint64
	silence time.Duration
	pause   time.Duration
	limit   time.Duration
}

// NewCaller returns a caller for entry addresses host:port and the bearer
// token of a workspace.
func NewCaller(addresses []string, token string) *Caller {
	return &Caller{
		addresses: addresses,
		token:     token,
		client: &http.Client{
			Transport: &http.Transport{
				MaxIdleConnsPerHost: 256,
				IdleConnTimeout:     10 * time.Second,
			},
		},
		silence: 10 * time.Second,
		pause:   20 * time.Millisecond,
		limit:   2 * time.Minute,
	}
}

// WithSilence sets after what time without an event the caller changes to
// another address; default 10 s.
func (c *Caller) WithSilence(d time.Duration) *Caller {
	c.silence = d
	return c
}

// WithLimit sets after what time the caller gives up; default 2 min.
func (c *Caller) WithLimit(d time.Duration) *Caller {
	c.limit = d
	return c
}

// Close drops the idle connections.
func (c *Caller) Close() { c.client.CloseIdleConnections() }

// Call sends a question and returns its judged answer. It changes to the next
// address whenever a connection is lost or refused.
func (c *Caller) Call(ctx context.Context, q *Question) *Answer {
	ctx, cancel := context.WithTimeout(ctx, c.limit)
	defer cancel()
	a := &Answer{
		question: q,
		sent:     time.Now(),
	}
	turn := c.turn.Add(1)
	for ctx.Err() == nil {
		address := c.addresses[turn%uint64(len(c.addresses))]
		err := c.attempt(ctx, address, a)
		if err == nil {
			break
		}
		a.problem = err.Error()
		a.breaks++
		a.broken = true
		turn++
		sleep(ctx, c.pause)
	}
	a.took = time.Since(a.sent)
	a.judge()
	return a
}

// attempt sends the question over one connection. It returns nil once the
// answer has ended, well or not, and an error where the connection was lost.
func (c *Caller) attempt(ctx context.Context, address string, a *Answer) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	// The timer ends a connection that is silent.
	idle := time.AfterFunc(c.silence, cancel)
	defer idle.Stop()
	r, err := c.request(ctx, address, a)
	if err != nil {
		return err
	}
	resp, err := c.client.Do(r)
	if err != nil {
		return errors.Wrap(err, "send")
	}
	defer resp.Body.Close()
	a.status = resp.StatusCode
	a.retry = resp.Header.Get("Retry-After")
	if a.status != http.StatusOK || !a.question.stream {
		return whole(resp.Body, a)
	}
	return c.follow(resp.Body, a, func() { idle.Reset(c.silence) })
}

func (c *Caller) request(ctx context.Context, address string, a *Answer) (*http.Request, error) {
	body, err := a.question.body()
	if err != nil {
		return nil, err
	}
	url := "http://" + address + a.question.path()
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return nil, errors.Wrap(err, "request")
	}
	r.Header.Set("Content-Type", "application/json")
	r.Header.Set("Authorization", "Bearer "+c.token)
	if a.cursor != "" {
		r.Header.Set("Last-Event-ID", a.cursor)
	}
	return r, nil
}

// whole reads an answer or problem that comes in one body.
func whole(body io.Reader, a *Answer) error {
	data, err := io.ReadAll(io.LimitReader(body, bodyMax))
	if err != nil {
		return errors.Wrap(err, "read body")
	}
	if a.status != http.StatusOK {
		a.fail(data)
		return nil
	}
	if !a.take(data, "", time.Now()) {
		a.problem = fmt.Sprintf("unreadable body: %.200s", data)
		return nil
	}
	a.done = true
	return nil
}

// follow reads the events of a stream; alive is called for each of them.
func (c *Caller) follow(body io.Reader, a *Answer, alive func()) error {
	events := newEvents(body)
	for {
		e, err := events.next()
		if err != nil {
			return err
		}
		alive()
		switch {
		case e.name == "error":
			a.fail(e.data)
			return nil
		case string(e.data) == "[DONE]":
			a.done = true
			return nil
		case !a.take(e.data, e.id, time.Now()):
			a.problem = fmt.Sprintf("unreadable event: %.200s", e.data)
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
