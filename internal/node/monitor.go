package node

import (
	"sync/atomic"
	"time"

	"clementinelink.example/clementinelink/internal/burn"
	"clementinelink.example/clementinelink/internal/fleet"
	"clementinelink.example/clementinelink/internal/meter"
	"clementinelink.example/clementinelink/internal/relay"
	"clementinelink.example/clementinelink/internal/router"
)

// snapshotInterval is the shortest time between two snapshots of the router.
const snapshotInterval = 500 * time.Millisecond

// routerView is a snapshot of the router for operators. Its fields are exported
// for encoding/json.
type routerView struct {
	VM        string       `json:"vm"`
	Region    string       `json:"region"`
	Domain    string       `json:"domain"`
	Revision  uint64       `json:"revision"`
	Live      int          `json:"live"`
	Queued    int          `json:"queued"`
	Upstreams []engineView `json:"upstreams"`
}

// engineView is the state of one engine as this VM sees it.
type engineView struct {
	Name        string   `json:"name"`
	Service     string   `json:"service"`
	Domain      string   `json:"domain"`
	State       string   `json:"state"`
	Outstanding int      `json:"outstanding"`
	Load        float64  `json:"load"`
	GapMS       float64  `json:"gap"`
	Versions    []string `json:"versions"`
}

// monitor keeps a snapshot of the router for operators and updates metrics. Only
// the dispatcher calls observe and countResponse; other goroutines read the
// latest snapshot.
type monitor struct {
	settings        *Settings
	latest          atomic.Pointer[routerView]
	takenAt         time.Time
	metrics         *meter.Registry
	responses       map[string]*meter.Counter
	firstToken      *meter.Histogram
	resume          *meter.Histogram
	extraTokens     *meter.Counter
	suspicions      *meter.Counter
	falseSuspicions *meter.Counter
	attempts        *meter.Counter
}

func newMonitor(s *Settings, r *meter.Registry) *monitor {
	m := &monitor{
		settings:        s,
		metrics:         r,
		responses:       make(map[string]*meter.Counter),
		firstToken:      r.Histogram("first_token_seconds", "Time to the first token."),
		resume:          r.Histogram("resume_seconds", "Time that output stopped for the loss of an attempt."),
		extraTokens:     r.Counter("extra_tokens_total", "Received tokens that were not delivered."),
		suspicions:      r.Counter("suspicions_total", "Attempts that were silent for too long."),
		falseSuspicions: r.Counter("false_suspicions_total", "Suspect attempts that went on by themselves."),
		attempts:        r.Counter("attempts_total", "Attempts on engines."),
	}
	m.latest.Store(&routerView{})
	r.Watch("live_responses", "Responses in flight.", func() float64 { return float64(m.latest.Load().Live) })
	r.Watch("queued_requests", "Requests that wait for an engine.", func() float64 { return float64(m.latest.Load().Queued) })
	r.Watch("config_revision", "Configuration revision in force.", func() float64 { return float64(m.latest.Load().Revision) })
	for _, s := range []fleet.State{fleet.Unknown, fleet.Live, fleet.Suspect, fleet.Leaving, fleet.Dead} {
		r.Watch("upstreams", "Engines by state.", func() float64 { return float64(m.latest.Load().count(s.String())) }, "state", s.String())
	}
	return m
}

// observe takes a snapshot of the router if the last one is older than
// snapshotInterval.
func (m *monitor) observe(now time.Time, rt *router.Router) {
	if now.Sub(m.takenAt) < snapshotInterval {
		return
	}
	m.takenAt = now
	v := &routerView{
		VM:       m.settings.Name,
		Region:   m.settings.Region,
		Domain:   m.settings.Domain,
		Revision: rt.Config().Revision(),
		Live:     rt.Live(),
		Queued:   rt.Queued(),
	}
	for _, e := range rt.Engines() {
		v.Upstreams = append(v.Upstreams, engineView{
			Name:        e.Name(),
			Service:     e.VM().Service(),
			Domain:      e.VM().Domain(),
			State:       e.State().String(),
			Outstanding: e.Outstanding(),
			Load:        e.Score(now),
			GapMS:       float64(e.Cadence().Gap()) / float64(time.Millisecond),
			Versions:    e.Versions(),
		})
	}
	m.latest.Store(v)
}

// countResponse updates the metrics for a response that ended.
func (m *monitor) countResponse(_ time.Time, r *relay.Response) {
	s := r.Stats()
	result := "whole"
	switch {
	case s.Problem() != nil:
		result = s.Problem().Kind().Slug()
	case s.Abandoned():
		result = "abandoned"
	}
	m.counter(r.Request().Service(), r.Version(), result).Inc()
	if d := s.First(); d > 0 {
		m.firstToken.Observe(d)
	}
	if d := s.Resume(); d > 0 {
		m.resume.Observe(d)
	}
	m.extraTokens.Add(s.DiscardedTokens())
	m.suspicions.Add(s.Suspicions())
	m.falseSuspicions.Add(s.FalseAlarms())
	m.attempts.Add(s.Attempts())
}

// countRequest updates the metrics for a caller's request for a generation or a
// plain call. It is safe for concurrent use.
func (m *monitor) countRequest(s *burn.Sample) {
	_, refused := s.Outcomes(burn.Refused)
	m.metrics.Counter("requests_total", "Callers' requests.", "service", s.Service()).Inc()
	m.metrics.Counter("refused_total", "Requests that were refused.", "service", s.Service()).Add(refused)
}

// counter returns the counter of responses with the given labels. It keeps the
// counters in a map of its own to save the registry's lookup.
func (m *monitor) counter(service, version, result string) *meter.Counter {
	key := service + " " + version + " " + result
	c, ok := m.responses[key]
	if !ok {
		c = m.metrics.Counter("responses_total", "Responses by result.", "service", service, "version", version, "result", result)
		m.responses[key] = c
	}
	return c
}

// count returns the number of engines in a state.
func (v *routerView) count(state string) int {
	n := 0
	for _, u := range v.Upstreams {
		if u.State == state {
			n++
		}
	}
	return n
}
