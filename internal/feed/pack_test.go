package feed

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"clementinelink.example/clementinelink/internal/bound"
	"clementinelink.example/clementinelink/internal/bulk"
	"clementinelink.example/clementinelink/internal/mirror"
	"clementinelink.example/clementinelink/internal/store"
	"clementinelink.example/clementinelink/internal/wire"
	"github.com/cockroachdb/datadriven"
	"github.com/cockroachdb/errors"
)

// TestPacked guards against a configuration that occupies the link of a VM for so long
// that its upstreams seem to be dead (LOST), and against packed values that take more
// memory than an answer may.
func TestPacked(t *testing.T) {
	l := mirror.NewLog()
	server := NewServer(l)
	s := httptest.NewServer(server.Handler())
	defer s.Close()
	values := make(map[string][]byte)
	revision := uint64(0)
	datadriven.RunTest(t, "testdata/pack", func(t *testing.T, d *datadriven.TestData) string {
		switch d.Cmd {
		case "put":
			key := text(t, d, "key")
			values[key] = sampleValue(number(t, d, "routes"), d.HasArg("random"))
			revision++
			l.Append([]store.Event{store.NewEvent(store.NewEntry(key, values[key], revision, ""), false)}, revision, 0)
			return fmt.Sprintf("%d KB\n", len(values[key])>>10)
		case "ask":
			return ask(t, s.Listener.Addr().String(), values)
		case "sent":
			out, err := server.Changes(t.Context(), &wire.ChangesRequest{
				Packed: d.HasArg("packed"),
			})
			if err != nil {
				t.Fatal(err)
			}
			var b strings.Builder
			for _, e := range out.GetChanges() {
				fmt.Fprintf(&b, "%s: value %d KB, packed %d KB\n", e.GetKey(), len(e.GetValue())>>10, len(e.GetPacked())>>10)
			}
			return b.String()
		case "unpack":
			packed, err := bulk.Compress(make([]byte, number(t, d, "bytes")))
			if err != nil {
				t.Fatal(err)
			}
			value, err := bulk.Unpack(packed, number(t, d, "limit"))
			return fmt.Sprintf("%d bytes, too large: %v\n", len(value), errors.Is(err, bound.ErrTooLarge))
		default:
			t.Fatalf("%s: unknown command %q", d.Pos, d.Cmd)
			return ""
		}
	})
}

// ask asks for all changes as another VM does, and compares the values.
func ask(t *testing.T, address string, want map[string][]byte) string {
	t.Helper()
	a, err := NewClient(mirror.NewLog()).Changes(t.Context(), address, 0, time.Second)
	if err != nil {
		t.Fatal(err)
	}
	var b strings.Builder
	for _, e := range a.Changes().Events() {
		fmt.Fprintf(&b, "%s: whole %v\n", e.Entry().Key(), bytes.Equal(e.Entry().Value(), want[e.Entry().Key()]))
	}
	return b.String()
}

// sampleValue returns a configuration with a number of routes whose names are random, or
// as many random bytes.
func sampleValue(routes int, random bool) []byte {
	source := rand.New(rand.NewPCG(1, 2))
	var b bytes.Buffer
	for range routes {
		fmt.Fprintf(&b, `{"name":"r-%07x","host":"h%05x.example","prefix":"/p%04x/","service":"draft","kind":"idempotent","attempts":2,"timeout":800,"goal":150},`,
			source.Uint32()>>4, source.Uint32()>>12, source.Uint32()>>16)
	}
	if random {
		for i := range b.Bytes() {
			b.Bytes()[i] = byte(source.Uint32())
		}
	}
	return b.Bytes()
}
