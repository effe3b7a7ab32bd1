package order

import (
	"cmp"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"maps"
	"math"
	"slices"
	"time"
)

// maxSends is how often one order is sent before its engine counts as failed.
const maxSends = 3

// patience is how many expected load times an order may take before it is sent
// again, and readBack the smallest time after which a load report must show the
// effect. Reports lag by a few seconds.
const (
	patience = 2
	readBack = 5 * time.Second
)

// smoothing is the weight of a new load time in the moving average.
const smoothing = 0.3

// lateStep is by how much a predicted end must change to be reported again.
const lateStep = 30 * time.Second

// entry is one order and what is known of it.
type entry struct {
	id          string
	engine      string
	incarnation uint64
	op          Op
	version     string
	sends       int
	first       time.Time
	last        time.Time
	refused     bool
	failed      bool
}

// Planner brings engines to the versions that a move wants. It belongs to the
// holder of the move's lease and is owned by one goroutine. All it knows of
// effects comes from load reports, so a new holder starts with an empty one.
type Planner struct {
	move string
	// interval is the time between two loads that the weight store's rate
	// allows.
	interval time.Duration
	// load is the moving average of the time from an order to its effect.
	load    time.Duration
	version string
	wanted  float64
	by      time.Time
	// release maps versions to unload to the time from which running streams
	// no longer hold that up.
	release map[string]time.Time
	// rounds counts the stops of each version. An engine carries out an id
	// once, so loading again after a stop needs another id.
	rounds map[string]int
	// next is the earliest time for another load.
	next    time.Time
	entries map[string]*entry
	// superseded is the fencing number under which an engine reported a
	// higher one.
	superseded uint64
	late       time.Time
}

// NewPlanner returns a planner for a move. Loads start at least interval apart,
// and one takes load from order to effect until a measured time is known.
func NewPlanner(move string, interval, load time.Duration) *Planner {
	return &Planner{
		move:     move,
		interval: interval,
		load:     load,
		release:  make(map[string]time.Time),
		rounds:   make(map[string]int),
		entries:  make(map[string]*entry),
	}
}

// Want sets the goal: the fraction of engines that hold the version, and the
// time by which they do.
func (p *Planner) Want(version string, fraction float64, by time.Time) {
	p.version = version
	p.wanted = fraction
	p.by = by
	delete(p.release, version)
}

// Stop ends the loading of a version and unloads it. Engines that run streams
// of it keep it until the streams end or until the given time.
func (p *Planner) Stop(version string, until time.Time) {
	if p.version == version {
		p.version = ""
		p.late = time.Time{}
	}
	if _, ok := p.release[version]; !ok {
		p.rounds[version]++
	}
	p.release[version] = until
}

// LoadTime returns the present estimate from an order to its effect.
func (p *Planner) LoadTime() time.Duration { return p.load }

// Answer takes an engine's reply to an order.
func (p *Planner) Answer(id string, fence uint64, r Reply) {
	if r == Fenced {
		p.superseded = max(p.superseded, fence)
	}
	if e := p.entries[id]; e != nil && r == Refused {
		e.refused = true
	}
}

// Step returns the orders to send and the reports to make.
func (p *Planner) Step(now time.Time, in Input) []Action {
	engines := slices.Clone(in.engines)
	slices.SortFunc(engines, func(a, b Engine) int { return cmp.Compare(a.name, b.name) })
	p.readBack(now, engines)
	var actions []Action
	if p.version != "" {
		actions = append(actions, p.loads(now, in, engines)...)
	}
	for _, version := range slices.Sorted(maps.Keys(p.release)) {
		actions = append(actions, p.unloads(now, in, engines, version)...)
	}
	return actions
}

// readBack removes the orders whose effect a report shows, whose engine has
// restarted or gone, or that are no longer wanted.
func (p *Planner) readBack(now time.Time, engines []Engine) {
	byName := make(map[string]Engine, len(engines))
	for _, e := range engines {
		byName[e.name] = e
	}
	// The order of ids fixes the order in which load times are averaged.
	for _, id := range slices.Sorted(maps.Keys(p.entries)) {
		o := p.entries[id]
		e, ok := byName[o.engine]
		switch {
		case !ok || e.incarnation != o.incarnation:
			delete(p.entries, id)
		case e.holds(o.version) == (o.op == Load) && e.reported.After(o.first):
			if o.op == Load {
				took := float64(now.Sub(o.first))
				p.load = time.Duration((1-smoothing)*float64(p.load) + smoothing*took)
			}
			delete(p.entries, id)
		case o.op == Load && o.version != p.version:
			delete(p.entries, id)
		}
	}
}

// may reports whether an order may go to the engine now.
func (p *Planner) may(now time.Time, in Input, e Engine) bool {
	if in.fence == 0 || in.fence <= p.superseded || !now.Before(in.until) {
		return false
	}
	return e.fenced || !now.Before(in.clear)
}

