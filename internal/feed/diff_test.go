package feed

import (
	"bytes"
	"context"
	"fmt"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"clementinelink.example/clementinelink/internal/mirror"
	"clementinelink.example/clementinelink/internal/store"
	"clementinelink.example/clementinelink/internal/wire"
	"github.com/cockroachdb/datadriven"
)

// TestDiff guards against a small change of the configuration that crosses the links
// between VMs as a whole, against a difference that is applied to another value than that
// it was made from, and against one that is made again by each VM on the way, which
// stands still for that (LOST).
func TestDiff(t *testing.T) {
	served, own := mirror.NewLog(), mirror.NewLog()
	s := httptest.NewServer(NewServer(served).Handler())
	defer s.Close()
	client := NewClient(own)
	value, revision := sampleValue(2800, false), uint64(0)
	put := func(v []byte) {
		value = v
		revision++
		served.Append([]store.Event{store.NewEvent(store.NewEntry("conf", bytes.Clone(v), revision, ""), false)}, revision, 0)
	}
	datadriven.RunTest(t, "testdata/diff", func(t *testing.T, d *datadriven.TestData) string {
		var out strings.Builder
		switch d.Cmd {
		case "change":
			// Each change replaces one byte.
			for i := range max(1, number(t, d, "times")) {
				v := bytes.Clone(value)
				v[1000*(i+1)+int(revision)] ^= 1
				put(v)
			}
		case "list":
			c, err := client.List(t.Context(), s.Listener.Addr().String(), 0, time.Second)
			if err != nil {
				t.Fatal(err)
			}
			own.Append(c.Events(), c.Revision(), 0)
		case "spoil":
			// The VM's copy differs from the value that the store has at its revision.
			e := own.Large()[0]
			e.Value()[5000] ^= 1
		case "ask":
			a, err := client.Changes(t.Context(), s.Listener.Addr().String(), own.Revision(), time.Second)
			if err != nil {
				t.Fatal(err)
			}
			c := a.Changes()
			own.Append(c.Events(), c.Revision(), 0)
			for _, e := range c.Events() {
				fmt.Fprintf(&out, "%s at revision %d: right %t, at most 1 KB %t, asked again %t\n", e.Entry().Key(), e.Entry().Revision(),
					bytes.Equal(e.Entry().Value(), value), a.wireBytes <= 1<<10, a.mismatch != nil)
			}
		case "relay":
			// Without the earlier value, a difference can only be the one that arrived.
			e := own.Large()[0]
			d := own.Packer().Diff(e, nil, uint64(number(t, d, "base")))
			fmt.Fprintf(&out, "revision %d: passed on as it came %t\n", e.Revision(), d != nil)
		case "forged":
			// An answer names a value that the VM does not have.
			_, err := decode(&wire.ChangesReply{
				Changes: []*wire.StoreChange{{
					Key:      "conf",
					Revision: 9,
					Diff:     []byte("x"),
					Base:     uint64(number(t, d, "base")),
				}},
			}, own)
			fmt.Fprintf(&out, "refused: %t\n", err != nil)
		default:
			t.Fatalf("%s: unknown command %q", d.Pos, d.Cmd)
		}
		return out.String()
	})
	if _, err := client.Changes(context.Background(), s.Listener.Addr().String(), own.Revision(), 0); err != nil {
		t.Error(err)
	}
}
