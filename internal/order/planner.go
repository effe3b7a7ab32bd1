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

// maxSends is how often an order is sent before it counts as failed on its engine.
const maxSends = 3

// An order is sent again when its effect does not show within resendLoadTimes
// expected load times, but not before minResendWait, because load reports are
// delayed by a few seconds.
const (
	resendLoadTimes = 2
	minResendWait   = 5 * time.Second
)

// smoothing is the weight of a new load time in the moving average, from 0 to 1.
const smoothing = 0.3

// minEndChange is how much the predicted time of reaching the goal must change to
// be reported again.
const minEndChange = 30 * time.Second

// pendingOrder is an order that was sent and whose effect is not known yet.
type pendingOrder struct {
	id          string
	engine      string
	incarnation uint64
	op          Op
	version     string
	sends       int
	firstSent   time.Time
	lastSent    time.Time
	refused     bool
	failed      bool
}

// Planner orders engines to load and unload versions until they match the goal of
// a move. The holder of the move's lease runs it. It is owned by one goroutine.
// Effects are known only from load reports, so a new holder can start with an
// empty planner.
type Planner struct {
	move string
	// interval is the minimum time between two loads. It limits the load on the
	// weight store.
	interval time.Duration
	// loadTime is the moving average of the time from an order to its effect.
	loadTime time.Duration
	version  string
	fraction float64
	deadline time.Time
	// unloadAfter maps each version to unload to the time from which it is
	// unloaded even if it has running streams.
	unloadAfter map[string]time.Time
	// stops counts how often each version was stopped. An engine carries out an
	// ID once, so loading again after a stop needs another ID.
	stops map[string]int
	// nextLoad is the earliest time of the next load.
	nextLoad time.Time
	orders   map[string]*pendingOrder
	// superseded is the highest own fencing number that an engine rejected. No
	// orders are sent with it or a lower one.
	superseded  uint64
	reportedEnd time.Time
}

// NewPlanner returns a planner for a move. Loads start at least interval apart.
// loadTime is the expected time from an order to its effect until one is measured.
func NewPlanner(move string, interval, loadTime time.Duration) *Planner {
	return &Planner{
		move:        move,
		interval:    interval,
		loadTime:    loadTime,
		unloadAfter: make(map[string]time.Time),
		stops:       make(map[string]int),
		orders:      make(map[string]*pendingOrder),
	}
}

// Want sets the goal: the fraction of engines, from 0 to 1, that must have the
// version loaded by the deadline.
func (p *Planner) Want(version string, fraction float64, deadline time.Time) {
	p.version = version
	p.fraction = fraction
	p.deadline = deadline
	delete(p.unloadAfter, version)
}

// Stop ends the loading of a version and unloads it. Engines with running streams
// of it keep it until the streams end or until the deadline.
func (p *Planner) Stop(version string, deadline time.Time) {
	if p.version == version {
		p.version = ""
		p.reportedEnd = time.Time{}
	}
	if _, ok := p.unloadAfter[version]; !ok {
		p.stops[version]++
	}
	p.unloadAfter[version] = deadline
}

// LoadTime returns the current estimate of the time from an order to its effect.
func (p *Planner) LoadTime() time.Duration { return p.loadTime }

// Answer applies an engine's reply to the order with the ID, which was sent under
// the fencing number.
func (p *Planner) Answer(id string, fence uint64, r Reply) {
	if r == Fenced {
		p.superseded = max(p.superseded, fence)
	}
	if e := p.orders[id]; e != nil && r == Refused {
		e.refused = true
	}
}

// Step returns the orders to send and the changes to report at now.
func (p *Planner) Step(now time.Time, in Input) []Action {
	engines := slices.Clone(in.engines)
	slices.SortFunc(engines, func(a, b Engine) int { return cmp.Compare(a.name, b.name) })
	p.dropSettled(now, engines)
	var actions []Action
	if p.version != "" {
		actions = append(actions, p.loadOrders(now, in, engines)...)
	}
	for _, version := range slices.Sorted(maps.Keys(p.unloadAfter)) {
		actions = append(actions, p.unloadOrders(now, in, engines, version)...)
	}
	return actions
}

// dropSettled removes the orders whose effect a load report shows, whose engine
// has restarted or left, or whose version is no longer the goal.
func (p *Planner) dropSettled(now time.Time, engines []Engine) {
	byName := make(map[string]Engine, len(engines))
	for _, e := range engines {
		byName[e.name] = e
	}
	// Sorting the IDs makes the average of the load times deterministic.
	for _, id := range slices.Sorted(maps.Keys(p.orders)) {
		o := p.orders[id]
		e, ok := byName[o.engine]
		switch {
		case !ok || e.incarnation != o.incarnation:
			delete(p.orders, id)
		case e.hasVersion(o.version) == (o.op == Load) && e.reported.After(o.firstSent):
			if o.op == Load {
				took := float64(now.Sub(o.firstSent))
				p.loadTime = time.Duration((1-smoothing)*float64(p.loadTime) + smoothing*took)
			}
			delete(p.orders, id)
		case o.op == Load && o.version != p.version:
			delete(p.orders, id)
		}
	}
}

