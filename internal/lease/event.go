package lease

// eventKind is the type of an Event.
type eventKind uint8

const (
	tickEvent eventKind = iota
	startEvent
	releaseEvent
	changedEvent
	grantedEvent
	storedEvent
	foundEvent
	doneEvent
	failedEvent
)

// Failure is the way in which an operation on the store failed.
type Failure uint8

// The failures.
const (
	// Unavailable means that the operation was not carried out.
	Unavailable Failure = iota
	// Unknown means that the operation may have been carried out, or may still
	// be.
	Unknown
	// Conflict means that the key already exists.
	Conflict
	// Expired means that the store lease has ended.
	Expired
)

// Event is an input of Lease.Step. An event that answers an operation carries the
// number of that operation. The zero value is a Tick.
type Event struct {
	kind     eventKind
	op       uint64
	lease    string
	revision uint64
	failure  Failure
}

// Tick reports that the time of a Wake has come.
func Tick() Event { return Event{} }

// Start makes the lease acquire the key and keep it until Release.
func Start() Event {
	return Event{
		kind: startEvent,
	}
}

// Release makes the lease give up the key. The holder must not act any more.
func Release() Event {
	return Event{
		kind: releaseEvent,
	}
}

// Changed reports that the key may be free, for example after a watch event. It is
// only a hint.
func Changed() Event {
	return Event{
		kind: changedEvent,
	}
}

// Granted answers Grant with the ID of the store lease.
func Granted(op uint64, lease string) Event {
	return Event{
		kind:  grantedEvent,
		op:    op,
		lease: lease,
	}
}

// Stored answers Store with the key's revision.
func Stored(op, revision uint64) Event {
	return Event{
		kind:     storedEvent,
		op:       op,
		revision: revision,
	}
}

// Found answers Read with the ID of the store lease to which the key is bound, and
// the revision of the key, which is 0 if the key does not exist.
func Found(op uint64, lease string, revision uint64) Event {
	return Event{
		kind:     foundEvent,
		op:       op,
		lease:    lease,
		revision: revision,
	}
}

// Done answers Renew and Revoke.
func Done(op uint64) Event {
	return Event{
		kind: doneEvent,
		op:   op,
	}
}

// Failed answers any operation that failed.
func Failed(op uint64, failure Failure) Event {
	return Event{
		kind:    failedEvent,
		op:      op,
		failure: failure,
	}
}
