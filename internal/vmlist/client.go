package vmlist

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"clementinelink.example/clementinelink/internal/bound"
	"clementinelink.example/clementinelink/internal/intact"
	"clementinelink.example/clementinelink/internal/world"
)

const (
	// callTimeout bounds one call, including the transfer of the list.
	callTimeout = 2 * time.Second
	// idleTimeout is how long an unused connection is kept.
	idleTimeout = 15 * time.Second
	// maxListBytes bounds the size of a list; 2,600 VMs take about 0.5 MB.
	maxListBytes = 8 << 20
)

// ErrUnavailable means that the list could not be read or decoded.
var ErrUnavailable = errors.New("vmlist: unavailable")

// Client reads the list. It is safe for concurrent use.
type Client struct {
	base string
	// send performs one HTTP exchange.
	send      func(*http.Request) (*http.Response, error)
	transport *intact.Transport
	// cached is the list that was read last, or nil.
	cached atomic.Pointer[cachedList]
}

// cachedList is a list with its entity tag, which is "" if the platform sent
// none.
type cachedList struct {
	tag string
	vms []*world.VM
}

// New returns a client of the list at base, such as http://127.0.0.1:7001.
func New(base string) *Client {
	transport := intact.NewTransport(&http.Transport{
		IdleConnTimeout:        idleTimeout,
		MaxResponseHeaderBytes: bound.MaxHead,
	})
	return &Client{
		base: base,
		send: (&http.Client{
			Transport: transport,
		}).Do,
		transport: transport,
	}
}

// WithDial replaces the function that connects to the list. Call it before any other
// method.
func (c *Client) WithDial(dial func(ctx context.Context, network, address string) (net.Conn, error)) *Client {
	c.transport.WithDial(dial)
	return c
}

// listBody is the JSON encoding of the list.
type listBody struct {
	VMs []struct {
		Name    string `json:"name"`
		Kind    string `json:"kind"`
		Service string `json:"service"`
		Address string `json:"address"`
		Domain  string `json:"domain"`
		Region  string `json:"region"`
		State   string `json:"state"`
	} `json:"vms"`
}

// List returns the VMs that the platform lists. VMs of an unknown kind are
// omitted. The list lags behind, so observations of the caller take precedence
// over it. An unchanged list is not transferred again, because with 2,560 VMs it
// takes 348 KB; List then returns the same slice as before, so the caller must
// not change it. Any error is ErrUnavailable.
func (c *Client) List(ctx context.Context) ([]*world.VM, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, c.base+"/vms", nil)
	if err != nil {
		return nil, errors.Mark(errors.Wrap(err, "vmlist: address"), ErrUnavailable)
	}
	cached := c.cached.Load()
	if cached != nil && cached.tag != "" {
		req.Header.Set("If-None-Match", cached.tag)
	}
	resp, err := c.send(req)
	if err != nil {
		return nil, errors.Mark(errors.Wrap(err, "vmlist: read"), ErrUnavailable)
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode == http.StatusNotModified && cached != nil {
		return cached.vms, nil
	}
	if resp.StatusCode != http.StatusOK {
		return nil, errors.Wrapf(ErrUnavailable, "status %d", resp.StatusCode)
	}
	raw, err := io.ReadAll(io.LimitReader(resp.Body, maxListBytes))
	if err != nil {
		return nil, errors.Mark(errors.Wrap(err, "vmlist: read"), ErrUnavailable)
	}
	var b listBody
	if err := json.NewDecoder(bytes.NewReader(raw)).Decode(&b); err != nil {
		return nil, errors.Mark(errors.Wrap(err, "vmlist: decode"), ErrUnavailable)
	}
	vms := b.worldVMs()
	c.cached.Store(&cachedList{
		tag: resp.Header.Get("ETag"),
		vms: vms,
	})
	return vms, nil
}

// worldVMs returns the listed VMs of known kinds.
func (b listBody) worldVMs() []*world.VM {
	vms := make([]*world.VM, 0, len(b.VMs))
	for _, v := range b.VMs {
		kind, ok := parseKind(v.Kind)
		if !ok {
			continue
		}
		vm := world.NewVM(v.Name, kind, v.Address, v.Domain, v.Region)
		if v.Service != "" {
			vm = vm.WithService(v.Service)
		}
		if v.State == "leaving" {
			vm = vm.WithLeaving()
		}
		vms = append(vms, vm)
	}
	return vms
}

func parseKind(s string) (world.Kind, bool) {
	for _, k := range []world.Kind{world.Entry, world.Engine, world.Plain} {
		if k.String() == s {
			return k, true
		}
	}
	return 0, false
}
