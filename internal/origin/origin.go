// Package origin describes orders to move a service. It tells whether two orders in the
// store are the same one, although a restoration of the store has changed its position.
package origin

import (
	"time"

	"clementinelink.example/clementinelink/internal/store"
)

// rewriteTime is how long after a restoration an order that is written again with the
// same content is the same order. Operators write what the store has lost again within
// seconds, and a list of the store may state another position for an order that is
// missing until then.
const rewriteTime = 6 * time.Second

// Origin is the identity of an order. It is not safe for concurrent use.
type Origin struct {
	// first is the earliest known position of the order, and latest the latest one.
	first  uint64
	latest uint64
	// known holds all known positions.
	known map[uint64]bool
	// before is the position of the status of the move before, or 0.
	before uint64
	// restoredAt is when the VM learned of the order's latest era.
	restoredAt time.Time
}

// New returns the identity of an order at a position of the store. started is true if
// the VM starts at now, so that it does not know whether the store was restored just
// before.
func New(now time.Time, position uint64, started bool) *Origin {
	o := &Origin{
		first:  position,
		latest: position,
		known: map[uint64]bool{
			position: true,
		},
	}
	if started && store.Era(position) > 0 {
		o.restoredAt = now
	}
	return o
}

// After sets the position of the latest status when the order arrived, which belongs to
// the move before unless it is later than the order. It returns o.
func (o *Origin) After(status uint64) *Origin {
	if status < o.first {
		o.before = status
	}
	return o
}

// Follows reports whether a status at a position belongs to the order. A copy of the store
// that lacks the order may have the status of the move before.
func (o *Origin) Follows(position uint64) bool {
	if store.Era(position) > store.Era(o.latest) {
		return store.Number(position) != store.Number(o.before)
	}
	return position > o.latest
}

// First returns the earliest known position of the order.
func (o *Origin) First() uint64 { return o.first }

// Latest returns the latest known position of the order.
func (o *Origin) Latest() uint64 { return o.latest }

// Adopt reports whether an order with the same content at a later position is the same
// order. It adds the position if it is.
func (o *Origin) Adopt(now time.Time, position uint64) bool {
	later := store.Era(position) > store.Era(o.latest)
	if !later && !now.Before(o.restoredAt.Add(rewriteTime)) {
		return false
	}
	if later {
		o.restoredAt = now
	}
	o.latest = position
	o.known[position] = true
	return true
}

// Matches reports whether another VM means this order by the earliest and the latest
// position that it knows. It adds these positions if it does.
func (o *Origin) Matches(first, latest uint64) bool {
	if !o.has(first) && !o.has(latest) {
		return false
	}
	o.known[first], o.known[latest] = true, true
	o.first = min(o.first, first)
	return true
}

// has reports whether a position is one of the order's. A copy of the store has an order
// under the revision that it had before.
func (o *Origin) has(position uint64) bool {
	if o.known[position] {
		return true
	}
	for p := range o.known {
		if store.Number(p) == store.Number(position) && store.Era(position) < store.Era(p) {
			return true
		}
	}
	return false
}
