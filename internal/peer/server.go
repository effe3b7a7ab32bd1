package peer

import (
	"context"
	"net/http"

	"github.com/twitchtv/twirp"

	"clementinelink.example/clementinelink/internal/wire"
)

// Server serves the requests of other entry VMs. It implements wire.Peer.
type Server struct {
	exchange func(ctx context.Context, in *wire.ExchangeRequest) *wire.ExchangeReply
	parts    func(names []string) []*wire.Part
	claim    func(ctx context.Context, in *wire.ClaimRequest) (*wire.ClaimReply, error)
	burn     func() *wire.BurnReply
}

// NewServer returns a server that serves requests with the given functions:
// exchange applies a peer's state and returns this VM's state, parts returns the
// configuration parts that this VM has of those named, claim performs operations
// on a slot of which this VM is the soft owner, and burn returns this VM's
// service-level counters. The functions must be safe for concurrent use.
func NewServer(
	exchange func(ctx context.Context, in *wire.ExchangeRequest) *wire.ExchangeReply,
	parts func(names []string) []*wire.Part,
	claim func(ctx context.Context, in *wire.ClaimRequest) (*wire.ClaimReply, error),
	burn func() *wire.BurnReply,
) *Server {
	return &Server{
		exchange: exchange,
		parts:    parts,
		claim:    claim,
		burn:     burn,
	}
}

// Handler returns the HTTP handler of the service.
func (s *Server) Handler() http.Handler { return wire.NewPeerServer(s) }

// Exchange implements wire.Peer.
func (s *Server) Exchange(ctx context.Context, in *wire.ExchangeRequest) (*wire.ExchangeReply, error) {
	return s.exchange(ctx, in), nil
}

// Parts implements wire.Peer.
func (s *Server) Parts(_ context.Context, in *wire.PartsRequest) (*wire.PartsReply, error) {
	return &wire.PartsReply{Parts: s.parts(in.GetNames())}, nil
}

// Claim implements wire.Peer. An error means that the request is invalid.
func (s *Server) Claim(ctx context.Context, in *wire.ClaimRequest) (*wire.ClaimReply, error) {
	out, err := s.claim(ctx, in)
	if err != nil {
		return nil, twirp.InvalidArgumentError("claim", err.Error())
	}
	return out, nil
}

// Burn implements wire.Peer.
func (s *Server) Burn(context.Context, *wire.BurnRequest) (*wire.BurnReply, error) {
	return s.burn(), nil
}
