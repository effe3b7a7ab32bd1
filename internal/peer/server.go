package peer

import (
	"context"
	"net/http"

	"github.com/twitchtv/twirp"

	"clementinelink.example/clementinelink/internal/wire"
)

// Server answers other entry VMs. Its function fields are set before Handler
// is called.
type Server struct {
	exchange func(ctx context.Context, in *wire.ExchangeRequest) *wire.ExchangeReply
	parts    func(names []string) []*wire.Part
	claim    func(ctx context.Context, in *wire.ClaimRequest) (*wire.ClaimReply, error)
	burn     func() *wire.BurnReply
}

// NewServer returns a server. The functions give this VM's state: exchange
// applies what the peer sent and returns what the peer lacks, parts returns
// the known configuration parts of the names, claim carries out operations on
// a slot that this VM softly owns, and burn returns the service-level counters.
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

// Claim implements wire.Peer.
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
