package simsvc

import (
	"context"
	"net/http"
	"slices"
	"time"

	"clementinelink.example/clementinelink/internal/ring"
)

// commandsMax is the number of calls that wait for a paused desk; beyond it
// their handlers wait.
const commandsMax = 1024

type command func(k *desk, now time.Time)

// Entry is one call that the service ran.
type Entry struct {
	method string
	path   string
	digest string
	ref    string
	key    string
}

// Method returns the HTTP method.
func (e Entry) Method() string { return e.method }

// Path returns the path and query.
func (e Entry) Path() string { return e.path }

// Digest returns the first 8 bytes of the body's SHA-256 in hex.
func (e Entry) Digest() string { return e.digest }

// Ref returns the field "ref" of a JSON body, or "".
func (e Entry) Ref() string { return e.ref }

// Key returns the Idempotency-Key header, or "".
func (e Entry) Key() string { return e.key }

// desk is the duty that owns the record and the faults of a service. It
// outlives a killed incarnation, as a service's database does.
type desk struct {
	commands *ring.Ring[command]
	// controls is read even while the desk is paused.
	controls *ring.Ring[command]
	faults   *faults
	record   []Entry
	running  int
	slots    int
	seq      uint64
}

func newDesk(slots int) *desk {
	return &desk{
		commands: ring.New[command](commandsMax, ring.Wait),
		controls: ring.New[command](16, ring.Wait),
		faults: &faults{
			active: map[string]Fault{},
		},
		slots: slots,
	}
}

// run is the loop of the desk duty.
func (k *desk) run(ctx context.Context) {
	for {
		commands := k.commands.Out()
		var wake <-chan time.Time
		if a, ok := k.faults.active[Pause]; ok {
			commands = nil
			if !a.until.IsZero() {
				wake = time.After(time.Until(a.until))
			}
		}
		var c command
		select {
		case <-ctx.Done():
			return
		case <-wake:
		case c = <-k.controls.Out():
		case c = <-commands:
		}
		now := time.Now()
		k.faults.expire(now)
		if c != nil {
			c(k, now)
		}
	}
}

// plan is what becomes of one call.
type plan struct {
	mode   string
	factor float64
	// refusal is the status of a call that doesn't run, or 0.
	refusal int
}

// enter takes a call or refuses it. A call that will run holds a slot up to
// book, so that the slot is free before the caller can see the end of the call.
func (k *desk) enter() plan {
	mode, factor := k.faults.take()
	p := plan{
		mode:   mode,
		factor: factor,
	}
	switch {
	case mode == Refuse || mode == Leaving:
		p.refusal = http.StatusServiceUnavailable
	case mode == ResetBefore || mode == HangBefore || mode == ErrorBefore:
	case k.running >= k.slots:
		p.refusal = http.StatusTooManyRequests
	default:
		k.running++
	}
	return p
}

// book runs a call and returns its number, counted from 1.
func (k *desk) book(e Entry) int {
	k.running--
	k.record = append(k.record, e)
	return len(k.record)
}

// renew begins a new incarnation: it has none of the old one's faults, and
// the calls that hold slots don't run any more.
func (k *desk) renew() {
	clear(k.faults.active)
	k.running = 0
}

func (k *desk) entries() []Entry { return slices.Clone(k.record) }

func (k *desk) load() loadBody {
	k.seq++
	return loadBody{
		Seq:     k.seq,
		Running: k.running,
		Slots:   k.slots,
		Leaving: k.faults.has(Leaving),
	}
}
