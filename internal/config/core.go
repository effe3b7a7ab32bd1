package config

import (
	"math/rand/v2"
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"

	"clementinelink.example/clementinelink/internal/world"
)

const (
	// watchers is the number of VMs per failure domain that watch the store.
	watchers = 3
	// refresh is how often a watcher also reads the head, because a watch can
	// lose events. At nine failure domains it is 27 reads a second for the
	// store. A large head is read less often: refreshRate, in bytes a second,
	// is a quarter of a VM's budget for control traffic.
	refresh     = time.Second
	refreshRate = 1024
	// lonely is how long a VM that is not a watcher goes without hearing from a
	// peer before it reads the store itself.
	lonely = 10 * time.Second
	// patience is how long a restarted VM waits for the store, which normally
	// answers in milliseconds, before it also asks its peers.
	patience = 500 * time.Millisecond
	// gather is how long a restarted VM without the store waits for its peers'
	// answers, so that it does not begin with a lower revision than it had.
	gather = 2 * time.Second
	// backoff is the mean delay after a first failure; it doubles up to
	// maxBackoff.
	backoff    = 200 * time.Millisecond
	maxBackoff = 5 * time.Second
)

// Core decides what a VM reads and which revision it adopts. It is owned by
// one goroutine.
type Core struct {
	self   *world.VM
	random *rand.Rand
	// build turns the parts of a revision, by name, into a configuration.
	build func(revision uint64, parts map[string][]byte) (*world.Map, error)

	// force is the adopted revision; it is never replaced by a lower one.
	force *Snapshot
	// newest is the highest usable head seen above force, or nil.
	newest *Head
	// target is the head whose parts are being fetched, or nil. It is kept
	// until its parts are there or can't be fetched, so that a quick succession
	// of heads can't keep a VM from adopting any.
	target *Head
	// parts holds the verified values of the target's parts by key.
	parts map[string][]byte
	// refused is the last revision that could not be built.
	refused uint64

	// starting is true after a restart until the store or the peers answered.
	starting bool
	begun    time.Time
	// asks holds the pending op by peer; until is when gathering ends.
	asks  map[string]uint64
	asked bool
	until time.Time
	// peers holds the live entry VMs but self, known their last revision.
	peers []string
	known map[string]uint64
	heard time.Time
	// watcher is true for a VM that waits on the store.
	watcher bool
	// cursor is the store's revision to watch after; it is valid if synced,
	// else a read must come first.
	cursor uint64
	synced bool
	read   slot
	watch  slot
	fetch  slot
	op     uint64
	// woke is the time of the last Wake, zero after a Tick.
	woke time.Time
	out  []Action
}

// New returns the core of the VM self. Until the first Members event the VM
// counts as alone, and so as a watcher. Random delays and the order of peers
// are derived from seed.
func New(self *world.VM, seed uint64, build func(revision uint64, parts map[string][]byte) (*world.Map, error)) *Core {
	return &Core{
		self:    self,
		random:  rand.New(rand.NewPCG(seed, 0)),
		build:   build,
		force:   &Snapshot{},
		asks:    make(map[string]uint64),
		known:   make(map[string]uint64),
		watcher: true,
	}
}

// Force returns the adopted revision; it is never nil.
func (c *Core) Force() *Snapshot { return c.force }

// Watcher reports whether the VM waits on the store.
func (c *Core) Watcher() bool { return c.watcher }

// Step takes one event and returns what to do. The returned slice is valid
// until the next Step.
func (c *Core) Step(now time.Time, e Event) []Action {
	c.out = c.out[:0]
	switch e.kind {
	case evTick:
		c.woke = time.Time{}
	case evStart:
		c.starting = true
		c.begun = now
		c.heard = now
	case evMembers:
		c.members(e.vms)
	case evRead, evReadFailed:
		c.answerRead(now, e)
	case evWatched, evWatchFailed:
		c.answerWatch(now, e)
	case evPeer:
		c.hear(now, e)
	case evAsked:
		if e.op != 0 && c.asks[e.peer] == e.op {
			delete(c.asks, e.peer)
			c.hear(now, e)
		}
	case evParts, evPartsFailed:
		c.answerFetch(now, e)
	}
	c.settle(now)
	c.adopt(now)
	c.issue(now)
	c.schedule(now)
	return c.out
}

