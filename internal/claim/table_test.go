package claim

import (
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
)

// TestSlotSize guards the store's value limit and the retention: bodies are
// dropped oldest first, keys only after Retention, and a full slot takes none.
func TestSlotSize(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	base := newTable(nil)
	for i := range 400 {
		a := NewClaim(Key("w", string(rune(i))), Digest{}, NewID(1, uint64(i)), now.Add(time.Minute))
		d := &draft{
			base:    base,
			changed: map[Digest]*Record{},
		}
		if v, _ := a.apply(now, d); v != Won {
			t.Fatalf("claim %d: verdict %d", i, v)
		}
		a.Settle(State_RAN, NewAnswer(200, "text/plain", make([]byte, MaxAnswer))).apply(now, d)
		next, _, err := d.build(now)
		if err != nil {
			t.Fatal(err)
		}
		base = next
	}
	if base.size > answerRoom || len(base.list) != 400 {
		t.Errorf("%d records in %d bytes, want 400 in at most %d", len(base.list), base.size, answerRoom)
	}
	if first, last := base.list[0], base.list[399]; !first.GetTruncated() || last.GetTruncated() || first.GetStatus() != 200 {
		t.Errorf("the oldest body must be dropped and the newest kept")
	}
	t.Logf("%d bytes for a record without a body", proto.Size(base.list[0]))
	d := &draft{
		base:    base,
		changed: map[Digest]*Record{},
	}
	if next, _, err := d.build(now.Add(Retention + time.Second)); err != nil || len(next.list) != 0 {
		t.Errorf("%d records after the retention, err %v", len(next.list), err)
	}
	base.size = slotRoom
	if v, _ := NewClaim(Key("w", "new"), Digest{}, NewID(2, 1), now.Add(time.Minute)).apply(now, d); v != Full {
		t.Errorf("verdict %d in a full slot, want Full", v)
	}
	if a := NewAnswer(200, "", make([]byte, MaxAnswer+1)).kept(); !a.Truncated() || a.Body() != nil {
		t.Errorf("a body over MaxAnswer must not be kept")
	}
}
