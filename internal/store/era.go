package store

import (
	"net/http"
	"strconv"
	"strings"
	"sync"

	"github.com/cockroachdb/errors"
)

// The revisions that this package returns are positions in all histories of the store. A
// store that is restored from a copy loses its latest changes and gives their revisions
// out again, in a new era. A position has the era in its high bits and the store's own
// revision in the others, so that positions grow with time and name one change each.
const revisionBits = 40

// maxEra is the largest era. Positions stay below 1<<63, since some encodings are signed.
const maxEra = 1<<(63-revisionBits) - 1

// Position returns the position of a revision of an era.
func Position(era, revision uint64) uint64 { return era<<revisionBits | revision }

// Era returns the era of a position.
func Era(position uint64) uint64 { return position >> revisionBits }

// Number returns the store's own revision at a position.
func Number(position uint64) uint64 { return position & (1<<revisionBits - 1) }

// Text returns a position as operators read it: "ERA:REVISION", without an era 0.
func Text(position uint64) string {
	revision := strconv.FormatUint(Number(position), 10)
	if Era(position) == 0 {
		return revision
	}
	return strconv.FormatUint(Era(position), 10) + ":" + revision
}

// position returns the position of a revision that the store stated in an era.
func position(era, revision uint64) (uint64, error) {
	if revision>>revisionBits != 0 {
		return 0, errors.Newf("revision %d is out of range", revision)
	}
	return Position(era, revision), nil
}

// locate sets the position and the lease of an entry that the store stated in an era. An
// absent key has no position.
func (e Entry) locate(era uint64) (Entry, error) {
	if e.revision == 0 {
		return e, nil
	}
	at, err := position(era, e.revision)
	if err != nil {
		return Entry{}, errors.Wrapf(err, "key %q", e.key)
	}
	e.revision, e.lease = at, leaseIn(era, e.lease)
	return e, nil
}

// leaseIn returns the id of a lease that the store named in an era, since ids are given
// out again too.
func leaseIn(era uint64, id string) string {
	if id == "" || era == 0 {
		return id
	}
	return id + "@" + strconv.FormatUint(era, 10)
}

// splitLease returns the store's own id of a lease, and the lease's era.
func splitLease(lease string) (id string, era uint64) {
	at := strings.LastIndexByte(lease, '@')
	if at < 0 {
		return lease, 0
	}
	era, err := strconv.ParseUint(lease[at+1:], 10, 64)
	if err != nil {
		return lease, 0
	}
	return lease[:at], era
}

// errEra marks an answer whose era is missing, invalid or an earlier one.
var errEra = errors.New("store: invalid era")

// eras holds the era of the store. It is safe for concurrent use.
type eras struct {
	mutex sync.Mutex
	// latest is the highest era of an answer.
	latest uint64
	// named is true once an answer has named its era. Until then all belong to era 0.
	named bool
	// candidate is an era that skips others, until a second answer confirms it, or 0.
	candidate uint64
}

// note returns the era of an answer whose header names one if named is true. It returns
// an error if the answer can't be placed in the present era or a later one. An era that
// skips others needs a second answer, since one spoiled header would make the client refuse
// all that follow.
func (e *eras) note(era uint64, named bool) (uint64, error) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	switch {
	case !named && !e.named:
		return 0, nil
	case !named:
		return 0, errors.Mark(errors.Newf("store: an answer names no era, era %d before", e.latest), errEra)
	case era > maxEra:
		return 0, errors.Mark(errors.Newf("store: era %d is out of range", era), errEra)
	case e.named && era > e.latest+1 && (e.candidate == 0 || era < e.candidate):
		e.candidate = era
		return 0, errors.Mark(errors.Newf("store: an answer of era %d, era %d before, which another answer must confirm", era, e.latest), errEra)
	case era < e.latest:
		return 0, errors.Mark(errors.Newf("store: an answer of era %d, era %d before", era, e.latest), errEra)
	}
	e.latest, e.named, e.candidate = era, true, 0
	return era, nil
}

// Era returns the highest era of the store's answers so far, 0 before the first.
func (c *Client) Era() uint64 {
	c.eras.mutex.Lock()
	defer c.eras.mutex.Unlock()
	return c.eras.latest
}

// eraOf returns the era of an answer.
func (c *Client) eraOf(h http.Header) (uint64, error) {
	era, named, err := c.wire.Era(h)
	if err != nil {
		return 0, errors.Mark(errors.Wrap(err, "store: era"), errEra)
	}
	return c.eras.note(era, named)
}

// outdated returns the error of a write that expects a revision of an earlier era, or
// is bound to a lease of one. The same numbers may name other contents now.
func (c *Client) outdated(expect uint64, lease string) error {
	era := c.Era()
	if expect != 0 && Era(expect) < era {
		return errors.Wrapf(ErrConflict, "revision %s, era %d now", Text(expect), era)
	}
	if lease == "" {
		return nil
	}
	if _, granted := splitLease(lease); granted < era {
		return errors.Wrapf(ErrExpired, "lease of era %d, era %d now", granted, era)
	}
	return nil
}

// verifyEra returns an error if a write that was performed in an era expected a revision
// of another one, or is bound to a lease of another one. It may have replaced something
// else, or may end with a lease of someone else.
func verifyEra(era, expect uint64, lease string) error {
	_, granted := splitLease(lease)
	if expect != 0 && Era(expect) != era || lease != "" && granted != era {
		return errors.Mark(errors.Newf("store: performed in era %d", era), ErrUnknown)
	}
	return nil
}
