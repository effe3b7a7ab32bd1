package lab

import (
	"context"

	"clementinelink.example/clementinelink/internal/ring"
	"golang.org/x/time/rate"
)

// Load sends many requests through one caller.
type Load struct {
	caller  *Caller
	workers int
	// limiter limits the rate of new requests. Without a limit, each worker
	// sends its next request as soon as it has the last response.
	limiter     *rate.Limiter
	makeRequest func(n int) *Request
}

// NewLoad returns a load with the given number of concurrent requests.
// makeRequest returns the n-th request, counted from 0; it is called
// concurrently.
func NewLoad(caller *Caller, workers int, makeRequest func(n int) *Request) *Load {
	return &Load{
		caller:      caller,
		workers:     workers,
		limiter:     rate.NewLimiter(rate.Inf, 1),
		makeRequest: makeRequest,
	}
}

// WithRate sets the requests per second. The number of workers still limits the
// concurrent requests.
func (l *Load) WithRate(perSecond float64) *Load {
	l.limiter = rate.NewLimiter(rate.Limit(perSecond), 1)
	return l
}

// Run sends count requests, or requests until ctx is canceled if count is 0. It
// waits for all responses and adds them to the result.
func (l *Load) Run(ctx context.Context, count int, result *Result) { l.Each(ctx, count, result.Add) }

// Each does the same as Run, but passes each response to add, one at a time.
func (l *Load) Each(ctx context.Context, count int, add func(r *Response)) {
	workCtx, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	numbers := ring.New[int](1, ring.Wait)
	responses := ring.New[*Response](l.workers, ring.Wait)
	for range l.workers {
		go l.runWorker(workCtx, numbers, responses)
	}
	total := make(chan int, 1)
	go func() { total <- l.dispatch(ctx, count, numbers) }()
	sent := -1
	for received := 0; received != sent; {
		select {
		case r := <-responses.Out():
			add(r)
			received++
		case sent = <-total:
		}
	}
}

// dispatch sends the request numbers to the workers and returns how many it
// sent.
func (l *Load) dispatch(ctx context.Context, count int, numbers *ring.Ring[int]) int {
	n := 0
	for count == 0 || n < count {
		if err := l.limiter.Wait(ctx); err != nil || !numbers.Put(ctx, n) {
			break
		}
		n++
	}
	return n
}

// runWorker sends the requests with the received numbers until ctx is canceled.
func (l *Load) runWorker(ctx context.Context, numbers *ring.Ring[int], responses *ring.Ring[*Response]) {
	for {
		select {
		case <-ctx.Done():
			return
		case n := <-numbers.Out():
			responses.Put(ctx, l.caller.Call(ctx, l.makeRequest(n)))
		}
	}
}
