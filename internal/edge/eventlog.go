package edge

import (
	"strings"
	"time"

	"clementinelink.example/clementinelink/internal/meter"
	"clementinelink.example/clementinelink/internal/pool"
	"clementinelink.example/clementinelink/internal/proxy"
	"clementinelink.example/clementinelink/internal/reap"
	"clementinelink.example/clementinelink/internal/stand"
	"github.com/rs/zerolog"
)

// eventLog logs and counts events and the decisions about requests. The log
// writer is bounded and never blocks the dispatcher.
type eventLog struct {
	log        zerolog.Logger
	metrics    *meter.Registry
	firstPiece *meter.Histogram
	maxGap     *meter.Histogram
	duration   *meter.Histogram
	resumeGap  *meter.Histogram
	lateness   *meter.Histogram
	// table returns the version of the current table and when it arrived.
	table func() (version int64, since time.Time)
}

func newEventLog(log zerolog.Logger, m *meter.Registry) *eventLog {
	return &eventLog{
		log:        log,
		metrics:    m,
		firstPiece: m.Histogram("first_piece_seconds", "Time from a stream's arrival to its first piece."),
		maxGap:     m.Histogram("piece_pause_seconds", "Longest pause between the pieces of a stream."),
		resumeGap:  m.Histogram("resume_pause_seconds", "Time between two pieces of a stream from different attempts."),
		lateness:   m.Histogram("late_seconds", "Time by which the dispatcher woke too late."),
		duration:   m.Histogram("answer_seconds", "Time from a request's arrival to its end."),
	}
}

// logEvent logs failed attempts and changes of the configuration, the registry
// and the upstreams.
func (j *eventLog) logEvent(e proxy.Event, r *request, c *proxy.Core) {
	switch e.Kind() {
	case proxy.Lost:
		j.metrics.Counter("attempts_lost_total", "Attempts without an answer.", "cause", e.Cause().String()).Inc()
		if r != nil {
			j.flushDeferredSend(r)
			j.log.Info().Str("request", r.id).Int("attempt", e.Attempt()).Str("cause", e.Cause().String()).
				Str("detail", e.Detail()).Msg("proxy: Attempt lost.")
		}
	case proxy.Reply:
		if e.Answer().Failed() && r != nil {
			j.flushDeferredSend(r)
			j.log.Info().Str("request", r.id).Int("attempt", e.Attempt()).Int("status", e.Answer().Status()).Msg("proxy: Attempt failed.")
		}
	case proxy.Configure:
		j.log.Info().Int64("version", e.Table().Version()).Int64("before", c.Table().Version()).Msg("config: A version arrived.")
	case proxy.Members:
		listed, gone := e.Members()
		for _, l := range listed {
			j.log.Info().Str("upstream", l.ID()).Str("service", l.Service()).Str("address", l.Address()).
				Str("version", l.Version()).Str("domain", l.Domain()).Bool("leaving", l.Leaving()).Msg("pool: An upstream is listed.")
		}
		for _, id := range gone {
			j.log.Info().Str("upstream", id).Msg("pool: An upstream is listed no more.")
		}
	case proxy.IDReported:
		j.log.Info().Str("upstream", e.Upstream()).Str("instance", e.Instance()).Msg("pool: Another incarnation answers.")
	case proxy.StateReported:
		if !e.Responded() || e.Instance() != "" {
			j.log.Info().Str("upstream", e.Upstream()).Str("instance", e.Instance()).Bool("alive", e.Responded()).
				Str("service", c.IdentifiedService(e)).Str("detail", e.Detail()).Int64("late", e.Lateness().Milliseconds()).Msg("pool: An engine was asked.")
		}
	}
}

// logChange logs a change of an upstream's state. age is the time in the earlier
// state and rest that to the end of a rest, both in milliseconds. limit is the requests
// a second that the upstream accepts from all VMs.
func (j *eventLog) logChange(c stand.Change) {
	j.log.Info().Str("upstream", c.Upstream()).Str("state", c.State()).Str("cause", c.Cause()).
		Int64("age", c.Age().Milliseconds()).Int64("rest", c.Rest().Milliseconds()).Float64("limit", c.Limit()).Msg("pool: An upstream changed its state.")
}

// logInvalid logs a header field of an upstream that was ignored.
func (j *eventLog) logInvalid(upstream string, f stand.InvalidField) {
	j.log.Warn().Str("upstream", upstream).Str("field", f.Name()).Str("value", f.Value()).Msg("pool: A header field is ignored.")
}

