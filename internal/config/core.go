package config

import (
	"math/rand/v2"
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"

	"clementinelink.example/clementinelink/internal/world"
)

const (
	// watchersPerDomain is the number of VMs per failure domain that watch the
	// store.
	watchersPerDomain = 3
	// headReadInterval is the mean interval at which a watcher also reads the
	// head, because a watch can lose events. With nine failure domains the store
	// receives 27 such reads a second. A large head is read less often:
	// headReadBytesPerSecond is a quarter of a VM's budget for control traffic.
	headReadInterval       = time.Second
	headReadBytesPerSecond = 1024
	// peerSilenceTimeout is how long a VM that is not a watcher goes without a
	// report from a peer before it reads the store itself.
	peerSilenceTimeout = 10 * time.Second
	// startupStoreWait is how long a restarted VM waits for the store, which
	// normally answers in milliseconds, before it also asks its peers.
	startupStoreWait = 500 * time.Millisecond
	// startupPeerWait is how long a restarted VM that can't reach the store
	// waits for its peers' answers, so that it does not start with a lower
	// revision than it had before.
	startupPeerWait = 2 * time.Second
	// initialBackoff is the mean delay after the first failure; the delay
	// doubles up to maxBackoff.
	initialBackoff = 200 * time.Millisecond
	maxBackoff     = 5 * time.Second
)

// Core decides what a VM reads and which revision it adopts. It does no I/O and
// must be used by one goroutine.
type Core struct {
	self   *world.VM
	random *rand.Rand
	// build turns the parts of a revision, by name, into a configuration.
	build func(revision uint64, parts map[string][]byte) (*world.Config, error)

	// current is the adopted revision; it is never replaced by a lower one.
	current *Snapshot
	// newest is the usable head with the highest revision above current, or nil.
	newest *Head
	// target is the head whose parts are being fetched, or nil. A newer head
	// replaces it only after a failed fetch; otherwise a quick succession of
	// heads would keep the VM from adopting any.
	target *Head
	// parts holds the verified values of the target's parts by key.
	parts map[string][]byte
	// rejected is the last revision that could not be built.
	rejected uint64

	// starting is true after a restart until the store or the peers have
	// answered.
	starting  bool
	startedAt time.Time
	// pendingAsks holds the op of each unanswered Ask by peer.
	pendingAsks map[string]uint64
	peersAsked  bool
	// askDeadline ends the wait for the peers' answers during startup.
	askDeadline time.Time
	// peers holds the names of the listed entry VMs without self, sorted.
	// peerRevisions holds the highest revision reported by each of them.
	peers         []string
	peerRevisions map[string]uint64
	lastHeard     time.Time
	// watcher is true for a VM that watches the store.
	watcher bool
	// cursor is the store's revision to watch after. Unless cursorValid is
	// true, the head must be read before the next watch.
	cursor      uint64
	cursorValid bool
	read        operation
	watch       operation
	fetch       operation
	repair      operation
	// repairAt is the time from which a read that finds an earlier head in the store
	// leads to a Repair, or zero if the latest read has not found one.
	repairAt time.Time
	lastOp   uint64
	// lastWake is the time requested by the last Wake, zero after a Tick.
	lastWake time.Time
	actions  []Action
}

// New returns the core of the VM self. build turns the parts of a revision, by
// name, into a configuration. Until the first Members event the VM assumes that
// it has no peers and is a watcher. Random delays are derived from seed.
func New(self *world.VM, seed uint64, build func(revision uint64, parts map[string][]byte) (*world.Config, error)) *Core {
	return &Core{
		self:          self,
		random:        rand.New(rand.NewPCG(seed, 0)),
		build:         build,
		current:       &Snapshot{},
		pendingAsks:   make(map[string]uint64),
		peerRevisions: make(map[string]uint64),
		watcher:       true,
	}
}

// Current returns the adopted revision. It is never nil; before the first
// revision it is an empty snapshot.
func (c *Core) Current() *Snapshot { return c.current }

// Watcher reports whether the VM watches the store.
func (c *Core) Watcher() bool { return c.watcher }

// Step processes one event and returns the actions to perform. The returned
// slice is valid until the next Step.
func (c *Core) Step(now time.Time, e Event) []Action {
	c.actions = c.actions[:0]
	switch e.kind {
	case evTick:
		c.lastWake = time.Time{}
	case evStart:
		c.starting = true
		c.startedAt = now
		c.lastHeard = now
	case evMembers:
		c.updateMembers(e.vms)
	case evHeadRead, evHeadReadFailed:
		c.handleRead(now, e)
	case evWatched, evWatchFailed:
		c.handleWatch(now, e)
	case evPeerReported:
		c.handlePeer(now, e)
	case evPeerAnswered:
		if e.op != 0 && c.pendingAsks[e.peer] == e.op {
			delete(c.pendingAsks, e.peer)
			c.handlePeer(now, e)
		}
	case evPartsRead, evPartsFailed:
		c.handleFetch(now, e)
	case evRepaired:
		c.repair.complete(e.op)
	}
	c.advanceStartup(now)
	c.adoptNewest(now)
	c.issueOperations(now)
	c.scheduleWake(now)
	return c.actions
}

