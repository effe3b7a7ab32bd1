package where

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"math"
	"net/http"
	"net/http/httptest"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"clementinelink.example/clementinelink/internal/blame"
	"clementinelink.example/clementinelink/internal/budget"
	"clementinelink.example/clementinelink/internal/move"
	"clementinelink.example/clementinelink/internal/pool"
	"clementinelink.example/clementinelink/internal/proxy"
	"clementinelink.example/clementinelink/internal/stand"
	"clementinelink.example/clementinelink/internal/table"
)

// secret is the workspace key of the scripts. No output may contain it.
const secret = "k-7f3a9c"

// script runs the commands of one data file against a core and the handler of its VM.
type script struct {
	t    testing.TB
	core *proxy.Core
	base time.Time
	now  time.Time
	// asks is true if each event is preceded and followed by two explanations.
	asks bool
	// trace holds the actions of all events.
	trace strings.Builder
}

func newScript(t testing.TB) *script {
	base := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	return &script{
		t:    t,
		core: proxy.New(pool.New("r1", "a", 1), budget.NewLimits(0.8, 180, 10*time.Second), 1).WithExposure(move.NewExposure(0.1, 50)),
		base: base,
		now:  base,
	}
}

// TestScripts guards the explanation against a decision that differs from what the request
// path does, a message that does not name the field or the cause, and a key in the output.
// Times are in ms since the start of the file.
func TestScripts(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		s := newScript(t)
		datadriven.RunTest(t, path, func(_ *testing.T, d *datadriven.TestData) string {
			out := s.run(d)
			if strings.Contains(out, secret) {
				t.Fatalf("%s: the output has the key", d.Pos)
			}
			return out
		})
	})
}

// TestChangesNothing guards against an explanation that draws a random number, takes a place
// within a limit or a move, marks a query or changes another record of the VM: each script
// gives the same actions with and without two explanations before and after each event.
func TestChangesNothing(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		var traces [2]string
		for i := range traces {
			s := newScript(t)
			s.asks = i > 0
			datadriven.RunTest(t, path, func(_ *testing.T, d *datadriven.TestData) string {
				_ = s.run(d)
				return d.Expected
			})
			// What the scripts do not reach differs in a series of requests and timers.
			for n := range 200 {
				s.pass(n)
				s.step(proxy.NewArrive(proxy.NewRequest(s.spec(uint64(1000+n), n))))
			}
			traces[i] = s.trace.String()
		}
		if traces[0] != traces[1] {
			t.Errorf("with explanations:\n%s\nwithout:\n%s", traces[1], traces[0])
		}
		if !strings.Contains(traces[0], "send") && !strings.Contains(traces[0], "refuse") {
			t.Error("no request was sent or refused")
		}
	})
}

// TestAgrees guards against an explanation that differs from the request path: of a request
// that arrives next, the upstream is one that the explanation marks as near the best, and a
// refusal is the same.
func TestAgrees(t *testing.T) {
	sent, refused := 0, 0
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		s := newScript(t)
		datadriven.RunTest(t, path, func(_ *testing.T, d *datadriven.TestData) string {
			_ = s.run(d)
			return d.Expected
		})
		for n := range 200 {
			s.pass(n)
			q := s.spec(uint64(1000+n), n)
			report, err := Explain(s.now, "edge-1", s.core, q)
			if err != nil || len(report.Services) != 1 {
				continue
			}
			want := report.Services[0]
			for _, a := range s.core.Step(s.now, proxy.NewArrive(proxy.NewRequest(q))) {
				switch a.Kind() {
				case proxy.Send:
					sent++
					near := slices.ContainsFunc(want.Upstreams, func(u Upstream) bool { return u.ID == a.Upstream().ID() && u.Near })
					if want.Answer.Kind != "send" || want.Answer.After != 0 || !near {
						t.Errorf("request %d is sent to %s: %s", n, a.Upstream().ID(), report.Text())
					}
				case proxy.Refuse:
					refused++
					if want.Answer.Kind != "refuse" || want.Answer.Reason != a.Reason() || want.Answer.Status != a.Problem().Status() {
						t.Errorf("request %d is refused, %s: %s", n, a.Reason(), report.Text())
					}
				}
			}
		}
	})
	t.Logf("%d sent, %d refused", sent, refused)
	if sent < 100 || refused < 100 {
		t.Errorf("%d sent and %d refused are too few to compare", sent, refused)
	}
}

// BenchmarkCopy measures how long an explanation holds up the goroutine that owns the core.
func BenchmarkCopy(b *testing.B) {
	s := newScript(b)
	s.step(proxy.NewConfigure(table.New(1, table.Limits{})))
	var list []pool.Entry
	for i := range 399 {
		list = append(list, pool.NewEntry(pool.EntrySpec{
			ID:      "e" + strconv.Itoa(i),
			Service: "draft",
			Address: "10.0.0.1:" + strconv.Itoa(i),
			Domain:  strconv.Itoa(i % 6),
		}))
	}
	s.step(proxy.NewMembers(list, nil))
	b.ReportAllocs()
	for b.Loop() {
		s.core.Copy(0)
	}
}

