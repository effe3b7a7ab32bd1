package bulk

import (
	"context"
	"io"
	"net/http"
	"sync"
	"time"
)

// progressKey is the context key of the function that notes progress.
type progressKey struct{}

// WithProgress returns a context that ends when limit has passed without progress, and
// when total has passed. Its error is then context.Canceled, and its cause
// context.DeadlineExceeded.
func WithProgress(ctx context.Context, limit, total time.Duration) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(ctx)
	end := time.Now().Add(total)
	var mutex sync.Mutex
	ended := false
	timer := time.AfterFunc(limit, func() { cancel(context.DeadlineExceeded) })
	note := func() {
		mutex.Lock()
		defer mutex.Unlock()
		if !ended {
			timer.Reset(min(limit, time.Until(end)))
		}
	}
	stop := func() {
		mutex.Lock()
		defer mutex.Unlock()
		ended = true
		timer.Stop()
		cancel(nil)
	}
	return context.WithValue(ctx, progressKey{}, note), stop
}

// Progressed notes that a part of an answer has arrived.
func Progressed(ctx context.Context) {
	if note, ok := ctx.Value(progressKey{}).(func()); ok {
		note()
	}
}

// Transport notes each part of the answers to another transport's requests as progress
// of the request's context.
type Transport struct {
	base http.RoundTripper
}

// NewTransport returns a transport over base.
func NewTransport(base http.RoundTripper) *Transport {
	return &Transport{
		base: base,
	}
}

// RoundTrip implements http.RoundTripper.
func (t *Transport) RoundTrip(req *http.Request) (*http.Response, error) {
	resp, err := t.base.RoundTrip(req)
	if err != nil {
		return nil, err
	}
	Progressed(req.Context())
	resp.Body = &body{
		ReadCloser: resp.Body,
		ctx:        req.Context(),
	}
	return resp, nil
}

// body is the body of an answer.
type body struct {
	io.ReadCloser
	ctx context.Context
}

// Read implements io.Reader.
func (b *body) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if n > 0 {
		Progressed(b.ctx)
	}
	return n, err
}
