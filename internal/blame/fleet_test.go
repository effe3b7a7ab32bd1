package blame

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"clementinelink.example/clementinelink/internal/pqueue"
	"github.com/cockroachdb/datadriven"
)

const (
	// latency is the time of a message between VMs, and deadLatency the time after
	// which a VM that is down is given up.
	latency     = 50 * time.Millisecond
	deadLatency = 300 * time.Millisecond
	// prefill is the time from a send to the first piece of an answer, and answer
	// the time until its last one.
	prefill = 1500 * time.Millisecond
	answer  = 6 * time.Second
	// engineDown and vmDown are the times until a crashed engine and a restarted VM
	// are back.
	engineDown = 3 * time.Second
	vmDown     = time.Second
	// contact is the time after the fifth crash from which sends are counted.
	contact     = 4 * time.Second
	maxAttempts = 5
)

// fleet simulates VMs, engines and requests, and the messages of the agreement.
type fleet struct {
	now     time.Time
	base    time.Time
	events  *pqueue.Queue[*event]
	seq     int
	random  *rand.Rand
	vms     []*vm
	engines []*engine
	domains int
	// stored holds the charges in the store, which VMs learn as they start.
	stored map[string]Charge
	// deadly holds the parts that crash engines.
	deadly map[string]bool
	// crashes holds the times at which deadly prompts crashed engines, and sends
	// those at which deadly prompts were sent.
	crashes []time.Time
	sends   []time.Time
	// firstCharge is when a VM first put a charge in force, and wrong counts the
	// charges of sound prompts.
	firstCharge time.Time
	wrong       map[string]bool
	// soundSent and soundRefused count the sound requests.
	soundSent    int
	soundRefused int
	nextRequest  int
}

type vm struct {
	name string
	core *Core
	up   bool
}

type engine struct {
	domain      string
	incarnation int
	up          bool
	runs        map[*request]bool
}

type request struct {
	vm       int
	session  string
	parts    []string
	attempts int
	survived bool
}

type event struct {
	at  time.Time
	seq int
	do  func()
}

func newFleet(seed uint64, vms, engines, domains int) *fleet {
	f := &fleet{
		base:    time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC),
		random:  rand.New(rand.NewPCG(seed, 7)),
		domains: domains,
		stored:  make(map[string]Charge),
		deadly:  make(map[string]bool),
		wrong:   make(map[string]bool),
		events: pqueue.New(func(a, b *event) bool {
			if !a.at.Equal(b.at) {
				return a.at.Before(b.at)
			}
			return a.seq < b.seq
		}, func(*event, int) {}),
	}
	f.now = f.base
	var names []string
	for i := range vms {
		names = append(names, fmt.Sprintf("vm%d", i))
	}
	for _, name := range names {
		core := New(name)
		core.SetVMs(names)
		f.vms = append(f.vms, &vm{
			name: name,
			core: core,
			up:   true,
		})
	}
	for i := range engines {
		f.engines = append(f.engines, &engine{
			domain: fmt.Sprintf("d%d", i%domains),
			up:     true,
			runs:   make(map[*request]bool),
		})
	}
	return f
}

func (f *fleet) after(d time.Duration, do func()) {
	f.seq++
	f.events.Push(&event{
		at:  f.now.Add(d),
		seq: f.seq,
		do:  do,
	})
}

// runUntil executes events up to a time.
func (f *fleet) runUntil(end time.Time) {
	for f.events.Len() > 0 && !f.events.First().at.After(end) {
		e := f.events.Pop()
		f.now = e.at
		e.do()
	}
}

// arrive starts a request with the given shared parts at any VM.
func (f *fleet) arrive(parts []string) {
	f.nextRequest++
	q := &request{
		vm:      f.random.IntN(len(f.vms)),
		session: fmt.Sprintf("s%d", f.nextRequest),
		parts:   parts,
	}
	if !f.isDeadly(q) {
		f.soundSent++
	}
	f.send(q)
}

