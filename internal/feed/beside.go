package feed

import (
	"context"
	"time"

	"clementinelink.example/clementinelink/internal/tree"
)

// besideFactor is the time between two rounds, as a multiple of the batch delay, in which a
// VM that waits for the store asks the VMs before it.
const besideFactor = 0.25

// readAny reads changes from a source and returns the one that answered. While the store's
// answer takes its time, the VMs before this one are asked too: they may have failed only
// because they were receiving the same answer, and pass it on sooner.
func (r *Reader) readAny(ctx context.Context, v tree.VM, prefix string, after uint64, wait time.Duration) (tree.VM, Answer, error) {
	parents := r.selector.Parents()
	if !v.IsStore() || len(parents) == 0 {
		a, err := r.readFrom(ctx, v, prefix, after, wait)
		return v, a, err
	}
	storeCtx, endStore := context.WithCancel(ctx)
	defer endStore()
	parentCtx, endParents := context.WithCancel(ctx)
	defer endParents()
	began := r.now()
	var a Answer
	var err error
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		defer endParents()
		a, err = r.fromStore(storeCtx, prefix, after, wait)
	}()
	ticker := time.NewTicker(r.scaled(besideFactor))
	defer ticker.Stop()
	for {
		select {
		case <-ended:
			r.noteStore(began, err)
			return v, a, err
		case <-ticker.C:
		}
		for _, p := range parents {
			found, failure := r.readFrom(parentCtx, p, prefix, after, wait)
			if failure != nil || found.changes.Revision() <= after {
				continue
			}
			endStore()
			if <-ended; err == nil {
				return v, a, nil
			}
			return p, found, nil
		}
	}
}
