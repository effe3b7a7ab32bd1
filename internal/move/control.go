package move

import (
	"fmt"
	"math"
	"time"

	"clementinelink.example/clementinelink/internal/world"
)

// stage is one step in the increase of the new version's share.
type stage struct {
	share float64
	// earliest is the earliest start as a fraction of the time between start
	// and deadline. Waiting lets regressions that begin later or under load
	// show while they affect only part of the traffic.
	earliest float64
}

// stages follow stage 0, whose share is the plan's unproven share. The last
// stage leaves a fifth on the old version, because the evaluator compares both
// over the same minutes: at a share of 0.9 one bad request is half as much
// evidence as at 0.8.
var stages = [...]stage{
	{
		share:    0.25,
		earliest: 0.10,
	},
	{
		share:    0.50,
		earliest: 0.25,
	},
	{
		share:    0.80,
		earliest: 0.45,
	},
}

// doneEarliest is the earliest time at which a move may be done, as a fraction
// of the time between start and deadline.
const doneEarliest = 0.80

// firstRequests is how many requests of all entry VMs together may reach the new
// version before any result is known. Three failures are enough evidence
// against a version that always fails; the rest covers requests in flight.
const firstRequests = 14

// allowancePerSuccess is how many more requests an unproven version may receive
// for each successful one.
const allowancePerSuccess = 2

// minStageShare is the minimum duration of a stage as a fraction of the move's.
const minStageShare = 0.04

// doneLeadTime is how long before the deadline Done may last be written, so
// that it takes effect before the VMs revert on their own. For a short move it
// is doneLeadShare of the move's duration instead.
const (
	doneLeadTime  = 5 * time.Second
	doneLeadShare = 0.05
)

// shortMove is the duration below which the stages of a move are shorter than
// the minutes by which evidence is counted. The proof for each stage of such a
// move uses all evidence since the start, and slow requests count by engine instead
// of by minute.
const shortMove = 5 * time.Minute

// WatchTime is how long after its deadline a move is still evaluated. The old
// version must stay loaded until then.
const WatchTime = 10 * time.Minute

// writeRetry is the time after which an unanswered write is repeated. It is safe
// to repeat because it is a compare-and-swap.
const writeRetry = 2 * time.Second

// assessInterval is the minimum time between two evaluations. A move of less
// than 25 s uses its shortest stage instead.
const assessInterval = time.Second

// Controller decides the steps of one move on one VM. Every entry VM runs one
// for each move, and the holder of the move's lease writes the record. It is
// owned by one goroutine.
type Controller struct {
	service   string
	plan      *world.Move
	evaluator *Evaluator
	// failure is why the new version is bad, or "" while that is not known.
	failure     string
	announced   bool
	loadStopped bool
	assessment  *Assessment
	steppedAt   time.Time
	assessedAt  time.Time
	// writtenRevision is the revision that the last requested Write creates, and
	// writtenAt the time of that request.
	writtenRevision uint64
	writtenAt       time.Time
	input           Input
	limits          Limits
}

// NewController returns the controller of a move of the service. The set holds
// the evidence of this VM and its peers.
func NewController(service string, plan *world.Move, set *EvidenceSet) *Controller {
	c := &Controller{
		service:    service,
		plan:       plan,
		evaluator:  NewEvaluator(set, service, plan.From(), plan.To()),
		assessment: &Assessment{logRatio: math.Inf(-1)},
	}
	c.evaluator.byEngine = c.duration() < shortMove
	return c
}

// WithExposure bounds the requests that reach the new version before it is
// proven. Where these are too few to exclude the usual margins, a proof excludes
// the smallest increase that they can show. It returns c.
func (c *Controller) WithExposure(e Exposure) *Controller {
	c.evaluator.exposure = &e
	return c
}

// CountsByEngine reports whether the slow requests of the move must be counted by
// engine; see Key.WithEngine.
func (c *Controller) CountsByEngine() bool { return c.evaluator.byEngine }

// Close stops the controller from following its evidence.
func (c *Controller) Close() { c.evaluator.Close() }

// Step evaluates the move at now and returns the resulting actions. The first
// one is always a Limit.
func (c *Controller) Step(now time.Time, in Input) []Action {
	c.input = in
	c.evaluator.live = in.live
	c.assess(now)
	if c.failure == "" && in.failure != "" {
		c.failure = in.failure
	}
	c.limits = c.computeLimits(now)
	actions := []Action{{
		kind:   Limit,
		limits: c.limits,
	}}
	if c.failure != "" && !c.announced {
		c.announced = true
		actions = append(actions, Action{
			kind:   AnnounceFailure,
			reason: c.failure,
		})
	}
	actions = append(actions, c.loadActions(now)...)
	if w, ok := c.writeAction(now); ok {
		actions = append(actions, w)
	}
	return actions
}

