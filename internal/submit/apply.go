package submit

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"clementinelink.example/clementinelink/internal/config"
	"clementinelink.example/clementinelink/pkg/decl"
)

// ErrConflict is returned by Store.Put when the key does not have the expected
// revision.
var ErrConflict = errors.New("store revision conflict")

// retainedRevisions is the number of revisions for which replaced parts stay
// readable, so that a VM that is still loading an older head can finish.
const retainedRevisions = 64

// maxHistory is the number of history entries that are kept; about one day of
// changes at 11,000 a day.
const maxHistory = 10_000

// Store holds the operations of the platform's key-value store. They must be
// safe for concurrent use.
type Store struct {
	// Get returns the value of a key and its revision, or revision 0 for an
	// absent key.
	Get func(ctx context.Context, key string) ([]byte, uint64, error)
	// Put stores a value if the key has the given revision, 0 for an absent
	// key. It returns ErrConflict when the key has another revision; after any
	// other error the write may have taken effect.
	Put func(ctx context.Context, key string, value []byte, revision uint64) error
	// List returns the values of all keys with the prefix, by key.
	List func(ctx context.Context, prefix string) (map[string][]byte, error)
	// Delete removes a key; an absent key is no error.
	Delete func(ctx context.Context, key string) error
}

// Submitter applies submitted changes to the store. It holds no state and is
// safe for concurrent use.
type Submitter struct {
	store Store
	// known returns the revision in force on this VM.
	known func() uint64
}

// NewSubmitter returns a submitter that uses the operations of store.
func NewSubmitter(store Store) *Submitter {
	return &Submitter{
		store: store,
		known: func() uint64 { return 0 },
	}
}

// WithKnown sets the function that returns the revision in force on this VM. While the
// store has an earlier one, since it was restored from a copy, no change is applied: it
// would get the number of a change that was accepted before. Call it before any other
// method.
func (s *Submitter) WithKnown(known func() uint64) *Submitter {
	s.known = known
	return s
}

// Apply applies a change, or returns its earlier result if a change with the
// same id was applied before. now is recorded as the time of the change.
func (s *Submitter) Apply(ctx context.Context, now time.Time, r *Request) *Result {
	known := s.known()
	head, storeRevision, err := s.readHead(ctx)
	if err != nil {
		return newResult(Unavailable, &Head{}, r, err.Error())
	}
	if head.Revision() < known {
		return newResult(Unavailable, head, r, fmt.Sprintf("the store has revision %d, and revision %d is being written to it again", head.Revision(), known))
	}
	if result := Precheck(head, r); result != nil {
		return s.completeConflict(ctx, head, r, result)
	}
	old, next, err := s.declarations(ctx, head, r)
	if err != nil {
		return s.declarationFailure(head, r, err)
	}
	if err := next.CheckChange(old, now); err != nil {
		return newResult(Invalid, head, r, strings.Split(err.Error(), "\n")...)
	}
	plan, err := NewPlan(head, r, old, next, now)
	if err != nil {
		return newResult(Invalid, head, r, err.Error())
	}
	if plan == nil {
		return newResult(Unchanged, head, r)
	}
	if err := s.writeParts(ctx, head, plan); err != nil {
		return newResult(Unavailable, head, r, err.Error())
	}
	return s.replaceHead(ctx, head, storeRevision, r, plan)
}

// readHead returns the head and its revision in the store.
func (s *Submitter) readHead(ctx context.Context) (*Head, uint64, error) {
	value, storeRevision, err := s.store.Get(ctx, config.HeadKey)
	if err != nil {
		return nil, 0, errors.Wrap(err, "read "+config.HeadKey)
	}
	head, err := DecodeHead(value)
	return head, storeRevision, err
}

// errLoad marks an error of the stored configuration rather than of the
// submitted parts.
var errLoad = errors.New("configuration part not readable")

// declarationFailure returns the result for an error of declarations.
func (s *Submitter) declarationFailure(head *Head, r *Request, err error) *Result {
	if errors.Is(err, errLoad) {
		return newResult(Unavailable, head, r, err.Error())
	}
	return newResult(Invalid, head, r, strings.Split(err.Error(), "\n")...)
}

// Load returns the values of a head's parts by name. A value that does not match
// its digest is an error.
func (s *Submitter) Load(ctx context.Context, head *Head) (map[string][]byte, error) {
	parts := make(map[string][]byte, len(head.parts))
	for _, p := range head.parts {
		value, _, err := s.store.Get(ctx, p.Key())
		if err != nil {
			return nil, errors.Mark(errors.Wrapf(err, "read %s", p.Key()), errLoad)
		}
		if config.Digest(value) != p.Digest() {
			return nil, errors.Mark(errors.Newf("%s: digest differs", p.Key()), errLoad)
		}
		parts[p.Name()] = value
	}
	return parts, nil
}

// declarations returns the declaration in force and the one that results from
// the request.
func (s *Submitter) declarations(ctx context.Context, head *Head, r *Request) (old, next *decl.Declaration, err error) {
	parts, err := s.Load(ctx, head)
	if err != nil {
		return nil, nil, err
	}
	old = decl.New()
	if head.Revision() > 0 {
		if old, err = decl.Join(parts); err != nil {
			return nil, nil, errors.Mark(err, errLoad)
		}
	} else if parts, err = decl.Split(old); err != nil {
		return nil, nil, err
	}
	maps.Copy(parts, r.parts)
	next, err = decl.Join(parts)
	return old, next, err
}

