package fleet

import (
	"slices"
	"time"

	"clementinelink.example/clementinelink/internal/detect"
	"clementinelink.example/clementinelink/internal/world"
)

// State is the membership state of an engine as this VM sees it.
type State uint8

// The membership states.
const (
	// Unknown is an engine that has not reported yet.
	Unknown State = iota
	// Live is an engine that takes work.
	Live
	// Suspect is an engine whose streams all fell silent.
	Suspect
	// Leaving is an engine that takes no new work.
	Leaving
	// Dead is an engine that refuses connections.
	Dead
)

// String returns the state's name.
func (s State) String() string {
	return [...]string{"unknown", "live", "suspect", "leaving", "dead"}[s]
}

const (
	// defaultSlots is assumed until an engine reports its batch limit.
	defaultSlots = 8
	// freshFor is the age up to which a load report counts in full.
	freshFor = 2 * time.Second
	// staleAfter is the age beyond which a load report is unknown.
	staleAfter = 20 * time.Second
	// queueShare is the part of the slots that may wait on the engine, so that
	// its batch never runs empty between two reports.
	queueShare = 0.25
	// resumeLimit is the number of resumes that may wait for their first token
	// on one engine, because each of them is a prefill of a long prefix.
	resumeLimit = 8
	// probation is the time after a suspicion from which a load report makes
	// the engine live again; it doubles with each further suspicion.
	probation = time.Second
	// maxBreaks is the number of attempts in a row that break before a token and
	// make the engine suspect. One break may be a connection that was idle for
	// too long. A dead engine behind a forwarder accepts connections and resets
	// each of them.
	maxBreaks = 2
	// maxDoubts bounds the doubling.
	maxDoubts = 5
)

// Engine is a model engine as this VM sees it. It is owned by one duty.
type Engine struct {
	vm    *world.VM
	state State
	// incarnation is the engine's start id; empty until it reports.
	incarnation string
	load        Load
	// reported is the local time to which the load report belongs.
	reported time.Time
	// ownThen is the value of outstanding when the report arrived.
	ownThen int
	// outstanding counts this VM's live attempts; never negative.
	outstanding int
	// resuming counts the resumes without a first token; never negative.
	resuming int
	// doubted is the time of the last suspicion; doubts counts them since the
	// engine last produced a token.
	doubted time.Time
	doubts  int
	// breaks counts the attempts that broke before a token since the engine
	// last produced one.
	breaks  int
	cadence detect.Cadence
}

// NewEngine returns an engine in state Unknown.
func NewEngine(vm *world.VM) *Engine {
	return &Engine{vm: vm}
}

// VM returns the engine's machine.
func (e *Engine) VM() *world.VM { return e.vm }

// Name returns the name of the engine's VM.
func (e *Engine) Name() string { return e.vm.Name() }

// State returns the membership state.
func (e *Engine) State() State { return e.state }

// Cadence returns the engine's token cadence.
func (e *Engine) Cadence() *detect.Cadence { return &e.cadence }

// Outstanding returns this VM's live attempts on the engine.
func (e *Engine) Outstanding() int { return e.outstanding }

// Resuming returns this VM's resumes that wait for a first token.
func (e *Engine) Resuming() int { return e.resuming }

// Slots returns the engine's batch limit.
func (e *Engine) Slots() int {
	if e.load.slots == 0 {
		return defaultSlots
	}
	return e.load.slots
}

// Queued returns the number of requests waiting on the engine at the last
// report.
func (e *Engine) Queued() int { return e.load.waiting }

// Has reports whether the engine has the version loaded.
func (e *Engine) Has(version string) bool {
	return slices.Contains(e.load.versions, version)
}

// Reported returns the streams on the engine at the last report.
func (e *Engine) Reported() int { return e.load.running + e.load.waiting }

// Versions returns the versions in the last report.
func (e *Engine) Versions() []string { return e.load.versions }

