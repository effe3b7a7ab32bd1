package edge

import (
	"strings"
	"time"

	"clementinelink.example/clementinelink/internal/meter"
	"clementinelink.example/clementinelink/internal/proxy"
	"github.com/rs/zerolog"
)

// journal writes one line for each decision that touches a request, and counts
// them. The writer behind it is bounded and never blocks.
type journal struct {
	log     zerolog.Logger
	metrics *meter.Registry
	first   *meter.Histogram
	pause   *meter.Histogram
	answer  *meter.Histogram
	resume  *meter.Histogram
	// table returns the version of the table in force and since when it is.
	table func() (version int64, since time.Time)
}

func newJournal(log zerolog.Logger, m *meter.Registry) *journal {
	return &journal{
		log:     log,
		metrics: m,
		first:   m.Histogram("first_piece_seconds", "Time from a stream's arrival to its first piece."),
		pause:   m.Histogram("piece_pause_seconds", "Longest pause between the pieces of a stream."),
		resume:  m.Histogram("resume_pause_seconds", "Time between two pieces of a stream from different attempts."),
		answer:  m.Histogram("answer_seconds", "Time from a request's arrival to its end."),
	}
}

// event notes what an attempt or a change of the surroundings brought.
func (j *journal) event(e proxy.Event, r *request, c *proxy.Core) {
	switch e.Kind() {
	case proxy.Lost:
		j.metrics.Counter("attempts_lost_total", "Attempts without an answer.", "cause", e.Cause().String()).Inc()
		if r != nil {
			j.unusual(r)
			j.log.Info().Str("request", r.id).Int("attempt", e.Attempt()).Str("cause", e.Cause().String()).
				Str("detail", e.Detail()).Msg("proxy: Attempt lost.")
		}
	case proxy.Reply:
		if e.Answer().Failed() && r != nil {
			j.unusual(r)
			j.log.Info().Str("request", r.id).Int("attempt", e.Attempt()).Int("status", e.Answer().Status()).Msg("proxy: Attempt failed.")
		}
	case proxy.Configure:
		j.log.Info().Int64("version", e.Table().Version()).Int64("before", version(c)).Msg("config: A version arrived.")
	case proxy.Members:
		listed, gone := e.Members()
		for _, l := range listed {
			j.log.Info().Str("upstream", l.ID()).Str("service", l.Service()).Str("address", l.Address()).
				Str("domain", l.Domain()).Bool("leaving", l.Leaving()).Msg("pool: An upstream is listed.")
		}
		for _, id := range gone {
			j.log.Info().Str("upstream", id).Msg("pool: An upstream is listed no more.")
		}
	case proxy.Named:
		j.log.Info().Str("upstream", e.Upstream()).Str("instance", e.Instance()).Msg("pool: Another incarnation answers.")
	case proxy.Stated:
		if !e.Alive() || e.Instance() != "" {
			j.log.Info().Str("upstream", e.Upstream()).Str("instance", e.Instance()).Bool("alive", e.Alive()).
				Str("detail", e.Detail()).Msg("pool: An engine was asked.")
		}
	}
}

// uncopied notes a run that was not copied.
func (j *journal) uncopied(id, holder string, err error) {
	j.log.Info().Str("request", id).Str("address", holder).Err(err).Msg("proxy: The run is not copied.")
}

// unknown notes an engine that did not answer a question.
func (j *journal) unknown(upstream string, err error) {
	j.log.Info().Str("upstream", upstream).Err(err).Msg("pool: An engine did not answer a question.")
}

func version(c *proxy.Core) int64 {
	if c.Table() == nil {
		return 0
	}
	return c.Table().Version()
}

// action notes a decision.
func (j *journal) action(now time.Time, a proxy.Action, r *request) {
	switch a.Kind() {
	case proxy.Ask:
		j.metrics.Counter("asked_total", "Questions for the state of engines.", "reason", a.Reason()).Inc()
		return
	case proxy.Open, proxy.Pass, proxy.Find, proxy.Name, proxy.Judge:
		return
	}
	if r == nil {
		return
	}
	switch a.Kind() {
	case proxy.Send:
		j.send(now, a, r)
	case proxy.Copy:
		j.unusual(r)
		j.log.Info().Str("request", r.id).Int("attempt", a.Attempt()).Str("holder", a.Holder().ID()).Str("reason", a.Reason()).
			Msg("proxy: A copy is ordered.")
	case proxy.Cancel:
		j.unusual(r)
		j.log.Info().Str("request", r.id).Int("attempt", a.Attempt()).Str("reason", a.Reason()).Msg("proxy: Attempt given up.")
	default:
		j.end(now, a, r)
	}
}

