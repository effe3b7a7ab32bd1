package store

import "context"

// progressKey is the context key of the function that notes progress.
type progressKey struct{}

// WithProgress returns a context whose calls of the store call progress with each part of
// the body of an answer that arrives.
func WithProgress(ctx context.Context, progress func()) context.Context {
	return context.WithValue(ctx, progressKey{}, progress)
}

// Progressed notes that a part of the body of an answer to a call with ctx has arrived.
func Progressed(ctx context.Context) {
	if progress, ok := ctx.Value(progressKey{}).(func()); ok {
		progress()
	}
}
