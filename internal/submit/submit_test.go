package submit

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"github.com/cockroachdb/errors"

	"clementinelink.example/clementinelink/internal/config"
	"clementinelink.example/clementinelink/pkg/decl"
)

// fakeStore is an in-memory store with one fault: "lost" makes the next write of
// the head take effect and return an error, "down" makes writes of the head fail
// without effect, and "off" makes reads fail.
type fakeStore struct {
	values    map[string][]byte
	revisions map[string]uint64
	fault     string
	writes    int
}

func (f *fakeStore) store() Store {
	return Store{
		Get: func(_ context.Context, key string) ([]byte, uint64, error) {
			if f.fault == "off" {
				return nil, 0, errors.New("store: unavailable")
			}
			return f.values[key], f.revisions[key], nil
		},
		Put: func(_ context.Context, key string, value []byte, revision uint64) error {
			if f.revisions[key] != revision {
				return ErrConflict
			}
			if key == config.HeadKey && f.fault == "down" {
				return errors.New("store: unavailable")
			}
			f.writes++
			f.values[key] = value
			f.revisions[key]++
			if key == config.HeadKey && f.fault == "lost" {
				f.fault = ""
				return errors.New("store: connection reset")
			}
			return nil
		},
		List: func(_ context.Context, prefix string) (map[string][]byte, error) {
			out := make(map[string][]byte)
			for key, value := range f.values {
				if strings.HasPrefix(key, prefix) {
					out[key] = value
				}
			}
			return out, nil
		},
		Delete: func(_ context.Context, key string) error {
			delete(f.values, key)
			return nil
		},
	}
}

// declaration declares one model with a stable version and a number of
// workspaces.
func declaration(stable string, workspaces int) *decl.Declaration {
	d := decl.New().
		Region("gabrovo", "gab-mill").
		Model(decl.NewModel("draft", stable, decl.NewContract(time.Minute)))
	for i := range workspaces {
		d.Workspace(fmt.Sprintf("w%d", i), fmt.Sprintf("%064x", i), 1, decl.Batch)
	}
	return d
}

// TestApply guards against a change that overwrites a concurrent one, takes
// effect twice when it is repeated, or is misreported after a lost answer, and
// against replaced parts that are deleted too early or never. Commands:
//
//	apply change=C by=A revision=N stable=V workspaces=N [fail=KIND] [times=N]
//	history limit=N
//	keys with=TEXT
func TestApply(t *testing.T) {
	f := &fakeStore{
		values:    make(map[string][]byte),
		revisions: make(map[string]uint64),
	}
	s := NewSubmitter(f.store())
	now := time.Date(2026, 3, 1, 8, 0, 0, 0, time.UTC)
	datadriven.RunTest(t, "testdata/apply", func(t *testing.T, d *datadriven.TestData) string {
		out := &strings.Builder{}
		textArg := func(name string) (v string) {
			d.MaybeScanArgs(t, name, &v)
			return v
		}
		numberArg := func(name string) (v int) {
			d.MaybeScanArgs(t, name, &v)
			return v
		}
		switch d.Cmd {
		case "apply":
			f.fault = textArg("fail")
			for i := range max(numberArg("times"), 1) {
				change, workspaces := textArg("change"), numberArg("workspaces")
				if d.HasArg("times") {
					change, workspaces = fmt.Sprintf("%s%d", change, i), workspaces+i%2
				}
				parts, err := decl.Split(declaration(textArg("stable"), workspaces))
				if err != nil {
					t.Fatal(err)
				}
				f.writes = 0
				r := s.Apply(context.Background(), now, NewRequest(change, textArg("by"), uint64(numberArg("revision")+i), parts))
				if i == max(numberArg("times"), 1)-1 {
					lines := r.Lines()
					fmt.Fprintf(out, "%s, %d writes, %d lines\n%s\n", r.Summary(), f.writes, len(lines),
						strings.Join(lines[:min(len(lines), 3)], "\n"))
				}
			}
			f.fault = ""
		case "history":
			list, err := s.History(context.Background(), numberArg("limit"))
			for _, e := range list[:min(len(list), 2)] {
				fmt.Fprintln(out, e)
			}
			fmt.Fprintln(out, len(list), err)
		case "keys":
			values, _ := s.store.List(context.Background(), "config/parts/")
			var keys []string
			for k := range values {
				if key := k[:strings.LastIndex(k, "/")]; strings.Contains(key, textArg("with")) {
					keys = append(keys, key)
				}
			}
			slices.Sort(keys)
			fmt.Fprintln(out, len(keys), strings.Join(keys[:min(len(keys), 4)], " "))
		}
		return out.String()
	})
}
