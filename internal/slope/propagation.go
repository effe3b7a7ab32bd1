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
	// propagationRuns is the number of simulated changes. Their mean is used.
	propagationRuns = 5
	// changeAt is the simulated time of the change, when all VMs have started.
	// propagationLimit is the longest simulated time that it may take to reach all
	// of them.
	changeAt         = 20 * time.Second
	propagationLimit = 60 * time.Second
	// propagationStep is the step of simulated time.
	propagationStep = 5 * time.Millisecond
	// peerDelay is the round-trip time between regions. partDelay adds the transfer
	// of a part of 136 KB over 30 Mbit/s.
	peerDelay = 24 * time.Millisecond
	partDelay = peerDelay + 36*time.Millisecond
)

// configFleet runs the configuration cores of a fleet in simulated time. It
// simulates the watches of the store, an exchange of each VM with a random peer
// once a second, and the fetches of heads and parts.
type configFleet struct {
	cores []*config.Core
	vms   []*world.VM
	// index maps the name of a VM to its position in cores and vms.
	index map[string]int
	rng   *rand.Rand
	now   time.Time
	// due holds scheduled actions by the step at which they are due.
	due map[int64][]func()
	// openWatches holds the replies to watches that wait for a new revision.
	openWatches []func()
	// heads holds the encoded head of each revision, from revision 1 on, and values
	// the parts of all revisions by key.
	heads  [][]byte
	values map[string][]byte
	// outdated is the number of VMs without the latest revision.
	outdated int
}

// newConfigFleet returns a fleet that starts with the first revision in the
// store.
func newConfigFleet(size int, seed uint64) (*configFleet, error) {
	f := &configFleet{
		vms:      newVMs(0, size),
		index:    make(map[string]int, size),
		rng:      rand.New(rand.NewPCG(seed, 0)),
		now:      epoch,
		due:      make(map[int64][]func()),
		values:   make(map[string][]byte),
		outdated: size,
	}
	if err := f.putRevision("first"); err != nil {
		return nil, err
	}
	for i, vm := range f.vms {
		f.index[vm.Name()] = i
		f.cores = append(f.cores, config.New(vm, seed+uint64(i), func(revision uint64, _ map[string][]byte) (*world.Config, error) {
			return world.NewConfig(revision, nil, nil, nil, nil), nil
		}))
	}
	for i := range f.vms {
		f.step(i, config.Members(f.vms))
		f.step(i, config.Start())
		f.schedule(time.Duration(f.rng.Int64N(int64(time.Second))), func() { f.gossip(i) })
	}
	return f, nil
}

// putRevision puts a new revision of one part into the store, which answers the
// open watches.
func (f *configFleet) putRevision(value string) error {
	part := config.NewPart("services", value, []byte(value))
	raw, err := json.Marshal(map[string]any{
		"revision": len(f.heads) + 1,
		"parts":    []config.Part{part},
	})
	if err != nil {
		return errors.Wrap(err, "encode head")
	}
	f.values[part.Key()] = []byte(value)
	f.heads = append(f.heads, raw)
	f.outdated = len(f.vms)
	for _, answer := range f.openWatches {
		f.schedule(storeDelay, answer)
	}
	f.openWatches = nil
	return nil
}

// schedule runs action after the delay, at the earliest in the next step.
func (f *configFleet) schedule(delay time.Duration, action func()) {
	at := int64(f.now.Sub(epoch)+max(delay, propagationStep)) / int64(propagationStep)
	f.due[at] = append(f.due[at], action)
}

// runUntilCurrent advances the time until all VMs have the latest revision, and
// at least until at. It returns an error if the limit passes before. Both are
// measured from epoch.
func (f *configFleet) runUntilCurrent(at, limit time.Duration) error {
	for f.outdated > 0 || f.now.Before(epoch.Add(at)) {
		if f.now.After(epoch.Add(limit)) {
			return errors.Newf("%d VMs have no revision %d", f.outdated, len(f.heads))
		}
		f.now = f.now.Add(propagationStep)
		step := int64(f.now.Sub(epoch) / propagationStep)
		for _, action := range f.due[step] {
			action()
		}
		delete(f.due, step)
	}
	return nil
}

// gossip exchanges revisions with a random peer once a second, as a node does.
func (f *configFleet) gossip(i int) {
	f.schedule(time.Second, func() { f.gossip(i) })
	j := f.rng.IntN(len(f.vms))
	if i == j {
		return
	}
	mine, theirs := f.cores[i].Current().Revision(), f.cores[j].Current().Revision()
	f.schedule(peerDelay/2, func() {
		if mine > f.cores[j].Current().Revision() {
			f.step(j, config.PeerReported(f.vms[i].Name(), mine, nil))
		}
	})
	var head []byte
	if theirs > mine {
		head = f.cores[j].Current().Encoded()
	}
	f.schedule(peerDelay, func() { f.step(i, config.PeerReported(f.vms[j].Name(), theirs, head)) })
}

// step passes an event to the i-th VM and carries out the resulting actions.
func (f *configFleet) step(i int, e config.Event) {
	for _, a := range f.cores[i].Step(f.now, e) {
		switch a.Kind() {
		case config.Wake:
			f.schedule(a.At().Sub(f.now), func() { f.step(i, config.Tick()) })
		case config.Publish:
			if int(a.Snapshot().Revision()) == len(f.heads) {
				f.outdated--
			}
		default:
			f.perform(i, a)
		}
	}
}

// perform schedules the reply to an operation on the store or a peer that the
// i-th VM started.
func (f *configFleet) perform(i int, a config.Action) {
	latest := func() uint64 { return uint64(len(f.heads)) }
	switch a.Kind() {
	case config.Read:
		f.schedule(storeDelay, func() { f.step(i, config.HeadRead(a.Op(), f.heads[latest()-1], latest())) })
	case config.Watch:
		answer := func() { f.step(i, config.Watched(a.Op(), f.heads[latest()-1:], latest())) }
		if latest() > a.After() {
			f.schedule(storeDelay, answer)
			return
		}
		f.openWatches = append(f.openWatches, answer)
	case config.Ask:
		f.schedule(peerDelay, func() {
			f.step(i, config.PeerAnswered(a.Op(), a.Peer(), f.cores[f.index[a.Peer()]].Current().Encoded()))
		})
	case config.Fetch:
		f.schedule(partDelay, func() {
			parts := f.values
			if a.Peer() != "" {
				parts = f.cores[f.index[a.Peer()]].Current().Parts(a.Keys())
			}
			f.step(i, config.PartsRead(a.Op(), parts))
		})
	}
}

// propagationTime returns the seconds from a change in the store until it is in
// force on the last VM, as the mean of several simulations.
func propagationTime(_ context.Context, _ *Bench, size int) (float64, error) {
	var sum time.Duration
	for seed := range uint64(propagationRuns) {
		f, err := newConfigFleet(size, seed+1)
		if err != nil {
			return 0, err
		}
		if err := f.runUntilCurrent(changeAt, changeAt); err != nil {
			return 0, err
		}
		changed := f.now
		if err := f.putRevision("second"); err != nil {
			return 0, err
		}
		if err := f.runUntilCurrent(0, changeAt+propagationLimit); err != nil {
			return 0, err
		}
		sum += f.now.Sub(changed)
	}
	return sum.Seconds() / propagationRuns, nil
}
