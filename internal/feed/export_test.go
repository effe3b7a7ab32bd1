package feed

import (
	"context"
	"net/http"
	"net/http/httptest"
	"time"

	"clementinelink.example/clementinelink/internal/mirror"
	"clementinelink.example/clementinelink/internal/store"
	"github.com/rs/zerolog"
)

// Sources are the calls that a reader of a test makes.
type Sources struct {
	List     func(ctx context.Context, prefix string) ([]store.Entry, uint64, error)
	Watch    func(ctx context.Context, prefix string, after uint64, wait time.Duration) ([]store.Event, uint64, error)
	AskPeer  func(ctx context.Context, address string, after uint64, wait time.Duration) (mirror.Changes, error)
	ListPeer func(ctx context.Context, address string, after uint64, wait time.Duration) (mirror.Changes, error)
	// Era is the era of the store's latest answer to the VM, 0 if it is nil.
	Era func() uint64
}

// NewTestClient returns a client of the VM whose log is own that reaches the one whose log
// is peer, at any address, without a network.
func NewTestClient(own, peer *mirror.Log) *Client {
	c := NewClient(own)
	c.http = &http.Client{
		Transport: serverTransport{
			handler: NewServer(peer).Handler(),
		},
	}
	return c
}

// serverTransport passes requests to a handler.
type serverTransport struct {
	handler http.Handler
}

// RoundTrip implements http.RoundTripper.
func (t serverTransport) RoundTrip(req *http.Request) (*http.Response, error) {
	w := httptest.NewRecorder()
	t.handler.ServeHTTP(w, req)
	if err := req.Context().Err(); err != nil {
		return nil, err
	}
	return w.Result(), nil
}

// NewTestReader returns a reader that calls the given sources.
func NewTestReader(self string, l *mirror.Log, batchDelay time.Duration, s Sources) *Reader {
	if s.Era == nil {
		s.Era = func() uint64 { return 0 }
	}
	return &Reader{
		batchDelay: batchDelay,
		selector:   NewSelector(self),
		log:        l,
		list:       s.List,
		watch:      s.Watch,
		askPeer: func(ctx context.Context, address string, after uint64, wait time.Duration) (Answer, error) {
			c, err := s.AskPeer(ctx, address, after, wait)
			return Answer{
				changes: c,
			}, err
		},
		listPeer: s.ListPeer,
		era:      s.Era,
		now:      time.Now,
		sleep:    sleep,
		logger:   zerolog.Nop(),

		observe: func(string, string) {},
	}
}
