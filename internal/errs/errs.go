package errs

import (
	"fmt"
	"net/http"
	"time"
)

// Outcome states whether the caller's work ran.
type Outcome uint8

// The outcomes. The zero value is Unknown, so that an outcome that was never set
// promises nothing.
const (
	// Unknown means that the work may or may not have run.
	Unknown Outcome = iota
	// NotRun means that the work has not run and will not run.
	NotRun
	// Ran means that the work ran, in part or in full.
	Ran
)

// String returns the outcome's name as problem details contain it.
func (o Outcome) String() string {
	switch o {
	case NotRun:
		return "not-run"
	case Ran:
		return "ran"
	default:
		return "unknown"
	}
}

// Kind is the type of a problem. It determines the HTTP status and the title.
type Kind uint8

// The kinds of problem.
const (
	// Internal is a fault of this system.
	Internal Kind = iota
	// Invalid is a malformed request.
	Invalid
	// Unauthorized is a request without a known workspace key.
	Unauthorized
	// NotFound is a request for a service or route that is not declared.
	NotFound
	// Mismatch is an idempotency key that was used before with another body.
	Mismatch
	// InProgress is an idempotency key whose first call is still running.
	InProgress
	// Overload is a request that can't be served before its deadline.
	Overload
	// Unavailable is a request for which no upstream or store is available.
	Unavailable
	// Lost is a generation that can't be continued.
	Lost
	// Expired is a request whose deadline passed.
	Expired
	// Upstream is a response of an upstream that violates its contract.
	Upstream
	// Slow is a caller that reads its response too slowly.
	Slow
	// TooLarge is a request whose body exceeds the limit.
	TooLarge
)

type kindInfo struct {
	slug   string
	title  string
	status int
}

var kinds = [...]kindInfo{
	Internal: {
		slug:   "internal",
		title:  "Internal error",
		status: http.StatusInternalServerError,
	},
	Invalid: {
		slug:   "invalid",
		title:  "Invalid request",
		status: http.StatusBadRequest,
	},
	Unauthorized: {
		slug:   "unauthorized",
		title:  "Unknown workspace key",
		status: http.StatusUnauthorized,
	},
	NotFound: {
		slug:   "not-found",
		title:  "Unknown service or route",
		status: http.StatusNotFound,
	},
	Mismatch: {
		slug:   "mismatch",
		title:  "Idempotency key used with another body",
		status: http.StatusUnprocessableEntity,
	},
	InProgress: {
		slug:   "in-progress",
		title:  "First call with this key still runs",
		status: http.StatusConflict,
	},
	Overload: {
		slug:   "overload",
		title:  "Deadline can't be met",
		status: http.StatusTooManyRequests,
	},
	Unavailable: {
		slug:   "unavailable",
		title:  "Service unavailable",
		status: http.StatusServiceUnavailable,
	},
	Lost: {
		slug:   "lost",
		title:  "Generation can't be continued",
		status: http.StatusBadGateway,
	},
	Expired: {
		slug:   "expired",
		title:  "Deadline exceeded",
		status: http.StatusGatewayTimeout,
	},
	Upstream: {
		slug:   "upstream",
		title:  "Upstream broke its contract",
		status: http.StatusBadGateway,
	},
	Slow: {
		slug:   "slow",
		title:  "Caller reads too slowly",
		status: http.StatusRequestTimeout,
	},
	TooLarge: {
		slug:   "too-large",
		title:  "Body over the limit",
		status: http.StatusRequestEntityTooLarge,
	},
}

// Slug returns the short name of the kind, which ends the problem's type URI.
func (k Kind) Slug() string { return kinds[k].slug }

// Problem is an error that is reported to a caller. It is immutable.
type Problem struct {
	kind    Kind
	outcome Outcome
	detail  string
	// retry is zero if a retry is not known to be safe.
	retry time.Duration
}

// New returns a problem. The detail is formatted with fmt.Sprintf.
func New(kind Kind, outcome Outcome, format string, args ...any) *Problem {
	return &Problem{
		kind:    kind,
		outcome: outcome,
		detail:  fmt.Sprintf(format, args...),
	}
}

// WithRetry returns a copy of p that tells the caller to retry after d.
func (p *Problem) WithRetry(d time.Duration) *Problem {
	q := *p
	q.retry = d
	return &q
}

// Error returns the slug of the kind and the detail.
func (p *Problem) Error() string { return p.kind.Slug() + ": " + p.detail }

// Kind returns the kind of problem.
func (p *Problem) Kind() Kind { return p.kind }

// Outcome returns whether the caller's work ran.
func (p *Problem) Outcome() Outcome { return p.outcome }

// Title returns the kind's title.
func (p *Problem) Title() string { return kinds[p.kind].title }

// Detail returns the explanation of this occurrence of the problem.
func (p *Problem) Detail() string { return p.detail }

// Status returns the HTTP status.
func (p *Problem) Status() int { return kinds[p.kind].status }

// Retry returns the delay after which a retry is safe, or zero if that is not
// known.
func (p *Problem) Retry() time.Duration { return p.retry }
