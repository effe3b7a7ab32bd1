package delta

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"
	"github.com/cockroachdb/errors"
)

// TestDelta guards against a difference as large as the value, one that is applied to
// another value than that it was made from, and one that is damaged or grows beyond a
// limit.
func TestDelta(t *testing.T) {
	base := sample(2800)
	datadriven.RunTest(t, "testdata/delta", func(t *testing.T, d *datadriven.TestData) string {
		value := bytes.Clone(base)
		switch d.Cmd {
		case "same":
		case "replace":
			value = bytes.Replace(value, []byte(`"version":1,`), []byte(`"version":17,`), 1)
		case "remove":
			at := len(value) / 3
			value = append(value[:at], value[at+200:]...)
		case "append":
			value = append(value, sample(100)...)
		case "empty":
			value = nil
		default:
			d.Fatalf(t, "unknown command %q", d.Cmd)
		}
		diff, err := Encode(base, value)
		if err != nil {
			d.Fatalf(t, "%v", err)
		}
		var out strings.Builder
		fmt.Fprintf(&out, "at most 1 KB: %t\n", len(diff) <= 1<<10)
		got, err := Decode(base, diff, 1<<20)
		fmt.Fprintf(&out, "whole: %t, %v\n", bytes.Equal(got, value), err)
		other := bytes.Clone(base)
		other[len(other)/2] ^= 1
		for name, f := range map[string]func() ([]byte, error){
			"other base": func() ([]byte, error) { return Decode(other, diff, 1<<20) },
			"no base":    func() ([]byte, error) { return Decode(nil, diff, 1<<20) },
			"cut":        func() ([]byte, error) { return Decode(base, diff[:len(diff)-1], 1<<20) },
			"limit":      func() ([]byte, error) { return Decode(base, diff, len(value)-1) },
		} {
			if got, err := f(); !errors.Is(err, ErrMismatch) && len(value) > 0 {
				t.Errorf("%s: %d bytes, %v", name, len(got), err)
			}
		}
		return out.String()
	})
}

// FuzzDecode guards against a difference from another VM that ends the process or
// exceeds the limit.
func FuzzDecode(f *testing.F) {
	base := sample(50)
	for _, value := range [][]byte{base, base[:100], append(bytes.Clone(base), "x"...)} {
		diff, err := Encode(base, value)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(diff)
	}
	f.Fuzz(func(t *testing.T, diff []byte) {
		const limit = 1 << 16
		if value, err := Decode(base, diff, limit); len(value) > limit || err != nil && value != nil {
			t.Fatalf("%d bytes, %v", len(value), err)
		}
	})
}

// BenchmarkEncode and BenchmarkDecode measure a configuration of 2,800 routes.
func BenchmarkEncode(b *testing.B) {
	base := sample(2800)
	b.ReportAllocs()
	for b.Loop() {
		if _, err := Encode(base, base); err != nil {
			b.Fatal(err)
		}
	}
}

func BenchmarkDecode(b *testing.B) {
	base := sample(2800)
	diff, err := Encode(base, base)
	if err != nil {
		b.Fatal(err)
	}
	b.ReportAllocs()
	for b.Loop() {
		if _, err := Decode(base, diff, 1<<20); err != nil {
			b.Fatal(err)
		}
	}
}

// sample returns a configuration with a number of routes.
func sample(routes int) []byte {
	random := rand.New(rand.NewPCG(1, uint64(routes)))
	var b bytes.Buffer
	b.WriteString(`{"version":1,"routes":[`)
	for range routes {
		fmt.Fprintf(&b, `{"name":"r-%07x","host":"h%05x.example","prefix":"/p%04x/","service":"draft","kind":"idempotent","attempts":2,"timeout":800,"goal":150},`,
			random.Uint32()>>4, random.Uint32()>>12, random.Uint32()>>16)
	}
	return b.Bytes()
}
