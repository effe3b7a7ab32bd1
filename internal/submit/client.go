package submit

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

// Client calls the operators' HTTP interface of an entry VM; see Handler. It is
// safe for concurrent use.
type Client struct {
	base string
	http *http.Client
}

// NewClient returns a client for the VM at address, a host:port.
func NewClient(address string, client *http.Client) *Client {
	return &Client{
		base: "http://" + address,
		http: client,
	}
}

// Status is a VM's answer about the configuration and moves in force.
type Status struct {
	wire wireStatus
	raw  []byte
}

// Revision returns the revision in force.
func (s *Status) Revision() uint64 { return s.wire.Revision }

// Raw returns the answer as JSON.
func (s *Status) Raw() []byte { return s.raw }

// Parts returns the parts of the declaration by name, or none if they were not
// requested.
func (s *Status) Parts() map[string][]byte {
	parts := make(map[string][]byte, len(s.wire.Parts))
	for name, value := range s.wire.Parts {
		parts[name] = value
	}
	return parts
}

// MoveFinished reports whether the VM lists the named move in a final state.
func (s *Status) MoveFinished(name string) bool {
	return slices.ContainsFunc(s.wire.Moves, func(m wireMove) bool { return m.Name == name && m.State != "running" })
}

// Text returns the status as lines of text for operators.
func (s *Status) Text() string {
	b := &strings.Builder{}
	fmt.Fprintf(b, "revision %d", s.wire.Revision)
	if s.wire.Change != "" {
		fmt.Fprintf(b, ", change %s", s.wire.Change)
	}
	b.WriteByte('\n')
	for _, m := range s.wire.Moves {
		fmt.Fprintf(b, "move %s: %s %s -> %s, %s, stage %d, share %.1f%%, deadline %s", m.Name, m.Service, m.From, m.To,
			m.State, m.Stage, 100*m.Share, m.Deadline.Format(time.RFC3339))
		if m.Reason != "" {
			fmt.Fprintf(b, ", %s", m.Reason)
		}
		b.WriteByte('\n')
		for _, line := range m.Evidence {
			fmt.Fprintf(b, "  %s\n", line)
		}
	}
	return b.String()
}

// Status returns the current status, with the parts of the declaration if parts
// is true.
func (c *Client) Status(ctx context.Context, parts bool) (*Status, error) {
	query := url.Values{}
	if parts {
		query.Set("parts", "1")
	}
	return c.status(ctx, query)
}

// Await returns the status once the revision is above after, or when wait has
// passed. The VM bounds wait to 25 s.
func (c *Client) Await(ctx context.Context, after uint64, wait time.Duration) (*Status, error) {
	return c.status(ctx, url.Values{
		"after": {strconv.FormatUint(after, 10)},
		"wait":  {wait.String()},
	})
}

func (c *Client) status(ctx context.Context, query url.Values) (*Status, error) {
	raw, err := c.get(ctx, "/status", query)
	if err != nil {
		return nil, err
	}
	s := &Status{
		raw: raw,
	}
	if err := json.Unmarshal(raw, &s.wire); err != nil {
		return nil, errors.Wrap(err, "status")
	}
	return s, nil
}

// History returns up to limit accepted changes, newest first, and the answer as
// JSON.
func (c *Client) History(ctx context.Context, limit int) ([]Entry, []byte, error) {
	raw, err := c.get(ctx, "/history", url.Values{
		"limit": {strconv.Itoa(limit)},
	})
	if err != nil {
		return nil, nil, err
	}
	var wire []wireEntry
	if err := json.Unmarshal(raw, &wire); err != nil {
		return nil, nil, errors.Wrap(err, "history")
	}
	list := make([]Entry, 0, len(wire))
	for _, w := range wire {
		list = append(list, entryFromWire(w))
	}
	return list, raw, nil
}

func (c *Client) get(ctx context.Context, path string, query url.Values) ([]byte, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, c.base+path+"?"+query.Encode(), nil)
	if err != nil {
		return nil, err
	}
	code, raw, err := c.do(req)
	if err == nil && code != http.StatusOK {
		err = errors.Newf("%s: status %d: %s", path, code, bytes.TrimSpace(raw))
	}
	return raw, err
}

func (c *Client) do(req *http.Request) (code int, raw []byte, err error) {
	resp, err := c.http.Do(req)
	if err != nil {
		return 0, nil, err
	}
	defer func() { err = errors.CombineErrors(err, resp.Body.Close()) }()
	raw, err = io.ReadAll(io.LimitReader(resp.Body, maxBodyBytes))
	return resp.StatusCode, raw, err
}

// Apply submits a change and returns its result and the answer as JSON. After
// an error the change may have taken effect.
func (c *Client) Apply(ctx context.Context, r *Request) (*Result, []byte, error) {
	in := wireRequest{
		Change:   r.change,
		Author:   r.author,
		Revision: r.expected,
		Parts:    make(map[string]json.RawMessage, len(r.parts)),
	}
	for name, value := range r.parts {
		in.Parts[name] = value
	}
	body, err := json.Marshal(in)
	if err != nil {
		return nil, nil, err
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, c.base+"/apply", bytes.NewReader(body))
	if err != nil {
		return nil, nil, err
	}
	req.Header.Set("Content-Type", "application/json")
	code, raw, err := c.do(req)
	if err != nil {
		return nil, nil, err
	}
	var out wireResult
	if err := json.Unmarshal(raw, &out); err != nil {
		return nil, nil, errors.Newf("/apply: status %d: %s", code, bytes.TrimSpace(raw))
	}
	state := slices.Index(stateNames[:], out.State)
	if state < 0 {
		return nil, nil, errors.Newf("/apply: unknown state %q", out.State)
	}
	return &Result{
		state:    State(state),
		change:   out.Change,
		revision: out.Revision,
		lines:    out.Lines,
	}, raw, nil
}
