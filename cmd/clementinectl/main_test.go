package main

import (
	"context"
	"net/http"
	"net/http/httptest"
	"os/exec"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rogpeppe/go-internal/testscript"

	"clementinelink.example/clementinelink/internal/config"
	"clementinelink.example/clementinelink/internal/move"
	"clementinelink.example/clementinelink/internal/submit"
	"clementinelink.example/clementinelink/internal/world"
)

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){
		"clementinectl": main,
	})
}

// TestScripts guards against wrong exit codes and outputs, and against a
// submission that takes effect twice when it is repeated. The script command
// "serve [lost]" starts the operator interface of an entry VM with an empty
// store. With "lost", the response to the first submission is dropped after it
// took effect. A further "serve" replaces the VM.
func TestScripts(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir: "testdata",
		Cmds: map[string]func(ts *testscript.TestScript, neg bool, args []string){
			"exits": checkExitCode,
			"edge":  startEdge,
			"serve": func(ts *testscript.TestScript, _ bool, args []string) {
				v := &fakeVM{
					values:       make(map[string][]byte),
					revisions:    make(map[string]uint64),
					dropResponse: len(args) > 0,
				}
				server := httptest.NewServer(v.routes())
				ts.Defer(server.Close)
				ts.Setenv("CLEMENTINE_ADDRESS", strings.TrimPrefix(server.URL, "http://"))
			},
		},
	})
}

// checkExitCode implements the script command "exits CODE COMMAND...", which
// runs a command and requires its exit code.
func checkExitCode(ts *testscript.TestScript, _ bool, args []string) {
	code := 0
	var e *exec.ExitError
	if err := ts.Exec(args[1], args[2:]...); errors.As(err, &e) {
		code = e.ExitCode()
	}
	if args[0] != strconv.Itoa(code) {
		ts.Fatalf("exit code %d, not %s", code, args[0])
	}
}

// fakeVM simulates an entry VM and the platform's store.
type fakeVM struct {
	mutex        sync.Mutex
	values       map[string][]byte
	revisions    map[string]uint64
	dropResponse bool
	submitter    *submit.Submitter
}

func (v *fakeVM) routes() http.Handler {
	v.submitter = submit.NewSubmitter(submit.Store{
		Get: func(_ context.Context, key string) ([]byte, uint64, error) {
			v.mutex.Lock()
			defer v.mutex.Unlock()
			return v.values[key], v.revisions[key], nil
		},
		Put: func(_ context.Context, key string, value []byte, revision uint64) error {
			v.mutex.Lock()
			defer v.mutex.Unlock()
			if v.revisions[key] != revision {
				return submit.ErrConflict
			}
			v.values[key] = value
			v.revisions[key]++
			return nil
		},
		List: func(_ context.Context, prefix string) (map[string][]byte, error) {
			v.mutex.Lock()
			defer v.mutex.Unlock()
			out := make(map[string][]byte)
			for key, value := range v.values {
				if strings.HasPrefix(key, prefix) {
					out[key] = value
				}
			}
			return out, nil
		},
		Delete: func(context.Context, string) error { return nil },
	})
	h := submit.NewHandler(v.submitter, submit.Sources{
		Now:  time.Now,
		Head: v.head,
		Parts: func() map[string][]byte {
			parts, err := v.submitter.Load(context.Background(), v.head())
			if err != nil {
				return nil
			}
			return parts
		},
		Await: func(ctx context.Context, _ uint64) { <-ctx.Done() },
		Moves: v.moves,
	})
	mux := http.NewServeMux()
	mux.HandleFunc("POST /apply", func(w http.ResponseWriter, q *http.Request) {
		if v.dropResponse {
			v.dropResponse = false
			h.Apply(httptest.NewRecorder(), q)
			panic(http.ErrAbortHandler)
		}
		h.Apply(w, q)
	})
	mux.HandleFunc("GET /status", h.Status)
	mux.HandleFunc("GET /history", h.History)
	return mux
}

func (v *fakeVM) head() *submit.Head {
	v.mutex.Lock()
	defer v.mutex.Unlock()
	head, err := submit.DecodeHead(v.values[config.HeadKey])
	if err != nil {
		return &submit.Head{}
	}
	return head
}

// moves returns one move, which is rolled back once there is a revision.
func (v *fakeVM) moves() []move.Status {
	start := time.Date(2026, 3, 1, 8, 0, 0, 0, time.UTC)
	plan := world.NewMove("m1", "v1", "v2", start, start.Add(time.Hour), 0.05)
	c := move.NewController("draft", plan, move.NewEvidenceSet())
	in := move.NewInput(1)
	if v.head().Revision() > 0 {
		in = in.WithFailure("errors")
		if r, err := move.DecodeRecord([]byte(`{"state":"rolled-back","time":"2026-03-01T08:01:00Z","reason":"errors"}`)); err == nil {
			in = in.WithRecord(r, 1)
		}
	}
	c.Step(start, in)
	return []move.Status{c.Status()}
}
