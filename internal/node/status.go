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

// viewEvery is the time between two snapshots of the router for operators.
const viewEvery = 500 * time.Millisecond

// view is what operators see of the router. Its fields are exported for the
// JSON codec.
type view struct {
	VM        string         `json:"vm"`
	Region    string         `json:"region"`
	Domain    string         `json:"domain"`
	Revision  uint64         `json:"revision"`
	Live      int            `json:"live"`
	Queued    int            `json:"queued"`
	Upstreams []upstreamView `json:"upstreams"`
}

// upstreamView is one engine as this VM sees it.
type upstreamView struct {
	Name        string   `json:"name"`
	Service     string   `json:"service"`
	Domain      string   `json:"domain"`
	State       string   `json:"state"`
	Outstanding int      `json:"outstanding"`
	Load        float64  `json:"load"`
	GapMS       float64  `json:"gap"`
	Versions    []string `json:"versions"`
}

// watcher follows the router for operators and metrics. The dispatcher calls
// it; others read its snapshot.
type watcher struct {
	settings *Settings
	latest   atomic.Pointer[view]
	taken    time.Time
	metrics  *meter.Registry
	results  map[string]*meter.Counter
	first    *meter.Histogram
	resume   *meter.Histogram
	extra    *meter.Counter
	suspect  *meter.Counter
	alarms   *meter.Counter
	attempts *meter.Counter
}

func newWatcher(s *Settings, r *meter.Registry) *watcher {
	w := &watcher{
		settings: s,
		metrics:  r,
		results:  make(map[string]*meter.Counter),
		first:    r.Histogram("first_token_seconds", "Time to the first token."),
		resume:   r.Histogram("resume_seconds", "Time that output stopped for the loss of an attempt."),
		extra:    r.Counter("extra_tokens_total", "Received tokens that were not delivered."),
		suspect:  r.Counter("suspicions_total", "Attempts that were silent for too long."),
		alarms:   r.Counter("false_suspicions_total", "Suspect attempts that went on by themselves."),
		attempts: r.Counter("attempts_total", "Attempts on engines."),
	}
	w.latest.Store(&view{})
	r.Watch("live_responses", "Responses in flight.", func() float64 { return float64(w.latest.Load().Live) })
	r.Watch("queued_requests", "Requests that wait for an engine.", func() float64 { return float64(w.latest.Load().Queued) })
	r.Watch("config_revision", "Configuration revision in force.", func() float64 { return float64(w.latest.Load().Revision) })
	for _, s := range []fleet.State{fleet.Unknown, fleet.Live, fleet.Suspect, fleet.Leaving, fleet.Dead} {
		r.Watch("upstreams", "Engines by state.", func() float64 { return float64(w.latest.Load().count(s.String())) }, "state", s.String())
	}
	return w
}

// observe takes a snapshot of the router from time to time.
func (w *watcher) observe(now time.Time, rt *router.Router) {
	if now.Sub(w.taken) < viewEvery {
		return
	}
	w.taken = now
	v := &view{
		VM:       w.settings.Name,
		Region:   w.settings.Region,
		Domain:   w.settings.Domain,
		Revision: rt.Config().Revision(),
		Live:     rt.Live(),
		Queued:   rt.Queued(),
	}
	for _, e := range rt.Engines() {
		v.Upstreams = append(v.Upstreams, upstreamView{
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
	w.latest.Store(v)
}

// report counts a response that ended.
func (w *watcher) report(_ time.Time, r *relay.Response) {
	s := r.Stats()
	result := "whole"
	switch {
	case s.Problem() != nil:
		result = s.Problem().Kind().Slug()
	case s.Abandoned():
		result = "abandoned"
	}
	w.counter(r.Request().Service(), r.Version(), result).Inc()
	if d := s.First(); d > 0 {
		w.first.Observe(d)
	}
	if d := s.Resume(); d > 0 {
		w.resume.Observe(d)
	}
	w.extra.Add(s.Extra())
	w.suspect.Add(s.Suspicions())
	w.alarms.Add(s.FalseAlarms())
	w.attempts.Add(s.Attempts())
}

// sample counts a caller's request, for a generation or a plain call. It is
// safe for concurrent use.
func (w *watcher) sample(s *burn.Sample) {
	_, refused := s.Of(burn.Refused)
	w.metrics.Counter("requests_total", "Callers' requests.", "service", s.Service()).Inc()
	w.metrics.Counter("refused_total", "Requests that were refused.", "service", s.Service()).Add(refused)
}

func (w *watcher) counter(service, version, result string) *meter.Counter {
	key := service + " " + version + " " + result
	c, ok := w.results[key]
	if !ok {
		c = w.metrics.Counter("responses_total", "Responses by result.", "service", service, "version", version, "result", result)
		w.results[key] = c
	}
	return c
}

func (v *view) count(state string) int {
	n := 0
	for _, u := range v.Upstreams {
		if u.State == state {
			n++
		}
	}
	return n
}
