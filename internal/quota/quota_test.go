package quota

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
)

// TestFleets guards against a fleet that sends an upstream more than one and a half
// times its limit and 5 requests in 4 s, which it did while each VM sent what it liked,
// and against one that leaves most of the limit unused. Each VM pulls as many requests
// as its part of the demand; the parts differ by up to the given factor.
func TestFleets(t *testing.T) {
	datadriven.RunTest(t, "testdata/fleets", func(t *testing.T, d *datadriven.TestData) string {
		if d.Cmd == "ring" {
			return ring(t, d)
		}
		f := scanFleet(t, d)
		most, used := f.run(time.Duration(f.quiet)*time.Second + time.Minute)
		allowed := 1.5*4*f.limit + 5
		result := fmt.Sprintf("members=%d within=%t", f.members, float64(most) <= allowed)
		if f.demand >= 2*f.limit {
			result += fmt.Sprintf(" used at least %d%%", int(10*math.Floor(used/f.limit*10-0.001)))
		}
		return result + "\n"
	})
}

// ring returns in how many of the upstreams of a service a VM is a member.
func ring(t *testing.T, d *datadriven.TestData) string {
	var vms, count int
	var limit float64
	d.ScanArgs(t, "vms", &vms)
	d.ScanArgs(t, "count", &count)
	scanFloat(t, d, "limit", &limit)
	var names []string
	for i := range vms {
		names = append(names, fmt.Sprintf("vm-%d", i))
	}
	least, most := count, 0
	for _, name := range names {
		f := NewFleet(name)
		f.Set(names)
		n := 0
		for i := range count {
			if _, member := f.Share(i, count, limit); member {
				n++
			}
		}
		least, most = min(least, n), max(most, n)
	}
	return fmt.Sprintf("member of %d to %d\n", least, most)
}

// simFleet is a fleet of VMs that send requests to one upstream.
type simFleet struct {
	limit   float64
	demand  float64
	factor  float64
	names   []string
	pacers  []Pacer
	parts   []float64
	members int
	// quiet is the number of seconds before the demand begins.
	quiet  int
	random *rand.Rand
}

func scanFleet(t *testing.T, d *datadriven.TestData) *simFleet {
	var vms int
	f := &simFleet{
		random: rand.New(rand.NewPCG(1, 2)),
	}
	d.ScanArgs(t, "vms", &vms)
	scanFloat(t, d, "limit", &f.limit)
	scanFloat(t, d, "demand", &f.demand)
	scanFloat(t, d, "factor", &f.factor)
	for i := range vms {
		f.names = append(f.names, fmt.Sprintf("vm-%d", i))
	}
	total := 0.0
	for range vms {
		part := 1 + f.random.Float64()*(f.factor-1)
		f.parts = append(f.parts, part)
		total += part
	}
	now := time.Unix(0, 0)
	index, count := 0, 1
	if d.HasArg("count") {
		d.ScanArgs(t, "index", &index)
		d.ScanArgs(t, "count", &count)
	}
	if d.HasArg("quiet") {
		d.ScanArgs(t, "quiet", &f.quiet)
	}
	for i, name := range f.names {
		f.parts[i] *= f.demand / total
		fleet := NewFleet(name)
		fleet.Set(f.names)
		rate, member := fleet.Share(index, count, f.limit)
		if member {
			f.members++
		}
		f.pacers = append(f.pacers, NewPacer(now, rate, member, f.random.Float64()))
	}
	return f
}

func scanFloat(t *testing.T, d *datadriven.TestData, name string, value *float64) {
	var text string
	d.ScanArgs(t, name, &text)
	if _, err := fmt.Sscan(text, value); err != nil {
		t.Fatalf("%s: %s: %v", d.Pos, name, err)
	}
}

// run plays a time and returns the most requests in any 4 s, and the mean rate. Each
// request that is withheld is lost.
func (f *simFleet) run(length time.Duration) (most int, rate float64) {
	start := time.Unix(0, 0)
	var sent []time.Time
	const step = 10 * time.Millisecond
	for at := time.Duration(0); at < length; at += step {
		now := start.Add(at)
		if at < time.Duration(f.quiet)*time.Second {
			continue
		}
		for i := range f.pacers {
			if f.random.Float64() < f.parts[i]*step.Seconds() && !now.Before(f.pacers[i].AvailableAt(now, 0)) {
				f.pacers[i].Take(now)
				sent = append(sent, now)
			}
		}
	}
	for i, at := range sent {
		first, _ := slices.BinarySearchFunc(sent, at.Add(-4*time.Second), func(a, b time.Time) int { return a.Compare(b) })
		most = max(most, i-first+1)
	}
	return most, float64(len(sent)) / (length.Seconds() - float64(f.quiet))
}

// TestPacer guards the order of what a limit permits: more urgent requests before
// others, requests that may not be withheld before all. Times are in milliseconds.
func TestPacer(t *testing.T) {
	var p Pacer
	base := time.Unix(0, 0)
	datadriven.RunTest(t, "testdata/pacer", func(t *testing.T, d *datadriven.TestData) string {
		at, others := 0, 0
		if d.HasArg("at") {
			d.ScanArgs(t, "at", &at)
		}
		if d.HasArg("others") {
			d.ScanArgs(t, "others", &others)
		}
		now := base.Add(time.Duration(at) * time.Millisecond)
		var rate float64
		switch d.Cmd {
		case "new":
			scanFloat(t, d, "rate", &rate)
			p = NewPacer(now, rate, d.HasArg("member"), 0.5)
		case "rate":
			scanFloat(t, d, "rate", &rate)
			p.SetRate(now, rate, d.HasArg("member"))
		case "take":
			p.Take(now)
		case "ahead":
			p.TakeAhead(now)
		default:
			t.Fatalf("%s: unknown command %q", d.Pos, d.Cmd)
		}
		var out strings.Builder
		for _, n := range []int{0, 1, -2} {
			fmt.Fprintf(&out, "others=%d: %d\n", n, p.AvailableAt(now, n).Sub(base).Milliseconds())
		}
		return out.String()
	})
}
