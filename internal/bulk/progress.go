package bulk

import (
	"context"
	"io"
	"net/http"
	"sync"
	"time"

	"clementinelink.example/clementinelink/internal/pause"
)

// progressKey is the context key of the watchdog.
type progressKey struct{}

// WithProgress returns a context that ends when limit has passed without progress, and
// when total has passed. Its error is then context.Canceled, and its cause
// context.DeadlineExceeded. What arrived while the process had paused is progress, once
// it has had the time to read it.
func WithProgress(ctx context.Context, limit, total time.Duration) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(ctx)
	w := &watchdog{
		limit: limit,
		end:   time.Now().Add(total),
		due:   time.Now().Add(limit),
	}
	w.mutex.Lock()
	w.timer = time.AfterFunc(limit, func() {
		if w.expired(time.Now()) {
			cancel(context.DeadlineExceeded)
		}
	})
	w.mutex.Unlock()
	stop := func() {
		w.stop()
		cancel(nil)
	}
	return context.WithValue(ctx, progressKey{}, w), stop
}

// watchdog ends a context without progress.
type watchdog struct {
	limit time.Duration
	end   time.Time
	mutex sync.Mutex
	timer *time.Timer
	// due is the time at which the timer fires.
	due time.Time
	// stopped is true once the timer must not be set again.
	stopped bool
}

// expired reports whether the time is over, and else sets the timer again, which it does
// after a pause of the process.
func (w *watchdog) expired(now time.Time) bool {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if w.stopped || !now.Before(w.end) {
		return true
	}
	if now.Before(w.due) {
		// Progress came first, and has set the timer again.
		return false
	}
	if _, paused := pause.Late(now, w.due); !paused {
		return true
	}
	w.reset(now, min(pause.Settle, w.end.Sub(now)))
	return false
}

// note notes progress.
func (w *watchdog) note(now time.Time) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if !w.stopped {
		w.reset(now, min(w.limit, w.end.Sub(now)))
	}
}

// reset sets the timer. The caller must hold the mutex.
func (w *watchdog) reset(now time.Time, d time.Duration) {
	w.due = now.Add(d)
	w.timer.Reset(d)
}

// stop stops the timer for good.
func (w *watchdog) stop() {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.stopped = true
	w.timer.Stop()
}

// Progressed notes that a part of an answer has arrived.
func Progressed(ctx context.Context) {
	if w, ok := ctx.Value(progressKey{}).(*watchdog); ok {
		w.note(time.Now())
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
