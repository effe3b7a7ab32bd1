package feed

import (
	"context"
	"net"
	"net/http"
	"net/http/httptrace"
	"time"

	"clementinelink.example/clementinelink/internal/bound"
	"clementinelink.example/clementinelink/internal/bulk"
	"clementinelink.example/clementinelink/internal/delta"
	"clementinelink.example/clementinelink/internal/intact"
	"clementinelink.example/clementinelink/internal/mirror"
	"clementinelink.example/clementinelink/internal/pause"
	"clementinelink.example/clementinelink/internal/store"
	"clementinelink.example/clementinelink/internal/wire"
	"github.com/cockroachdb/errors"
	"github.com/twitchtv/twirp"
	"google.golang.org/protobuf/proto"
)

// maxWait is the longest wait that another VM may request.
const maxWait = 5 * time.Second

// dialTimeout is the timeout for connecting to another VM of the failure domain. A
// VM without power does not refuse connections.
const dialTimeout = 250 * time.Millisecond

// maxAnswerBytes is the largest accepted answer of another VM. A registry of 2,200
// upstreams takes about 1 MB.
const maxAnswerBytes = 16 << 20

// Server serves a VM's changes to other VMs.
type Server struct {
	log *mirror.Log
	// linkMbps is the bandwidth of the VM's link in Mbit/s, or 0 for no limit, and share
	// the part of it that answers may use.
	linkMbps float64
	share    float64
}

// NewServer returns a server that serves the changes in l.
func NewServer(l *mirror.Log) *Server {
	return &Server{
		log: l,
	}
}

// WithPace limits all answers together to a share of a link of the given bandwidth in
// Mbit/s, if that is known. Call it before Handler.
func (s *Server) WithPace(linkMbps, share float64) *Server {
	s.linkMbps, s.share = linkMbps, share
	return s
}

// Handler returns the HTTP handler of the service.
func (s *Server) Handler() http.Handler {
	return bulk.Paced(wire.NewFeedServer(s), s.linkMbps, s.share)
}

// Changes implements wire.Feed.
func (s *Server) Changes(ctx context.Context, in *wire.ChangesRequest) (*wire.ChangesReply, error) {
	wait := min(time.Duration(in.GetWaitMs())*time.Millisecond, maxWait)
	c, err := s.log.Wait(ctx, in.GetAfter(), wait)
	bases := make(map[string]uint64, len(in.GetBases()))
	for _, b := range in.GetBases() {
		bases[b.GetKey()] = b.GetRevision()
	}
	return s.encode(c, in.GetPacked(), bases, err)
}

// List implements wire.Feed.
func (s *Server) List(ctx context.Context, in *wire.ListRequest) (*wire.ChangesReply, error) {
	wait := min(time.Duration(in.GetWaitMs())*time.Millisecond, maxWait)
	c, err := s.log.List(ctx, in.GetAfter(), wait)
	return s.encode(c, in.GetPacked(), nil, err)
}

// encode encodes an answer, or its error. If the asker accepts that, large values are
// packed, or sent as differences from the values that it has, of which bases holds the
// revisions by key.
func (s *Server) encode(c mirror.Changes, packed bool, bases map[string]uint64, err error) (*wire.ChangesReply, error) {
	switch {
	case errors.Is(err, mirror.ErrTooOld):
		return nil, twirp.NewError(twirp.OutOfRange, err.Error())
	case err != nil:
		return nil, twirp.NewError(twirp.Unavailable, err.Error())
	}
	out := &wire.ChangesReply{
		Revision: c.Revision(),
		AgeMs:    c.Age().Milliseconds(),
	}
	if c.Quiet() < c.Age() {
		out.QuietMs = proto.Int64(c.Quiet().Milliseconds())
	}
	for _, e := range c.Events() {
		change := &wire.StoreChange{
			Key:      e.Entry().Key(),
			Revision: e.Entry().Revision(),
			Lease:    e.Entry().Lease(),
			Gone:     e.Deleted(),
		}
		if !e.Deleted() {
			change.Value = e.Entry().Value()
		}
		if packed && len(change.Value) >= bulk.MinSize {
			s.shorten(change, e.Entry(), bases[change.Key])
		}
		out.Changes = append(out.Changes, change)
	}
	return out, nil
}

// shorten replaces the value of a change by its difference from the value at revision
// base, which may be 0, or by the packed value.
func (s *Server) shorten(change *wire.StoreChange, e store.Entry, base uint64) {
	if old := s.log.Value(e.Key(), base); base > 0 && len(old) >= bulk.MinSize {
		if d := s.log.Packer().Diff(e, old, base); d != nil {
			change.Value, change.Diff, change.Base = nil, d, base
			return
		}
	}
	if b := s.log.Packer().Pack(e); b != nil {
		change.Value, change.Packed = nil, b
	}
}

// Client requests changes from other VMs. It is safe for concurrent use.
type Client struct {
	http *http.Client
	// dial connects to another VM. It is set before the first call.
	dial func(ctx context.Context, network, address string) (net.Conn, error)
	// log holds the values from which answers may be differences.
	log *mirror.Log
}

