package config

import "clementinelink.example/clementinelink/internal/world"

type eventKind uint8

const (
	evTick eventKind = iota
	evStart
	evMembers
	evRead
	evReadFailed
	evWatched
	evWatchFailed
	evPeer
	evAsked
	evParts
	evPartsFailed
)

// Event is one input of the core. Those that answer an action carry its op.
type Event struct {
	kind eventKind
	op   uint64
	// heads holds the encoded heads that were seen.
	heads [][]byte
	// revision is the store's for Read and Watched, and the configuration's
	// for Peer.
	revision  uint64
	compacted bool
	peer      string
	vms       []*world.VM
	parts     map[string][]byte
}

// Tick tells that time has passed.
func Tick() Event { return Event{} }

// Start begins after a restart; nothing is known yet.
func Start() Event {
	return Event{
		kind: evStart,
	}
}

// Members gives the VM list; only live entry VMs matter.
func Members(vms []*world.VM) Event {
	return Event{
		kind: evMembers,
		vms:  vms,
	}
}

// HeadRead answers Read with the encoded head, nil if there is none, and the
// store's revision.
func HeadRead(op uint64, head []byte, revision uint64) Event {
	e := Event{
		kind:     evRead,
		op:       op,
		revision: revision,
	}
	if head != nil {
		e.heads = [][]byte{head}
	}
	return e
}

// ReadFailed answers Read.
func ReadFailed(op uint64) Event {
	return Event{
		kind: evReadFailed,
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

// WatchFailed answers Watch; compacted tells that events may be missing.
func WatchFailed(op uint64, compacted bool) Event {
	return Event{
		kind:      evWatchFailed,
		op:        op,
		compacted: compacted,
	}
}

// Peer gives the revision in force at a peer and its encoded head, which may
// be nil.
func Peer(name string, revision uint64, head []byte) Event {
	e := Event{
		kind:     evPeer,
		peer:     name,
		revision: revision,
	}
	if head != nil {
		e.heads = [][]byte{head}
	}
	return e
}

// Asked answers Ask; head is nil when the peer did not answer or has none.
func Asked(op uint64, peer string, head []byte) Event {
	e := Peer(peer, 0, head)
	e.kind = evAsked
	e.op = op
	return e
}

// PartsRead answers Fetch with the values by key; some may be missing.
func PartsRead(op uint64, parts map[string][]byte) Event {
	return Event{
		kind:  evParts,
		op:    op,
		parts: parts,
	}
}

// PartsFailed answers Fetch.
func PartsFailed(op uint64) Event {
	return Event{
		kind: evPartsFailed,
		op:   op,
	}
}
