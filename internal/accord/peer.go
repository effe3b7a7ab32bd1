package accord

import (
	"context"
	"net"
	"net/http"
	"time"

	"clementinelink.example/clementinelink/internal/blame"
	"clementinelink.example/clementinelink/internal/bound"
	"clementinelink.example/clementinelink/internal/intact"
	"clementinelink.example/clementinelink/internal/wire"
	"github.com/cockroachdb/errors"
	"github.com/twitchtv/twirp"
)

const (
	// callTimeout is the timeout of a call of another VM. A new connection and a
	// request take two round trips of 24 ms between regions.
	callTimeout = 300 * time.Millisecond
	// maxMessageBytes bounds a request and an answer.
	maxMessageBytes = 256 << 10
	// idleTimeout is how long an unused connection is kept. Losses of engines come
	// in bursts.
	idleTimeout = 15 * time.Second
)

// Server answers the calls of other VMs.
type Server struct {
	duty *Duty
}

// NewServer returns a server that passes calls to d.
func NewServer(d *Duty) *Server {
	return &Server{
		duty: d,
	}
}

// Handler returns the HTTP handler of the service.
func (s *Server) Handler() http.Handler {
	return http.MaxBytesHandler(wire.NewBlameServer(s), maxMessageBytes)
}

// Collect implements wire.Blame.
func (s *Server) Collect(ctx context.Context, in *wire.LostRun) (*wire.CollectReply, error) {
	known, err := s.duty.collect(ctx, decodeRun(time.Now(), in))
	if err != nil {
		return nil, twirp.NewError(twirp.Unavailable, err.Error())
	}
	out := &wire.CollectReply{}
	for _, c := range known {
		out.Charges = append(out.Charges, encodeCharge(c))
	}
	return out, nil
}

// Seen implements wire.Blame.
func (s *Server) Seen(ctx context.Context, in *wire.SeenRequest) (*wire.SeenReply, error) {
	now := time.Now()
	parts := in.GetParts()[:min(len(in.GetParts()), blame.MaxParts)]
	sights, err := s.duty.seen(ctx, in.GetService(), parts, now.Add(-milliseconds(in.GetAgeMs())))
	if err != nil {
		return nil, twirp.NewError(twirp.Unavailable, err.Error())
	}
	out := &wire.SeenReply{}
	for _, sight := range sights {
		out.Sights = append(out.Sights, &wire.Sight{
			Part:    sight.Part(),
			Version: sight.Version(),
			AgeMs:   age(now, sight.At()),
		})
	}
	return out, nil
}

// Announce implements wire.Blame.
func (s *Server) Announce(ctx context.Context, in *wire.AnnounceRequest) (*wire.AnnounceReply, error) {
	if err := s.duty.announced(ctx, decodeCharge(in.GetCharge()), in.GetLifted()); err != nil {
		return nil, twirp.NewError(twirp.Unavailable, err.Error())
	}
	return &wire.AnnounceReply{}, nil
}

// client calls other VMs. It is safe for concurrent use.
type client struct {
	http *http.Client
	// dial connects to another VM. It is set before the first call.
	dial func(ctx context.Context, network, address string) (net.Conn, error)
}

func newClient() *client {
	dialer := &net.Dialer{
		Timeout: callTimeout,
	}
	c := &client{
		dial: dialer.DialContext,
	}
	c.http = &http.Client{
		Transport: bound.NewTransport(intact.NewTransport(&http.Transport{
			DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
				return c.dial(ctx, network, address)
			},
			MaxIdleConnsPerHost:    1,
			IdleConnTimeout:        idleTimeout,
			MaxResponseHeaderBytes: bound.MaxHead,
		}), maxMessageBytes),
	}
	return c
}

// collect reports a loss to the VM at address and returns the charges that cover
// it.
func (c *client) collect(ctx context.Context, address string, lost blame.Run) ([]blame.Charge, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	out, err := wire.NewBlameProtobufClient("http://"+address, c.http).Collect(ctx, &wire.LostRun{
		Service: lost.Service(),
		Version: lost.Version(),
		Engine:  lost.Engine(),
		Domain:  lost.Domain(),
		Session: lost.Session(),
		Parts:   lost.Parts(),
		AgeMs:   age(time.Now(), lost.At()),
	})
	if err != nil {
		return nil, errors.Wrapf(err, "accord: collect at %s", address)
	}
	known := make([]blame.Charge, 0, len(out.GetCharges()))
	for _, charge := range out.GetCharges() {
		known = append(known, decodeCharge(charge))
	}
	return known, nil
}

// ask returns which of the accused parts the VM at address has seen survive since
// the first loss.
func (c *client) ask(ctx context.Context, address string, a blame.Accusation) ([]blame.Sight, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	out, err := wire.NewBlameProtobufClient("http://"+address, c.http).Seen(ctx, &wire.SeenRequest{
		Service: a.Service(),
		Parts:   a.Parts(),
		AgeMs:   age(time.Now(), a.Since()),
	})
	if err != nil {
		return nil, errors.Wrapf(err, "accord: ask %s", address)
	}
	now := time.Now()
	sights := make([]blame.Sight, 0, len(out.GetSights()))
	for _, s := range out.GetSights() {
		sights = append(sights, blame.NewSight(s.GetPart(), s.GetVersion(), now.Add(-milliseconds(s.GetAgeMs()))))
	}
	return sights, nil
}

// announce tells the VM at address of a charge.
func (c *client) announce(ctx context.Context, address string, charge blame.Charge, lifted bool) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	_, err := wire.NewBlameProtobufClient("http://"+address, c.http).Announce(ctx, &wire.AnnounceRequest{
		Charge: encodeCharge(charge),
		Lifted: lifted,
	})
	return errors.Wrapf(err, "accord: announce to %s", address)
}

// age returns the time from at to now in milliseconds, which VMs exchange because
// their clocks differ.
func age(now, at time.Time) int64 { return max(now.Sub(at).Milliseconds(), 0) }

// milliseconds returns an age that another VM states, bounded by an hour.
func milliseconds(n int64) time.Duration {
	return min(time.Duration(min(max(n, 0), time.Hour.Milliseconds()))*time.Millisecond, time.Hour)
}

func decodeRun(now time.Time, in *wire.LostRun) blame.Run {
	return blame.NewRun(now.Add(-milliseconds(in.GetAgeMs())), blame.RunSpec{
		Service: in.GetService(),
		Version: in.GetVersion(),
		Engine:  in.GetEngine(),
		Domain:  in.GetDomain(),
		Session: in.GetSession(),
		Parts:   in.GetParts(),
	})
}

func encodeCharge(c blame.Charge) *wire.Charge {
	return &wire.Charge{
		Service:    c.Service(),
		Parts:      c.Parts(),
		Struck:     c.Struck(),
		Restricted: c.Restricted(),
	}
}

func decodeCharge(in *wire.Charge) blame.Charge {
	return blame.NewCharge(in.GetService(), in.GetParts(), in.GetStruck(), in.GetRestricted())
}