// final reports whether the record can no longer change.
func (c *Controller) final(now time.Time) bool {
	return c.input.record.state == RolledBack ||
		c.input.record.state == Done && now.After(c.plan.Deadline().Add(WatchTime))
}

// assess evaluates the evidence and keeps a failure for good. Any VM may decide
// that the new version failed, because that only returns traffic to the old one.
func (c *Controller) assess(now time.Time) {
	if !c.steppedAt.IsZero() && now.After(c.steppedAt) {
		c.evaluator.Observe(now, now.Sub(c.steppedAt), c.input.from, c.input.to)
	}
	c.steppedAt = now
	if c.final(now) || now.Before(c.plan.Start()) || now.Sub(c.assessedAt) < min(assessInterval, c.minStageTime()) {
		return
	}
	c.assessedAt = now
	if c.input.record.state == Done {
		c.assessment = c.evaluator.AssessPostMove(c.input.record.at)
	} else {
		c.assessment = c.evaluator.Assess(c.stageStart())
	}
	if c.failure == "" && c.assessment.logRatio >= c.failureThreshold() {
		c.failure = c.assessment.Reason()
	}
}

// failureThreshold returns the evidence, in nats, at which this VM calls the new
// version bad. It is higher without the lease: these VMs each see a different
// part of the evidence and together must not exceed FalseAlarmRate.
func (c *Controller) failureThreshold() float64 {
	if c.input.hasLease {
		return -math.Log(FalseAlarmRate)
	}
	return math.Log(float64(c.input.live)) - math.Log(FalseAlarmRate)
}

// stageStart returns a time in the first full minute of the stage. Only evidence
// at the stage's own share counts for a proof.
func (c *Controller) stageStart() time.Time {
	if c.input.record.at.IsZero() || c.duration() < shortMove {
		return c.plan.Start()
	}
	return c.input.record.at.Add(59 * time.Second)
}

// computeLimits returns the gate's limits at now.
func (c *Controller) computeLimits(now time.Time) Limits {
	l := NewLimits(0, math.Inf(1), c.plan.Start(), c.plan.Deadline())
	r := c.input.record
	switch {
	case r.state == RolledBack, c.failure != "" && !c.final(now):
		return l
	case r.state == Done:
		return l.WithDone()
	case now.Before(l.start) || !now.Before(l.end):
		return l
	case r.stage > 0:
		l.share = c.stageShare(r.stage)
	case c.evaluator.exposure != nil:
		// The quota of each VM bounds the requests.
		l.share = c.evaluator.exposure.shareOf(c.input.live)
	default:
		l.share = c.plan.UnprovenShare()
		l.count = c.allowance()
	}
	if c.input.engines > 0 {
		l.share = min(l.share, c.input.readyShare())
	}
	return l
}

// stageShare returns the share of stage n, which counts from 1.
func (c *Controller) stageShare(n int) float64 {
	n = min(n, len(stages))
	return max(stages[n-1].share, c.plan.UnprovenShare())
}

// allowance returns how many requests this VM may have sent to an unproven
// version in all: an equal part of what the live entry VMs may send together.
func (c *Controller) allowance() float64 {
	successes := c.evaluator.set.successes[[2]string{c.service, c.plan.To()}]
	return (firstRequests + allowancePerSuccess*float64(max(successes, 0))) / float64(c.input.live)
}

// timeAt returns the time at a fraction of the move's duration.
func (c *Controller) timeAt(fraction float64) time.Time {
	return c.plan.Start().Add(time.Duration(fraction * float64(c.duration())))
}

func (c *Controller) duration() time.Duration { return c.plan.Deadline().Sub(c.plan.Start()) }

// lastDoneTime returns the time after which Done must no longer be written.
func (c *Controller) lastDoneTime() time.Time {
	return c.plan.Deadline().Add(-min(doneLeadTime, time.Duration(doneLeadShare*float64(c.duration()))))
}

// nextRecord returns the record that should replace the current one, and whether
// it may be written at now.
func (c *Controller) nextRecord(now time.Time) (Record, bool) {
	r := Record{
		at:    now,
		fence: c.input.fence,
		stage: c.input.record.stage,
	}
	switch {
	case c.final(now):
		return r, false
	case c.failure != "":
		r.state = RolledBack
		r.reason = c.failure
		return r, true
	case c.input.record.state == Done:
		return r, false
	case !now.Before(c.plan.Deadline()):
		r.state = RolledBack
		r.reason = "not proven by the deadline"
		return r, true
	case !c.assessment.Proven() || !c.stageElapsed(now):
		return r, false
	case r.stage < len(stages):
		r.stage = c.nextStage(now)
		r.reason = "proven at the stage before"
		return r, !now.Before(c.timeAt(stages[r.stage-1].earliest)) && c.input.readyShare() >= c.stageShare(r.stage)
	}
	r.state = Done
	r.reason = "proven at every stage"
	return r, !now.Before(c.timeAt(doneEarliest)) && now.Before(c.lastDoneTime())
}

