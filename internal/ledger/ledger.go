// Package ledger bounds the bytes that a process holds on behalf of callers and
// upstreams.
package ledger

import "sync"

// Account bounds the bytes of all holdings together. It is safe for concurrent use.
type Account struct {
	mutex sync.Mutex
	// free is the number of bytes that no holding has taken, between 0 and the size of
	// the account.
	free int64
}

// New returns an account of size bytes.
func New(size int64) *Account {
	return &Account{
		free: size,
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

// Holding is what is held on behalf of one request. It is safe for concurrent use.
type Holding struct {
	account *Account
	// taken is the number of bytes taken from the account. The account's mutex guards
	// it and closed.
	taken int64
	// closed is true once nothing more can be taken.
	closed bool
}

// Take takes n bytes of the account and reports whether there were as many.
func (h *Holding) Take(n int64) bool {
	h.account.mutex.Lock()
	defer h.account.mutex.Unlock()
	if h.closed || n > h.account.free {
		return false
	}
	h.account.free -= n
	h.taken += n
	return true
}

// Close returns all bytes of the holding to the account.
func (h *Holding) Close() {
	h.account.mutex.Lock()
	defer h.account.mutex.Unlock()
	h.account.free += h.taken
	h.taken, h.closed = 0, true
}
