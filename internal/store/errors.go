package store

import (
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
)

// The errors of a call. Use errors.Is to test for them.
var (
	// ErrConflict means that the key's revision is not the expected one. The
	// write did not happen.
	ErrConflict = errors.New("store: revision conflict")
	// ErrUnavailable means an outage or an exceeded rate limit; see Throttled. A
	// write did not happen.
	ErrUnavailable = errors.New("store: unavailable")
	// ErrUnknown means that the answer to a write was lost. The write may have
	// happened, or may still happen.
	ErrUnknown = errors.New("store: write outcome unknown")
	// ErrTooLarge means a value over MaxValue. The write did not happen.
	ErrTooLarge = errors.New("store: value too large")
	// ErrCompacted means that events after the given revision are no longer
	// retained; list the keys and watch again from the list's revision.
	ErrCompacted = errors.New("store: revision compacted")
	// ErrExpired means that the lease has ended or never existed. A write did
	// not happen.
	ErrExpired = errors.New("store: lease expired")
	// ErrRejected means that the call is malformed or was rejected by the store
	// as invalid. A write did not happen.
	ErrRejected = errors.New("store: call rejected")
)

// resultNames lists the metric names of the errors, in the order in which
// resultName tests for them.
var resultNames = []struct {
	err  error
	name string
}{
	{
		err:  errEra,
		name: "invalid era",
	},
	{
		err:  ErrConflict,
		name: "conflict",
	},
	{
		err:  ErrTooLarge,
		name: "too large",
	},
	{
		err:  ErrCompacted,
		name: "compacted",
	},
	{
		err:  ErrExpired,
		name: "absent",
	},
	{
		err:  ErrRejected,
		name: "rejected",
	},
	{
		err:  ErrUnavailable,
		name: "unavailable",
	},
}

// resultName returns the name of a call's result in metrics.
func resultName(err error) string {
	if err == nil {
		return "ok"
	}
	for _, r := range resultNames {
		if errors.Is(err, r.err) {
			return r.name
		}
	}
	return "no answer"
}

// statusError returns the error for an HTTP status, or nil for 200.
func statusError(status int, header http.Header) error {
	switch status {
	case http.StatusOK:
		return nil
	case http.StatusPreconditionFailed:
		return ErrConflict
	case http.StatusRequestEntityTooLarge:
		return ErrTooLarge
	case http.StatusGone:
		return ErrCompacted
	case http.StatusNotFound:
		return ErrExpired
	case http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return &busyError{
			status:     status,
			retryAfter: retryAfter(header),
		}
	}
	if status >= http.StatusInternalServerError {
		return errors.Wrapf(ErrUnknown, "status %d", status)
	}
	return errors.Wrapf(ErrRejected, "status %d", status)
}

// busyError is an ErrUnavailable that holds the delay from the store's
// Retry-After header.
type busyError struct {
	status     int
	retryAfter time.Duration
}

func (e *busyError) Error() string {
	return ErrUnavailable.Error() + ": status " + strconv.Itoa(e.status)
}

func (e *busyError) Unwrap() error { return ErrUnavailable }

// errBudget marks a call that was not sent because the client's budget was used
// up.
var errBudget = errors.New("store: budget used up")

// Throttled reports whether an ErrUnavailable means an exceeded rate limit, of
// the platform or of the client's budget, rather than an outage.
func Throttled(err error) bool {
	var busy *busyError
	return errors.Is(err, errBudget) || errors.As(err, &busy) && busy.status == http.StatusTooManyRequests
}

// LostAt returns the latest time at which the store is known not to have served this
// client, for a call that began and failed at the given times: a refusal tells it when
// it arrives, and a call without an answer when it begins.
func LostAt(began, failed time.Time, err error) time.Time {
	var busy *busyError
	if errors.As(err, &busy) {
		return failed
	}
	return began
}

// RetryAfter returns the delay from the Retry-After header of the store's
// answer, or 0 if err holds none.
func RetryAfter(err error) time.Duration {
	var busy *busyError
	if errors.As(err, &busy) {
		return busy.retryAfter
	}
	return 0
}

// retryAfter parses the Retry-After header in seconds; it returns 0 if the
// header is missing or invalid.
func retryAfter(header http.Header) time.Duration {
	seconds, err := strconv.Atoi(header.Get("Retry-After"))
	if err != nil || seconds < 0 {
		return 0
	}
	return time.Duration(seconds) * time.Second
}
