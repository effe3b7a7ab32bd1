package lab

import (
	"context"

	"clementinelink.example/clementinelink/internal/ring"
	"golang.org/x/time/rate"
)

// Load sends many questions through one caller.
type Load struct {
	caller  *Caller
	workers int
	// limiter spaces the arrivals; without limit each worker sends its next
	// question when it has the answer to the last one.
	limiter *rate.Limiter
	ask     func(n int) *Question
}

// NewLoad returns a load of that many questions at a time; ask makes the n-th
// question, counted from 0. It is called by several workers at once.
func NewLoad(caller *Caller, workers int, ask func(n int) *Question) *Load {
	return &Load{
		caller:  caller,
		workers: workers,
		limiter: rate.NewLimiter(rate.Inf, 1),
		ask:     ask,
	}
}

// WithRate sets the questions per second; the workers bound how many of them
// are open at a time.
func (l *Load) WithRate(perSecond float64) *Load {
	l.limiter = rate.NewLimiter(rate.Limit(perSecond), 1)
	return l
}

// Run sends count questions, or questions until ctx ends if count is 0, waits
// for all answers and adds them to the result.
func (l *Load) Run(ctx context.Context, count int, to *Result) { l.Each(ctx, count, to.Add) }

// Each is Run with a function that takes each answer, one at a time.
func (l *Load) Each(ctx context.Context, count int, add func(a *Answer)) {
	work, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	numbers := ring.New[int](1, ring.Wait)
	answers := ring.New[*Answer](l.workers, ring.Wait)
	for range l.workers {
		go l.work(work, numbers, answers)
	}
	total := make(chan int, 1)
	go func() { total <- l.number(ctx, count, numbers) }()
	sent := -1
	for got := 0; got != sent; {
		select {
		case a := <-answers.Out():
			add(a)
			got++
		case sent = <-total:
		}
	}
}

// number hands out the numbers of the questions and returns how many it gave.
func (l *Load) number(ctx context.Context, count int, to *ring.Ring[int]) int {
	n := 0
	for count == 0 || n < count {
		if err := l.limiter.Wait(ctx); err != nil || !to.Put(ctx, n) {
			break
		}
		n++
	}
	return n
}

// work is the duty of one worker.
func (l *Load) work(ctx context.Context, numbers *ring.Ring[int], answers *ring.Ring[*Answer]) {
	for {
		select {
		case <-ctx.Done():
			return
		case n := <-numbers.Out():
			answers.Put(ctx, l.caller.Call(ctx, l.ask(n)))
		}
	}
}
