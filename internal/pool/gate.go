package pool

import "sync/atomic"

// Gate tells goroutines that wait for a connection to an upstream whether its
// state still permits the message. It is safe for concurrent use.
type Gate struct {
	leaving atomic.Bool
}

// Open reports whether a message that was decided on before may still be sent.
// A nil gate is open.
func (g *Gate) Open() bool { return g == nil || !g.leaving.Load() }
