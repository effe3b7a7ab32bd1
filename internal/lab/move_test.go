package lab

import (
	"context"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"clementinelink.example/clementinelink/internal/move"
	"clementinelink.example/clementinelink/internal/simeng"
	"clementinelink.example/clementinelink/pkg/decl"
)

// moveDuration is the time from the start of the move to its deadline.
const moveDuration = 12 * time.Second

// TestMoves guards the whole path of a move on real nodes. Engines load the new
// version through load orders, and a good version is done by the deadline. A
// version whose engines return errors is rolled back and unloaded. In both cases
// every response is whole.
func TestMoves(t *testing.T) {
	for name, want := range map[string]move.State{"good": move.Done, "bad": move.RolledBack} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			runMove(t, name == "bad", want)
		})
	}
}

func runMove(t *testing.T, bad bool, want move.State) {
	ctx := t.Context()
	site := NewSite([]Zone{NewZone("gab-mill", "gabrovo", 1, 2), NewZone("gab-annex", "gabrovo", 1, 2)},
		zerolog.New(zerolog.NewTestWriter(t)).With().Timestamp().Logger().Level(zerolog.InfoLevel),
		simeng.WithGap(time.Millisecond, 0), simeng.WithSlots(64, 64),
		simeng.WithWeights(func(context.Context, string, string) error { return nil }, 100*time.Millisecond)).
		WithLoadOrderInterval(50 * time.Millisecond)
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
		Move(decl.NewMove("lab", "draft", "v1", "v2").Between(start, start.Add(moveDuration)).WithTrial(50))
	if err := site.Configure(ctx, 1, d); err != nil {
		t.Fatal(err)
	}
	time.Sleep(time.Second) // the VM list and the first load reports must arrive

	loadCtx, stop := context.WithTimeout(ctx, moveDuration+2*time.Second)
	defer stop()
	result := NewResult(time.Second)
	caller := NewCaller(site.EntryAddrs(), Token(0))
	defer caller.Close()
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		NewLoad(caller, 16, func(n int) *Request {
			return NewRequest("draft", "p", []string{"v1", "v2"}, uint64(n), 3)
		}).WithRate(200).Run(loadCtx, 0, result)
	}()
	decided := func() bool {
		for _, n := range site.Nodes() {
			for _, s := range n.Moves() {
				if s.Record().State() != want {
					return false
				}
			}
		}
		return !slices.ContainsFunc(site.Engines(), func(e *simeng.Engine) bool { return e.HasVersion("v2") == bad })
	}
	for !decided() && loadCtx.Err() == nil {
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
	if !decided() || at > moveDuration {
		t.Errorf("want %s and engines to follow within %s", want, moveDuration)
	}
	if whole := result.Count(Whole); whole == 0 || whole != result.Requests() {
		t.Errorf("%d of %d responses were whole: %v", whole, result.Requests(), result.Notes())
	}
}