func (f *fleet) isDeadly(q *request) bool {
	return slices.ContainsFunc(q.parts, func(p string) bool { return f.deadly[p] })
}

// refused reports whether the request's VM refuses it.
func (f *fleet) refused(q *request) bool {
	return slices.ContainsFunc(f.vms[q.vm].core.Charges(), func(c Charge) bool { return c.Matches("llm", q.parts) })
}

func (f *fleet) send(q *request) {
	if !f.vms[q.vm].up {
		return
	}
	if f.refused(q) {
		if !f.isDeadly(q) {
			f.soundRefused++
		}
		return
	}
	var up []int
	for i, e := range f.engines {
		if e.up {
			up = append(up, i)
		}
	}
	if len(up) == 0 || q.attempts == maxAttempts {
		return
	}
	q.attempts++
	if f.isDeadly(q) {
		f.sends = append(f.sends, f.now)
	}
	e := f.engines[up[f.random.IntN(len(up))]]
	incarnation := e.incarnation
	e.runs[q] = true
	wait := prefill + time.Duration(f.random.IntN(500))*time.Millisecond
	f.after(wait, func() {
		switch {
		case e.incarnation != incarnation || !e.runs[q]:
		case f.isDeadly(q) && f.refused(q):
			// The VM has cancelled the attempt.
			delete(e.runs, q)
		case f.isDeadly(q):
			f.crashes = append(f.crashes, f.now)
			f.crash(e)
		}
	})
	f.after(wait+300*time.Millisecond, func() {
		if e.incarnation == incarnation && e.runs[q] {
			q.survived = true
			f.survived(q)
		}
	})
	f.after(wait+answer, func() {
		if e.incarnation == incarnation {
			delete(e.runs, q)
		}
	})
}

// runOf returns the run of a request at an engine.
func (f *fleet) runOf(q *request, name, domain string) Run {
	return NewRun(f.now, RunSpec{
		Service: "llm",
		Version: "v1",
		Engine:  name,
		Domain:  domain,
		Session: q.session,
		Parts:   q.parts,
	})
}

func (f *fleet) survived(q *request) {
	if v := f.vms[q.vm]; v.up {
		f.execute(v, v.core.Survived(f.now, f.runOf(q, "", "")))
	}
}

// crash ends an engine and the runs on it.
func (f *fleet) crash(e *engine) {
	if !e.up {
		return
	}
	name := fmt.Sprintf("%p-%d", e, e.incarnation)
	runs := e.runs
	e.up, e.runs = false, make(map[*request]bool)
	e.incarnation++
	f.after(engineDown, func() { e.up = true })
	var ended []*request
	for q := range runs {
		ended = append(ended, q)
	}
	slices.SortFunc(ended, func(a, b *request) int { return slices.Compare([]byte(a.session), []byte(b.session)) })
	for _, q := range ended {
		f.after(time.Duration(20+f.random.IntN(100))*time.Millisecond, func() {
			v := f.vms[q.vm]
			if !v.up {
				return
			}
			if !q.survived {
				f.execute(v, v.core.Lost(f.now, f.runOf(q, name, e.domain)))
			}
			f.after(50*time.Millisecond, func() { f.send(q) })
		})
	}
}

// execute carries out the actions of a VM.
func (f *fleet) execute(v *vm, actions []Action) {
	for _, a := range actions {
		switch a.Kind() {
		case Report:
			for _, target := range a.Targets() {
				f.deliver(v, a.Run(), target)
			}
		case Ask:
			f.ask(v, a.Accusation())
		case Announce:
			for _, other := range f.vms {
				f.after(latency, func() {
					switch {
					case !other.up:
					case a.Lifted():
						f.execute(other, other.core.Lift(f.now, a.Charge().ID()))
					default:
						f.execute(other, other.core.Learn(f.now, a.Charge()))
					}
				})
			}
		case Store:
			f.stored[a.Charge().ID()] = a.Charge()
		case Unstore:
			delete(f.stored, a.Charge().ID())
		case Fence:
			if f.firstCharge.IsZero() {
				f.firstCharge = f.now
			}
			if !slices.ContainsFunc(a.Charge().Parts(), func(p string) bool { return f.deadly[p] }) {
				f.wrong[a.Charge().ID()] = true
			}
		}
	}
}

