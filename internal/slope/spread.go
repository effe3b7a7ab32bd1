package slope

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"

	"clementinelink.example/clementinelink/internal/config"
	"clementinelink.example/clementinelink/internal/world"
)

const (
	// spreadTries is the number of simulated changes, of which the mean counts.
	spreadTries = 5
	// changeAt is the simulated time of the change, after all VMs have started,
	// and spreadLimit the longest wait for it.
	changeAt    = 20 * time.Second
	spreadLimit = 60 * time.Second
	// spreadStep is the step of simulated time.
	spreadStep = 5 * time.Millisecond
	// peerDelay is a round trip between regions, and partDelay that of a part of
	// 136 KB over 30 Mbit/s.
	peerDelay = 24 * time.Millisecond
	partDelay = peerDelay + 36*time.Millisecond
)

// crowd runs the configuration cores of a fleet in simulated time: the store's
// watches, an exchange a second with one random peer, and fetches.
type crowd struct {
	cores []*config.Core
	vms   []*world.VM
	index map[string]int
	rng   *rand.Rand
	now   time.Time
	// due holds what happens by the step at which it is due.
	due map[int64][]func()
	// waiting holds the watches that the store has not answered.
	waiting []func()
	heads   [][]byte
	values  map[string][]byte
	// left is the number of VMs without the last revision.
	left int
}

// newCrowd returns a fleet that has the first revision.
func newCrowd(size int, seed uint64) (*crowd, error) {
	c := &crowd{
		vms:    listOf(0, size),
		index:  make(map[string]int, size),
		rng:    rand.New(rand.NewPCG(seed, 0)),
		now:    epoch,
		due:    make(map[int64][]func()),
		values: make(map[string][]byte),
		left:   size,
	}
	if err := c.change("first"); err != nil {
		return nil, err
	}
	for i, vm := range c.vms {
		c.index[vm.Name()] = i
		c.cores = append(c.cores, config.New(vm, seed+uint64(i), func(revision uint64, _ map[string][]byte) (*world.Map, error) {
			return world.NewMap(revision, nil, nil, nil, nil), nil
		}))
	}
	for i := range c.vms {
		c.step(i, config.Members(c.vms))
		c.step(i, config.Start())
		c.after(time.Duration(c.rng.Int64N(int64(time.Second))), func() { c.gossip(i) })
	}
	return c, nil
}

// change puts a new revision of one part in the store.
func (c *crowd) change(value string) error {
	part := config.NewPart("services", value, []byte(value))
	raw, err := json.Marshal(map[string]any{
		"revision": len(c.heads) + 1,
		"parts":    []config.Part{part},
	})
	if err != nil {
		return errors.Wrap(err, "encode head")
	}
	c.values[part.Key()] = []byte(value)
	c.heads = append(c.heads, raw)
	c.left = len(c.vms)
	for _, answer := range c.waiting {
		c.after(storeDelay, answer)
	}
	c.waiting = nil
	return nil
}

func (c *crowd) after(d time.Duration, f func()) {
	at := int64(c.now.Sub(epoch)+max(d, spreadStep)) / int64(spreadStep)
	c.due[at] = append(c.due[at], f)
}

// until runs until all VMs have the last revision or the limit has passed, at
// least until the time at.
func (c *crowd) until(at, limit time.Duration) error {
	for c.left > 0 || c.now.Before(epoch.Add(at)) {
		if c.now.After(epoch.Add(limit)) {
			return errors.Newf("%d VMs have no revision %d", c.left, len(c.heads))
		}
		c.now = c.now.Add(spreadStep)
		step := int64(c.now.Sub(epoch) / spreadStep)
		for _, f := range c.due[step] {
			f()
		}
		delete(c.due, step)
	}
	return nil
}

// gossip exchanges revisions with a random peer, as the node's duty does.
func (c *crowd) gossip(i int) {
	c.after(time.Second, func() { c.gossip(i) })
	j := c.rng.IntN(len(c.vms))
	if i == j {
		return
	}
	mine, theirs := c.cores[i].Force().Revision(), c.cores[j].Force().Revision()
	c.after(peerDelay/2, func() {
		if mine > c.cores[j].Force().Revision() {
			c.step(j, config.Peer(c.vms[i].Name(), mine, nil))
		}
	})
	var head []byte
	if theirs > mine {
		head = c.cores[j].Force().Encoded()
	}
	c.after(peerDelay, func() { c.step(i, config.Peer(c.vms[j].Name(), theirs, head)) })
}

// step steps an event of a VM and schedules what follows.
func (c *crowd) step(i int, e config.Event) {
	for _, a := range c.cores[i].Step(c.now, e) {
		switch a.Kind() {
		case config.Wake:
			c.after(a.At().Sub(c.now), func() { c.step(i, config.Tick()) })
		case config.Publish:
			if int(a.Snapshot().Revision()) == len(c.heads) {
				c.left--
			}
		default:
			c.perform(i, a)
		}
	}
}

// perform answers an operation of a VM.
func (c *crowd) perform(i int, a config.Action) {
	last := func() uint64 { return uint64(len(c.heads)) }
	switch a.Kind() {
	case config.Read:
		c.after(storeDelay, func() { c.step(i, config.HeadRead(a.Op(), c.heads[last()-1], last())) })
	case config.Watch:
		answer := func() { c.step(i, config.Watched(a.Op(), c.heads[last()-1:], last())) }
		if last() > a.After() {
			c.after(storeDelay, answer)
			return
		}
		c.waiting = append(c.waiting, answer)
	case config.Ask:
		c.after(peerDelay, func() {
			c.step(i, config.Asked(a.Op(), a.Peer(), c.cores[c.index[a.Peer()]].Force().Encoded()))
		})
	case config.Fetch:
		c.after(partDelay, func() {
			parts := c.values
			if a.Peer() != "" {
				parts = c.cores[c.index[a.Peer()]].Force().Parts(a.Keys())
			}
			c.step(i, config.PartsRead(a.Op(), parts))
		})
	}
}

// spread returns the seconds until a change is in force on the last VM.
func spread(_ context.Context, _ *Bench, size int) (float64, error) {
	var sum time.Duration
	for seed := range uint64(spreadTries) {
		c, err := newCrowd(size, seed+1)
		if err != nil {
			return 0, err
		}
		if err := c.until(changeAt, changeAt); err != nil {
			return 0, err
		}
		begun := c.now
		if err := c.change("second"); err != nil {
			return 0, err
		}
		if err := c.until(0, changeAt+spreadLimit); err != nil {
			return 0, err
		}
		sum += c.now.Sub(begun)
	}
	return sum.Seconds() / spreadTries, nil
}
