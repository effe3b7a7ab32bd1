package claim

import (
	"bytes"
	"encoding/binary"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
)

func testDraft(t *table) *draft {
	return &draft{
		base:       t,
		changed:    map[Digest]*Record{},
		wholeLimit: maxWholeBytes,
	}
}

func testKey(i int) Digest { return Key("w", string(rune(i))) }

// TestSlotSize guards against a slot over the store's value limit and a key lost
// before Retention: the oldest final records lose their answers first, and a
// full slot takes no key until old ones expire.
func TestSlotSize(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	base := newTable(nil)
	for i := range 400 {
		op := NewClaim(testKey(i), Body("POST", "/", nil), NewID(1, uint64(i+1)), now.Add(time.Minute))
		d := testDraft(base)
		if v, _ := op.apply(now, d); v != Acquired {
			t.Fatalf("claim %d: verdict %d", i, v)
		}
		if i%2 == 0 {
			op.WithOutcome(State_RAN, NewAnswer(201, "text/plain", make([]byte, MaxAnswerBytes))).apply(now, d)
		}
		_, value, err := d.build(now)
		if err != nil {
			t.Fatal(err)
		}
		if base, err = parse(value); err != nil {
			t.Fatal(err)
		}
	}
	// The 200 claims without an outcome are not final and stay whole.
	if whole := base.size - len(base.packed); whole > maxWholeBytes || len(base.records)+len(base.packed)/packedSize != 400 {
		t.Errorf("%d whole records in %d bytes, %d packed", len(base.records), whole, len(base.packed)/packedSize)
	}
	check := func(key int, body string, now time.Time, want Verdict) *Record {
		t.Helper()
		op := NewClaim(testKey(key), Body("POST", "/", []byte(body)), NewID(2, 1), now.Add(time.Minute))
		v, r := op.apply(now, testDraft(base))
		if v != want {
			t.Errorf("key %d: verdict %d, want %d", key, v, want)
		}
		return r
	}
	if r := check(0, "", now, Found); !r.GetTruncated() || r.GetStatus() != 201 || r.GetState() != State_RAN {
		t.Errorf("the oldest record is %v", r)
	}
	if r := check(398, "", now, Found); len(r.GetAnswer()) != MaxAnswerBytes {
		t.Errorf("the newest record lost its answer")
	}
	check(0, "other", now, Mismatch)
	check(1, "", now, Held)
	check(1, "", now.Add(2*time.Minute), Found)
	check(0, "", now.Add(Retention-time.Minute), Found)
	check(0, "", now.Add(Retention+2*time.Minute), Acquired)
	t.Logf("%d bytes for a whole record without answer, %d packed", proto.Size(base.records[0]), packedSize)

	later := now.Add(Retention + 2*time.Minute)
	if next, _, err := testDraft(base).build(later); err != nil || next.size != 0 {
		t.Errorf("%d bytes after the retention, err %v", next.size, err)
	}
	entry := make([]byte, packedSize)
	binary.BigEndian.PutUint16(entry[packedMinuteOffset:], minute(now.UnixMilli()))
	for len(base.packed) < maxSlotBytes {
		base.packed = append(base.packed, entry...)
	}
	base.size = len(base.packed)
	check(1000, "", now, Full)
	check(1000, "", later, Acquired)
	if a := NewAnswer(200, "", make([]byte, MaxAnswerBytes+1)).storable(); !a.Truncated() || a.Body() != nil {
		t.Errorf("a body over MaxAnswerBytes must not be stored")
	}
}

// TestReleaseFirst guards against a claim that is written after its own release
// when both are queued for the slot, which would block the key for the retention.
func TestReleaseFirst(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	newOp := func(number uint64) Operation {
		return NewClaim(testKey(1), Body("POST", "/", nil), NewID(1, number), now.Add(time.Minute))
	}
	d := testDraft(newTable(nil))
	newOp(1).WithOutcome(State_NOT_RUN, nil).apply(now, d)
	base, _, err := d.build(now)
	if err != nil {
		t.Fatal(err)
	}
	late := &pendingOp{
		operation: newOp(2),
	}
	s := &slot{
		table: base,
		queue: []*pendingOp{late, {
			operation: newOp(2).WithOutcome(State_NOT_RUN, nil),
		}},
	}
	if _, _, next, _ := s.evaluate(now, maxWholeBytes); late.verdict != TooLate || next.get(testKey(1), now).GetState() != State_NOT_RUN {
		t.Errorf("verdict %d, record %v", late.verdict, next.get(testKey(1), now))
	}
}

// BenchmarkUnpack measures the lookup of a key that a full slot doesn't hold.
func BenchmarkUnpack(b *testing.B) {
	packed := make([]byte, maxSlotBytes/packedSize*packedSize)
	now := time.Now()
	k := testKey(1)
	for b.Loop() {
		unpack(packed, k, now)
	}
}

// TestMissingPacked guards against a packed key that runs a second time, since a restored
// store lacks the latest packed records.
func TestMissingPacked(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	var packed []byte
	for i := range 5 {
		r := NewClaim(testKey(i), Body("POST", "/", nil), NewID(1, uint64(i+1)), now).newRecord(now)
		packed = appendPacked(packed, r)
	}
	known := newTable(nil)
	known.packed = packed
	for n := range 6 {
		stored := newTable(nil)
		stored.packed = packed[:n*packedSize]
		if lost := stored.missingPacked(known, now); !bytes.Equal(lost, packed[n*packedSize:]) {
			t.Errorf("of 5 records the store has %d: %d are lost", n, len(lost)/packedSize)
		}
	}
	if lost := newTable(nil).missingPacked(known, now.Add(2*Retention)); len(lost) != 0 {
		t.Errorf("%d expired records are lost", len(lost)/packedSize)
	}
}
