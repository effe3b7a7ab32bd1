package cursor

import (
	"bytes"
	"testing"

	"github.com/cockroachdb/errors"
	"pgregory.net/rapid"

	"clementinelink.example/clementinelink/internal/relay"
)

func codec(t testing.TB, keys ...string) *Codec {
	t.Helper()
	var raw [][]byte
	for _, k := range keys {
		raw = append(raw, bytes.Repeat([]byte(k), 16))
	}
	c, err := New(raw...)
	if err != nil {
		t.Fatal(err)
	}
	return c
}

// TestRoundTrip guards against a field that is lost or swapped, which would
// resume a different generation, and against data of one id that remains in the
// reused buffers and appears in the next.
func TestRoundTrip(t *testing.T) {
	c := codec(t, "k")
	rapid.Check(t, func(t *rapid.T) {
		text := rapid.StringMatching(`[a-z0-9:.-]{0,40}`)
		number := rapid.Uint64()
		request, service := text.Draw(t, "request"), text.Draw(t, "service")
		seed, body := number.Draw(t, "seed"), number.Draw(t, "body")
		w := c.Writer(request, service, seed, body)
		for range 3 {
			at := relay.NewResume(text.Draw(t, "version"), text.Draw(t, "engine"), text.Draw(t, "address"),
				rapid.Uint32().Draw(t, "attempt"), int(rapid.Uint32().Draw(t, "offset")), number.Draw(t, "digest"))
			id, err := w.Append(nil, at)
			if err != nil {
				t.Fatal(err)
			}
			got, err := c.Decode(string(id))
			if err != nil {
				t.Fatal(err)
			}
			if got.Request() != request || got.Service() != service || got.Seed() != seed ||
				got.Body() != body || *got.Resume() != *at {
				t.Fatalf("got %+v at %+v, want %+v", got, got.Resume(), at)
			}
		}
	})
}

// TestReject guards against an altered cursor that is accepted, and against a
// key rotation after which cursors signed with the old key are rejected.
func TestReject(t *testing.T) {
	old, both := codec(t, "a"), codec(t, "b", "a")
	id, err := old.Writer("r", "s", 1, 2).Append(nil, relay.NewResume("v", "e", "a:1", 1, 7, 9))
	if err != nil {
		t.Fatal(err)
	}
	if _, err := both.Decode(string(id)); err != nil {
		t.Errorf("old key after rotation: %v", err)
	}
	if _, err := codec(t, "b").Decode(string(id)); !errors.Is(err, ErrForged) {
		t.Errorf("removed key: got %v, want ErrForged", err)
	}
	for i := range id {
		bad := bytes.Clone(id)
		bad[i] = 'A' + (bad[i]+1)%26
		if _, err := old.Decode(string(bad)); !errors.Is(err, ErrForged) && !errors.Is(err, ErrMalformed) {
			t.Errorf("changed character %d: got %v", i, err)
		}
	}
	for _, text := range []string{"", "AAAA", "not base64!", string(id) + "=", string(bytes.Repeat([]byte("A"), maxTextSize+1))} {
		if _, err := old.Decode(text); !errors.Is(err, ErrMalformed) {
			t.Errorf("%.20q: got %v, want ErrMalformed", text, err)
		}
	}
	const valid = "000102030405060708090a0b0c0d0e0f"
	for text, want := range map[string]error{"": ErrKey, "zz": ErrKey, "00": ErrKey, valid + ",00": ErrKey, valid: nil} {
		if _, err := Parse(text); !errors.Is(err, want) {
			t.Errorf("keys %q: got %v, want %v", text, err, want)
		}
	}
}

func BenchmarkAppend(b *testing.B) {
	w := codec(b, "k").Writer("0b0e4f9e-7b1c-4c5e-9d38-0f6a5a3f7f10", "pattern", 1<<50, 1<<60)
	at := relay.NewResume("v12", "gab-mill-eng-07", "10.1.2.3:8000", 1, 1000, 1<<61)
	dst := make([]byte, 0, 512)
	b.ReportAllocs()
	for b.Loop() {
		if _, err := w.Append(dst, at); err != nil {
			b.Fatal(err)
		}
	}
}
