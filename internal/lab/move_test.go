package lab

import (
	"context"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"clementinelink.example/clementinelink/internal/move"
	"clementinelink.example/clementinelink/internal/simeng"
	"clementinelink.example/clementinelink/pkg/decl"
)

// moveTime is the time of a lab move from start to deadline.
const moveTime = 12 * time.Second

// TestMoves guards the whole path of a move on real nodes: engines load the
// version through orders, a good version is done by the deadline, one whose
// engines answer errors is rolled back and unloaded, and no caller notices.
func TestMoves(t *testing.T) {
	for _, c := range []struct {
		name  string
		bad   bool
		state move.State
	}{
		{
			name:  "good",
			state: move.Done,
		},
		{
			name:  "bad",
			bad:   true,
			state: move.RolledBack,
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			runMove(t, c.bad, c.state)
		})
	}
}

func runMove(t *testing.T, bad bool, want move.State) {
	ctx := t.Context()
	site := NewSite([]Zone{NewZone("gab-mill", "gabrovo", 1, 2), NewZone("gab-annex", "gabrovo", 1, 2)},
		zerolog.New(zerolog.NewTestWriter(t)).With().Timestamp().Logger().Level(zerolog.InfoLevel),
		simeng.WithGap(time.Millisecond, 0), simeng.WithSlots(64, 64),
		simeng.WithWeights(func(context.Context, string, string) error { return nil }, 100*time.Millisecond)).
		WithPulls(50 * time.Millisecond)
	if err := site.Start(context.Background()); err != nil {
		t.Fatal(err)
	}
	defer site.Close()
	for _, e := range site.Engines() {
		if !bad {
			break
		}
		if err := e.Inject(simeng.NewFault(simeng.Bad, 0).WithVersion("v2")); err != nil {
			t.Fatal(err)
		}
	}
	start := time.Now().Add(2 * time.Second)
	d := decl.New().Region("gabrovo", "gab-mill", "gab-annex").
		Model(decl.NewModel("draft", "v1", decl.NewContract(3*time.Second).
			WithObjectives(2*time.Second, time.Second, 2*time.Second, 95)).WithFencing()).
		Workspace("workspace-0", Digest(Token(0)), 1, decl.Interactive).
		Move(decl.NewMove("lab", "draft", "v1", "v2").Between(start, start.Add(moveTime)).WithTrial(50))
	if err := site.Configure(ctx, 1, d); err != nil {
		t.Fatal(err)
	}
	time.Sleep(time.Second) // until the VM list and the first load reports are in

	load, stop := context.WithTimeout(ctx, moveTime+2*time.Second)
	defer stop()
	result := NewResult(time.Second)
	caller := NewCaller(site.Entries(), Token(0))
	defer caller.Close()
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		NewLoad(caller, 16, func(n int) *Question {
			return NewQuestion("draft", "p", []string{"v1", "v2"}, uint64(n), 3)
		}).WithRate(200).Run(load, 0, result)
	}()
	decided := func() bool {
		for _, n := range site.Nodes() {
			for _, s := range n.Moves() {
				if s.Record().State() != want {
					return false
				}
			}
		}
		return holds(t, site, "v2") == !bad
	}
	for !decided() && load.Err() == nil {
		time.Sleep(100 * time.Millisecond)
	}
	at := time.Since(start)
	stop()
	<-ended
	for _, n := range site.Nodes() {
		for _, s := range n.Moves() {
			t.Logf("after %s: %s; %s", at, s, strings.Join(s.Lines(), "; "))
		}
	}
	if !decided() || at > moveTime {
		t.Errorf("want %s and engines to follow within %s", want, moveTime)
	}
	if whole := result.Count(Whole); whole == 0 || whole != result.Requests() {
		t.Errorf("%d of %d responses were whole: %v", whole, result.Requests(), result.Notes())
	}
}

// holds reports whether any engine has a version loaded.
func holds(t *testing.T, site *Site, version string) bool {
	for _, e := range site.Engines() {
		resp, err := http.Get("http://" + e.Address() + "/load")
		if err != nil {
			t.Fatal(err)
		}
		body, err := io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		if err != nil {
			t.Fatal(err)
		}
		if strings.Contains(string(body), `"`+version+`"`) {
			return true
		}
	}
	return false
}
