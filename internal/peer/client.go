package peer

import (
	"context"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/twitchtv/twirp"

	"clementinelink.example/clementinelink/internal/wire"
)

const (
	// callTimeout bounds one call; a slow peer is asked again later.
	callTimeout = time.Second
	// partsTimeout bounds the transfer of configuration parts, which may take
	// some seconds over a link between regions.
	partsTimeout = 10 * time.Second
)

// Client calls other entry VMs. It is safe for concurrent use.
type Client struct {
	http *http.Client
	// counts sees the size of each message sent, for the control budget.
	counts func(bytes int)
}

// NewClient returns a client; counts is called with the size of each request.
func NewClient(counts func(bytes int)) *Client {
	return &Client{
		http: &http.Client{
			Transport: &http.Transport{
				MaxIdleConnsPerHost: 2,
				IdleConnTimeout:     time.Minute,
			},
		},
		counts: counts,
	}
}

// Exchange sends this VM's state to the peer at address and returns the
// peer's.
func (c *Client) Exchange(ctx context.Context, address string, in *wire.ExchangeRequest) (*wire.ExchangeReply, error) {
	ctx, stop := context.WithTimeout(ctx, callTimeout)
	defer stop()
	out, err := c.peer(address).Exchange(ctx, in)
	if err != nil {
		return nil, errors.Wrapf(err, "peer: exchange with %s", address)
	}
	return out, nil
}

// Parts fetches configuration parts by name.
func (c *Client) Parts(ctx context.Context, address string, names []string) (map[string][]byte, error) {
	ctx, stop := context.WithTimeout(ctx, partsTimeout)
	defer stop()
	out, err := c.peer(address).Parts(ctx, &wire.PartsRequest{Names: names})
	if err != nil {
		return nil, errors.Wrapf(err, "peer: parts from %s", address)
	}
	parts := make(map[string][]byte, len(out.GetParts()))
	for _, p := range out.GetParts() {
		parts[p.GetName()] = p.GetValue()
	}
	return parts, nil
}

// Claim hands the operations on one slot to its soft owner.
func (c *Client) Claim(ctx context.Context, address string, in *wire.ClaimRequest) (*wire.ClaimReply, error) {
	out, err := c.peer(address).Claim(ctx, in)
	if err != nil {
		return nil, errors.Wrapf(err, "peer: claim at %s", address)
	}
	return out, nil
}

// Burn fetches the service-level counters of the peer.
func (c *Client) Burn(ctx context.Context, address string) (*wire.BurnReply, error) {
	ctx, stop := context.WithTimeout(ctx, callTimeout)
	defer stop()
	out, err := c.peer(address).Burn(ctx, &wire.BurnRequest{})
	if err != nil {
		return nil, errors.Wrapf(err, "peer: burn of %s", address)
	}
	return out, nil
}

// peer returns the service of one VM. Connections are shared by all of them.
func (c *Client) peer(address string) wire.Peer {
	return wire.NewPeerProtobufClient("http://"+address, c.http, twirp.WithClientHooks(&twirp.ClientHooks{
		RequestPrepared: func(ctx context.Context, r *http.Request) (context.Context, error) {
			c.counts(int(r.ContentLength))
			return ctx, nil
		},
	}))
}
