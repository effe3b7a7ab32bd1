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

// TestCalls guards against store errors that are taken as proof that a write
// failed, which would let a booking run twice, and against slots that stay with
// an owner that is leaving or unresponsive, which would delay bookings.
func TestCalls(t *testing.T) {
	datadriven.Walk(t, "testdata/calls", func(t *testing.T, path string) {
		dir := newDirectory("a")
		now := time.Unix(1_700_000_000, 0)
		dir.now = func() time.Time { return now }
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			switch d.Cmd {
			case "store":
				return storeFaults(t, d)
			case "list":
				dir.setMembers(parseMembers(d.Input))
			case "unresponsive":
				dir.markUnresponsive(d.CmdArgs[0].Key)
			case "advance":
				now = now.Add(unresponsivePeriod)
			default:
				d.Fatalf(t, "unknown command %q", d.Cmd)
			}
			owned := map[string]int{}
			for i := range claim.Slots {
				owned[dir.owner(i)]++
			}
			return fmt.Sprintf("owned %v, upstreams %d\n", owned, len(dir.upstreams("desk")))
		})
	})
}

// parseMembers returns the VMs described by lines of the form
// "name entry|plain [leaving]".
func parseMembers(input string) []*world.VM {
	var vms []*world.VM
	for line := range strings.Lines(input) {
		fields := strings.Fields(line)
		vm := world.NewVM(fields[0], map[string]world.Kind{"plain": world.Plain}[fields[1]], fields[0]+":1", "d", "r")
		if vm.Kind() == world.Plain {
			vm = vm.WithService("desk")
		}
		if len(fields) > 2 {
			vm = vm.WithLeaving()
		}
		vms = append(vms, vm)
	}
	return vms
}

// storeFaults writes and reads a slot of a faulty store and prints the results
// and the store's revision, which shows whether the write took effect.
func storeFaults(t *testing.T, d *datadriven.TestData) string {
	s := simkv.New()
	if d.HasArg("limited") {
		s.WithRates(0.001, 0.001)
	}
	base, stopStore, err := s.Start()
	if err != nil {
		t.Fatal(err)
	}
	defer func() {
		if err := stopStore(); err != nil {
			t.Error(err)
		}
	}()
	slots := newSlotStore(store.New(base, 1).WithBudget(1000, 1000).WithDeadline(300 * time.Millisecond))
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go slots.run(ctx)
	if d.HasArg("limited") {
		// Use up the burst, which is one call of each kind.
		readSlot(slots)
		writeSlot(slots, 0)
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
			fault: simkv.LoseWriteAnswers(1),
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
	written := writeSlot(slots, revision)
	return fmt.Sprintf("write %d read %d revision %d\n", written, readSlot(slots), s.Stats().Revision())
}

func writeSlot(slots *slotStore, revision uint64) claim.Result {
	done := make(chan claim.Result, 1)
	slots.write(3, revision, []byte("v"), func(r claim.Result, _ uint64) { done <- r })
	return <-done
}

func readSlot(slots *slotStore) claim.Result {
	done := make(chan claim.Result, 1)
	slots.read(3, func(r claim.Result, _ uint64, _ []byte) { done <- r })
	return <-done
}

// TestUnknownError guards against treating an unknown error as proof that a
// claim was not written.
func TestUnknownError(t *testing.T) {
	if r := resultOf(errors.New("other")); r != claim.Indeterminate {
		t.Errorf("got result %d, want %d", r, claim.Indeterminate)
	}
}

// TestPeerClaim guards against claims that the soft owner does not write for its
// peer, and against a peer that does not answer but keeps its slots.
func TestPeerClaim(t *testing.T) {
	base, stopStore, err := simkv.New().Start()
	if err != nil {
		t.Fatal(err)
	}
	defer func() {
		if err := stopStore(); err != nil {
			t.Error(err)
		}
	}()
	ctx, cancel := context.WithCancel(context.Background())
	peers := peer.NewClient(func(int) {})
	owner := &Node{calls: newCalls(&Settings{Name: "b", Store: base}, peers, zerolog.Nop())}
	requester := newCalls(&Settings{Name: "a", Store: base}, peers, zerolog.Nop())
	owner.calls.start(ctx, owner.startDuty)
	owner.startDuty(func() { requester.sendRequests(ctx) })
	defer owner.duties.Wait()
	defer cancel()
	server := httptest.NewServer(peer.NewServer(nil, nil, owner.claimPeer, nil).Handler())
	requester.directory.setMembers([]*world.VM{world.NewVM("b", world.Entry, server.Listener.Addr().String(), "d", "r")})

	op := claim.NewClaim(claim.Key("w", "k"), claim.Body("POST", "/", nil), claim.NewID(9, 1), time.Now().Add(time.Minute))
	verdicts := make(chan claim.Verdict, 1)
	claimFromOwner := func() claim.Verdict {
		if !requester.requestClaim(requester.directory.owner(0), op, func(v claim.Verdict, _ *claim.Record) { verdicts <- v }) {
			t.Fatal("the operation was not started")
		}
		return <-verdicts
	}
	if v := claimFromOwner(); v != claim.Acquired {
		t.Errorf("got verdict %d, want %d", v, claim.Acquired)
	}
	server.CloseClientConnections()
	server.Close()
	if v := claimFromOwner(); v != claim.Failed {
		t.Errorf("got verdict %d from a closed peer, want %d", v, claim.Failed)
	}
	if name := requester.directory.owner(0); name != "" {
		t.Errorf("an unresponsive peer still owns a slot: %q", name)
	}
}
