package claim

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"text/tabwriter"
	"time"

	"clementinelink.example/clementinelink/internal/errs"
)

// The measured deployment: 9 entry VMs and a store that allows 300 writes a
// second and takes 3 ms for each. A VM may write its share less 5%.
const (
	measureVMs    = 9
	measureWrites = 300.0
	measureWait   = 3 * time.Second
	// perCallSlots is so large that claims share no slot: each booking then has
	// one write for its claim and one for its outcome.
	perCallSlots = 1 << 16
)

type measurement struct {
	*sim
	addedLatency []time.Duration
	bytes        int
}

// measure returns a simulation in which the VMs get the given number of bookings
// a second, evenly spaced.
func measure(slots int, perSecond float64, span time.Duration) *measurement {
	var names []string
	for i := range measureVMs {
		names = append(names, fmt.Sprintf("vm%d", i))
	}
	m := &measurement{
		sim: newSim(1, names, slots, 0.95*measureWrites/measureVMs, nil),
	}
	m.f.rate = measureWrites
	if slots == perCallSlots {
		for _, v := range m.vms {
			v.core.owner = nil
		}
	}
	m.onSend = func(l *simCall) { m.addedLatency = append(m.addedLatency, m.now.Sub(l.begun)) }
	m.onStore = func(value []byte) { m.bytes += len(value) }
	total := int(perSecond * span.Seconds())
	for n := range total {
		m.after(time.Duration(float64(n)/perSecond*float64(time.Second)), func() {
			m.call(m.vms[m.rng.IntN(measureVMs)], fmt.Sprintf("k%d", n), "x", measureWait)
		})
	}
	return m
}

func (m *measurement) shares(from, to time.Duration) (ran, refused, unknown float64) {
	total := 0.0
	for _, l := range m.calls {
		at := l.begun.Sub(m.start)
		if at < from || at >= to {
			continue
		}
		total++
		switch p := l.last.Problem(); {
		case p == nil:
			ran++
		case p.Outcome() == errs.NotRun:
			refused++
		default:
			unknown++
		}
	}
	return 100 * ran / total, 100 * refused / total, 100 * unknown / total
}

func quantile(d []time.Duration, q float64) time.Duration {
	if len(d) == 0 {
		return 0
	}
	s := slices.Sorted(slices.Values(d))
	return s[int(q*float64(len(s)-1))].Round(100 * time.Microsecond)
}

func grouping(slots int) string {
	if slots == perCallSlots {
		return "per call"
	}
	return "by slot"
}

// BenchmarkBookings prints the claims stored a second, the store operations per
// booking and the added latency, with claims that share slots and with a slot
// for each call.
func BenchmarkBookings(b *testing.B) {
	const span = 20 * time.Second
	for b.Loop() {
		var out strings.Builder
		w := tabwriter.NewWriter(&out, 0, 8, 2, ' ', 0)
		fmt.Fprintln(w, "claims\toffered/s\theld/s\trefused %\twrites/booking\treads/booking\tpeer calls/booking\tKB/write\tadded p50\tadded p99")
		for _, slots := range []int{perCallSlots, Slots} {
			for _, offered := range []float64{10, 100, 150, 300, 600, 1200, 2400} {
				m := measure(slots, offered, span)
				m.run(span + 30*time.Second)
				if err := m.check(); err != nil {
					b.Fatal(err)
				}
				held := float64(len(m.addedLatency))
				_, refused, _ := m.shares(0, span)
				fmt.Fprintf(w, "%s\t%.0f\t%.0f\t%.1f\t%.2f\t%.2f\t%.2f\t%.1f\t%v\t%v\n", grouping(slots), offered, held/span.Seconds(), refused,
					float64(m.writes)/held, float64(m.reads)/held, float64(m.peerRequests)/held, float64(m.bytes)/float64(m.writes)/1024,
					quantile(m.addedLatency, 0.5), quantile(m.addedLatency, 0.99))
			}
		}
		w.Flush()
		fmt.Print(out.String())
	}
}

// BenchmarkOutage prints the outcomes that callers get before, during and after
// a store outage of ten minutes, at 50 bookings a second.
func BenchmarkOutage(b *testing.B) {
	phases := []time.Duration{0, time.Minute, 11 * time.Minute, 12 * time.Minute}
	for b.Loop() {
		var out strings.Builder
		w := tabwriter.NewWriter(&out, 0, 8, 2, ' ', 0)
		fmt.Fprintln(w, "claims\toutage\tphase\tran %\tnot-run %\tunknown %")
		for _, slots := range []int{perCallSlots, Slots} {
			for _, silent := range []bool{false, true} {
				m := measure(slots, 50, phases[3])
				m.storeSilent = silent
				m.after(phases[1], func() { m.storeDownUntil = m.start.Add(phases[2]) })
				m.run(phases[3] + 30*time.Second)
				if err := m.check(); err != nil {
					b.Fatal(err)
				}
				for i, phase := range []string{"before", "during", "after"} {
					ran, refused, unknown := m.shares(phases[i], phases[i+1])
					fmt.Fprintf(w, "%s\t%s\t%s\t%.3f\t%.3f\t%.3f\n", grouping(slots), map[bool]string{false: "503", true: "silent"}[silent], phase, ran, refused, unknown)
				}
			}
		}
		w.Flush()
		fmt.Print(out.String())
	}
}