// sendLine is what is logged of a sending.
type sendLine struct {
	attempt  int
	reason   string
	instance string
	address  string
	domain   string
	holder   string
	work     int
	tokens   int
	position int
	copied   bool
	at       time.Duration
}

// send notes a sending. The first one is written only if the request takes an
// unusual course, since its end names the upstream.
func (j *journal) send(now time.Time, a proxy.Action, r *request) {
	if r.pieces > 0 {
		r.resumed = true
		j.metrics.Counter("resumes_total", "Streams continued by another attempt.", "from", source(a)).Inc()
	}
	j.metrics.Counter("attempts_total", "Requests sent to upstreams.", "reason", a.Reason()).Inc()
	u := a.Upstream()
	l := sendLine{
		attempt:  a.Attempt(),
		reason:   a.Reason(),
		instance: a.Instance(),
		address:  u.Address(),
		domain:   u.Entry().Domain(),
		work:     u.Work(),
		tokens:   u.Tokens(),
		position: a.Position(),
		copied:   a.Copied(),
		at:       now.Sub(r.arrived),
	}
	if a.Holder() != nil {
		l.holder = a.Holder().ID()
	}
	if r.sends == 0 {
		r.unwritten = &l
		r.back, r.kept = a.Position(), strings.HasSuffix(a.Reason(), proxy.PromptKept)
		return
	}
	j.unusual(r)
	j.sent(r, &l)
}

// source names what a stream is continued from.
func source(a proxy.Action) string {
	switch _, handle := a.Source(); {
	case a.Copied():
		return "standby copy"
	case handle != "":
		return "ordered copy"
	default:
		return "prompt"
	}
}

// piece notes a piece that is about to be passed on.
func (j *journal) piece(now time.Time, r *request) {
	if r.resumed {
		r.resumed = false
		j.resume.Observe(now.Sub(r.last))
	}
}

// unusual writes the first sending of a request whose course is unusual.
func (j *journal) unusual(r *request) {
	if r != nil && r.unwritten != nil {
		j.sent(r, r.unwritten)
		r.unwritten = nil
	}
}

func (j *journal) sent(r *request, l *sendLine) {
	e := j.log.Info().Str("request", r.id).Int("attempt", l.attempt).Str("reason", l.reason).
		Str("upstream", l.instance).Str("address", l.address).Str("domain", l.domain).
		Int64("after", l.at.Milliseconds()).Int("work", l.work).Int("tokens", l.tokens).Int("position", l.position)
	if l.copied {
		e = e.Bool("copied", true)
	}
	if l.holder != "" {
		e = e.Str("holder", l.holder)
	}
	e.Msg("proxy: Attempt sent.")
}

// end notes the end of a request.
func (j *journal) end(now time.Time, a proxy.Action, r *request) {
	took := now.Sub(r.arrived)
	j.answer.Observe(took)
	j.metrics.Counter("requests_total", "Requests by route, its kind and outcome.",
		"route", a.Route(), "kind", a.Class(), meter.Outcome, a.Kind().String()).Inc()
	if a.Kind() == proxy.Refuse {
		j.metrics.Counter("refusals_total", "Answers of the VM's own.", "reason", a.Reason()).Inc()
	}
	l := j.log.Info().Str("request", r.id).Str("route", a.Route()).Str("outcome", a.Kind().String()).Str("reason", a.Reason()).
		Int64("ms", took.Milliseconds()).Int("sends", r.sends)
	if r.unwritten != nil {
		l = l.Str("upstream", r.unwritten.instance).Str("domain", r.unwritten.domain)
	}
	if r.pieces > 0 {
		j.first.Observe(r.first)
		j.pause.Observe(r.pause)
		l = l.Int("pieces", r.pieces).Int64("first", r.first.Milliseconds()).Int64("pause", r.pause.Milliseconds()).Int("copies", r.copies)
	}
	if r.back > 0 {
		l = l.Int("back", r.back).Bool("kept", r.kept)
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
