package move

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"clementinelink.example/clementinelink/internal/world"
)

// State is the state of a move in its record.
type State uint8

// The states. RolledBack is final; Done is final once WatchTime has passed after
// the deadline.
const (
	// Running is a move without a result, including one without a record.
	Running State = iota
	// Done is a move whose new version serves all traffic.
	Done
	// RolledBack is a move whose old version serves all traffic.
	RolledBack
)

var stateNames = [...]string{
	Running:    "running",
	Done:       "done",
	RolledBack: "rolled-back",
}

// String returns the name of the state in records and verdicts.
func (s State) String() string { return stateNames[s] }

// ParseState returns the state with the name that String returns.
func ParseState(name string) (State, error) {
	if i := slices.Index(stateNames[:], name); i >= 0 {
		return State(i), nil
	}
	return Running, errors.Newf("move: unknown state %q", name)
}

// Record is the state of a move in the store, which all VMs follow. It changes
// only by compare-and-swap. The zero value is the state before the first write.
type Record struct {
	state State
	stage int
	// at is when the record was decided.
	at     time.Time
	reason string
	// fence is the fencing number of the lease under which it was decided.
	fence uint64
	// first and latest are the store revisions of the move's order, or 0 if the key
	// names the move.
	first  uint64
	latest uint64
}

// NewRecord returns a record for a result that a peer reported, for use while the
// store is down. Such a state is never Running, so it needs no stage.
func NewRecord(state State, at time.Time, reason string) Record {
	return Record{
		state:  state,
		at:     at,
		reason: reason,
	}
}

// State returns the state.
func (r Record) State() State { return r.state }

// Stage returns the number of the last stage that the move reached, from 0.
func (r Record) Stage() int { return r.stage }

// Time returns when the VM that wrote the record decided on it.
func (r Record) Time() time.Time { return r.at }

// Reason returns why the move got this state and stage.
func (r Record) Reason() string { return r.reason }

// WithOrder returns a copy of r that names the move by the earliest and the latest known
// store revision of its order.
func (r Record) WithOrder(first, latest uint64) Record {
	r.first, r.latest = first, latest
	return r
}

// Order returns the earliest and the latest store revision of the move's order that the
// writer of the record knew, or 0 if the record does not name it.
func (r Record) Order() (first, latest uint64) { return r.first, r.latest }

// Before reports whether a move has this record before it has o. A store that was
// restored from a copy has earlier records than those that were read.
func (r Record) Before(o Record) bool {
	if r.state == Running && o.state == Running {
		return r.stage < o.stage
	}
	return r.state < o.state
}

// Fence returns the fencing number of the lease under which the record was
// written.
func (r Record) Fence() uint64 { return r.fence }

type wireRecord struct {
	State  string    `json:"state"`
	Stage  int       `json:"stage"`
	Time   time.Time `json:"time"`
	Reason string    `json:"reason"`
	Fence  uint64    `json:"fence"`
	First  uint64    `json:"order,omitempty"`
	Latest uint64    `json:"again,omitempty"`
}

// Encode returns the stored form of the record.
func (r Record) Encode() ([]byte, error) {
	return json.Marshal(wireRecord{
		State:  r.state.String(),
		Stage:  r.stage,
		Time:   r.at.UTC(),
		Reason: r.reason,
		Fence:  r.fence,
		First:  r.first,
		Latest: r.latest,
	})
}

// DecodeRecord parses the stored form of a record. An empty value gives the zero
// Record.
func DecodeRecord(value []byte) (Record, error) {
	if len(value) == 0 {
		return Record{}, nil
	}
	var w wireRecord
	if err := json.Unmarshal(value, &w); err != nil {
		return Record{}, errors.Wrap(err, "decode move record")
	}
	state, err := ParseState(w.State)
	if err != nil {
		return Record{}, errors.Wrap(err, "decode move record")
	}
	return Record{
		state:  state,
		stage:  w.Stage,
		at:     w.Time,
		reason: w.Reason,
		fence:  w.Fence,
		first:  w.First,
		latest: w.Latest,
	}, nil
}

// RecordKey returns the store key of a move's record. It depends on the whole
// plan, so that reusing a name for another plan does not reuse its record.
func RecordKey(service string, m *world.Move) string {
	h := sha256.Sum256(fmt.Appendf(nil, "%s|%s|%s|%s|%d|%d|%g", service, m.Name(), m.From(), m.To(),
		m.Start().UnixNano(), m.Deadline().UnixNano(), m.UnprovenShare()))
	return "moves/" + m.Name() + "/" + hex.EncodeToString(h[:6])
}
