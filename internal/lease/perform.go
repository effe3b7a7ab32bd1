package lease

import (
	"context"

	"github.com/cockroachdb/errors"

	"clementinelink.example/clementinelink/internal/store"
)

// Perform carries out an operation on the store and returns the event that answers
// it. It blocks for at most the client's deadline. The value is stored under the
// key to show operators who holds it. ok is false for an action that is not an
// operation.
func Perform(ctx context.Context, c *store.Client, s Settings, key, value string, a Action) (e Event, ok bool) {
	var err error
	switch a.kind {
	case Grant:
		var id string
		id, err = c.Grant(ctx, s.ttl)
		e = Granted(a.op, id)
	case Store:
		var revision uint64
		revision, err = c.Put(ctx, key, []byte(value), 0, a.lease)
		e = Stored(a.op, revision)
	case Read:
		var entry store.Entry
		entry, err = c.Get(ctx, key)
		e = Found(a.op, entry.Lease(), entry.Revision())
	case Renew:
		err = c.Renew(ctx, a.lease)
		e = Done(a.op)
	case Revoke:
		err = c.Revoke(ctx, a.lease)
		e = Done(a.op)
	default:
		return Event{}, false
	}
	if err != nil {
		return Failed(a.op, failure(err)), true
	}
	return e, true
}

// failure maps an error of the store to a Failure. It is Unknown unless the error
// shows that the operation was not carried out.
func failure(err error) Failure {
	switch {
	case errors.Is(err, store.ErrConflict):
		return Conflict
	case errors.Is(err, store.ErrExpired):
		return Expired
	case errors.Is(err, store.ErrUnavailable), errors.Is(err, store.ErrRejected):
		return Unavailable
	default:
		return Unknown
	}
}
