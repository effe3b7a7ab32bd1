package simsvc

import (
	"context"
	"net/http"
	"slices"
	"time"

	"clementinelink.example/clementinelink/internal/ring"
)

// commandsMax is the number of commands that are queued during a pause. Further
// handlers block until there is room.
const commandsMax = 1024

// command runs in the goroutine of state.run.
type command func(s *state, now time.Time)

// Entry records one call that the service ran.
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

// state owns the record and the faults of a service. Only the goroutine of run
// uses its fields; others send commands. It is kept over restarts, as a service's
// database is.
type state struct {
	commands *ring.Ring[command]
	// controls is read even during a Pause fault.
	controls *ring.Ring[command]
	faults   *faults
	record   []Entry
	// running is the number of calls that hold one of the slots.
	running int
	slots   int
	seq     uint64
}

func newState(slots int) *state {
	return &state{
		commands: ring.New[command](commandsMax, ring.Wait),
		controls: ring.New[command](16, ring.Wait),
		faults: &faults{
			active: map[string]Fault{},
		},
		slots: slots,
	}
}

// run executes commands until ctx ends.
func (s *state) run(ctx context.Context) {
	for {
		commands := s.commands.Out()
		var wake <-chan time.Time
		if a, ok := s.faults.active[Pause]; ok {
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
		case c = <-s.controls.Out():
		case c = <-commands:
		}
		now := time.Now()
		s.faults.expire(now)
		if c != nil {
			c(s, now)
		}
	}
}

// decision says how faults and the slot limit affect one call.
type decision struct {
	// mode is the fault that applies to the call, or "".
	mode string
	// factor multiplies the call's working time.
	factor float64
	// refusal is the HTTP status of a refused call, or 0.
	refusal int
}

// admit accepts or refuses a call. An accepted call holds a slot until
// recordCall, so that the slot is free before the caller gets the answer.
func (s *state) admit() decision {
	mode, factor := s.faults.takeForCall()
	d := decision{
		mode:   mode,
		factor: factor,
	}
	switch {
	case mode == Refuse || mode == Leaving:
		d.refusal = http.StatusServiceUnavailable
	case mode == ResetBefore || mode == HangBefore || mode == ErrorBefore:
	case s.running >= s.slots:
		d.refusal = http.StatusTooManyRequests
	default:
		s.running++
	}
	return d
}

// recordCall records a call as run, frees its slot and returns its number,
// counted from 1.
func (s *state) recordCall(e Entry) int {
	s.running--
	s.record = append(s.record, e)
	return len(s.record)
}

// reset starts a new incarnation: faults end, and the calls of the old one no
// longer hold slots.
func (s *state) reset() {
	clear(s.faults.active)
	s.running = 0
}

// entries returns a copy of the record.
func (s *state) entries() []Entry { return slices.Clone(s.record) }

// load returns a load report with the next sequence number.
func (s *state) load() loadBody {
	s.seq++
	return loadBody{
		Seq:     s.seq,
		Running: s.running,
		Slots:   s.slots,
		Leaving: s.faults.isActive(Leaving),
	}
}
