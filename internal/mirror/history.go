package mirror

import (
	"clementinelink.example/clementinelink/internal/bulk"
	"clementinelink.example/clementinelink/internal/store"
)

const (
	// maxOlder is the number of values that a history keeps, of all keys together. A VM
	// that has missed more versions gets the whole value.
	maxOlder = 4
	// maxOlderBytes bounds their size.
	maxOlderBytes = 4 << 20
)

// history holds the large values that were replaced last, oldest first. The zero value
// is empty.
type history struct {
	entries []store.Entry
	// bytes is the sum of the sizes of the entries' values.
	bytes int
}

// add adds a value that was replaced, unless it is small.
func (h *history) add(e store.Entry) {
	if len(e.Value()) < bulk.MinSize {
		return
	}
	h.entries = append(h.entries, e)
	h.bytes += len(e.Value())
	for len(h.entries) > maxOlder || h.bytes > maxOlderBytes {
		h.bytes -= len(h.entries[0].Value())
		h.entries = h.entries[1:]
	}
}

// value returns the value of a key at a revision, or nil.
func (h *history) value(key string, revision uint64) []byte {
	for _, e := range h.entries {
		if e.Key() == key && e.Revision() == revision {
			return e.Value()
		}
	}
	return nil
}
