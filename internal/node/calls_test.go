package node

import (
	"context"
	"errors"
	"fmt"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"github.com/rs/zerolog"

	"clementinelink.example/clementinelink/internal/claim"
	"clementinelink.example/clementinelink/internal/peer"
	"clementinelink.example/clementinelink/internal/simkv"
	"clementinelink.example/clementinelink/internal/store"
	"clementinelink.example/clementinelink/internal/world"
)

// TestCalls guards the adapters of the claim core: a store error that is taken
// for more than it proves would let a booking run twice, and a soft owner that
// leaves or falls silent would hold up bookings.
func TestCalls(t *testing.T) {
	datadriven.Walk(t, "testdata/calls", func(t *testing.T, path string) {
		r := newRoster("a")
		now := time.Unix(1_700_000_000, 0)
		r.now = func() time.Time { return now }
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			switch d.Cmd {
			case "store":
				return storeFaults(t, d)
			case "list":
				r.follow(listed(d.Input))
			case "mute":
				r.mute(d.CmdArgs[0].Key)
			case "pass":
				now = now.Add(silence)
			default:
				d.Fatalf(t, "unknown command %q", d.Cmd)
			}
			owned := map[string]int{}
			for i := range claim.Slots {
				owned[r.owner(i)]++
			}
			return fmt.Sprintf("owned %v, upstreams %d\n", owned, len(r.live("desk")))
		})
	})
}

// listed returns the VMs of lines "name entry|plain [leaving]".
func listed(input string) []*world.VM {
	var vms []*world.VM
	for line := range strings.Lines(input) {
		f := strings.Fields(line)
		v := world.NewVM(f[0], map[string]world.Kind{"plain": world.Plain}[f[1]], f[0]+":1", "d", "r")
		if v.Kind() == world.Plain {
			v = v.Serving("desk")
		}
		if len(f) > 2 {
			v = v.Leave()
		}
		vms = append(vms, v)
	}
	return vms
}

// storeFaults reads and writes a slot of a faulty store and prints the results
// and whether the write took effect.
func storeFaults(t *testing.T, d *datadriven.TestData) string {
	s := simkv.New()
	if d.HasArg("limited") {
		s.WithRates(0.001, 0.001)
	}
	base, stop, err := s.Start()
	if err != nil {
		t.Fatal(err)
	}
	defer func() {
		if err := stop(); err != nil {
			t.Error(err)
		}
	}()
	k := newKeeper(store.New(base, 1).WithBudget(1000, 1000).WithDeadline(300 * time.Millisecond))
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go k.run(ctx)
	if d.HasArg("limited") {
		// The burst of one call of each kind is used up.
		readSlot(k)
		writeSlot(k, 0)
	}
	for _, f := range []struct {
		arg   string
		fault simkv.Fault
	}{
		{
			arg:   "outage",
			fault: simkv.Outage(time.Minute),
		},
		{
			arg:   "hang",
			fault: simkv.Hang(time.Minute),
		},
		{
			arg:   "lose",
			fault: simkv.Lose(1),
		},
	} {
		if d.HasArg(f.arg) {
			s.Inject(f.fault)
		}
	}
	revision := uint64(0)
	if d.HasArg("stale") {
		revision = 7
	}
	wrote := writeSlot(k, revision)
	return fmt.Sprintf("write %d read %d revision %d\n", wrote, readSlot(k), s.Stats().Revision())
}

func writeSlot(k *keeper, revision uint64) claim.Result {
	done := make(chan claim.Result, 1)
	k.write(3, revision, []byte("v"), func(r claim.Result, _ uint64) { done <- r })
	return <-done
}

func readSlot(k *keeper) claim.Result {
	done := make(chan claim.Result, 1)
	k.read(3, func(r claim.Result, _ uint64, _ []byte) { done <- r })
	return <-done
}

// TestUnknownError guards against an error of no known kind that counts as
// proof that a claim was not written.
func TestUnknownError(t *testing.T) {
	if r := resultOf(errors.New("other")); r != claim.Unsure {
		t.Errorf("got result %d, want %d", r, claim.Unsure)
	}
}

// TestPeerClaim guards the way of a claim to its soft owner and back: the owner
// writes it, and a peer that does not answer is passed over.
func TestPeerClaim(t *testing.T) {
	base, stop, err := simkv.New().Start()
	if err != nil {
		t.Fatal(err)
	}
	defer func() {
		if err := stop(); err != nil {
			t.Error(err)
		}
	}()
	ctx, cancel := context.WithCancel(context.Background())
	peers := peer.NewClient(func(int) {})
	owner := &Node{calls: newCalls(&Settings{Name: "b", Store: base}, peers, zerolog.Nop())}
	asker := newCalls(&Settings{Name: "a", Store: base}, peers, zerolog.Nop())
	owner.calls.start(ctx, owner.duty)
	owner.duty(func() { asker.send(ctx) })
	defer owner.duties.Wait()
	defer cancel()
	s := httptest.NewServer(peer.NewServer(nil, nil, owner.claimPeer, nil).Handler())
	asker.roster.follow([]*world.VM{world.NewVM("b", world.Entry, s.Listener.Addr().String(), "d", "r")})

	a := claim.NewClaim(claim.Key("w", "k"), claim.Body("POST", "/", nil), claim.NewID(9, 1), time.Now().Add(time.Minute))
	verdicts := make(chan claim.Verdict, 1)
	ask := func() claim.Verdict {
		if !asker.ask(asker.roster.owner(0), a, func(v claim.Verdict, _ *claim.Record) { verdicts <- v }) {
			t.Fatal("the operation was not started")
		}
		return <-verdicts
	}
	if v := ask(); v != claim.Won {
		t.Errorf("got verdict %d, want %d", v, claim.Won)
	}
	s.CloseClientConnections()
	s.Close()
	if v := ask(); v != claim.Failed {
		t.Errorf("got verdict %d of a closed peer, want %d", v, claim.Failed)
	}
	if name := asker.roster.owner(0); name != "" {
		t.Errorf("a silent peer still owns a slot: %q", name)
	}
}