// deliver sends a loss to the first of the named VMs that is up.
func (f *fleet) deliver(from *vm, lost Run, names []string) {
	if len(names) == 0 {
		return
	}
	i := slices.IndexFunc(f.vms, func(v *vm) bool { return v.name == names[0] })
	other := f.vms[i]
	if !other.up {
		f.after(deadLatency, func() { f.deliver(from, lost, names[1:]) })
		return
	}
	f.after(latency, func() {
		if !other.up {
			return
		}
		f.execute(other, other.core.Collect(f.now, lost))
		for _, c := range other.core.Known(lost) {
			f.execute(from, from.core.Learn(f.now, c))
		}
	})
}

func (f *fleet) ask(v *vm, a Accusation) {
	f.after(2*latency, func() {
		var sights []Sight
		for _, other := range f.vms {
			if other.up {
				sights = append(sights, other.core.Seen(a.Service(), a.Parts(), a.Since())...)
			}
		}
		core := v.core
		f.after(latency, func() {
			if v.up && v.core == core {
				f.execute(v, v.core.Answered(f.now, a, sights, 0))
			}
		})
	})
}

// restart replaces a VM by one that knows nothing but the store.
func (f *fleet) restart(v *vm) {
	names := v.core.VMs()
	v.up = false
	f.after(vmDown, func() {
		v.core, v.up = New(v.name), true
		v.core.SetVMs(names)
		for _, c := range f.stored {
			f.execute(v, v.core.Learn(f.now, c))
		}
	})
}

// late returns the number of sends of deadly prompts later than contact after the
// fifth crash.
func (f *fleet) late() int {
	if len(f.crashes) < 5 {
		return 0
	}
	limit := f.crashes[4].Add(contact)
	n := 0
	for _, at := range f.sends {
		if at.After(limit) {
			n++
		}
	}
	return n
}

// day describes the load and the disruption of one simulated day of 40 s. deadly and
// sound are requests a second.
type day struct {
	vms, engines, domains int
	deadly, sound         float64
	// deadlyParts is the number of deadly parts. Deadly prompts begin with a part of
	// their own if unique is true, and otherwise with one that sound ones share.
	deadlyParts int
	unique      bool
	// killDomain is the interval at which a domain is killed, and killAny that at
	// which killShare of all engines are.
	killDomain, killAny time.Duration
	killShare           float64
	// restarts is the interval at which a VM restarts.
	restarts time.Duration
	// twin is the number of prompts with a rare part that arrive together.
	twin int
}

const dayLength = 40 * time.Second

// play simulates one day.
func (y day) play(seed uint64) *fleet {
	f := newFleet(seed, y.vms, y.engines, y.domains)
	for i := range y.deadlyParts {
		f.deadly[fmt.Sprintf("deadly%d", i)] = true
	}
	f.poisson(y.sound, func(i int) {
		switch {
		case i%10 == 0:
			f.arrive([]string{"first"})
		case i%10 == 1:
			f.arrive([]string{fmt.Sprintf("popular%d", i%7)})
		default:
			f.arrive([]string{fmt.Sprintf("own%d", i)})
		}
		if y.twin > 0 && i%20 == 2 {
			for range y.twin {
				f.arrive([]string{fmt.Sprintf("rare%d", i)})
			}
		}
	})
	f.poisson(y.deadly, func(i int) {
		if f.now.Sub(f.base) < 4*time.Second {
			return
		}
		first := "first"
		if y.unique {
			first = fmt.Sprintf("mine%d", i)
		}
		f.arrive([]string{first, fmt.Sprintf("deadly%d", i%y.deadlyParts)})
	})
	f.every(y.killDomain, func(i int) {
		for _, e := range f.engines {
			if e.domain == fmt.Sprintf("d%d", i%y.domains) {
				f.crash(e)
			}
		}
	})
	f.every(y.killAny, func(int) {
		for _, e := range f.engines {
			if f.random.Float64() < y.killShare {
				f.crash(e)
			}
		}
	})
	f.every(y.restarts, func(i int) { f.restart(f.vms[i%len(f.vms)]) })
	f.runUntil(f.base.Add(dayLength))
	return f
}