// stageElapsed reports whether the current stage has lasted its minimum time.
func (c *Controller) stageElapsed(now time.Time) bool {
	began := c.input.record.at
	if began.IsZero() {
		began = c.plan.Start()
	}
	return now.Sub(began) >= c.minStageTime()
}

// minStageTime returns the minimum duration of a stage.
func (c *Controller) minStageTime() time.Duration {
	return time.Duration(minStageShare * float64(c.duration()))
}

// nextStage returns the stage that follows the current one. If WithExposure set
// a bound, it skips a stage when the one after it may start already, so that a
// late proof still lets the move finish.
func (c *Controller) nextStage(now time.Time) int {
	n := c.input.record.stage + 1
	for c.evaluator.exposure != nil && n < len(stages) && !now.Before(c.timeAt(stages[n].earliest)) {
		n++
	}
	return n
}

// writeAction returns the next Write of the record, if one is due and this VM
// holds the lease.
func (c *Controller) writeAction(now time.Time) (Action, bool) {
	if !c.input.hasLease || now.Before(c.plan.Start()) {
		return Action{}, false
	}
	r, ok := c.nextRecord(now)
	if !ok || c.writtenRevision == c.input.revision+1 && now.Sub(c.writtenAt) < writeRetry {
		return Action{}, false
	}
	c.writtenRevision = c.input.revision + 1
	c.writtenAt = now
	a := Action{
		kind:     Write,
		record:   r,
		revision: c.input.revision,
	}
	if r.state != RolledBack {
		a.before = c.lastDoneTime()
	}
	return a, true
}

// loadActions requests the engines of the next stage, or the end of loading once
// the new version failed or the deadline has passed.
func (c *Controller) loadActions(now time.Time) []Action {
	if c.failure != "" || c.input.record.state == RolledBack || c.input.record.state != Done && !now.Before(c.plan.Deadline()) {
		if c.loadStopped {
			return nil
		}
		c.loadStopped = true
		return []Action{{
			kind:    Stop,
			version: c.plan.To(),
			reason:  c.failure,
		}}
	}
	if c.final(now) {
		return nil
	}
	n := min(c.input.record.stage, len(stages)-1)
	fraction, by := c.stageShare(n+1), c.timeAt(stages[n].earliest)
	if c.input.record.state == Done || c.input.record.stage == len(stages) {
		fraction, by = 1, c.timeAt(doneEarliest)
	}
	if c.input.readyShare() >= fraction {
		return nil
	}
	return []Action{{
		kind:     Load,
		version:  c.plan.To(),
		fraction: fraction,
		before:   by,
	}}
}

// Status describes the progress of a move to operators. It is immutable.
type Status struct {
	service  string
	plan     *world.Move
	record   Record
	share    float64
	failure  string
	logRatio float64
	lines    []string
}

// Status returns the state of the move as of the last Step on this VM.
func (c *Controller) Status() Status {
	return Status{
		service:  c.service,
		plan:     c.plan,
		record:   c.input.record,
		share:    c.limits.share,
		failure:  c.failure,
		logRatio: c.assessment.LogRatio(),
		lines:    c.assessment.Lines(),
	}
}

// Service returns the service's name.
func (s Status) Service() string { return s.service }

// Plan returns the move.
func (s Status) Plan() *world.Move { return s.plan }

// Record returns the last record that this VM read.
func (s Status) Record() Record { return s.record }

// Share returns the share of this VM's requests that go to the new version, from
// 0 to 1.
func (s Status) Share() float64 { return s.share }

// Reason returns why the new version failed or, if it did not, the reason in the
// record. It is "" before the first stage change.
func (s Status) Reason() string {
	if s.failure != "" {
		return s.failure
	}
	return s.record.reason
}

// Lines returns the evidence as text, one metric per line.
func (s Status) Lines() []string { return s.lines }

// String formats the status as one line.
func (s Status) String() string {
	return fmt.Sprintf("%s: %s %s -> %s, %s stage %d, share %.3f, evidence e^%.1f, %s", s.plan.Name(), s.service,
		s.plan.From(), s.plan.To(), s.record.state, s.record.stage, s.share, s.logRatio, s.Reason())
}
