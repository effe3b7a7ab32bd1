package store

// Entry is one stored value. The zero Entry is an absent key.
type Entry struct {
	key   string
	value []byte
	// revision is the store's revision at the last change of the key, 0 for an
	// absent key.
	revision uint64
	lease    string
}

// NewEntry returns an entry. lease is "" for a key that is not bound to one. The
// value must not be changed afterwards.
func NewEntry(key string, value []byte, revision uint64, lease string) Entry {
	return Entry{
		key:      key,
		value:    value,
		revision: revision,
		lease:    lease,
	}
}

// Key returns the key.
func (e Entry) Key() string { return e.key }

// Value returns the value. The caller must not change it.
func (e Entry) Value() []byte { return e.value }

// Revision returns the revision of the last change, or 0 for an absent key.
func (e Entry) Revision() uint64 { return e.revision }

// Lease returns the id of the lease that the key is bound to, or "".
func (e Entry) Lease() string { return e.lease }

// Event is one change of a key, as seen by a watch.
type Event struct {
	entry   Entry
	deleted bool
}

// NewEvent returns a change. For a deletion, entry needs only key and revision.
func NewEvent(entry Entry, deleted bool) Event {
	return Event{
		entry:   entry,
		deleted: deleted,
	}
}

// Entry returns the new entry. For a deletion only its key and revision are set.
func (e Event) Entry() Entry { return e.entry }

// Deleted reports whether the key was deleted.
func (e Event) Deleted() bool { return e.deleted }

// entryBody and eventBody are the JSON encodings of an Entry and an Event.
type entryBody struct {
	Key      string `json:"key"`
	Value    []byte `json:"value"`
	Revision uint64 `json:"revision"`
	Lease    string `json:"lease"`
}

func (b entryBody) entry() Entry { return NewEntry(b.Key, b.Value, b.Revision, b.Lease) }

type eventBody struct {
	entryBody
	Deleted bool `json:"gone"`
}