// writeParts writes the values that must exist before the head refers to them:
// the new parts, and the history entry of the head that is replaced.
func (s *Submitter) writeParts(ctx context.Context, head *Head, plan *Plan) error {
	for _, key := range slices.Sorted(maps.Keys(plan.writes)) {
		if err := s.putImmutable(ctx, key, plan.writes[key]); err != nil {
			return err
		}
	}
	if head.Revision() == 0 {
		return nil
	}
	value, err := json.Marshal(entryToWire(&head.entry))
	if err != nil {
		return err
	}
	return s.putImmutable(ctx, historyKey(head.Revision()), value)
}

// putImmutable writes a value that is never changed. It succeeds if the key
// already has an equal value from an earlier attempt.
func (s *Submitter) putImmutable(ctx context.Context, key string, value []byte) error {
	err := s.store.Put(ctx, key, value, 0)
	if !errors.Is(err, ErrConflict) {
		return err
	}
	stored, _, err := s.store.Get(ctx, key)
	if err == nil && !bytes.Equal(stored, value) {
		err = errors.Newf("%s holds another value", key)
	}
	return err
}

// replaceHead makes the planned head current by compare-and-swap. Afterwards it
// deletes what the new head makes obsolete.
func (s *Submitter) replaceHead(ctx context.Context, head *Head, storeRevision uint64, r *Request, plan *Plan) *Result {
	value, err := plan.head.Encode()
	if err != nil {
		return newResult(Invalid, head, r, err.Error())
	}
	if err := s.store.Put(ctx, config.HeadKey, value, storeRevision); err != nil {
		return s.readBack(ctx, head, r, err)
	}
	s.deleteObsolete(ctx, plan.head)
	return newResult(Accepted, plan.head, r, plan.head.entry.lines...)
}

// readBack determines the result of a head write that failed or whose answer was
// lost.
func (s *Submitter) readBack(ctx context.Context, head *Head, r *Request, cause error) *Result {
	current, _, err := s.readHead(ctx)
	if err != nil {
		return newResult(Unknown, head, r, cause.Error(), err.Error())
	}
	if result := Precheck(current, r); result != nil {
		return s.completeConflict(ctx, current, r, result)
	}
	return newResult(Unknown, current, r, cause.Error())
}

// completeConflict adds the changes since the expected revision to the lines of
// a Conflict and deletes the parts that the rejected change may have written.
// The head never returns to the expected revision, so the change can't take
// effect any more. Other results, and a conflict whose expected revision is
// above the head's, are returned unchanged.
func (s *Submitter) completeConflict(ctx context.Context, head *Head, r *Request, result *Result) *Result {
	if result.state != Conflict || r.expected > head.Revision() {
		return result
	}
	if !head.refersTo(r.change) {
		for name, value := range r.parts {
			key := config.NewPart(name, r.change, value).Key()
			if err := s.store.Delete(ctx, key); err != nil {
				break
			}
		}
	}
	first := max(r.expected, head.Revision()-min(head.Revision(), maxRecentChanges)) + 1
	for n := first; n <= head.Revision(); n++ {
		if e := s.readEntry(ctx, head, n); e != nil {
			result.lines = append(result.lines, entryText(e))
		}
	}
	return result
}

// readEntry returns the change that made a revision, or nil if it can't be read.
func (s *Submitter) readEntry(ctx context.Context, head *Head, revision uint64) *Entry {
	if revision == head.Revision() {
		return &head.entry
	}
	value, _, err := s.store.Get(ctx, historyKey(revision))
	if err != nil || len(value) == 0 {
		return nil
	}
	e, err := decodeEntry(value)
	if err != nil {
		return nil
	}
	return e
}

func decodeEntry(value []byte) (*Entry, error) {
	var w wireEntry
	if err := json.Unmarshal(value, &w); err != nil {
		return nil, err
	}
	e := entryFromWire(w)
	return &e, nil
}

// deleteObsolete deletes the replaced parts and the history entry that are no
// longer retained as of the new head. A failed delete only leaves an unused
// value behind.
func (s *Submitter) deleteObsolete(ctx context.Context, head *Head) {
	if n := head.Revision(); n > retainedRevisions {
		if e := s.readEntry(ctx, head, n-retainedRevisions); e != nil {
			for _, key := range e.replacedKeys {
				if err := s.store.Delete(ctx, key); err != nil {
					return
				}
			}
		}
	}
	if n := head.Revision(); n > maxHistory {
		if err := s.store.Delete(ctx, historyKey(n-maxHistory)); err != nil {
			return
		}
	}
}

// History returns up to limit accepted changes, newest first. It lists one
// history prefix of 100 revisions at a time.
func (s *Submitter) History(ctx context.Context, limit int) ([]*Entry, error) {
	head, _, err := s.readHead(ctx)
	if err != nil || head.Revision() == 0 {
		return nil, err
	}
	list := []*Entry{&head.entry}
	for revision := head.Revision(); len(list) < limit; revision -= 100 {
		values, err := s.store.List(ctx, historyPrefix(revision))
		if err != nil {
			return nil, err
		}
		for _, key := range slices.Backward(slices.Sorted(maps.Keys(values))) {
			e, err := decodeEntry(values[key])
			if err != nil {
				return nil, errors.Wrap(err, key)
			}
			if e.revision < head.Revision() {
				list = append(list, e)
			}
		}
		if revision < 100 || len(values) == 0 && len(list) > 1 {
			break
		}
	}
	return list[:min(limit, len(list))], nil
}

// String returns the change as lines of text for operators.
func (e *Entry) String() string { return entryText(e) }

// Summary returns the result as one line of text for operators.
func (r *Result) Summary() string {
	return fmt.Sprintf("%s: revision %d, change %s", r.state, r.revision, r.change)
}
