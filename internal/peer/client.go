package peer

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/twitchtv/twirp"

	"clementinelink.example/clementinelink/internal/bound"
	"clementinelink.example/clementinelink/internal/intact"
	"clementinelink.example/clementinelink/internal/wire"
)

const (
	// callTimeout bounds one call. A peer that does not answer in time is called
	// again later.
	callTimeout = time.Second
	// partsTimeout bounds the transfer of configuration parts, which may take
	// some seconds between regions.
	partsTimeout = 10 * time.Second
	// maxAnswerBytes is the largest accepted answer of another VM. A complete
	// configuration takes a few megabytes.
	maxAnswerBytes = 16 << 20
)

// Client calls other entry VMs. It is safe for concurrent use.
type Client struct {
	http      *http.Client
	transport *intact.Transport
	// countBytes is called with the size of each request body, to measure the
	// control traffic.
	countBytes func(bytes int)
}

// NewClient returns a client that calls countBytes with the size of each request
// body. countBytes must be safe for concurrent use.
func NewClient(countBytes func(bytes int)) *Client {
	transport := intact.NewTransport(&http.Transport{
		MaxIdleConnsPerHost:    2,
		IdleConnTimeout:        time.Minute,
		MaxResponseHeaderBytes: bound.MaxHead,
	})
	return &Client{
		http: &http.Client{
			Transport: bound.NewTransport(transport, maxAnswerBytes),
		},
		transport:  transport,
		countBytes: countBytes,
	}
}

// WithDial replaces the function that connects to other VMs. Call it before any other
// method.
func (c *Client) WithDial(dial func(ctx context.Context, network, address string) (net.Conn, error)) *Client {
	c.transport.WithDial(dial)
	return c
}

// Exchange sends this VM's state to the peer at address and returns the peer's
// state.
func (c *Client) Exchange(ctx context.Context, address string, in *wire.ExchangeRequest) (*wire.ExchangeReply, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	out, err := c.service(address).Exchange(ctx, in)
	if err != nil {
		return nil, errors.Wrapf(err, "peer: exchange with %s", address)
	}
	return out, nil
}

// Parts fetches configuration parts by name from the peer at address. Parts that
// the peer does not have are missing from the result.
func (c *Client) Parts(ctx context.Context, address string, names []string) (map[string][]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, partsTimeout)
	defer cancel()
	out, err := c.service(address).Parts(ctx, &wire.PartsRequest{Names: names})
	if err != nil {
		return nil, errors.Wrapf(err, "peer: fetch parts from %s", address)
	}
	parts := make(map[string][]byte, len(out.GetParts()))
	for _, p := range out.GetParts() {
		parts[p.GetName()] = p.GetValue()
	}
	return parts, nil
}

// Claim sends the operations on one claim slot to the slot's soft owner at
// address. The caller sets the deadline in ctx.
func (c *Client) Claim(ctx context.Context, address string, in *wire.ClaimRequest) (*wire.ClaimReply, error) {
	out, err := c.service(address).Claim(ctx, in)
	if err != nil {
		return nil, errors.Wrapf(err, "peer: claim at %s", address)
	}
	return out, nil
}

// Burn fetches the service-level counters of the peer at address.
func (c *Client) Burn(ctx context.Context, address string) (*wire.BurnReply, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	out, err := c.service(address).Burn(ctx, &wire.BurnRequest{})
	if err != nil {
		return nil, errors.Wrapf(err, "peer: fetch counters from %s", address)
	}
	return out, nil
}

// service returns a client of the service at address. All of them share the same
// connections.
func (c *Client) service(address string) wire.Peer {
	return wire.NewPeerProtobufClient("http://"+address, c.http, twirp.WithClientHooks(&twirp.ClientHooks{
		RequestPrepared: func(ctx context.Context, r *http.Request) (context.Context, error) {
			c.countBytes(int(r.ContentLength))
			return ctx, nil
		},
	}))
}
