package config_test

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"github.com/cockroachdb/errors"

	"clementinelink.example/clementinelink/internal/config"
	"clementinelink.example/clementinelink/internal/world"
)

var epoch = time.Date(2027, 1, 1, 0, 0, 0, 0, time.UTC)

// script runs steps of the form SECONDS:EVENT=ARGUMENT on a core. A head is
// written REVISION~PART~PART; a part is its one-letter name followed by a
// version.
type script struct {
	core *config.Core
	// pending holds the op of the last action by kind, and by peer for Ask.
	pending map[string]uint64
	// values holds the value of each part by key.
	values map[string]string
}

// TestScripts guards against a core that lowers its revision, adopts one whose
// parts are incomplete, or never adopts one, under the faults that the scripts
// name.
func TestScripts(t *testing.T) {
	datadriven.Walk(t, "testdata/scripts", func(t *testing.T, path string) {
		datadriven.RunTest(t, path, func(t *testing.T, td *datadriven.TestData) string {
			s := &script{
				pending: map[string]uint64{},
				values:  map[string]string{},
			}
			s.core = config.New(entry("vm-1@mill"), 1, func(revision uint64, parts map[string][]byte) (*world.Config, error) {
				if strings.HasPrefix(string(parts["a"]), "abad") {
					return nil, errors.New("bad part")
				}
				return world.NewConfig(revision, nil, nil, nil, nil), nil
			})
			var results []string
			for _, step := range strings.Fields(td.Input) {
				at, what, _ := strings.Cut(step, ":")
				seconds, err := strconv.ParseFloat(at, 64)
				if err != nil {
					t.Fatal(err)
				}
				line := step + ":"
				now := epoch.Add(time.Duration(seconds * float64(time.Second)))
				for _, a := range s.core.Step(now, s.event(t, what)) {
					line += " " + s.describe(a)
				}
				results = append(results, line)
			}
			var out strings.Builder
			for chunk := range slices.Chunk(results, 3) {
				fmt.Fprintln(&out, strings.Join(chunk, " | "))
			}
			return out.String()
		})
	})
}

// entry returns the entry VM written as NAME@DOMAIN.
func entry(s string) *world.VM {
	name, domain, _ := strings.Cut(s, "@")
	return world.NewVM(name, world.Entry, "127.0.0.1:1", domain, "region")
}

// heads encodes the heads, which are joined by "+"; "none" stands for no head.
func (s *script) heads(specs string) (found [][]byte) {
	for _, spec := range strings.Split(specs, "+") {
		if spec == "none" {
			continue
		}
		fields := strings.Split(spec, "~")
		var parts []string
		for _, f := range fields[1:] {
			key := config.NewPart(f[:1], "id", []byte(f)).Key()
			s.values[key] = f
			parts = append(parts, fmt.Sprintf(`{"name": %q, "id": "id", "digest": %q}`, f[:1], key[strings.LastIndex(key, "/")+1:]))
		}
		found = append(found, fmt.Appendf(nil, `{"revision": %s, "parts": [%s]}`, fields[0], strings.Join(parts, ",")))
	}
	return found
}

// event parses an event, written as NAME=HEADS@@REVISION, or as
// NAME=PEER/HEAD@@REVISION if it comes from a peer.
func (s *script) event(t *testing.T, what string) config.Event {
	name, arg, _ := strings.Cut(what, "=")
	arg, suffix, _ := strings.Cut(arg, "@@")
	revision, _ := strconv.ParseUint(suffix, 10, 64)
	peer, spec, _ := strings.Cut(arg, "/")
	head := func(heads [][]byte) []byte { return slices.Concat(heads...) }
	var vms []*world.VM
	for _, v := range strings.Split(arg, ",") {
		vms = append(vms, entry(v))
	}
	parts := map[string][]byte{}
	for key, value := range s.values {
		if strings.Contains(arg, value) {
			parts[key] = []byte(value)
		}
		if arg == "corrupt" {
			parts[key] = []byte(arg)
		}
	}
	events := map[string]config.Event{
		"tick":      config.Tick(),
		"start":     config.Start(),
		"members":   config.Members(vms),
		"read":      config.HeadRead(s.pending["read"], head(s.heads(arg)), revision),
		"readfail":  config.ReadFailed(s.pending["read"]),
		"watched":   config.Watched(s.pending["watch"], s.heads(arg), revision),
		"watchfail": config.WatchFailed(s.pending["watch"], false),
		"compacted": config.WatchFailed(s.pending["watch"], true),
		"peer":      config.PeerReported(peer, revision, nil),
		"asked":     config.PeerAnswered(s.pending[peer], peer, head(s.heads(spec))),
		"parts":     config.PartsRead(s.pending["fetch"], parts),
		"partsfail": config.PartsFailed(s.pending["fetch"]),
		"repaired":  config.Repaired(s.pending["repair"]),
	}
	e, ok := events[name]
	if !ok {
		t.Fatalf("unknown event %s", what)
	}
	return e
}

// describe returns the action as text, with the parts of a Fetch by value.
func (s *script) describe(a config.Action) string {
	s.pending[a.Kind().String()] = a.Op()
	s.pending[a.Peer()] = a.Op()
	if a.Kind() != config.Fetch {
		return a.String()
	}
	var parts []string
	for _, k := range a.Keys() {
		parts = append(parts, s.values[k])
	}
	return fmt.Sprintf("fetch(%s %s)", strings.Join(parts, "+"), a.Peer())
}