// logCopyFailure logs that a run could not be copied.
func (j *eventLog) logCopyFailure(id, holder string, err error) {
	j.log.Info().Str("request", id).Str("address", holder).Err(err).Msg("proxy: Copying the run failed.")
}

// logStop counts the answer to an order to stop a run, and logs that to the first one.
// after is the time since the run was cancelled, in milliseconds.
func (j *eventLog) logStop(now time.Time, o reap.Order, outcome reap.Outcome, err error) {
	j.metrics.Counter("stops_total", "Orders to stop runs of cancelled attempts.", meter.Outcome, outcome.String()).Inc()
	if !o.First() {
		return
	}
	j.log.Info().Str("request", o.Run().Request).Str("upstream", o.Run().Instance).Str("outcome", outcome.String()).Str("other", o.Other()).
		Int64("after", now.Sub(o.Cancelled()).Milliseconds()).AnErr("detail", err).Msg("proxy: A cancelled run was looked for.")
}

// logLateness observes by how much the timer was late, and logs it if the VM has paused.
func (j *eventLog) logLateness(late time.Duration, paused bool) {
	j.lateness.Observe(late)
	if paused {
		j.log.Info().Int64("ms", late.Milliseconds()).Msg("edge: The dispatcher woke late.")
	}
}

// logStopEnd logs the end of the search for a cancelled run that took more than one
// order.
func (j *eventLog) logStopEnd(now time.Time, e reap.Ended) {
	if e.Orders() > 1 {
		j.log.Info().Str("request", e.Run().Request).Str("upstream", e.Run().Instance).Str("outcome", e.Outcome().String()).
			Int("orders", e.Orders()).Int64("after", now.Sub(e.Cancelled()).Milliseconds()).Msg("proxy: A cancelled run is looked for no more.")
	}
}

// logQueryFailure logs that a query to an engine failed.
func (j *eventLog) logQueryFailure(upstream string, err error) {
	j.log.Info().Str("upstream", upstream).Err(err).Msg("pool: Engine query failed.")
}

// logAction logs and counts a decision of the core.
func (j *eventLog) logAction(now time.Time, a proxy.Action, r *request) {
	switch a.Kind() {
	case proxy.QueryState:
		j.metrics.Counter("asked_total", "Questions for the state of engines.", "reason", a.Reason()).Inc()
		return
	case proxy.SendHead, proxy.SendPiece, proxy.QueryPrompt, proxy.QueryID, proxy.StopRun, proxy.ReportOutcome, proxy.ReportCrash, proxy.ReportSurvival:
		return
	}
	if r == nil {
		return
	}
	switch a.Kind() {
	case proxy.Send:
		j.logSend(now, a, r)
	case proxy.Copy:
		j.flushDeferredSend(r)
		j.log.Info().Str("request", r.id).Int("attempt", a.Attempt()).Str("holder", a.Holder().ID()).Str("reason", a.Reason()).
			Msg("proxy: A copy is ordered.")
	case proxy.Denied:
		j.metrics.Counter("denied_total", "Repeats that were denied, once for each wait.", "reason", a.Reason()).Inc()
		j.flushDeferredSend(r)
		j.log.Info().Str("request", r.id).Int("left", a.Left()).Int64("more", a.Timeout().Milliseconds()).Int("pieces", r.pieces).Str("reason", a.Reason()).Msg("proxy: A repeat is denied.")
	case proxy.Cancel:
		j.flushDeferredSend(r)
		j.log.Info().Str("request", r.id).Int("attempt", a.Attempt()).Str("reason", a.Reason()).Msg("proxy: Attempt given up.")
	default:
		j.logEnd(now, a, r)
	}
}

// sendRecord holds the log fields of one attempt.
type sendRecord struct {
	attempt int
	reason  string
	// entry is that of the upstream, and instance the incarnation that must run it.
	entry    pool.Entry
	instance string
	holder   string
	rank     int
	work     int
	tokens   int
	position int
	copied   bool
	at       time.Duration
}

