package fleet

import (
	"slices"
	"time"

	"clementinelink.example/clementinelink/internal/detect"
	"clementinelink.example/clementinelink/internal/world"
)

// State is the membership state of an engine as seen by this VM.
type State uint8

// The membership states.
const (
	// Unknown means that no load report has arrived yet.
	Unknown State = iota
	// Live means that the engine takes work.
	Live
	// Suspect means that all streams of the engine fell silent, or that several
	// attempts in a row broke before their first token.
	Suspect
	// Leaving means that the engine is about to leave and takes no new work.
	Leaving
	// Dead means that the engine refuses connections.
	Dead
)

// String returns the state's name in lower case.
func (s State) String() string {
	return [...]string{"unknown", "live", "suspect", "leaving", "dead"}[s]
}

const (
	// defaultSlots is the batch limit assumed until an engine reports its own.
	defaultSlots = 8
	// freshAge is the age up to which a load report has its full weight.
	freshAge = 2 * time.Second
	// staleAge is the age from which a load report is ignored.
	staleAge = 20 * time.Second
	// queueShare is the number of requests that may be queued on an engine, as
	// a fraction of its slots. A short queue keeps the batch full between two
	// load reports.
	queueShare = 0.25
	// resumeLimit is the number of resumes of this VM that may wait for their
	// first token on one engine. Each of them has to prefill a long prefix.
	resumeLimit = 8
	// probation is how long after a suspicion load reports do not make the
	// engine live again. It doubles with each further suspicion.
	probation = time.Second
	// maxBreaks is the number of consecutive attempts that break before a token
	// after which the engine is suspect. A single break may be a connection
	// that was idle for too long. A dead engine behind a forwarder accepts
	// connections and resets each of them.
	maxBreaks = 2
	// maxProbationDoublings bounds the doubling of probation.
	maxProbationDoublings = 5
)

// Engine is a model engine as seen by this VM. It is not safe for concurrent
// use; the dispatcher goroutine owns it.
type Engine struct {
	vm    *world.VM
	state State
	// incarnation identifies one run of the engine process; it is empty until
	// the first load report.
	incarnation string
	load        Load
	// reported is the local time at which the load report was measured.
	reported time.Time
	// outstandingAtReport is the value of outstanding when the load report
	// arrived.
	outstandingAtReport int
	// outstanding counts this VM's live attempts; never negative.
	outstanding int
	// resuming counts this VM's resumes that wait for their first token; never
	// negative.
	resuming int
	// suspectedAt is the time of the last suspicion, and suspicions the number
	// of suspicions since the engine last produced a token.
	suspectedAt time.Time
	suspicions  int
	// breaks counts the attempts that broke before a token since the engine
	// last produced one.
	breaks  int
	cadence detect.Cadence
}

// NewEngine returns an engine in state Unknown.
func NewEngine(vm *world.VM) *Engine {
	return &Engine{vm: vm}
}

// VM returns the engine's VM.
func (e *Engine) VM() *world.VM { return e.vm }

// Name returns the name of the engine's VM.
func (e *Engine) Name() string { return e.vm.Name() }

// State returns the membership state.
func (e *Engine) State() State { return e.state }

// Cadence returns the engine's token cadence.
func (e *Engine) Cadence() *detect.Cadence { return &e.cadence }

// Outstanding returns the number of this VM's live attempts on the engine.
func (e *Engine) Outstanding() int { return e.outstanding }

// Resuming returns the number of this VM's resumes that wait for their first
// token on the engine.
func (e *Engine) Resuming() int { return e.resuming }

// Slots returns the number of streams that the engine runs at once (its batch
// limit).
func (e *Engine) Slots() int {
	if e.load.slots == 0 {
		return defaultSlots
	}
	return e.load.slots
}

// Queued returns the number of requests waiting on the engine at the last
// report.
func (e *Engine) Queued() int { return e.load.waiting }

// HasVersion reports whether the engine has the version loaded.
func (e *Engine) HasVersion(version string) bool {
	return slices.Contains(e.load.versions, version)
}

// ReportedStreams returns the number of running and waiting streams of all VMs on
// the engine at the last report.
func (e *Engine) ReportedStreams() int { return e.load.running + e.load.waiting }

// Versions returns the versions loaded at the last report. The caller must not
// modify the slice.
func (e *Engine) Versions() []string { return e.load.versions }

