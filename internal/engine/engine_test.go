package engine

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"clementinelink.example/clementinelink/internal/fleet"
	"clementinelink.example/clementinelink/internal/relay"
	"clementinelink.example/clementinelink/internal/router"
	"clementinelink.example/clementinelink/internal/world"
)

// TestContract checks the events that the client emits for each status and stream
// in the data file. It guards in particular against delivering a token of another
// request or attempt.
func TestContract(t *testing.T) {
	datadriven.RunTest(t, "testdata/answers", func(t *testing.T, d *datadriven.TestData) string {
		status := http.StatusOK
		if d.HasArg("status") {
			d.ScanArgs(t, "status", &status)
		}
		var requested string
		s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			requested = r.Method + " " + r.URL.String()
			w.WriteHeader(status)
			_, _ = w.Write([]byte(d.Input))
		}))
		address := s.Listener.Addr().String()
		if d.HasArg("down") {
			s.Close()
		}
		defer s.Close()
		var events strings.Builder
		c := NewClient(func(_ context.Context, ev router.Event) { fmt.Fprintln(&events, ev) })
		switch a := action(address, d.Cmd == "attach"); d.Cmd {
		case "open":
			c.Open(context.Background(), a)
		case "attach":
			c.Attach(context.Background(), a)
		case "cancel":
			fmt.Fprintln(&events, "confirmed", c.Cancel(context.Background(), address, "r1", 1) == nil)
		}
		return requested + "\n" + events.String()
	})
}

// action returns the action that opens r1, or the one that attaches to its stream
// after the connection broke.
func action(address string, attach bool) relay.Action {
	e := fleet.NewEngine(world.NewVM("e1", world.Engine, address, "", ""))
	e.ApplyLoad(time.Now(), fleet.NewLoad("a", 0, 0, 4, []string{"v1"}, false, 0))
	p := relay.NewPolicy(func(time.Time, *relay.Response, []*fleet.Engine) *fleet.Engine { return e }, nil, nil)
	q := relay.NewRequest("r1", "draft", "w", world.Interactive, time.Now().Add(time.Minute)).
		WithPrompt("p", 1).
		WithSampling(9, 1, relay.NewSampling(-1, -1, nil))
	r := relay.NewResponse(q, "v1", p)
	out := r.Start(time.Now(), nil)
	if !attach {
		return out[0]
	}
	r.Token(time.Now(), 1, 0, 7, "", nil)
	return r.Lost(time.Now(), 1, relay.Reset, nil)[0]
}

// TestPriority guards the order in which an engine serves queued requests: by
// class, and resumes first within a class.
func TestPriority(t *testing.T) {
	last := -1
	for c := range world.NumClasses {
		q := relay.NewRequest("r", "draft", "w", c, time.Now())
		for _, resume := range []bool{true, false} {
			if p := priority(q, resume); p <= last {
				t.Errorf("class %s, resume %v: priority %d is not after %d", c, resume, p, last)
			} else {
				last = p
			}
		}
	}
}