// logSend counts an attempt. The first attempt of a request is logged only if
// another event of the request is logged before its end, because the line of the
// request's end names the upstream.
func (j *eventLog) logSend(now time.Time, a proxy.Action, r *request) {
	if r.pieces > 0 {
		r.resumed = true
		j.metrics.Counter("resumes_total", "Streams continued by another attempt.", "from", resumeSource(a)).Inc()
	}
	j.metrics.Counter("attempts_total", "Requests sent to upstreams.", "reason", a.Reason()).Inc()
	u := a.Upstream()
	l := sendRecord{
		attempt:  a.Attempt(),
		reason:   a.Reason(),
		entry:    u.Entry(),
		instance: a.Instance(),
		rank:     a.Rank(),
		work:     u.Attempts(),
		tokens:   u.Tokens(),
		position: a.Position(),
		copied:   a.Copied(),
		at:       now.Sub(r.arrived),
	}
	if a.Holder() != nil {
		l.holder = a.Holder().ID()
	}
	if r.sends == 0 {
		r.deferredSend = &l
		r.startPosition, r.promptCached = a.Position(), strings.HasSuffix(a.Reason(), proxy.PromptCached)
		return
	}
	j.flushDeferredSend(r)
	j.writeSend(r, &l)
}

// resumeSource returns the metric label for what a stream is continued from.
func resumeSource(a proxy.Action) string {
	switch _, handle := a.Source(); {
	case a.Copied():
		return "standby copy"
	case handle != "":
		return "ordered copy"
	default:
		return "prompt"
	}
}

// observePiece records the gap before the first piece of a resumed stream. Call
// it before the piece is passed to the caller.
func (j *eventLog) observePiece(now time.Time, r *request) {
	if r.resumed {
		r.resumed = false
		j.resumeGap.Observe(now.Sub(r.lastPiece))
	}
}

// flushDeferredSend logs the first attempt of a request if that was deferred.
func (j *eventLog) flushDeferredSend(r *request) {
	if r != nil && r.deferredSend != nil {
		j.writeSend(r, r.deferredSend)
		r.deferredSend = nil
	}
}

// writeSend writes the log line of an attempt.
func (j *eventLog) writeSend(r *request, l *sendRecord) {
	e := j.log.Info().Str("request", r.id).Int("attempt", l.attempt).Str("reason", l.reason).
		Str("service", l.entry.Service()).Str("upstream", l.instance).Str("address", l.entry.Address()).Str("version", l.entry.Version()).Str("domain", l.entry.Domain()).
		Int64("after", l.at.Milliseconds()).Int("rank", l.rank).Int("work", l.work).Int("tokens", l.tokens).Int("position", l.position)
	if l.copied {
		e = e.Bool("copied", true)
	}
	if l.holder != "" {
		e = e.Str("holder", l.holder)
	}
	e.Msg("proxy: Attempt sent.")
}

// logEnd logs and counts the end of a request.
func (j *eventLog) logEnd(now time.Time, a proxy.Action, r *request) {
	took := now.Sub(r.arrived)
	j.duration.Observe(took)
	j.metrics.Counter("requests_total", "Requests by route, its kind and outcome.",
		"route", a.Route(), "kind", a.Class(), meter.Outcome, a.Kind().String()).Inc()
	if a.Kind() == proxy.Refuse {
		j.metrics.Counter("refusals_total", "Answers of the VM's own.", "reason", a.Reason()).Inc()
	}
	l := j.log.Info().Str("request", r.id).Str("route", a.Route()).Str("outcome", a.Kind().String()).Str("reason", a.Reason()).
		Int64("ms", took.Milliseconds()).Int("sends", r.sends)
	if r.deferredSend != nil {
		l = l.Str("upstream", r.deferredSend.instance).Str("version", r.deferredSend.entry.Version()).Str("domain", r.deferredSend.entry.Domain())
	}
	if r.pieces > 0 {
		j.firstPiece.Observe(r.firstPiece)
		j.maxGap.Observe(r.maxGap)
		l = l.Int("pieces", r.pieces).Int64("first", r.firstPiece.Milliseconds()).Int64("pause", r.maxGap.Milliseconds()).Int("copies", r.copies)
	}
	if r.startPosition > 0 {
		l = l.Int("back", r.startPosition).Bool("kept", r.promptCached)
	}
	if a.Answer() != nil {
		l = l.Int("status", a.Answer().Status())
	}
	if a.Kind() == proxy.Refuse && r.sends == 0 && j.table != nil {
		v, since := j.table()
		l = l.Int64("table", v).Int64("table_age", now.Sub(since).Milliseconds())
	}
	if p := a.Problem(); p != nil {
		l = l.Int("status", p.Status()).Str("ran", p.Outcome().String())
	}
	l.Msg("proxy: Request ended.")
}