// members takes the live entry VMs and decides who watches: the first three
// of the own failure domain by rendezvous hash.
func (c *Core) members(vms []*world.VM) {
	c.peers = c.peers[:0]
	mine := rank(c.self.Name())
	before := 0
	for _, v := range vms {
		if v.Kind() != world.Entry || v.Leaving() || v.Name() == c.self.Name() {
			continue
		}
		c.peers = append(c.peers, v.Name())
		if v.Domain() == c.self.Domain() && rank(v.Name()) < mine {
			before++
		}
	}
	sort.Strings(c.peers)
	c.watcher = before < watchers
	alive := make(map[string]uint64, len(c.peers))
	for _, p := range c.peers {
		if r, ok := c.known[p]; ok {
			alive[p] = r
		}
	}
	c.known = alive
}

// rank orders VMs; the lowest ones watch.
func rank(name string) uint64 { return xxhash.Sum64String(HeadKey + " " + name) }

func (c *Core) answerRead(now time.Time, e Event) {
	if !c.read.ends(e.op) {
		return
	}
	if e.kind == evReadFailed {
		c.read.next = now.Add(c.fail(&c.read))
		return
	}
	c.read.failures = 0
	size := 0
	for _, h := range e.heads {
		size += len(h)
	}
	pause := time.Duration(size) * time.Second / refreshRate
	c.read.next = now.Add(c.jitter(max(refresh, pause)))
	c.cursor = max(c.cursor, e.revision)
	c.synced = true
	c.see(e.heads, "")
	c.starting = false
}

func (c *Core) answerWatch(now time.Time, e Event) {
	if !c.watch.ends(e.op) {
		return
	}
	if e.kind == evWatched {
		c.watch.failures = 0
		c.cursor = max(c.cursor, e.revision)
		c.see(e.heads, "")
		return
	}
	c.watch.next = now.Add(c.fail(&c.watch))
	if e.compacted {
		// The lost events are made up for by reading the head.
		c.synced = false
		c.read.next = now
	}
}

// hear takes what a peer said; a peer with an unknown higher revision is asked
// for its head.
func (c *Core) hear(now time.Time, e Event) {
	c.heard = now
	c.see(e.heads, e.peer)
	if e.kind != evPeer {
		return
	}
	c.known[e.peer] = max(c.known[e.peer], e.revision)
	if e.revision > c.highest() && e.revision != c.refused && c.asks[e.peer] == 0 {
		c.ask(e.peer)
	}
}

// highest returns the highest revision whose head is known.
func (c *Core) highest() uint64 {
	if c.newest != nil {
		return c.newest.revision
	}
	return c.force.Revision()
}

// see takes encoded heads from a peer or, without one, from the store.
func (c *Core) see(heads [][]byte, peer string) {
	for _, raw := range heads {
		h, err := DecodeHead(raw)
		if err != nil {
			c.reject(err)
			continue
		}
		if peer != "" {
			c.known[peer] = max(c.known[peer], h.revision)
		}
		if h.revision > c.highest() && h.revision != c.refused {
			c.newest = h
		}
	}
}

func (c *Core) askAll(now time.Time) {
	if len(c.peers) == 0 {
		return
	}
	c.asked = true
	c.until = now.Add(gather)
	for _, p := range c.peers {
		c.ask(p)
	}
}

func (c *Core) ask(peer string) {
	c.op++
	c.asks[peer] = c.op
	c.out = append(c.out, Action{
		kind: Ask,
		op:   c.op,
		peer: peer,
	})
}

// settle asks the peers if the store does not answer a restarted VM, and ends
// the start when all of them have answered or had time to.
func (c *Core) settle(now time.Time) {
	if !c.starting {
		return
	}
	if !c.asked {
		if c.read.failures > 0 || !now.Before(c.begun.Add(patience)) {
			c.askAll(now)
		}
		return
	}
	if len(c.asks) > 0 && now.Before(c.until) {
		return
	}
	c.starting = c.newest == nil
	if c.starting && !now.Before(c.until) {
		c.askAll(now)
	}
}

// adopt builds the target when its parts are complete, and picks the next one.
func (c *Core) adopt(now time.Time) {
	for !c.starting {
		if c.target == nil {
			if c.newest == nil {
				return
			}
			c.fetch.failures = 0
			c.fetch.next = now
			c.aim()
		}
		if len(c.missing()) > 0 {
			return
		}
		c.finish()
	}
}