// BeginAttempt counts a new attempt of this VM; resume is true if it continues
// existing output.
func (e *Engine) BeginAttempt(resume bool) {
	e.outstanding++
	if resume {
		e.resuming++
	}
}

// EndResumeWait records that a resume got its first token or ended without one.
func (e *Engine) EndResumeWait() { e.resuming = max(e.resuming-1, 0) }

// EndAttempt removes an attempt from the count.
func (e *Engine) EndAttempt() { e.outstanding = max(e.outstanding-1, 0) }

// ApplyLoad applies a load report and reports whether the loaded versions or the
// membership state changed. A new incarnation resets the state and the cadence.
func (e *Engine) ApplyLoad(now time.Time, l Load) bool {
	before := e.state
	restarted := e.incarnation != l.incarnation
	if restarted {
		e.incarnation = l.incarnation
		e.cadence = detect.Cadence{}
		e.breaks = 0
		e.state = Live
	}
	changed := restarted || !slices.Equal(e.load.versions, l.versions)
	e.load = l
	e.reported = now.Add(-l.age)
	e.outstandingAtReport = e.outstanding
	switch {
	case l.leaving || e.vm.Leaving():
		e.state = Leaving
	case e.state == Unknown || e.state == Dead:
		e.state = Live
	case e.state == Suspect && e.reported.After(e.suspectedAt.Add(probation<<min(e.suspicions-1, maxProbationDoublings))):
		e.state = Live
	}
	return changed || e.state != before
}

// UpdateVM applies the VM as listed by the platform. It reports whether the
// address or the membership state changed.
func (e *Engine) UpdateVM(vm *world.VM) bool {
	addressChanged := e.vm.Address() != vm.Address()
	e.vm = vm
	if vm.Leaving() && e.state != Leaving {
		e.state = Leaving
		return true
	}
	return addressChanged
}

// MarkLeaving marks the engine as leaving, after it said so itself.
func (e *Engine) MarkLeaving() { e.state = Leaving }

// MarkDead marks the engine as dead, because it refuses connections. The next
// load report makes it live again. An engine that is leaving stays so.
func (e *Engine) MarkDead() {
	if e.state != Leaving {
		e.state = Dead
	}
}

// RecordBreak counts an attempt that broke before its first token. Several in a
// row make the engine suspect.
func (e *Engine) RecordBreak(now time.Time) {
	e.breaks++
	if e.breaks >= maxBreaks {
		e.MarkSuspect(now)
	}
}

// MarkSuspect marks a live engine as suspect. A load report does not clear the
// suspicion at once, because an engine can answer requests for load reports while
// its streams hang.
func (e *Engine) MarkSuspect(now time.Time) {
	if e.state == Live {
		e.state = Suspect
		e.suspectedAt = now
		e.suspicions++
	}
}

// ClearSuspicion makes a suspect engine live again, because it produced a token.
// It reports whether the state changed.
func (e *Engine) ClearSuspicion() bool {
	e.suspicions = 0
	e.breaks = 0
	if e.state != Suspect {
		return false
	}
	e.state = Live
	return true
}

// ExpectedStreams estimates the number of streams on the engine: this VM's
// attempts plus those of other VMs at the last report, weighted by its age.
func (e *Engine) ExpectedStreams(now time.Time) float64 {
	others := max(e.load.running+e.load.waiting-e.outstandingAtReport, 0)
	age := now.Sub(e.reported)
	weight := 1.0
	switch {
	case e.reported.IsZero() || age >= staleAge:
		// An engine without a recent report counts as half full, not as idle.
		return float64(e.outstanding) + float64(e.Slots())/2
	case age > freshAge:
		weight = 1 - float64(age-freshAge)/float64(2*(staleAge-freshAge))
	}
	return float64(e.outstanding) + weight*float64(others)
}

// Score returns the expected number of streams relative to the batch limit. It is
// 1 when the batch is full.
func (e *Engine) Score(now time.Time) float64 {
	return e.ExpectedStreams(now) / float64(e.Slots())
}

// Accepts reports whether a new request may be sent to the engine.
func (e *Engine) Accepts(now time.Time) bool {
	return e.state == Live && e.Score(now) < 1+queueShare
}

// AcceptsResume reports whether a resume may be sent to the engine. Resumes may
// use more of the engine's queue than new requests.
func (e *Engine) AcceptsResume(now time.Time) bool {
	return e.state == Live && e.resuming < resumeLimit && e.Score(now) < 2
}
