package vmlist

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"clementinelink.example/clementinelink/internal/world"
)

const (
	// deadline bounds one call.
	deadline = 2 * time.Second
	// maxAnswer bounds a list in bytes; 2,600 VMs are about 0.5 MB.
	maxAnswer = 8 << 20
)

// ErrUnavailable means that the list could not be read or not be understood.
var ErrUnavailable = errors.New("vmlist: unavailable")

// Client reads the list. It is safe for concurrent use.
type Client struct {
	base string
	// send performs one HTTP exchange.
	send func(*http.Request) (*http.Response, error)
	// last is the list read last, with its entity tag.
	last atomic.Pointer[tagged]
}

// tagged is a list with the entity tag under which the platform gave it.
type tagged struct {
	tag string
	vms []*world.VM
}

// New returns a client of the list at base, such as http://127.0.0.1:7001.
func New(base string) *Client {
	return &Client{
		base: base,
		send: (&http.Client{}).Do,
	}
}

// body is the JSON form of the list.
type body struct {
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

// List returns the VMs that the platform lists. A list that has not changed is
// not transferred again, because at 2,560 VMs it takes 348 KB. The list lags, so a VM's own
// observations take precedence. A VM of an unknown kind is omitted. Any failure
// is ErrUnavailable.
func (c *Client) List(ctx context.Context) ([]*world.VM, error) {
	ctx, cancel := context.WithTimeout(ctx, deadline)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, c.base+"/vms", nil)
	if err != nil {
		return nil, errors.Mark(errors.Wrap(err, "vmlist: address"), ErrUnavailable)
	}
	last := c.last.Load()
	if last != nil && last.tag != "" {
		req.Header.Set("If-None-Match", last.tag)
	}
	resp, err := c.send(req)
	if err != nil {
		return nil, errors.Mark(errors.Wrap(err, "vmlist: read"), ErrUnavailable)
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode == http.StatusNotModified && last != nil {
		return last.vms, nil
	}
	if resp.StatusCode != http.StatusOK {
		return nil, errors.Wrapf(ErrUnavailable, "status %d", resp.StatusCode)
	}
	var b body
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxAnswer)).Decode(&b); err != nil {
		return nil, errors.Mark(errors.Wrap(err, "vmlist: decode"), ErrUnavailable)
	}
	vms := b.vms()
	c.last.Store(&tagged{
		tag: resp.Header.Get("ETag"),
		vms: vms,
	})
	return vms, nil
}

func (b body) vms() []*world.VM {
	found := make([]*world.VM, 0, len(b.VMs))
	for _, v := range b.VMs {
		kind, ok := parseKind(v.Kind)
		if !ok {
			continue
		}
		vm := world.NewVM(v.Name, kind, v.Address, v.Domain, v.Region)
		if v.Service != "" {
			vm = vm.Serving(v.Service)
		}
		if v.State == "leaving" {
			vm = vm.Leave()
		}
		found = append(found, vm)
	}
	return found
}

func parseKind(s string) (world.Kind, bool) {
	for _, k := range []world.Kind{world.Entry, world.Engine, world.Plain} {
		if k.String() == s {
			return k, true
		}
	}
	return 0, false
}
