package front

import (
	"context"
	"sync"
)

// seat is the connection that a response is written to.
type seat struct {
	cancel context.CancelFunc
	// heir is true when the response was taken over from another connection.
	heir bool
	// leaving is set when the connection has decided to report that its caller
	// went away; left is closed when that report is made.
	leaving bool
	left    chan struct{}
}

// seats holds the connection of each response on this VM. A caller that
// reconnects before its old connection is seen to be dead takes the response
// over; the old connection must then not report that the caller went away.
// The mutex protects only this bookkeeping between handler goroutines.
type seats struct {
	mutex sync.Mutex
	held  map[string]*seat
}

// take makes the connection with the given cancel function the one of the
// response, and ends an earlier one. It returns after a report of the earlier
// one, so that the dispatcher sees that report before the new request.
func (t *seats) take(id string, cancel context.CancelFunc) *seat {
	s := &seat{
		cancel: cancel,
		left:   make(chan struct{}),
	}
	t.mutex.Lock()
	old := t.held[id]
	t.held[id] = s
	wait := old != nil && old.leaving
	s.heir = old != nil && !wait
	t.mutex.Unlock()
	if wait {
		<-old.left
	} else if old != nil {
		old.cancel()
	}
	return s
}

// free ends the use of a seat. When the response is unfinished and nobody has
// taken it over, free calls leave.
func (t *seats) free(id string, s *seat, finished bool, leave func(id string)) {
	t.mutex.Lock()
	mine := t.held[id] == s
	s.leaving = mine && !finished
	if mine && finished {
		delete(t.held, id)
	}
	t.mutex.Unlock()
	if !s.leaving {
		return
	}
	leave(id)
	close(s.left)
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if t.held[id] == s {
		delete(t.held, id)
	}
}