// updateMembers takes the VM list and decides whether this VM watches the store:
// the watchers are the watchersPerDomain entry VMs of each failure domain with
// the lowest ranks.
func (c *Core) updateMembers(vms []*world.VM) {
	c.peers = c.peers[:0]
	ownRank := watchRank(c.self.Name())
	lower := 0
	for _, v := range vms {
		if v.Kind() != world.Entry || v.Leaving() || v.Name() == c.self.Name() {
			continue
		}
		c.peers = append(c.peers, v.Name())
		if v.Domain() == c.self.Domain() && watchRank(v.Name()) < ownRank {
			lower++
		}
	}
	sort.Strings(c.peers)
	c.watcher = lower < watchersPerDomain
	revisions := make(map[string]uint64, len(c.peers))
	for _, p := range c.peers {
		if r, ok := c.peerRevisions[p]; ok {
			revisions[p] = r
		}
	}
	c.peerRevisions = revisions
}

// watchRank returns the hash that orders the VMs of a failure domain; the
// lowest ones watch.
func watchRank(name string) uint64 { return xxhash.Sum64String(HeadKey + " " + name) }

// handleRead processes the answer to Read and sets the time of the next read.
func (c *Core) handleRead(now time.Time, e Event) {
	if !c.read.complete(e.op) {
		return
	}
	if e.kind == evHeadReadFailed {
		c.read.notBefore = now.Add(c.recordFailure(&c.read))
		return
	}
	c.read.failures = 0
	size := 0
	for _, h := range e.heads {
		size += len(h)
	}
	pause := time.Duration(size) * time.Second / headReadBytesPerSecond
	c.read.notBefore = now.Add(c.jitter(max(headReadInterval, pause)))
	c.cursor = max(c.cursor, e.revision)
	c.cursorValid = true
	c.observeHeads(e.heads, "")
	c.considerRepair(now, e.heads)
	c.starting = false
}

// handleWatch processes the answer to Watch. A successful watch is followed by
// the next one at once.
func (c *Core) handleWatch(now time.Time, e Event) {
	if !c.watch.complete(e.op) {
		return
	}
	if e.kind == evWatched {
		c.watch.failures = 0
		c.cursor = max(c.cursor, e.revision)
		c.observeHeads(e.heads, "")
		return
	}
	c.watch.notBefore = now.Add(c.recordFailure(&c.watch))
	if e.compacted {
		// The store no longer has the events after cursor, so read the head.
		c.cursorValid = false
		c.read.notBefore = now
	}
}

// handlePeer processes a peer's report or answer. A peer that reports a higher
// revision than the highest known head is asked for its head.
func (c *Core) handlePeer(now time.Time, e Event) {
	c.lastHeard = now
	c.observeHeads(e.heads, e.peer)
	if e.kind != evPeerReported {
		return
	}
	c.peerRevisions[e.peer] = max(c.peerRevisions[e.peer], e.revision)
	if e.revision > c.highestRevision() && e.revision != c.rejected && c.pendingAsks[e.peer] == 0 {
		c.askPeer(e.peer)
	}
}

// highestRevision returns the highest revision whose head is known.
func (c *Core) highestRevision() uint64 {
	if c.newest != nil {
		return c.newest.revision
	}
	return c.current.Revision()
}

// observeHeads records the highest of the encoded heads, which come from a peer
// or, if peer is "", from the store.
func (c *Core) observeHeads(heads [][]byte, peer string) {
	for _, raw := range heads {
		h, err := DecodeHead(raw)
		if err != nil {
			c.reject(err)
			continue
		}
		if peer != "" {
			c.peerRevisions[peer] = max(c.peerRevisions[peer], h.revision)
		}
		if h.revision > c.highestRevision() && h.revision != c.rejected {
			c.newest = h
		}
	}
}

func (c *Core) askAllPeers(now time.Time) {
	if len(c.peers) == 0 {
		return
	}
	c.peersAsked = true
	c.askDeadline = now.Add(startupPeerWait)
	for _, p := range c.peers {
		c.askPeer(p)
	}
}

func (c *Core) askPeer(peer string) {
	c.lastOp++
	c.pendingAsks[peer] = c.lastOp
	c.actions = append(c.actions, Action{
		kind: Ask,
		op:   c.lastOp,
		peer: peer,
	})
}

// advanceStartup asks the peers if the store has not answered in time after a
// restart. It ends the startup when a head is known and all peers have answered
// or askDeadline has passed; without a head the peers are asked again.
func (c *Core) advanceStartup(now time.Time) {
	if !c.starting {
		return
	}
	if !c.peersAsked {
		if c.read.failures > 0 || !now.Before(c.startedAt.Add(startupStoreWait)) {
			c.askAllPeers(now)
		}
		return
	}
	if len(c.pendingAsks) > 0 && now.Before(c.askDeadline) {
		return
	}
	c.starting = c.newest == nil
	if c.starting && !now.Before(c.askDeadline) {
		c.askAllPeers(now)
	}
}

// adoptNewest adopts the target when its parts are complete and selects the
// next target.
func (c *Core) adoptNewest(now time.Time) {
	for !c.starting {
		if c.target == nil {
			if c.newest == nil {
				return
			}
			c.fetch.failures = 0
			c.fetch.notBefore = now
			c.retarget()
		}
		if len(c.missingKeys()) > 0 {
			return
		}
		c.adoptTarget()
	}
}
