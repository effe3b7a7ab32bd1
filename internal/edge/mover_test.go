package edge

import (
	"context"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"clementinelink.example/clementinelink/internal/follow"
	"clementinelink.example/clementinelink/internal/judge"
	"clementinelink.example/clementinelink/internal/move"
	"clementinelink.example/clementinelink/internal/origin"
	"clementinelink.example/clementinelink/internal/pool"
	"clementinelink.example/clementinelink/internal/proxy"
	"clementinelink.example/clementinelink/internal/store"
	"github.com/cockroachdb/datadriven"
	"github.com/rs/zerolog"
)

// moverScript runs a mover under a script that stands in for the store and the
// dispatcher. Times are in milliseconds.
type moverScript struct {
	mover *mover
	now   time.Time
	// era and revision are those of the latest change.
	era      uint64
	revision uint64
	out      strings.Builder
	// sent is the last value sent for each key.
	sent map[string][]byte
}

// newMoverScript returns a mover of a single VM named "a". The order to move
// service "desk" to "v2" is stored under the key "order", and the status for
// operators under "state".
func newMoverScript() *moverScript {
	s := &moverScript{
		now:  time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC),
		sent: make(map[string][]byte),
	}
	sources := Sources{
		MoveOrder: func(key string, value []byte) (*origin.Order, error) {
			if key != "order" {
				return nil, nil
			}
			d, err := time.ParseDuration(string(value))
			return origin.NewOrder("desk", "v2", d), err
		},
		MoveStatus: func(_, _ string, state origin.State) (string, []byte, error) {
			return "state", []byte([]string{"active", "completed", "reverted"}[state]), nil
		},
		ID: func(key string) string {
			id, _ := strings.CutPrefix(key, "upstream/")
			if id == key {
				return ""
			}
			return id
		},
		Entry: func(_ string, value []byte) (pool.Entry, error) {
			return pool.NewEntry(pool.EntrySpec{
				Service: "desk",
				Version: string(value),
			}), nil
		},
	}
	s.mover = newMover("a", 1, move.NewExposure(0.1, 50), sources, nil, s.notified, func(kind string) { fmt.Fprintf(&s.out, "again %s\n", kind) }, zerolog.Nop())
	s.mover.now = func() time.Time { return s.now }
	s.mover.put = s.put
	s.mover.peers = []string{"a"}
	return s
}

func (s *moverScript) notified(_ context.Context, e proxy.Event) {
	l := e.Limits()
	switch {
	case e.Banned():
		s.out.WriteString("limit banned\n")
	case l.Done():
		s.out.WriteString("limit done\n")
	default:
		fmt.Fprintf(&s.out, "limit %.2f\n", l.Share())
	}
}

func (s *moverScript) put(_ context.Context, key string, value []byte, _ uint64, done func(uint64, error)) {
	s.sent[key] = value
	switch {
	case strings.HasPrefix(key, movesPrefix):
		r, err := move.DecodeRecord(value)
		fmt.Fprintf(&s.out, "put %s %s stage=%d err=%v\n", key, r.State(), r.Stage(), err)
	default:
		fmt.Fprintf(&s.out, "put %s %s\n", key, value)
	}
	done(store.Position(s.era, s.revision+1), nil)
}

// change delivers a change of one key to the mover.
func (s *moverScript) change(key string, value []byte) {
	s.revision++
	c := follow.NewChange([]store.Entry{store.NewEntry(key, value, store.Position(s.era, s.revision), "")}, nil)
	s.mover.apply(context.Background(), storeUpdate{
		change: &c,
	})
}

// restored delivers the change that follows a restoration of the store. Each line of the
// input holds a key, its revision, and its value; "sent" stands for the mover's last write
// of the key, and "record STATE STAGE" for a record.
func (s *moverScript) restored(t *testing.T, d *datadriven.TestData) {
	var revision int
	d.ScanArgs(t, "revision", &revision)
	f := follow.NewState()
	f.Listed(s.now, nil, store.Position(s.era, 1))
	s.era, s.revision = s.era+1, uint64(revision)
	var entries []store.Entry
	for line := range strings.Lines(d.Input) {
		words := strings.Fields(line)
		number, err := strconv.ParseUint(words[1], 10, 64)
		if err != nil {
			t.Fatalf("%s: %v", d.Pos, err)
		}
		value := []byte(strings.Join(words[2:], " "))
		switch words[2] {
		case "sent":
			value = s.sent[words[0]]
		case "record":
			value = fmt.Appendf(nil, `{"state":%q,"stage":%s,"time":"2026-01-01T00:00:01Z"}`, words[3], words[4])
		}
		entries = append(entries, store.NewEntry(words[0], value, store.Position(s.era, number), ""))
	}
	c := f.Listed(s.now, entries, store.Position(s.era, s.revision))
	if d.HasArg("start") {
		// The VM starts only now.
		c = follow.NewChange(entries, nil)
	}
	s.mover.apply(context.Background(), storeUpdate{
		change: &c,
	})
}

