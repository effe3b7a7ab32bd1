package accord

import (
	"context"
	"fmt"
	"maps"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"clementinelink.example/clementinelink/internal/blame"
	"clementinelink.example/clementinelink/internal/follow"
	"clementinelink.example/clementinelink/internal/store"
	"github.com/cockroachdb/datadriven"
	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"
)

// maxDelay is the time within which the VMs agree.
const maxDelay = 2 * time.Second

// node is one VM of a script. hang is true while the VM does not answer.
type node struct {
	duty   *Duty
	server *httptest.Server
	hang   atomic.Bool

	mutex   sync.Mutex
	charges []blame.Charge
}

// script runs the commands of one data file against several VMs, which call one
// another over the loopback interface.
type script struct {
	t     *testing.T
	nodes map[string]*node

	// mutex guards the fields below.
	mutex sync.Mutex
	// stored holds the parts of the charges in the store, and down is true while
	// the store is down.
	stored map[string]bool
	down   bool
}

// TestScripts guards against charges that do not reach all VMs, and against those
// that one VM places alone. The head of each data file states the failures that it
// guards against. Ages are in milliseconds.
func TestScripts(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		s := &script{
			t:      t,
			nodes:  make(map[string]*node),
			stored: make(map[string]bool),
		}
		datadriven.RunTest(t, path, s.run)
	})
}

func (s *script) run(t *testing.T, d *datadriven.TestData) string {
	switch d.Cmd {
	case "start":
		s.start(strings.Fields(d.Input))
	case "hang":
		// The VMs keep their connections and answer nothing.
		for name := range strings.FieldsSeq(d.Input) {
			s.nodes[name].hang.Store(true)
		}
	case "resume":
		for name := range strings.FieldsSeq(d.Input) {
			s.nodes[name].hang.Store(false)
		}
	case "stop":
		// The VMs refuse connections.
		for name := range strings.FieldsSeq(d.Input) {
			s.nodes[name].server.CloseClientConnections()
			s.nodes[name].server.Close()
		}
	case "lost", "survived":
		s.end(d)
	case "store":
		s.mutex.Lock()
		defer s.mutex.Unlock()
		s.down = d.HasArg("down")
	case "restore":
		s.restore(d)
	case "stored":
		// A write that failed has been tried again by then.
		time.Sleep(writePause + maxDelay)
		s.mutex.Lock()
		defer s.mutex.Unlock()
		return fmt.Sprintln(slices.Sorted(maps.Keys(s.stored)))
	case "charged":
		return s.await(d, true)
	case "free":
		return s.await(d, false)
	default:
		t.Fatalf("%s: unknown command %q", d.Pos, d.Cmd)
	}
	return ""
}

// start starts VMs that know one another.
func (s *script) start(names []string) {
	addresses := make(map[string]string)
	for _, name := range names {
		n := &node{}
		n.duty = New(name, store.New("http://127.0.0.1:0", 1), n.setCharges, func(string) {}, zerolog.Nop())
		n.duty.put = func(_ context.Context, c blame.Charge, _ time.Duration, _ bool) error { return s.write(c, true) }
		n.duty.remove = func(_ context.Context, c blame.Charge) error { return s.write(c, false) }
		n.server = httptest.NewServer(n.gated(NewServer(n.duty).Handler()))
		s.t.Cleanup(n.server.Close)
		addresses[name] = n.server.Listener.Addr().String()
		s.nodes[name] = n
	}
	for _, name := range names {
		s.nodes[name].duty.SetVMs(s.t.Context(), addresses)
		go s.nodes[name].duty.Run(s.t.Context())
		// Inputs are applied in order.
		if _, err := s.nodes[name].duty.seen(s.t.Context(), "", nil, time.Time{}); err != nil {
			s.t.Fatal(err)
		}
	}
}

// end reports the end of a run. Each line of the input holds the age, the engine, its
// domain, the prompt, and the parts separated by plus signs.
func (s *script) end(d *datadriven.TestData) {
	var name string
	d.ScanArgs(s.t, "vm", &name)
	for l := range strings.Lines(d.Input) {
		var age int
		var engine, domain, session, parts string
		if _, err := fmt.Sscan(l, &age, &engine, &domain, &session, &parts); err != nil {
			s.t.Fatalf("%s: %v", d.Pos, err)
		}
		r := blame.NewRun(time.Now().Add(-time.Duration(age)*time.Millisecond), blame.RunSpec{
			Service: "llm",
			Version: "v1",
			Engine:  engine,
			Domain:  domain,
			Session: session,
			Parts:   strings.Split(parts, "+"),
		})
		if d.Cmd == "survived" {
			s.nodes[name].duty.RunSurvived(s.t.Context(), r)
		} else {
			s.nodes[name].duty.RunLost(s.t.Context(), r)
		}
	}
}

// restore restores the store, which then has the charges of the input, one part each, and
// no others, and tells the VMs so. After a while the keys that it lacks are gone.
func (s *script) restore(d *datadriven.TestData) {
	s.mutex.Lock()
	clear(s.stored)
	var listed []store.Entry
	for part := range strings.FieldsSeq(d.Input) {
		s.stored[part] = true
		c := blame.NewCharge("llm", []string{part}, "v1", false)
		value := fmt.Sprintf(`{"service":"llm","parts":[%q],"struck":"v1"}`, part)
		listed = append(listed, store.NewEntry(chargeKey(c), []byte(value), store.Position(1, 9), ""))
	}
	s.mutex.Unlock()
	for _, n := range s.nodes {
		var known []store.Entry
		for _, c := range n.inForce() {
			known = append(known, store.NewEntry(chargeKey(c), nil, 5, ""))
		}
		f := follow.NewState()
		now := time.Now()
		f.Listed(now, known, 8)
		n.duty.Apply(s.t.Context(), f.Listed(now, listed, store.Position(1, 9)))
		n.duty.Apply(s.t.Context(), f.Expired(now.Add(time.Minute)))
	}
}

// await waits until a charge is in force at each of the named VMs if want is true, and
// otherwise for the time in which one would be. It returns the charges.
func (s *script) await(d *datadriven.TestData, want bool) string {
	names := strings.Fields(d.Input)
	missing := func(name string) bool { return s.nodes[name].print() == "" }
	for end := time.Now().Add(maxDelay); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if want && !slices.ContainsFunc(names, missing) {
			break
		}
	}
	var b strings.Builder
	for _, name := range names {
		fmt.Fprintf(&b, "%s:%s\n", name, s.nodes[name].print())
	}
	return b.String()
}

// gated returns a handler that passes requests on unless the VM hangs.
func (n *node) gated(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if n.hang.Load() {
			time.Sleep(2 * callTimeout)
			return
		}
		next.ServeHTTP(w, r)
	})
}

// write stores or deletes a charge.
func (s *script) write(c blame.Charge, put bool) error {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.down {
		return errors.New("the store is down")
	}
	key := strings.Join(c.Parts(), "+")
	if delete(s.stored, key); put {
		s.stored[key] = true
	}
	return nil
}

func (n *node) setCharges(_ context.Context, charges []blame.Charge) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.charges = charges
}

func (n *node) inForce() []blame.Charge {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	return n.charges
}

func (n *node) print() string {
	var b strings.Builder
	for _, c := range n.inForce() {
		fmt.Fprintf(&b, " %s", strings.Join(c.Parts(), "+"))
	}
	return b.String()
}
