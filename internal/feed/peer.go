package feed

import (
	"context"
	"net/http"
	"time"

	"clementinelink.example/clementinelink/internal/store"
	"clementinelink.example/clementinelink/internal/wire"
	"github.com/cockroachdb/errors"
	"github.com/twitchtv/twirp"
)

// maxWait bounds the wait that another VM may ask for.
const maxWait = 5 * time.Second

// Server gives a VM's changes to others.
type Server struct {
	log *Log
}

// NewServer returns a server of the changes in l.
func NewServer(l *Log) *Server {
	return &Server{
		log: l,
	}
}

// Handler returns the HTTP handler of the service.
func (s *Server) Handler() http.Handler { return wire.NewFeedServer(s) }

// Changes implements wire.Feed.
func (s *Server) Changes(ctx context.Context, in *wire.ChangesRequest) (*wire.ChangesReply, error) {
	wait := min(time.Duration(in.GetWaitMs())*time.Millisecond, maxWait)
	c, err := s.log.Wait(ctx, in.GetAfter(), wait)
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
		out.Changes = append(out.Changes, &wire.StoreChange{
			Key:      e.Entry().Key(),
			Value:    e.Entry().Value(),
			Revision: e.Entry().Revision(),
			Lease:    e.Entry().Lease(),
			Gone:     e.Gone(),
		})
	}
	return out, nil
}

// Client asks other VMs. It is safe for concurrent use.
type Client struct {
	http *http.Client
}

// NewClient returns a client.
func NewClient() *Client {
	return &Client{
		http: &http.Client{
			Transport: &http.Transport{
				MaxIdleConnsPerHost: 1,
				IdleConnTimeout:     time.Minute,
			},
		},
	}
}

// known returns the error of the VM that was asked, if it is one of a log.
func known(err error) error {
	var e twirp.Error
	if !errors.As(err, &e) {
		return err
	}
	switch e.Code() {
	case twirp.OutOfRange:
		return errors.Mark(err, ErrTooOld)
	case twirp.Unavailable:
		return errors.Mark(err, ErrSecondHand)
	default:
		return err
	}
}

// Changes asks the VM at the IP:port address for the changes after a revision.
func (c *Client) Changes(ctx context.Context, address string, after uint64, wait time.Duration) (Changes, error) {
	out, err := wire.NewFeedProtobufClient("http://"+address, c.http).Changes(ctx, &wire.ChangesRequest{
		After:  after,
		WaitMs: wait.Milliseconds(),
	})
	if err != nil {
		return Changes{}, errors.Wrapf(known(err), "feed: changes from %s", address)
	}
	events := make([]store.Event, 0, len(out.GetChanges()))
	for _, e := range out.GetChanges() {
		events = append(events, store.NewEvent(store.NewEntry(e.GetKey(), e.GetValue(), e.GetRevision(), e.GetLease()), e.GetGone()))
	}
	return NewChanges(events, out.GetRevision(), time.Duration(out.GetAgeMs())*time.Millisecond), nil
}