// NewClient returns a client of a VM whose copy of the store's keys is l. It keeps one
// idle connection per VM.
func NewClient(l *mirror.Log) *Client {
	c := &Client{
		dial: pause.Dial(new(net.Dialer).DialContext).Within(dialTimeout, time.Now),
		log:  l,
	}
	c.http = &http.Client{
		Transport: bulk.NewTransport(bound.NewTransport(intact.NewTransport(&http.Transport{
			DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
				return c.dial(ctx, network, address)
			},
			MaxIdleConnsPerHost:    1,
			IdleConnTimeout:        time.Minute,
			MaxResponseHeaderBytes: bound.MaxHead,
		}), maxAnswerBytes)),
	}
	return c
}

// markError marks an error from another VM as ErrTooOld or ErrNotListed
// according to its code, and returns other errors unchanged.
func markError(err error) error {
	var e twirp.Error
	if !errors.As(err, &e) {
		return err
	}
	switch e.Code() {
	case twirp.OutOfRange:
		return errors.Mark(err, mirror.ErrTooOld)
	case twirp.Unavailable:
		return errors.Mark(err, mirror.ErrNotListed)
	default:
		return err
	}
}

// Changes requests the changes after a revision from the VM at the IP:port
// address, which waits up to wait for some. The error is ErrTooOld or
// ErrNotListed if the VM can't be used as a source.
func (c *Client) Changes(ctx context.Context, address string, after uint64, wait time.Duration) (Answer, error) {
	in := &wire.ChangesRequest{
		After:  after,
		WaitMs: wait.Milliseconds(),
		Packed: true,
	}
	for _, e := range c.log.Large() {
		in.Bases = append(in.Bases, &wire.Base{
			Key:      e.Key(),
			Revision: e.Revision(),
		})
	}
	a, err := c.changes(ctx, address, in)
	if errors.Is(err, delta.ErrMismatch) {
		in.Bases = nil
		whole, failure := c.changes(ctx, address, in)
		whole.mismatch = err
		return whole, failure
	}
	return a, err
}

// changes performs one call for changes.
func (c *Client) changes(ctx context.Context, address string, in *wire.ChangesRequest) (Answer, error) {
	var first time.Time
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotFirstResponseByte: func() { first = time.Now() },
	})
	out, err := wire.NewFeedProtobufClient("http://"+address, c.http).Changes(ctx, in)
	if err != nil {
		return Answer{}, errors.Wrapf(markError(err), "feed: changes from %s", address)
	}
	a, err := decode(out, c.log)
	a.transfer = time.Since(first)
	return a, err
}

// List requests all keys as of a revision after the given one from the VM at the IP:port
// address, which waits up to wait until it has read them. The error is ErrNotListed if it
// has not.
func (c *Client) List(ctx context.Context, address string, after uint64, wait time.Duration) (mirror.Changes, error) {
	out, err := wire.NewFeedProtobufClient("http://"+address, c.http).List(ctx, &wire.ListRequest{
		After:  after,
		WaitMs: wait.Milliseconds(),
		Packed: true,
	})
	if err != nil {
		return mirror.Changes{}, errors.Wrapf(markError(err), "feed: list from %s", address)
	}
	a, err := decode(out, c.log)
	return a.changes, err
}

// decode checks and decodes an answer of another VM to the one whose log is l. What it
// holds in a short form is kept for the VMs that ask this one.
func decode(out *wire.ChangesReply, l *mirror.Log) (Answer, error) {
	if out.GetAgeMs() < 0 {
		return Answer{}, errors.Newf("feed: negative age %d ms", out.GetAgeMs())
	}
	events := make([]store.Event, 0, len(out.GetChanges()))
	left, wireBytes := int(maxAnswerBytes), 0
	for _, e := range out.GetChanges() {
		if e.GetKey() == "" || e.GetRevision() == 0 {
			return Answer{}, errors.Newf("feed: change of key %q at revision %d", e.GetKey(), e.GetRevision())
		}
		v, err := value(e, l, left)
		if err != nil {
			return Answer{}, errors.Wrapf(err, "feed: value of %q", e.GetKey())
		}
		if len(v) >= bulk.MinSize {
			l.Packer().Keep(e.GetKey(), e.GetRevision(), e.GetPacked(), e.GetDiff(), e.GetBase())
		}
		left -= len(v)
		wireBytes += len(e.GetValue()) + len(e.GetPacked()) + len(e.GetDiff())
		events = append(events, store.NewEvent(store.NewEntry(e.GetKey(), v, e.GetRevision(), e.GetLease()), e.GetGone()))
	}
	c := mirror.NewChanges(events, out.GetRevision(), time.Duration(out.GetAgeMs())*time.Millisecond)
	if out.QuietMs != nil {
		c = c.WithQuiet(max(0, time.Duration(out.GetQuietMs())*time.Millisecond))
	}
	return Answer{
		changes:   c,
		wireBytes: wireBytes,
	}, nil
}

// value returns the value of a change, which may have come in a short form. The error is
// delta.ErrMismatch if that does not fit what l holds, and bound.ErrTooLarge if the value
// has more than limit bytes.
func value(e *wire.StoreChange, l *mirror.Log, limit int) ([]byte, error) {
	switch {
	case len(e.GetDiff()) > 0:
		return delta.Decode(l.Value(e.GetKey(), e.GetBase()), e.GetDiff(), limit)
	case len(e.GetPacked()) > 0:
		return bulk.Unpack(e.GetPacked(), limit)
	default:
		return e.GetValue(), nil
	}
}
