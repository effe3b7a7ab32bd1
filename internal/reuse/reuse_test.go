package reuse

import (
	"bytes"
	"cmp"
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"
	"github.com/cockroachdb/errors"
	"github.com/go-json-experiment/json/jsontext"
)

// TestArray guards against work for each element of a large configuration when few of
// them change: VMs with little processor time stood still meanwhile, and gave up streams
// (LOST).
func TestArray(t *testing.T) {
	var decoded []string
	a := NewArray(func(text []byte) (string, error) {
		if bytes.Contains(text, []byte("bad")) {
			return "", errors.New("bad element")
		}
		decoded = append(decoded, string(text))
		return strings.ToUpper(string(text)), nil
	})
	datadriven.RunTest(t, "testdata/array", func(_ *testing.T, d *datadriven.TestData) string {
		decoded = nil
		values, err := a.Decode(jsontext.Value(d.Input))
		if err != nil {
			return "an error\n"
		}
		return fmt.Sprintf("values: %s\ndecoded: %s\nunchanged: %t\n", cmp.Or(strings.Join(values, " "), "none"), cmp.Or(strings.Join(decoded, " "), "none"), a.Unchanged())
	})
}

// FuzzMembers guards against a configuration that is read in another way than by
// encoding/json, which all VMs used before.
func FuzzMembers(f *testing.F) {
	for _, s := range []string{`{}`, ` {"a":[1,{"b":"\u00e9"}],"a":2} `, `{"a":1}x`, `{"a":`, `[]`, `null`, `{"A":"\ud800"}`, "{\"a\":\"\xff\"}", `{"a":1e999,"b":-0}`} {
		f.Add([]byte(s))
	}
	f.Fuzz(func(t *testing.T, value []byte) {
		want := make(map[string]json.RawMessage)
		wantErr := json.Unmarshal(value, &want)
		got := make(map[string]json.RawMessage)
		err := Members(value, func(name string, v jsontext.Value) error {
			got[name] = slices.Clone(json.RawMessage(v))
			return nil
		})
		if bytes.Equal(bytes.TrimSpace(value), []byte("null")) {
			return
		}
		if (err != nil) != (wantErr != nil) {
			t.Fatalf("%v, encoding/json: %v", err, wantErr)
		}
		if err != nil {
			return
		}
		for name, w := range want {
			if !bytes.Equal(got[name], w) {
				t.Errorf("%q: %s, want %s", name, got[name], w)
			}
		}
	})
}

// FuzzArray guards against an array that is taken for another one because it begins or
// ends with the same text as the one before.
func FuzzArray(f *testing.F) {
	for _, s := range [][2]string{
		{`[1,2,3]`, `[1,2,34]`}, {`[1,2,3]`, `[1,22,3]`}, {`[12,2]`, `[2]`}, {`[1]`, `[1,1]`}, {`[1,1,1]`, `[1,1]`}, {`[ 1 , 2 ]`, `[1,2]`},
		{`["a","],["]`, `["a","]"]`}, {`[{"a":1},{"b":2}]`, `[{"a":1},{"c":[3]},{"b":2}]`}, {`[1,2]`, `[1,,2]`}, {`[1,2]`, `[1,]`}, {`[1,2]`, `[]`}, {`[1,2]`, `[,2]`},
		{`[]`, `[1]`}, {`null`, `[1]`}, {`[1,2]`, `null`}, {`[-1,1]`, `[1]`}, {`[[1],[2]]`, `[[1],[1],[2]]`}, {`[1,2]`, `[1,2,2]`},
	} {
		f.Add([]byte(s[0]), []byte(s[1]))
	}
	identity := func(text []byte) (string, error) { return string(text), nil }
	f.Fuzz(func(t *testing.T, first, second []byte) {
		a := NewArray(identity)
		before, _ := a.Decode(jsontext.Value(first))
		for _, text := range [][]byte{second, first, second} {
			got, err := a.Decode(jsontext.Value(text))
			want, wantErr := NewArray(identity).Decode(jsontext.Value(text))
			if err == nil {
				if a.Unchanged() && !slices.Equal(got, before) {
					t.Fatalf("%q after %q: %q is not unchanged", text, first, got)
				}
				before = got
			}
			if (err != nil) != (wantErr != nil) || (err != nil) == json.Valid(text) && bytes.HasPrefix(bytes.Trim(text, space), []byte("[")) || !slices.Equal(got, want) {
				t.Fatalf("%q after %q: %q, %v, want %q, %v", text, first, got, err, want, wantErr)
			}
		}
	})
}
