package feed

import (
	"context"
	"net"
	"net/http"
	"net/http/httptrace"
	"time"

	"clementinelink.example/clementinelink/internal/bound"
	"clementinelink.example/clementinelink/internal/store"
	"clementinelink.example/clementinelink/internal/wire"
	"github.com/cockroachdb/errors"
	"github.com/twitchtv/twirp"
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
	log    *Log
	packer *packer
	// linkMbps is the bandwidth of the VM's link in Mbit/s, or 0 for no limit, and share
	// the part of it that answers may use.
	linkMbps float64
	share    float64
}

// NewServer returns a server that serves the changes in l.
func NewServer(l *Log) *Server {
	return &Server{
		log:    l,
		packer: newPacker(),
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
	return paced(wire.NewFeedServer(s), s.linkMbps, s.share)
}

// Changes implements wire.Feed.
func (s *Server) Changes(ctx context.Context, in *wire.ChangesRequest) (*wire.ChangesReply, error) {
	wait := min(time.Duration(in.GetWaitMs())*time.Millisecond, maxWait)
	c, err := s.log.Wait(ctx, in.GetAfter(), wait)
	return s.encode(c, in.GetPacked(), err)
}

// List implements wire.Feed.
func (s *Server) List(ctx context.Context, in *wire.ListRequest) (*wire.ChangesReply, error) {
	wait := min(time.Duration(in.GetWaitMs())*time.Millisecond, maxWait)
	c, err := s.log.List(ctx, wait)
	return s.encode(c, in.GetPacked(), err)
}

// encode encodes an answer, with large values packed if the asker accepts that, or its
// error.
func (s *Server) encode(c Changes, packed bool, err error) (*wire.ChangesReply, error) {
	switch {
	case errors.Is(err, ErrTooOld):
		return nil, twirp.NewError(twirp.OutOfRange, err.Error())
	case err != nil:
		return nil, twirp.NewError(twirp.Unavailable, err.Error())
	}
	out := &wire.ChangesReply{
		Revision: c.revision,
		AgeMs:    c.age.Milliseconds(),
	}
	for _, e := range c.events {
		change := &wire.StoreChange{
			Key:      e.Entry().Key(),
			Value:    e.Entry().Value(),
			Revision: e.Entry().Revision(),
			Lease:    e.Entry().Lease(),
			Gone:     e.Deleted(),
		}
		if packed && len(change.Value) >= minPacked {
			if change.Packed = s.packer.pack(e.Entry()); change.Packed != nil {
				change.Value = nil
			}
		}
		out.Changes = append(out.Changes, change)
	}
	return out, nil
}

// Client requests changes from other VMs. It is safe for concurrent use.
type Client struct {
	http *http.Client
}

// NewClient returns a client that keeps one idle connection per VM.
func NewClient() *Client {
	dialer := &net.Dialer{
		Timeout: dialTimeout,
	}
	return &Client{
		http: &http.Client{
			Transport: &progressTransport{
				base: bound.NewTransport(&http.Transport{
					DialContext:            dialer.DialContext,
					MaxIdleConnsPerHost:    1,
					IdleConnTimeout:        time.Minute,
					MaxResponseHeaderBytes: bound.MaxHead,
				}, maxAnswerBytes),
			},
		},
	}
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
		return errors.Mark(err, ErrTooOld)
	case twirp.Unavailable:
		return errors.Mark(err, ErrNotListed)
	default:
		return err
	}
}

// Changes requests the changes after a revision from the VM at the IP:port
// address, which waits up to wait for some. The error is ErrTooOld or
// ErrNotListed if the VM can't be used as a source.
func (c *Client) Changes(ctx context.Context, address string, after uint64, wait time.Duration) (Changes, error) {
	var first time.Time
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotFirstResponseByte: func() { first = time.Now() },
	})
	out, err := wire.NewFeedProtobufClient("http://"+address, c.http).Changes(ctx, &wire.ChangesRequest{
		After:  after,
		WaitMs: wait.Milliseconds(),
		Packed: true,
	})
	if err != nil {
		return Changes{}, errors.Wrapf(markError(err), "feed: changes from %s", address)
	}
	changes, err := decode(out)
	changes.transfer = time.Since(first)
	return changes, err
}

// List requests all keys from the VM at the IP:port address, which waits up to
// wait until it has read them. The error is ErrNotListed if it has not.
func (c *Client) List(ctx context.Context, address string, wait time.Duration) (Changes, error) {
	out, err := wire.NewFeedProtobufClient("http://"+address, c.http).List(ctx, &wire.ListRequest{
		WaitMs: wait.Milliseconds(),
		Packed: true,
	})
	if err != nil {
		return Changes{}, errors.Wrapf(markError(err), "feed: list from %s", address)
	}
	return decode(out)
}

// decode checks and decodes an answer of another VM.
func decode(out *wire.ChangesReply) (Changes, error) {
	if out.GetAgeMs() < 0 {
		return Changes{}, errors.Newf("feed: negative age %d ms", out.GetAgeMs())
	}
	events := make([]store.Event, 0, len(out.GetChanges()))
	left := int(maxAnswerBytes)
	for _, e := range out.GetChanges() {
		if e.GetKey() == "" || e.GetRevision() == 0 {
			return Changes{}, errors.Newf("feed: change of key %q at revision %d", e.GetKey(), e.GetRevision())
		}
		value := e.GetValue()
		if len(e.GetPacked()) > 0 {
			var err error
			if value, err = unpack(e.GetPacked(), left); err != nil {
				return Changes{}, errors.Wrapf(err, "feed: value of %q", e.GetKey())
			}
			left -= len(value)
		}
		events = append(events, store.NewEvent(store.NewEntry(e.GetKey(), value, e.GetRevision(), e.GetLease()), e.GetGone()))
	}
	return NewChanges(events, out.GetRevision(), time.Duration(out.GetAgeMs())*time.Millisecond), nil
}
