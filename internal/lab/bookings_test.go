package lab_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"clementinelink.example/clementinelink/internal/errs"
	"clementinelink.example/clementinelink/internal/lab"
	"clementinelink.example/clementinelink/internal/memnet"
	"clementinelink.example/clementinelink/internal/simkv"
	"clementinelink.example/clementinelink/internal/simsvc"
	"github.com/cockroachdb/datadriven"
	"github.com/rs/zerolog"
)

// bookingFixture is a deployment of two entry VMs, a and b, and two plain
// services in one failure domain. The store is 30 ms away, so that a fault can
// be injected between the write of a claim and its response. Three round trips
// still fit into the 300 ms that a soft owner has.
type bookingFixture struct {
	t      *testing.T
	site   *lab.Site
	client *lab.BookingClient
	// http sends what is not a booking.
	http *http.Client
	// calls receives the results of calls started in the background.
	calls    chan string
	revision uint64
	probes   int
	out      strings.Builder
}

func newBookingFixture(t *testing.T) *bookingFixture {
	network := memnet.New()
	site := lab.NewSite([]lab.Zone{
		lab.NewZone("home", "gabrovo", 0, 0),
		lab.NewZone("cell", "gabrovo", 2, 0).WithPlainServices(2),
	}, zerolog.Nop()).WithDelays(30*time.Millisecond, 0).WithNetwork(network.Listen, network.Dial)
	if err := site.Start(context.Background()); err != nil {
		t.Fatal(err)
	}
	if err := site.Configure(context.Background(), 1, site.Declaration(time.Minute, 1)); err != nil {
		t.Fatal(err)
	}
	return &bookingFixture{
		t:      t,
		site:   site,
		client: lab.NewBookingClient(site.EntryAddrs(), lab.Token(0)).WithDial(network.Dial),
		http: &http.Client{
			Transport: &http.Transport{
				DialContext:       network.Dial,
				DisableKeepAlives: true,
			},
		},
		calls: make(chan string, 1),
	}
}

// TestBookings guards against work that runs twice under one key, and against
// false outcomes, under each fault. The clock advances only while all goroutines
// wait, so that a busy machine can't take a call past its deadline.
func TestBookings(t *testing.T) { synctest.Test(t, testBookings) }

func testBookings(t *testing.T) {
	fixture := newBookingFixture(t)
	defer fixture.site.Close()
	defer fixture.client.Close()
	datadriven.RunTest(t, "testdata/bookings/faults", func(t *testing.T, d *datadriven.TestData) string {
		fixture.restoreService()
		fixture.out.Reset()
		for line := range strings.Lines(d.Input) {
			if fields := strings.Fields(line); !fixture.runLine(fields) {
				d.Fatalf(t, "unknown line %q", line)
			}
		}
		return fixture.out.String()
	})
}

