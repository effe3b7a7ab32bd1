package router

import (
	"math/rand/v2"
	"time"

	"clementinelink.example/clementinelink/internal/move"
	"clementinelink.example/clementinelink/internal/relay"
	"clementinelink.example/clementinelink/internal/world"
)

// activeMove is the router's state of a service's move. While the configuration
// declares the move, the old version serves every request that the gate does
// not admit to the new version. When the move is done, the gate admits every
// request, so the new version serves all traffic even though the configuration
// still names the old version as stable. That ends when the configuration drops
// the move and names the new version as stable.
type activeMove struct {
	declared *world.Move
	// key is equal for two configuration revisions that declare the same move.
	key  string
	gate *move.Gate
	done bool
	// banned is true when the new version gets no new work.
	banned bool
}

// setMove applies the move in the configuration; nil means there is none. An
// unchanged move keeps its gate, so that a new configuration revision does not
// reset the number of requests already admitted to the new version.
func (ss *serviceState) setMove(declared *world.Move, rng *rand.Rand) {
	if declared == nil {
		ss.move = nil
		return
	}
	key := move.RecordKey(ss.service.Name(), declared)
	if ss.move != nil && ss.move.key == key {
		return
	}
	ss.move = &activeMove{
		declared: declared,
		key:      key,
		gate:     move.NewGate(rng.Uint64()),
	}
}

// defaultVersion returns the version that serves a request which is not
// admitted to the new version of a move.
func (ss *serviceState) defaultVersion() string {
	if ss.move == nil {
		return ss.service.Stable()
	}
	return ss.move.declared.From()
}

// chooseVersion returns the version for a request. A request that resumes keeps
// the version of its cursor and does not count against the gate's limits.
func (ss *serviceState) chooseVersion(now time.Time, q *relay.Request) string {
	if m := ss.move; m != nil && q.Resume() == nil && !m.banned && m.gate.Admit(now) {
		return m.declared.To()
	}
	return ss.defaultVersion()
}

func (ss *serviceState) isBanned(version string) bool {
	return ss.move != nil && ss.move.banned && ss.move.declared.To() == version
}

// shouldFallBack reports whether a response that waits for an engine must use
// the old version instead. Once the move is done, this requires that no engine
// of the new version is live, so that high load alone does not send traffic
// back to the old version.
func (ss *serviceState) shouldFallBack(r *relay.Response, s *engineSet) bool {
	return r.Version() != ss.defaultVersion() && (ss.move == nil || !ss.move.done || !s.hasLiveVersion(ss.service.Name(), r.Version()))
}

// failedUnproven reports whether an attempt of the response failed on the new
// version of a move that is not done. The response then uses the old version,
// so that a faulty new version does not fail its callers.
func (ss *serviceState) failedUnproven(r *relay.Response) bool {
	s := r.Stats()
	return ss.move != nil && !ss.move.done && r.Version() == ss.move.declared.To() && s.Errors()+s.Breaks() > 0
}
