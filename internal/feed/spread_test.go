package feed_test

import (
	"fmt"
	"math/rand/v2"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/datadriven"
)

// TestSpread guards against a failure domain in which each VM reads from the store
// for itself, or one VM serves all others, and against changes that take effect
// late or out of order when VMs or the store fail. Each file names the load.
func TestSpread(t *testing.T) {
	datadriven.Walk(t, "testdata/spread", func(t *testing.T, path string) {
		synctest.Test(t, func(t *testing.T) {
			s := &spread{
				rng: rand.New(rand.NewPCG(1, 2)),
			}
			defer s.stop()
			datadriven.RunTest(t, path, s.run)
		})
	})
}

// spread runs a script on one fleet.
type spread struct {
	// puts counts the values of the configuration.
	puts  int
	fleet *fleet
	rng   *rand.Rand
}

// stop stops the fleet and waits for its end.
func (s *spread) stop() {
	if s.fleet == nil {
		return
	}
	for _, v := range s.fleet.order {
		if v.log != nil {
			s.fleet.stop(v)
		}
	}
	s.fleet.running.Wait()
}

// run runs one command. The arguments listed, known, lists, watches, sent, carried and
// held are bounds, which it checks; it prints the figures that exceed them. sent is in
// KB by one VM, carried in KB over the links between regions, and held the longest time
// that a small message would have waited on one of those.
func (s *spread) run(t *testing.T, d *datadriven.TestData) string {
	var out strings.Builder
	f := s.fleet
	duration := func(key string) time.Duration {
		text := "0s"
		if d.HasArg(key) {
			d.ScanArgs(t, key, &text)
		}
		v, err := time.ParseDuration(text)
		if err != nil {
			d.Fatalf(t, "%v", err)
		}
		return v
	}
	number := func(key string) int {
		n := 0
		if d.HasArg(key) {
			d.ScanArgs(t, key, &n)
		}
		return n
	}
	bound := func(key string, figure int) {
		if d.HasArg(key) && figure > number(key) {
			fmt.Fprintf(&out, "%s %d\n", key, figure)
		}
	}
	sent := 0
	if f != nil {
		f.store.mutex.Lock()
		f.store.lists, f.store.watches = 0, 0
		f.store.mutex.Unlock()
		f.mutex.Lock()
		for _, v := range f.order {
			v.up.sent = 0
		}
		for _, l := range f.between {
			l.sent, l.held = 0, 0
		}
		f.mutex.Unlock()
	}
	switch d.Cmd {
	case "start":
		s.stop()
		s.fleet = newFleet(plan{
			vms:         number("vms"),
			upstreams:   number("upstreams"),
			domains:     number("domains"),
			regions:     number("regions"),
			mbps:        number("mbps"),
			betweenMbps: number("between"),
			windowBytes: 1000 * number("window"),
			windowTime:  duration("every"),
		})
		f = s.fleet
		for _, v := range f.order {
			f.start(v, time.Duration(s.rng.Int64N(int64(startSpread))))
		}
		s.checkListed(&out, duration("listed"))
	case "restart":
		// The VMs are killed at the same moment and started again.
		for _, i := range s.rng.Perm(len(f.order))[:number("count")] {
			f.stop(f.order[i])
			f.start(f.order[i], 500*time.Millisecond+time.Duration(s.rng.Int64N(int64(startSpread))))
		}
		s.checkListed(&out, duration("listed"))
	case "put":
		// Each value differs from those before.
		value := make([]byte, number("size"))
		s.puts++
		copy(value, strconv.Itoa(s.puts))
		revision := f.store.putValue("conf", value)
		if took := until(30*time.Second, func() bool { return f.knows("conf", revision) }); took > duration("known") {
			fmt.Fprintf(&out, "known after %s\n", took)
		}
	case "freeze", "thaw", "stop", "dark":
		// VMs are numbered by the width of their links, or in the order of their names.
		v := f.vms[rankedName(len(f.order), number("rank"))]
		if d.HasArg("vm") {
			v = f.order[number("vm")]
		}
		if d.Cmd == "stop" {
			f.stop(v)
			break
		}
		f.mutex.Lock()
		v.frozen, v.dark = d.Cmd == "freeze", d.Cmd == "dark"
		f.mutex.Unlock()
	case "store":
		f.store.mutex.Lock()
		f.store.down = d.HasArg("down")
		f.store.mutex.Unlock()
	case "restore":
		f.store.restore()
	case "forget":
		f.store.put("up/00000")
		f.store.forget()
	case "wait":
		time.Sleep(duration("for"))
	default:
		d.Fatalf(t, "unknown command %q", d.Cmd)
	}
	f.store.mutex.Lock()
	bound("lists", f.store.lists)
	bound("watches", f.store.watches)
	f.store.mutex.Unlock()
	f.mutex.Lock()
	defer f.mutex.Unlock()
	for _, v := range f.order {
		sent = max(sent, v.up.sent)
		if v.wentBack {
			fmt.Fprintf(&out, "%s went back\n", v.name)
		}
	}
	bound("sent", sent/1000)
	carried, held := 0, time.Duration(0)
	for _, l := range f.between {
		carried += l.sent
		held = max(held, l.held)
	}
	bound("carried", carried/1000)
	if d.HasArg("held") && held > duration("held") {
		fmt.Fprintf(&out, "held %s\n", held)
	}
	return out.String()
}

// checkListed waits until all running VMs have read the keys.
func (s *spread) checkListed(out *strings.Builder, limit time.Duration) {
	took := until(30*time.Second, func() bool {
		s.fleet.mutex.Lock()
		defer s.fleet.mutex.Unlock()
		for _, v := range s.fleet.order {
			if v.log != nil && v.listedAt.IsZero() {
				return false
			}
		}
		return true
	})
	if took > limit {
		fmt.Fprintf(out, "listed after %s\n", took)
	}
}

// rankedName returns the name of the VM with the given rank by link width.
func rankedName(vms, rank int) string {
	large := (vms + 15) / 16
	if rank < large {
		return fmt.Sprintf("vm-%03d", 16*rank)
	}
	small := rank - large
	return fmt.Sprintf("vm-%03d", small+small/15+1)
}
