package front

import (
	"context"
	"sync"
)

// connection is the connection that a response is written to.
type connection struct {
	// cancel ends the connection's handler.
	cancel context.CancelFunc
	// takenOver is true if the response was taken over from an older connection.
	takenOver bool
	// reporting is true when the handler is about to report that its caller
	// disconnected; reported is closed after the report.
	reporting bool
	reported  chan struct{}
}

// connections holds the connection of each response on this VM by request id. A
// caller that reconnects before its old connection is known to be dead takes the
// response over. The old connection must then not report that its caller
// disconnected. The mutex guards the map and the fields of its connections; it
// is not held while a handler waits.
type connections struct {
	mutex sync.Mutex
	byID  map[string]*connection
}

// register adds the connection of a response and cancels an older one. If the
// older one is reporting a disconnect, register waits for the report, so that
// the dispatcher gets it before the new request.
func (cs *connections) register(id string, cancel context.CancelFunc) *connection {
	c := &connection{
		cancel:   cancel,
		reported: make(chan struct{}),
	}
	cs.mutex.Lock()
	old := cs.byID[id]
	cs.byID[id] = c
	wait := old != nil && old.reporting
	c.takenOver = old != nil && !wait
	cs.mutex.Unlock()
	if wait {
		<-old.reported
	} else if old != nil {
		old.cancel()
	}
	return c
}

// release removes a connection. If the response is unfinished and no newer
// connection has taken it over, release calls disconnected.
func (cs *connections) release(id string, c *connection, finished bool, disconnected func(id string)) {
	cs.mutex.Lock()
	current := cs.byID[id] == c
	c.reporting = current && !finished
	if current && finished {
		delete(cs.byID, id)
	}
	cs.mutex.Unlock()
	if !c.reporting {
		return
	}
	disconnected(id)
	close(c.reported)
	cs.mutex.Lock()
	defer cs.mutex.Unlock()
	if cs.byID[id] == c {
		delete(cs.byID, id)
	}
}