// run executes one command and returns the limits and writes that the mover
// issued.
func (s *moverScript) run(t *testing.T, d *datadriven.TestData) string {
	s.out.Reset()
	if d.HasArg("at") {
		var at int
		d.ScanArgs(t, "at", &at)
		s.now = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC).Add(time.Duration(at) * time.Millisecond)
	}
	switch d.Cmd {
	case "put":
		var key string
		d.ScanArgs(t, "key", &key)
		s.change(key, []byte(d.Input))
	case "restored":
		s.restored(t, d)
	case "attempt":
		a := judge.NewAttempt(judge.Spec{
			Service:    "desk",
			Route:      "/",
			NewVersion: true,
			Upstream:   "u2",
		})
		s.mover.countAttempt(&a)
	case "vms":
		s.mover.peers = strings.Fields(d.Input)
	case "order-and-status":
		// One change with an order, the final status of its move and possibly its
		// record, as a VM receives them when it starts.
		var state string
		d.ScanArgs(t, "state", &state)
		entries := []store.Entry{
			store.NewEntry("order", []byte(d.Input), s.revision+1, ""),
			store.NewEntry("state", []byte(state), s.revision+3, ""),
		}
		if d.HasArg("record") {
			value, err := move.NewRecord(move.Done, s.now, "test").Encode()
			if err != nil {
				t.Fatal(err)
			}
			entries = slices.Insert(entries, 1, store.NewEntry(movesPrefix+"desk", value, s.revision+2, ""))
		}
		if d.HasArg("elapsed") {
			var elapsed int
			d.ScanArgs(t, "elapsed", &elapsed)
			value := fmt.Sprintf(`{"revision":%d,"elapsed":%d,"left":-1,"rows":[]}`, s.revision+1, elapsed)
			entries = append(entries, store.NewEntry(evidencePrefix+"desk/b", []byte(value), s.revision+2, ""))
		}
		c := follow.NewChange(entries, nil)
		s.revision += 3
		s.mover.apply(context.Background(), storeUpdate{
			change: &c,
		})
	case "record":
		// A record that another VM wrote.
		var name string
		d.ScanArgs(t, "state", &name)
		state, err := move.ParseState(name)
		if err != nil {
			t.Fatal(err)
		}
		value, err := move.NewRecord(state, s.now, "test").Encode()
		if err != nil {
			t.Fatal(err)
		}
		if d.HasArg("order") {
			var order uint64
			d.ScanArgs(t, "order", &order)
			if value, err = move.NewRecord(state, s.now, "test").WithOrder(order, order).Encode(); err != nil {
				t.Fatal(err)
			}
			s.sent[movesPrefix+"desk"] = value
		}
		if d.HasArg("stage") {
			var stage int
			d.ScanArgs(t, "stage", &stage)
			value = fmt.Appendf(nil, `{"state":%q,"stage":%d,"time":"2026-01-01T00:00:01Z"}`, name, stage)
		}
		s.change(movesPrefix+"desk", value)
	case "stored":
		// The mover's last write of the key arrives through the follower.
		var key string
		d.ScanArgs(t, "key", &key)
		s.change(key, s.sent[key])
	case "in-flight":
		var n int
		d.ScanArgs(t, "n", &n)
		s.mover.oldInFlight = map[string]int{
			"desk": n,
		}
	case "step":
		for n := s.mover.updates.Len(); n > 0; n-- {
			s.mover.apply(context.Background(), <-s.mover.updates.Out())
		}
		for _, tracked := range s.mover.moves {
			s.mover.step(context.Background(), tracked)
		}
	default:
		t.Fatalf("%s: unknown command %q", d.Pos, d.Cmd)
	}
	return s.out.String()
}

// TestMoves guards against a move whose final status is reported before the old
// version may be stopped, or that still changes limits or reports anything after
// its final status, against evidence of another VM that is not understood, and against a
// move that starts again or whose verdict turns round when the store was restored.
func TestMoves(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		s := newMoverScript()
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string { return s.run(t, d) })
	})
}