// restoreService ends all faults and waits until both VMs serve bookings.
func (f *bookingFixture) restoreService() {
	f.injectPlainFault("none", 0)
	f.site.Store().Inject(simkv.ClearFaults())
	for i, vm := range []string{"a", "b"} {
		f.restart(i)
		for end := time.Now().Add(10 * time.Second); ; {
			f.probes++
			probe := fmt.Sprintf("probe-%d", f.probes)
			if strings.Contains(f.send(vm, probe, probe), " 201 ") {
				break
			}
			if time.Now().After(end) {
				f.t.Fatalf("VM %s did not recover within 10 s", vm)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
}

// restart starts a crashed VM and waits until it is ready, as a load balancer
// does.
func (f *bookingFixture) restart(i int) {
	if err := f.site.Restart(i); err != nil {
		f.t.Fatal(err)
	}
	f.waitUntil(func() bool {
		resp, err := f.http.Get("http://" + f.site.EntryAddrs()[i] + "/readyz")
		if err != nil {
			return false
		}
		resp.Body.Close()
		return resp.StatusCode == http.StatusOK
	})
}

func (f *bookingFixture) runLine(fields []string) bool {
	switch fields[0] {
	case "book":
		f.print(f.send(fields[1], fields[2], fields[3]))
	case "both":
		f.start("a", fields[1], fields[2])
		f.print(f.send("b", fields[1], fields[2]))
		f.print(<-f.calls)
	case "start":
		f.revision = f.waitForIdleStore()
		f.start(fields[1], fields[2], fields[3])
	case "end":
		f.print(<-f.calls)
	case "claimed":
		f.waitUntil(func() bool { return f.site.Store().Stats().Revision() > f.revision })
	case "stored":
		f.waitForIdleStore()
	case "running":
		f.waitUntil(f.callRunning)
	case "crash":
		f.site.Crash(vmIndex(fields[1]))
	case "restart":
		f.restart(vmIndex(fields[1]))
	case "shutdown":
		ctx, stop := context.WithTimeout(context.Background(), 5*time.Second)
		defer stop()
		err := f.site.Nodes()[vmIndex(fields[1])].Shutdown(ctx)
		f.site.Crash(vmIndex(fields[1]))
		f.print(fmt.Sprintf("drained %t", err == nil))
	case "store":
		f.site.Store().Inject(map[string]simkv.Fault{
			"outage": simkv.Outage(time.Minute),
			"brief":  simkv.Outage(1500 * time.Millisecond),
			"lose":   simkv.LoseWriteAnswers(1),
			"clear":  simkv.ClearFaults(),
		}[fields[1]])
	case "plains":
		f.injectPlainFault(fields[1], 0)
	case "once":
		f.injectPlainFault(fields[1], 1)
	case "kill":
		f.site.PlainServices()[0].Kill()
	case "wait":
		d, err := time.ParseDuration(fields[1])
		if err != nil {
			f.t.Fatal(err)
		}
		time.Sleep(d)
	case "ran":
		f.print(fmt.Sprintf("%s ran %d", fields[1], f.site.RunCounts()[fields[1]]))
	default:
		return false
	}
	return true
}

func (f *bookingFixture) print(s string) { fmt.Fprintln(&f.out, s) }

func vmIndex(vm string) int { return int(vm[0] - 'a') }

// send sends a booking once. The key "-" means no key.
func (f *bookingFixture) send(vm, key, ref string) string {
	status, outcome := f.client.Send(context.Background(), f.site.EntryAddrs()[vmIndex(vm)], strings.TrimPrefix(key, "-"), ref)
	if status == 0 && outcome == errs.Unknown {
		return vm + " lost"
	}
	return fmt.Sprintf("%s %d %s", vm, status, outcome)
}

func (f *bookingFixture) start(vm, key, ref string) {
	go func() { f.calls <- f.send(vm, key, ref) }()
}

// injectPlainFault injects a fault into both plain services, for one call each
// if count is 1. The factor makes a call take 500 ms in mode "slow".
func (f *bookingFixture) injectPlainFault(mode string, count int) {
	for _, p := range f.site.PlainServices() {
		if mode == "none" {
			// Restarts a killed service. The error of one that is running is
			// ignored.
			_ = p.Restart()
		}
		if err := p.Inject(simsvc.NewFault(mode, 0).WithFactor(100).WithCount(count)); err != nil {
			f.t.Fatal(err)
		}
	}
}

func (f *bookingFixture) waitUntil(done func() bool) {
	for end := time.Now().Add(5 * time.Second); !done(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			f.t.Fatal("state not reached within 5 s")
		}
	}
}

// waitForIdleStore waits until the outcomes of earlier calls are stored and
// returns the store's revision. It takes four round trips without a write as
// the sign of that.
func (f *bookingFixture) waitForIdleStore() uint64 {
	revision := f.site.Store().Stats().Revision()
	for since := time.Now(); time.Since(since) < 240*time.Millisecond; time.Sleep(10 * time.Millisecond) {
		if r := f.site.Store().Stats().Revision(); r != revision {
			revision, since = r, time.Now()
		}
	}
	return revision
}

// callRunning reports whether a plain service is running a call.
func (f *bookingFixture) callRunning() bool {
	for _, p := range f.site.PlainServices() {
		resp, err := f.http.Get("http://" + p.Address() + "/load")
		if err != nil {
			continue
		}
		var load struct {
			Running int `json:"running"`
		}
		err = json.NewDecoder(resp.Body).Decode(&load)
		resp.Body.Close()
		if err == nil && load.Running > 0 {
			return true
		}
	}
	return false
}