// pass lets time pass before the n-th request of a series. Engines report their states from
// time to time.
func (s *script) pass(n int) {
	s.now = s.now.Add(20 * time.Millisecond)
	s.step(proxy.Event{})
	for i, id := range s.core.Pool().IDs() {
		if n%8 == i%8 && strings.HasPrefix(id, "e") {
			s.step(proxy.NewStateReported(id, "", pool.NewState(pool.StateSpec{
				Running: n % 3,
				Used:    1000 * i,
				Memory:  55000,
				Models:  []string{"m"},
			})))
		}
	}
}

// spec returns the n-th request of a series of several kinds.
func (s *script) spec(number uint64, n int) proxy.RequestSpec {
	r := proxy.RequestSpec{
		Number:  number,
		ID:      strconv.FormatUint(number, 10),
		Host:    "h",
		Path:    []string{"/", "/gen", "/both"}[n%3],
		Key:     secret,
		Prompt:  5000,
		Output:  500,
		Session: strconv.Itoa(n % 7),
		Wait:    2 * time.Second,
	}
	if n%2 == 0 {
		r.Parts = []string{"p1"}
	}
	return r
}

func (s *script) run(d *datadriven.TestData) string {
	if d.HasArg("at") {
		s.now = s.base.Add(s.milliseconds(d, "at"))
	}
	switch d.Cmd {
	case "table":
		s.step(proxy.NewConfigure(s.table(d)))
	case "list":
		s.step(proxy.NewMembers(s.entries(d), nil))
	case "peers":
		s.step(proxy.NewPeers("vm0", []string{"vm0", "vm1"}))
	case "state":
		for l := range strings.Lines(d.Input) {
			f := strings.Fields(l)
			s.step(proxy.NewStateReported(f[0], "", pool.NewState(pool.StateSpec{
				Running:    s.int(f[1]),
				Prefilling: s.int(f[2]),
				Waiting:    s.int(f[3]),
				Used:       s.int(f[4]),
				Memory:     55000,
				Models:     []string{"m"},
			})))
		}
	case "silent":
		s.step(proxy.NewStateTimeout(d.CmdArgs[0].Key, "", "", true))
	case "heard":
		return s.heard(d)
	case "move":
		l := move.NewLimits(float64(s.milliseconds(d, "percent")/time.Millisecond)/100, math.Inf(1), s.base, s.base.Add(time.Hour))
		if d.HasArg("done") {
			l = l.WithDone()
		}
		s.step(proxy.NewMoveLimits("desk", "v2", l, d.HasArg("banned"), 1))
	case "charge":
		s.step(proxy.NewCharges([]blame.Charge{blame.NewCharge("draft", []string{"p1"}, "v1", d.HasArg("restricted"))}))
	case "drain":
		s.step(proxy.NewDrain(s.now.Add(3 * time.Second)))
	case "arrive":
		first := int(s.milliseconds(d, "n") / time.Millisecond)
		for i := range max(int(s.milliseconds(d, "times")/time.Millisecond), 1) {
			r := s.spec(uint64(first+i), 1)
			r.Path = d.CmdArgs[0].Key
			s.step(proxy.NewArrive(proxy.NewRequest(r)))
		}
	case "reply":
		s.reply(d)
	case "where":
		return s.where(d)
	default:
		s.t.Fatalf("%s: unknown command %q", d.Pos, d.Cmd)
	}
	return ""
}

// step applies an event.
func (s *script) step(e proxy.Event) {
	s.ask()
	for _, a := range s.core.Step(s.now, e) {
		fmt.Fprintf(&s.trace, "%d %s %d %s", s.now.Sub(s.base).Milliseconds(), a.Kind(), a.Number(), a.Reason())
		if u := a.Upstream(); u != nil {
			fmt.Fprintf(&s.trace, " at %s", u.ID())
		}
		if p := a.Problem(); p != nil {
			fmt.Fprintf(&s.trace, " %d %d", p.Status(), p.Retry())
		}
		s.trace.WriteString("\n")
	}
	s.ask()
	next, ok := s.core.Next()
	fmt.Fprintln(&s.trace, next.UnixNano(), ok)
}

// ask makes two explanations of each route if the script does so.
func (s *script) ask() {
	if !s.asks {
		return
	}
	for n := range 6 {
		report, err := Explain(s.now, "edge-1", s.core, s.spec(uint64(n), n))
		if err == nil && report.Text() == "" {
			s.t.Error("an empty explanation")
		}
	}
}

