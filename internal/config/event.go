package config

import "clementinelink.example/clementinelink/internal/world"

type eventKind uint8

const (
	evTick eventKind = iota
	evStart
	evMembers
	evHeadRead
	evHeadReadFailed
	evWatched
	evWatchFailed
	evPeerReported
	evPeerAnswered
	evPartsRead
	evPartsFailed
	evRepaired
)

// Event is one input of the core. An event that answers an action carries the
// action's op.
type Event struct {
	kind eventKind
	op   uint64
	// heads holds encoded heads from the store or a peer.
	heads [][]byte
	// revision is the store's revision for HeadRead and Watched, and the
	// configuration's for PeerReported.
	revision  uint64
	compacted bool
	peer      string
	vms       []*world.VM
	parts     map[string][]byte
}

// Tick reports that time has passed; it answers Wake.
func Tick() Event { return Event{} }

// Start is the first event after a restart of the process.
func Start() Event {
	return Event{
		kind: evStart,
	}
}

// Members reports the VM list. Only entry VMs that are not leaving count.
func Members(vms []*world.VM) Event {
	return Event{
		kind: evMembers,
		vms:  vms,
	}
}

// HeadRead answers Read with the encoded head, or nil if there is none, and the
// store's revision.
func HeadRead(op uint64, head []byte, revision uint64) Event {
	e := Event{
		kind:     evHeadRead,
		op:       op,
		revision: revision,
	}
	if head != nil {
		e.heads = [][]byte{head}
	}
	return e
}

// ReadFailed answers Read after a failure.
func ReadFailed(op uint64) Event {
	return Event{
		kind: evHeadReadFailed,
		op:   op,
	}
}

// Watched answers Watch with the encoded heads, in any order, and the store's
// revision to watch after next.
func Watched(op uint64, heads [][]byte, revision uint64) Event {
	return Event{
		kind:     evWatched,
		op:       op,
		heads:    heads,
		revision: revision,
	}
}

// WatchFailed answers Watch after a failure. compacted means that the store no
// longer has the events after the watched revision.
func WatchFailed(op uint64, compacted bool) Event {
	return Event{
		kind:      evWatchFailed,
		op:        op,
		compacted: compacted,
	}
}

// PeerReported reports the revision in force at a peer and its encoded head,
// which may be nil.
func PeerReported(name string, revision uint64, head []byte) Event {
	e := Event{
		kind:     evPeerReported,
		peer:     name,
		revision: revision,
	}
	if head != nil {
		e.heads = [][]byte{head}
	}
	return e
}

// PeerAnswered answers Ask; head is nil when the peer did not answer or has
// none.
func PeerAnswered(op uint64, peer string, head []byte) Event {
	e := PeerReported(peer, 0, head)
	e.kind = evPeerAnswered
	e.op = op
	return e
}

// PartsRead answers Fetch with the values by key; some may be missing.
func PartsRead(op uint64, parts map[string][]byte) Event {
	return Event{
		kind:  evPartsRead,
		op:    op,
		parts: parts,
	}
}

// Repaired answers Repair, whatever came of it; the next read of the head tells.
func Repaired(op uint64) Event {
	return Event{
		kind: evRepaired,
		op:   op,
	}
}

// PartsFailed answers Fetch after a failure.
func PartsFailed(op uint64) Event {
	return Event{
		kind: evPartsFailed,
		op:   op,
	}
}
