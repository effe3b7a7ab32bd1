package store

// Entry is one stored value. The zero Entry is an absent key.
type Entry struct {
	key   string
	value []byte
	// revision is the store's revision at the last change of the key; 0 means
	// that the key is absent.
	revision uint64
	lease    string
}

// NewEntry returns an entry; lease is empty for a key that does not expire.
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

// Event is one change of a key.
type Event struct {
	entry Entry
	gone  bool
}

// NewEvent returns a change; gone is true for a deletion.
func NewEvent(entry Entry, gone bool) Event {
	return Event{
		entry: entry,
		gone:  gone,
	}
}

// Entry returns the new value; for a deletion only key and revision are set.
func (e Event) Entry() Entry { return e.entry }

// Gone reports whether the key was deleted.
func (e Event) Gone() bool { return e.gone }

// entryBody and eventBody are the JSON forms of the store's answers.
type entryBody struct {
	Key      string `json:"key"`
	Value    []byte `json:"value"`
	Revision uint64 `json:"revision"`
	Lease    string `json:"lease"`
}

func (b entryBody) entry() Entry { return NewEntry(b.Key, b.Value, b.Revision, b.Lease) }

type eventBody struct {
	entryBody
	Gone bool `json:"gone"`
}