// reply answers the latest attempt of a request with a load.
func (s *script) reply(d *datadriven.TestData) {
	number := s.milliseconds(d, "n") / time.Millisecond
	var running, waiting, slots, speed int
	if _, err := fmt.Sscan(d.Input, &running, &waiting, &slots, &speed); err != nil {
		s.t.Fatalf("%s: %v", d.Pos, err)
	}
	l := proxy.Load{}.WithCounts(running, waiting).WithSlots(slots).WithSlowDown(speed)
	s.step(proxy.NewReply(uint64(number), 1, proxy.NewAnswer(http.StatusOK, http.Header{}, nil), l))
}

// heard applies the statement of an upstream.
func (s *script) heard(d *datadriven.TestData) string {
	st := stand.NewStatement(d.CmdArgs[0].Key)
	switch {
	case d.HasArg("rest"):
		st = st.WithRest(s.milliseconds(d, "rest"))
	case d.HasArg("limit"):
		st = st.WithLimit(float64(s.milliseconds(d, "limit") / time.Millisecond))
	case d.HasArg("leaving"):
		st = st.WithLeaving()
	}
	s.step(proxy.NewHeard(s.core.Pool().Get(d.CmdArgs[0].Key), d.CmdArgs[0].Key, st, "test"))
	return ""
}

// where asks the handler. The input is the query, without a scheme and host.
func (s *script) where(d *datadriven.TestData) string {
	h := NewHandler("edge-1", func(ctx context.Context, f func(time.Time, *proxy.Core)) {
		if !d.HasArg("busy") {
			f(s.now, s.core)
			return
		}
		<-ctx.Done()
	})
	if d.HasArg("crowd") {
		for range maxWaiting {
			h.waiting <- struct{}{}
		}
	}
	r := httptest.NewRequest(http.MethodGet, "/where?"+d.Input, nil)
	for _, a := range d.CmdArgs {
		switch a.Key {
		case "key":
			r.Header.Set("Authorization", "Bearer "+secret)
		case "other-key":
			r.Header.Set("Authorization", "Bearer other")
		case "two-keys":
			r.Header["Authorization"] = []string{"Bearer " + secret, "Bearer " + secret}
		case "basic":
			r.Header.Set("Authorization", "Basic "+secret)
		case "odd-key":
			r.Header.Set("Authorization", "Bearer "+secret+"\x01")
		}
	}
	w := httptest.NewRecorder()
	h.ServeHTTP(w, r)
	if w.Code != http.StatusOK {
		return fmt.Sprintf("%d %s", w.Code, w.Body)
	}
	if d.HasArg("json") {
		var b bytes.Buffer
		if err := json.Indent(&b, w.Body.Bytes(), "", " "); err != nil {
			s.t.Fatal(err)
		}
		return b.String()
	}
	var report Report
	if err := json.Unmarshal(w.Body.Bytes(), &report); err != nil {
		s.t.Fatal(err)
	}
	return report.Text()
}

func (s *script) table(d *datadriven.TestData) *table.Table {
	t := table.New(7, table.Limits{})
	for l := range strings.Lines(d.Input) {
		f := strings.Fields(l)
		switch f[0] {
		case "route":
			r := table.RouteSpec{
				Name:     f[1],
				Host:     "h",
				Prefix:   f[2],
				Kind:     table.Lookup,
				Attempts: 2,
				Timeout:  800 * time.Millisecond,
				Goal:     150 * time.Millisecond,
			}
			if f[3] == "stream" {
				r.Kind, r.Attempts, r.Resumable = table.Stream, 5, true
				r.Timeout, r.Goal = 25*time.Second, 4500*time.Millisecond
			}
			for _, share := range f[4:] {
				name, weight, _ := strings.Cut(share, "=")
				r.Shares = append(r.Shares, table.NewShare(name, s.int(weight)))
			}
			t.AddRoute(table.NewRoute(r))
		case "engine":
			t.AddService(table.NewService(f[1], "/healthz", table.NewEngine(32, 55000, true, "m")))
		case "workspace":
			t.AddWorkspace(table.NewWorkspace(f[1], -1), []string{secret})
		}
	}
	return t
}

func (s *script) entries(d *datadriven.TestData) []pool.Entry {
	var list []pool.Entry
	for l := range strings.Lines(d.Input) {
		f := strings.Fields(l)
		region := "r1"
		if f[2] == "c" {
			region = "r2"
		}
		version := "v1"
		if len(f) > 3 {
			version = f[3]
		}
		list = append(list, pool.NewEntry(pool.EntrySpec{
			ID:      f[0],
			Service: f[1],
			Address: "10.0.0." + f[0][1:] + ":80",
			Domain:  f[2],
			Region:  region,
			Slots:   6,
			Version: version,
		}))
	}
	return list
}

func (s *script) milliseconds(d *datadriven.TestData, name string) time.Duration {
	for _, a := range d.CmdArgs {
		if a.Key == name && len(a.Vals) > 0 {
			return time.Duration(s.int(a.Vals[0])) * time.Millisecond
		}
	}
	return 0
}

func (s *script) int(text string) int {
	n, err := strconv.Atoi(text)
	if err != nil {
		s.t.Fatal(err)
	}
	return n
}