// mayOrder reports whether an order may be sent to the engine now.
func (p *Planner) mayOrder(now time.Time, in Input, e Engine) bool {
	if in.fence == 0 || in.fence <= p.superseded || !now.Before(in.until) {
		return false
	}
	return e.fenced || !now.Before(in.waitOut)
}

// loadOrders returns the load orders to send towards the goal, and a report if the
// prediction has changed.
func (p *Planner) loadOrders(now time.Time, in Input, engines []Engine) []Action {
	wanted := int(math.Ceil(p.fraction*float64(len(engines)) - 1e-9))
	ready, pending := 0, 0
	perDomain := make(map[string]int)
	var candidates []Engine
	var actions []Action
	for _, e := range engines {
		o := p.orders[p.orderID(e, Load, p.version)]
		switch {
		case e.hasVersion(p.version):
			ready++
			perDomain[e.domain]++
		case o == nil:
			candidates = append(candidates, e)
		case !o.failed:
			pending++
			perDomain[e.domain]++
			actions = append(actions, p.resend(now, in, e, o)...)
		}
	}
	for ready+pending < wanted && len(candidates) > 0 && !now.Before(p.nextLoad) {
		i := pickEngine(candidates, perDomain, func(e Engine) bool { return p.mayOrder(now, in, e) })
		if i < 0 {
			break
		}
		e := candidates[i]
		candidates = slices.Delete(candidates, i, i+1)
		perDomain[e.domain]++
		pending++
		p.nextLoad = now.Add(p.interval)
		actions = append(actions, p.send(now, in, e, Load, p.version))
	}
	return append(actions, p.reportEnd(now, ready, pending, wanted)...)
}

// pickEngine returns the index of an eligible candidate in the failure domain with
// the fewest engines of the version, or -1. Spreading the engines avoids losing
// all of them with one domain.
func pickEngine(candidates []Engine, perDomain map[string]int, eligible func(Engine) bool) int {
	best := -1
	for i, e := range candidates {
		if eligible(e) && (best < 0 || perDomain[e.domain] < perDomain[candidates[best].domain]) {
			best = i
		}
	}
	return best
}

// orderID derives an ID from the operation and the engine's incarnation, so that a
// new holder of the lease repeats an order under the same ID.
func (p *Planner) orderID(e Engine, op Op, version string) string {
	h := sha256.Sum256(fmt.Appendf(nil, "%s|%s|%d|%s|%s|%d", p.move, e.name, e.incarnation, op, version, p.stops[version]))
	return hex.EncodeToString(h[:12])
}

// send returns the Send for an order and records it as pending.
func (p *Planner) send(now time.Time, in Input, e Engine, op Op, version string) Action {
	id := p.orderID(e, op, version)
	o := p.orders[id]
	if o == nil {
		o = &pendingOrder{
			id:          id,
			engine:      e.name,
			incarnation: e.incarnation,
			op:          op,
			version:     version,
			firstSent:   now,
		}
		p.orders[id] = o
	}
	o.sends++
	o.lastSent = now
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

// resend sends an order again if a load report from well after the last attempt
// shows no effect. A lost reply alone does not cause a repetition.
func (p *Planner) resend(now time.Time, in Input, e Engine, o *pendingOrder) []Action {
	wait := max(resendLoadTimes*p.loadTime, minResendWait)
	if o.refused || o.op == Unload {
		wait = minResendWait
	}
	if now.Sub(o.lastSent) < wait || e.reported.Before(o.lastSent.Add(wait/2)) {
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
	if !p.mayOrder(now, in, e) {
		return nil
	}
	return []Action{p.send(now, in, e, o.op, o.version)}
}

// reportEnd predicts when the goal is reached and reports a change between late
// and on time, or of the predicted time.
func (p *Planner) reportEnd(now time.Time, ready, pending, wanted int) []Action {
	end := now
	if missing := wanted - ready - pending; missing > 0 {
		start := now
		if p.nextLoad.After(start) {
			start = p.nextLoad
		}
		end = start.Add(time.Duration(missing-1)*p.interval + p.loadTime)
	}
	if pending > 0 && ready < wanted {
		for _, o := range p.orders {
			if o.op == Load && !o.failed {
				end = laterOf(end, laterOf(o.firstSent.Add(p.loadTime), now))
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
	case ready >= wanted || !end.After(p.deadline):
		if p.reportedEnd.IsZero() {
			return nil
		}
		p.reportedEnd = time.Time{}
		a.kind = OnTime
		return []Action{a}
	case p.reportedEnd.IsZero() || end.Sub(p.reportedEnd).Abs() >= minEndChange:
		p.reportedEnd = end
		return []Action{a}
	}
	return nil
}

func laterOf(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// unloadOrders returns the orders to send for unloading a version.
func (p *Planner) unloadOrders(now time.Time, in Input, engines []Engine, version string) []Action {
	var actions []Action
	for _, e := range engines {
		o := p.orders[p.orderID(e, Unload, version)]
		switch {
		case !e.hasVersion(version) || o != nil && o.failed:
		case o != nil:
			actions = append(actions, p.resend(now, in, e, o)...)
		case slices.Contains(e.busy, version) && now.Before(p.unloadAfter[version]):
		case p.mayOrder(now, in, e):
			actions = append(actions, p.send(now, in, e, Unload, version))
		}
	}
	return actions
}
