// Package ledger bounds the bytes that a process holds on behalf of callers and
// upstreams.
package ledger

import (
	"context"
	"sync"
)

// Account bounds the bytes of all holdings together. It is safe for concurrent use.
type Account struct {
	mutex sync.Mutex
	// free is the number of bytes that no holding has taken, between 0 and the size of
	// the account.
	free int64
	// reserve is the number of bytes that are left to what has begun.
	reserve int64
	// given is closed when bytes are returned, if anyone waits for that, or is nil.
	given chan struct{}
}

// New returns an account of size bytes, of which new work may not take the last reserve
// bytes.
func New(size, reserve int64) *Account {
	return &Account{
		free:    size,
		reserve: reserve,
	}
}

// Free returns the number of bytes that no holding has taken.
func (a *Account) Free() int64 {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	return a.free
}

// Open returns an empty holding. It must be closed.
func (a *Account) Open() *Holding {
	return &Holding{
		account: a,
	}
}

// give returns n bytes and wakes those that wait. The caller must hold the mutex.
func (a *Account) give(n int64) {
	a.free += n
	if a.given != nil {
		close(a.given)
		a.given = nil
	}
}

// Holding is what is held on behalf of one request. It is safe for concurrent use.
type Holding struct {
	account *Account
	// taken is the number of bytes taken from the account. The account's mutex guards
	// it and closed.
	taken int64
	// closed is true once nothing more can be taken.
	closed bool
}

// Take takes n bytes for new work and reports whether there were as many.
func (h *Holding) Take(n int64) bool {
	a := h.account
	a.mutex.Lock()
	defer a.mutex.Unlock()
	if h.closed || n > a.free-a.reserve {
		return false
	}
	a.free -= n
	h.taken += n
	return true
}

// TryTake takes n bytes for work that has begun and reports whether there were as many,
// and the holding has no more than limit bytes then. A holding that is empty may take
// more than limit.
func (h *Holding) TryTake(n, limit int64) bool {
	h.account.mutex.Lock()
	defer h.account.mutex.Unlock()
	return h.tryTake(n, limit)
}

// tryTake is TryTake for a caller that holds the mutex.
func (h *Holding) tryTake(n, limit int64) bool {
	if h.closed || n > h.account.free || h.taken > 0 && h.taken+n > limit {
		return false
	}
	h.account.free -= n
	h.taken += n
	return true
}

// Wait waits until TryTake succeeds. It returns false if ctx ends or the holding is
// closed first.
func (h *Holding) Wait(ctx context.Context, n, limit int64) bool {
	a := h.account
	for {
		a.mutex.Lock()
		taken, closed := h.tryTake(n, limit), h.closed
		if a.given == nil {
			a.given = make(chan struct{})
		}
		given := a.given
		a.mutex.Unlock()
		if taken || closed {
			return taken
		}
		select {
		case <-given:
		case <-ctx.Done():
			return false
		}
	}
}

// Give returns n bytes that were taken. It does nothing after Close.
func (h *Holding) Give(n int64) {
	h.account.mutex.Lock()
	defer h.account.mutex.Unlock()
	if !h.closed {
		h.taken -= n
		h.account.give(n)
	}
}

// Close returns all bytes of the holding to the account.
func (h *Holding) Close() {
	h.account.mutex.Lock()
	defer h.account.mutex.Unlock()
	taken := h.taken
	h.taken, h.closed = 0, true
	h.account.give(taken)
}