// Begin counts a new attempt.
func (e *Engine) Begin(resume bool) {
	e.outstanding++
	if resume {
		e.resuming++
	}
}

// Resumed ends the wait of a resume for its first token.
func (e *Engine) Resumed() { e.resuming = max(e.resuming-1, 0) }

// End removes an attempt.
func (e *Engine) End() { e.outstanding = max(e.outstanding-1, 0) }

// Report applies a load report and reports whether the set of versions or the
// membership state changed. A new incarnation clears what was known.
func (e *Engine) Report(now time.Time, l Load) bool {
	before := e.state
	fresh := e.incarnation != l.incarnation
	if fresh {
		e.incarnation = l.incarnation
		e.cadence = detect.Cadence{}
		e.breaks = 0
		e.state = Live
	}
	changed := fresh || !slices.Equal(e.load.versions, l.versions)
	e.load = l
	e.reported = now.Add(-l.age)
	e.ownThen = e.outstanding
	switch {
	case l.leaving || e.vm.Leaving():
		e.state = Leaving
	case e.state == Unknown || e.state == Dead:
		e.state = Live
	case e.state == Suspect && e.reported.After(e.doubted.Add(probation<<min(e.doubts-1, maxDoubts))):
		e.state = Live
	}
	return changed || e.state != before
}

// Listed applies the platform's entry for the VM and reports a state change.
func (e *Engine) Listed(vm *world.VM) bool {
	moved := e.vm.Address() != vm.Address()
	e.vm = vm
	if vm.Leaving() && e.state != Leaving {
		e.state = Leaving
		return true
	}
	return moved
}

// Left marks the engine as leaving, on its own word.
func (e *Engine) Left() { e.state = Leaving }

// Fell marks the engine as dead, because it refuses connections. The next load
// report brings it back.
func (e *Engine) Fell() {
	if e.state != Leaving {
		e.state = Dead
	}
}

// Broke counts an attempt that broke before its first token, and doubts the
// engine after several in a row.
func (e *Engine) Broke(now time.Time) {
	e.breaks++
	if e.breaks >= maxBreaks {
		e.Doubt(now)
	}
}

// Doubt marks a live engine as suspect. A load report alone does not clear it
// at once, because an engine can answer reports while its streams hang.
func (e *Engine) Doubt(now time.Time) {
	if e.state == Live {
		e.state = Suspect
		e.doubted = now
		e.doubts++
	}
}

// Trust ends the suspicion, because the engine produced a token. It reports
// whether the state changed.
func (e *Engine) Trust() bool {
	e.doubts = 0
	e.breaks = 0
	if e.state != Suspect {
		return false
	}
	e.state = Live
	return true
}

// Busy returns the expected number of streams on the engine: own outstanding
// work, plus what others had at the last report, discounted by its age.
func (e *Engine) Busy(now time.Time) float64 {
	others := max(e.load.running+e.load.waiting-e.ownThen, 0)
	age := now.Sub(e.reported)
	weight := 1.0
	switch {
	case e.reported.IsZero() || age >= staleAfter:
		// An unknown engine counts as half full, not as idle.
		return float64(e.outstanding) + float64(e.Slots())/2
	case age > freshFor:
		weight = 1 - float64(age-freshFor)/float64(2*(staleAfter-freshFor))
	}
	return float64(e.outstanding) + weight*float64(others)
}

// Score returns the expected load relative to the batch limit.
func (e *Engine) Score(now time.Time) float64 {
	return e.Busy(now) / float64(e.Slots())
}

// Accepts reports whether the engine may be given a new request.
func (e *Engine) Accepts(now time.Time) bool {
	return e.state == Live && e.Score(now) < 1+queueShare
}

// AcceptsResume reports whether the engine may be given a resume. Resumes may
// fill the engine's queue further than new requests.
func (e *Engine) AcceptsResume(now time.Time) bool {
	return e.state == Live && e.resuming < resumeLimit && e.Score(now) < 2
}
