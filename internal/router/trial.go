package router

import (
	"math/rand/v2"
	"time"

	"clementinelink.example/clementinelink/internal/move"
	"clementinelink.example/clementinelink/internal/relay"
	"clementinelink.example/clementinelink/internal/world"
)

// trial is the move of a service as the router sees it. While it is declared,
// the old version serves everything that the gate does not admit to the new
// one. The gate opens fully when the move is done, so the new version serves
// although the declaration still names the old one as stable, until the
// declaration drops the move and names the new version.
type trial struct {
	plan *world.Move
	// key tells whether another revision declares the same plan.
	key  string
	gate *move.Gate
	done bool
	// banned is true when the new version gets no new work.
	banned bool
}

// follow puts a declared move in force, or none. A move that stays the same
// keeps its gate, so that a new revision does not renew the allowance.
func (d *desk) follow(plan *world.Move, rng *rand.Rand) {
	if plan == nil {
		d.trial = nil
		return
	}
	key := move.RecordKey(d.service.Name(), plan)
	if d.trial != nil && d.trial.key == key {
		return
	}
	d.trial = &trial{
		plan: plan,
		key:  key,
		gate: move.NewGate(rng.Uint64()),
	}
}

// base returns the version of a request that meets no version under test.
func (d *desk) base() string {
	if d.trial == nil {
		return d.service.Stable()
	}
	return d.trial.plan.From()
}

// version decides the version of a new request. One that resumes has its own
// and takes no part of the allowance.
func (d *desk) version(now time.Time, q *relay.Request) string {
	if t := d.trial; t != nil && q.Resume() == nil && !t.banned && t.gate.Admit(now) {
		return t.plan.To()
	}
	return d.base()
}

func (d *desk) banned(version string) bool {
	return d.trial != nil && d.trial.banned && d.trial.plan.To() == version
}

// leaves reports whether a response that waits for an engine goes back to the
// old version. After the move is done it does only without a live engine of
// the new one, so that load alone does not bring the old version back.
func (d *desk) leaves(r *relay.Response, s *estate) bool {
	return r.Version() != d.base() && (d.trial == nil || !d.trial.done || !s.serves(d.service.Name(), r.Version()))
}

// failed reports whether an attempt on a version that is not proven failed the
// response. It then goes to the old version, so that callers of a bad version
// get their responses too.
func (d *desk) failed(r *relay.Response) bool {
	s := r.Stats()
	return d.trial != nil && !d.trial.done && r.Version() == d.trial.plan.To() && s.Errors()+s.Breaks() > 0
}
