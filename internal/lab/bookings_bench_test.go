package lab_test

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"testing"
	"text/tabwriter"
	"time"

	"clementinelink.example/clementinelink/internal/errs"
	"clementinelink.example/clementinelink/internal/lab"
	"clementinelink.example/clementinelink/internal/simeng"
	"github.com/rs/zerolog"
)

// samples is the number of calls of each kind.
const samples = 400

// BenchmarkPlain prints the latency of plain calls through two entry VMs, with
// the store and every other failure domain 1.5 ms away: a booking with a key
// beside one without and a direct one, and a lookup while generations run.
func BenchmarkPlain(b *testing.B) {
	for b.Loop() {
		site := lab.NewSite([]lab.Zone{
			lab.NewZone("gab-mill", "gabrovo", 0, 2),
			lab.NewZone("gab-annex", "gabrovo", 2, 0).WithPlainServices(2),
		}, zerolog.Nop(), simeng.WithGap(40*time.Millisecond, 0.2)).WithDelays(1500*time.Microsecond, 0)
		if err := site.Start(context.Background()); err != nil {
			b.Fatal(err)
		}
		if err := site.Configure(context.Background(), 1, site.Declaration(time.Minute, 1)); err != nil {
			b.Fatal(err)
		}
		time.Sleep(time.Second) // the VM list and the first load reports must arrive
		fmt.Print(plainTable(b, site))
		site.Close()
	}
}

func plainTable(b *testing.B, site *lab.Site) string {
	client := lab.NewBookingClient(site.EntryAddrs(), lab.Token(0))
	defer client.Close()
	book := func(key, address string) func(n int) {
		return func(n int) {
			ref := fmt.Sprintf("%s-%d", address, n)
			if _, outcome := client.Send(context.Background(), address, strings.Repeat(ref, len(key)), ref); outcome != errs.Ran {
				b.Fatalf("booking %s: %s", ref, outcome)
			}
		}
	}
	look := func(n int) {
		if err := client.Lookup(context.Background(), fmt.Sprint(n)); err != nil {
			b.Fatal(err)
		}
	}
	var out strings.Builder
	w := tabwriter.NewWriter(&out, 0, 8, 2, ' ', 0)
	fmt.Fprintln(w, "call\tp50\tp99\tmax\tstore reads/call\tstore writes/call")
	row := func(name string, call func(n int)) {
		before := site.Store().Stats()
		took := make([]time.Duration, samples)
		for n := range took {
			start := time.Now()
			call(n)
			took[n] = time.Since(start)
		}
		after := site.Store().Stats()
		slices.Sort(took)
		fmt.Fprintf(w, "%s\t%v\t%v\t%v\t%.2f\t%.2f\n", name, round(took[samples/2]), round(took[samples*99/100]), round(took[samples-1]),
			float64(after.Reads()-before.Reads())/samples, float64(after.Writes()-before.Writes())/samples)
	}
	row("booking, direct", book("", site.PlainServices()[0].Address()))
	row("booking, no key", book("", site.EntryAddrs()[0]))
	row("booking, key, VM 0", book("k", site.EntryAddrs()[0]))
	row("booking, key, VM 1", book("k", site.EntryAddrs()[1]))
	row("lookup", look)
	defer generate(site)()
	row("lookup, 24 generations", look)
	w.Flush()
	return out.String()
}

func round(d time.Duration) time.Duration { return d.Round(10 * time.Microsecond) }

// generate runs 24 concurrent generations until the returned function is
// called.
func generate(site *lab.Site) func() {
	caller := lab.NewCaller(site.EntryAddrs(), lab.Token(0))
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		lab.NewLoad(caller, 24, func(n int) *lab.Request {
			return lab.NewRequest("draft", fmt.Sprint(n), []string{"v1"}, uint64(n), 40)
		}).Run(ctx, 0, lab.NewResult(time.Second))
	}()
	time.Sleep(500 * time.Millisecond)
	return func() {
		stop()
		<-done
		caller.Close()
		http.DefaultClient.CloseIdleConnections()
	}
}