// poisson calls do at random times, rate times a second.
func (f *fleet) poisson(rate float64, do func(i int)) {
	if rate == 0 {
		return
	}
	at := time.Duration(0)
	for i := 0; ; i++ {
		at += time.Duration(f.random.ExpFloat64() / rate * float64(time.Second))
		if at > dayLength {
			return
		}
		f.after(at, func() { do(i) })
	}
}

// every calls do at an interval.
func (f *fleet) every(interval time.Duration, do func(i int)) {
	if interval == 0 {
		return
	}
	for i := 1; time.Duration(i)*interval < dayLength; i++ {
		f.after(time.Duration(i)*interval, func() { do(i) })
	}
}

// TestFleetStopsDeadlyParts guards against prompt parts that crash engines at one VM
// after the other because no VM sees enough of the losses (BUDGET), and against the
// refusal of sound prompts when engines are lost for other reasons (LOST). Each data
// file states the load, and the bounds are those of the rules.
func TestFleetStopsDeadlyParts(t *testing.T) {
	datadriven.Walk(t, "testdata/fleet", func(t *testing.T, path string) {
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			return playDays(t, d)
		})
	})
}

// playDays plays the day that the arguments describe with many seeds, and returns
// the worst results.
func playDays(t *testing.T, d *datadriven.TestData) string {
	var y day
	var deadly, sound, share, seeds, killDomain, killAny, restarts int
	for name, n := range map[string]*int{
		"vms":         &y.vms,
		"engines":     &y.engines,
		"domains":     &y.domains,
		"parts":       &y.deadlyParts,
		"twin":        &y.twin,
		"deadly":      &deadly,
		"sound":       &sound,
		"seeds":       &seeds,
		"kill-domain": &killDomain,
		"kill-any":    &killAny,
		"percent":     &share,
		"restarts":    &restarts,
	} {
		if d.HasArg(name) {
			d.ScanArgs(t, name, n)
		}
	}
	// Rates are in requests a minute and intervals in milliseconds.
	y.deadly, y.sound, y.killShare = float64(deadly)/60, float64(sound)/60, float64(share)/100
	y.killDomain, y.killAny = time.Duration(killDomain)*time.Millisecond, time.Duration(killAny)*time.Millisecond
	y.restarts, y.unique = time.Duration(restarts)*time.Millisecond, d.HasArg("unique")
	late, wrong, refused, uncharged := 0, 0, 0, 0
	for seed := range seeds {
		f := y.play(uint64(seed))
		t.Logf("%s: seed %d: %d crashes, %d sends, %d late, first charge after %s, %d wrong charges, %d of %d sound requests refused",
			d.Pos, seed, len(f.crashes), len(f.sends), f.late(), f.sinceFifth(), len(f.wrong), f.soundRefused, f.soundSent)
		late = max(late, f.late())
		wrong += len(f.wrong)
		refused += f.soundRefused
		if len(f.crashes) >= 5 && f.firstCharge.IsZero() {
			uncharged++
		}
	}
	return fmt.Sprintf("more than three late sends: %v\ndays without a charge: %d\nwrong charges: %d\nsound requests refused: %d\n", late > 3, uncharged, wrong, refused)
}

// sinceFifth returns the time from the fifth crash to the first charge.
func (f *fleet) sinceFifth() time.Duration {
	if len(f.crashes) < 5 || f.firstCharge.IsZero() {
		return 0
	}
	return f.firstCharge.Sub(f.crashes[4])
}