func (p *Planner) loads(now time.Time, in Input, engines []Engine) []Action {
	wanted := int(math.Ceil(p.wanted*float64(len(engines)) - 1e-9))
	ready, pending := 0, 0
	taken := make(map[string]int)
	var free []Engine
	var actions []Action
	for _, e := range engines {
		o := p.entries[p.id(e, Load, p.version)]
		switch {
		case e.holds(p.version):
			ready++
			taken[e.domain]++
		case o == nil:
			free = append(free, e)
		case !o.failed:
			pending++
			taken[e.domain]++
			actions = append(actions, p.repeat(now, in, e, o)...)
		}
	}
	for ready+pending < wanted && len(free) > 0 && !now.Before(p.next) {
		i := choose(free, taken, func(e Engine) bool { return p.may(now, in, e) })
		if i < 0 {
			break
		}
		e := free[i]
		free = slices.Delete(free, i, i+1)
		taken[e.domain]++
		pending++
		p.next = now.Add(p.interval)
		actions = append(actions, p.send(now, in, e, Load, p.version))
	}
	return append(actions, p.predict(now, ready, pending, wanted)...)
}

// choose returns an engine of the failure domain with the fewest engines of the
// version, or -1, so that the loss of one domain does not take them all.
func choose(free []Engine, taken map[string]int, may func(Engine) bool) int {
	best := -1
	for i, e := range free {
		if may(e) && (best < 0 || taken[e.domain] < taken[free[best].domain]) {
			best = i
		}
	}
	return best
}

// id names an order by what it asks and of which incarnation, so that a new
// holder of the lease repeats an order under the same id.
func (p *Planner) id(e Engine, op Op, version string) string {
	h := sha256.Sum256(fmt.Appendf(nil, "%s|%s|%d|%s|%s|%d", p.move, e.name, e.incarnation, op, version, p.rounds[version]))
	return hex.EncodeToString(h[:12])
}

func (p *Planner) send(now time.Time, in Input, e Engine, op Op, version string) Action {
	id := p.id(e, op, version)
	o := p.entries[id]
	if o == nil {
		o = &entry{
			id:          id,
			engine:      e.name,
			incarnation: e.incarnation,
			op:          op,
			version:     version,
			first:       now,
		}
		p.entries[id] = o
	}
	o.sends++
	o.last = now
	o.refused = false
	return Action{
		kind:    Send,
		id:      id,
		engine:  e.name,
		op:      op,
		version: version,
		fence:   in.fence,
		before:  in.until,
	}
}

// repeat sends an order again only when a report made well after it shows no
// effect. A lost reply alone is no reason.
func (p *Planner) repeat(now time.Time, in Input, e Engine, o *entry) []Action {
	wait := max(patience*p.load, readBack)
	if o.refused || o.op == Unload {
		wait = readBack
	}
	if now.Sub(o.last) < wait || e.reported.Before(o.last.Add(wait/2)) {
		return nil
	}
	if o.sends >= maxSends {
		o.failed = true
		return []Action{{
			kind:    Failed,
			id:      o.id,
			engine:  o.engine,
			op:      o.op,
			version: o.version,
		}}
	}
	if !p.may(now, in, e) {
		return nil
	}
	return []Action{p.send(now, in, e, o.op, o.version)}
}

// predict reports a goal that will be missed as soon as the rate of loading
// shows it.
func (p *Planner) predict(now time.Time, ready, pending, wanted int) []Action {
	end := now
	if missing := wanted - ready - pending; missing > 0 {
		start := now
		if p.next.After(start) {
			start = p.next
		}
		end = start.Add(time.Duration(missing-1)*p.interval + p.load)
	}
	if pending > 0 && ready < wanted {
		for _, o := range p.entries {
			if o.op == Load && !o.failed {
				end = later(end, later(o.first.Add(p.load), now))
			}
		}
	}
	a := Action{
		kind:     Late,
		version:  p.version,
		expected: end,
		ready:    ready,
		wanted:   wanted,
	}
	switch {
	case ready >= wanted || !end.After(p.by):
		if p.late.IsZero() {
			return nil
		}
		p.late = time.Time{}
		a.kind = OnTime
		return []Action{a}
	case p.late.IsZero() || end.Sub(p.late).Abs() >= lateStep:
		p.late = end
		return []Action{a}
	}
	return nil
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

func (p *Planner) unloads(now time.Time, in Input, engines []Engine, version string) []Action {
	var actions []Action
	for _, e := range engines {
		o := p.entries[p.id(e, Unload, version)]
		switch {
		case !e.holds(version) || o != nil && o.failed:
		case o != nil:
			actions = append(actions, p.repeat(now, in, e, o)...)
		case slices.Contains(e.busy, version) && now.Before(p.release[version]):
		case p.may(now, in, e):
			actions = append(actions, p.send(now, in, e, Unload, version))
		}
	}
	return actions
}
