package lease

// eventKind tells what happened.
type eventKind uint8

const (
	evTick eventKind = iota
	evStart
	evRelease
	evChanged
	evGranted
	evStored
	evFound
	evDone
	evFailed
)

// Failure is the reason why an operation on the store did not succeed.
type Failure uint8

// The failures.
const (
	// Unavailable means that the operation did not happen.
	Unavailable Failure = iota
	// Unknown means that the operation may have happened or may still happen.
	Unknown
	// Conflict means that another value is stored.
	Conflict
	// Expired means that the store's lease has ended.
	Expired
)

// Event is one input of a lease. Those that answer an action carry its op.
type Event struct {
	kind     eventKind
	op       uint64
	lease    string
	revision uint64
	failure  Failure
}

// Tick tells that time has passed.
func Tick() Event { return Event{} }

// Start makes the lease acquire the key and keep it.
func Start() Event {
	return Event{
		kind: evStart,
	}
}

// Release ends the holding; the holder must not act after it.
func Release() Event {
	return Event{
		kind: evRelease,
	}
}

// Changed hints that the key may be free, such as after a watch event.
func Changed() Event {
	return Event{
		kind: evChanged,
	}
}

// Granted answers Grant with the id of the store's lease.
func Granted(op uint64, lease string) Event {
	return Event{
		kind:  evGranted,
		op:    op,
		lease: lease,
	}
}

// Stored answers Store with the key's revision.
func Stored(op, revision uint64) Event {
	return Event{
		kind:     evStored,
		op:       op,
		revision: revision,
	}
}

// Found answers Read with the store's lease and the revision of the key;
// revision 0 means that the key is absent.
func Found(op uint64, lease string, revision uint64) Event {
	return Event{
		kind:     evFound,
		op:       op,
		lease:    lease,
		revision: revision,
	}
}

// Done answers Renew and Revoke.
func Done(op uint64) Event {
	return Event{
		kind: evDone,
		op:   op,
	}
}

// Failed answers any operation that did not succeed.
func Failed(op uint64, failure Failure) Event {
	return Event{
		kind:    evFailed,
		op:      op,
		failure: failure,
	}
}
