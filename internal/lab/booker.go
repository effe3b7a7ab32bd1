package lab

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"clementinelink.example/clementinelink/internal/errs"
	"clementinelink.example/clementinelink/internal/simsvc"
)

const (
	// bookTries is the number of times that one booking is sent with its key.
	bookTries = 5
	// bookPause is the time between two of them.
	bookPause = 250 * time.Millisecond
	// bookTimeout is longer than a booking's deadline, so that an answer that is
	// due is not given up.
	bookTimeout = 2 * bookDeadline
)

// Booking is one order of a caller, sent one or more times with one key.
type Booking struct {
	// ref is the reference in the body, which the plain services record.
	ref string
	// outcome is what the answers prove of the order as a whole.
	outcome errs.Outcome
	status  int
	tries   int
	// took is the time to the first answer.
	took time.Duration
}

// Ref returns the reference in the body.
func (b *Booking) Ref() string { return b.ref }

// Outcome returns what the answers state: Ran, NotRun only if every try was
// answered so, and Unknown otherwise.
func (b *Booking) Outcome() errs.Outcome { return b.outcome }

// Status returns the status of the last answer, or 0.
func (b *Booking) Status() int { return b.status }

// Tries returns how often the booking was sent.
func (b *Booking) Tries() int { return b.tries }

// Took returns the time to the first answer.
func (b *Booking) Took() time.Duration { return b.took }

// Booker sends bookings and lookups to the entry VMs in turn. It is safe for
// concurrent use.
type Booker struct {
	addresses []string
	token     string
	client    *http.Client
	turn      atomic.Uint64
}

// NewBooker returns a caller for entry addresses host:port and the bearer token
// of a workspace.
func NewBooker(addresses []string, token string) *Booker {
	return &Booker{
		addresses: addresses,
		token:     token,
		client: &http.Client{
			Timeout:   bookTimeout,
			Transport: &http.Transport{MaxIdleConnsPerHost: 64},
		},
	}
}

// Close drops the idle connections.
func (b *Booker) Close() { b.client.CloseIdleConnections() }

// Book sends a booking. While its outcome is unknown or the answer is lost, it
// is sent again with the same key to the next entry VM.
func (b *Booker) Book(ctx context.Context, ref string) *Booking {
	o := &Booking{ref: ref}
	turn := b.turn.Add(1)
	doubt := false
	for o.tries < bookTries && ctx.Err() == nil {
		start := time.Now()
		address := b.addresses[turn%uint64(len(b.addresses))]
		status, outcome := b.Send(ctx, address, ref, ref)
		if o.tries++; o.tries == 1 {
			o.took = time.Since(start)
		}
		o.status = status
		o.outcome = outcome
		if outcome == errs.NotRun && doubt {
			// It states only that this try was not sent.
			o.outcome = errs.Unknown
		}
		if outcome != errs.Unknown || own(status) {
			return o
		}
		doubt = true
		turn++
		sleep(ctx, bookPause)
	}
	return o
}

// Send sends a booking once and returns the status and the stated outcome; a
// lost answer is status 0 and Unknown. An empty key is not sent.
func (b *Booker) Send(ctx context.Context, address, key, ref string) (int, errs.Outcome) {
	body, err := json.Marshal(map[string]string{"ref": ref})
	if err != nil {
		return 0, errs.Unknown
	}
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+bookPath, bytes.NewReader(body))
	if err != nil {
		return 0, errs.Unknown
	}
	// Without GetBody, net/http does not repeat the request by itself.
	r.GetBody = nil
	r.Header.Set("Content-Type", "application/json")
	if key != "" {
		r.Header.Set("Idempotency-Key", key)
	}
	status, data, err := b.do(r)
	if err != nil {
		return status, errs.Unknown
	}
	if status < http.StatusBadRequest {
		return status, errs.Ran
	}
	return status, stated(data)
}

// own reports whether a status is given by upstreams only. Their plain 500 does
// not tell whether the call ran, and repeats get the same answer.
func own(status int) bool { return status == http.StatusInternalServerError }

// stated returns the outcome that a problem states. An upstream's own error
// states none.
func stated(data []byte) errs.Outcome {
	var p struct {
		Outcome string `json:"outcome"`
	}
	if err := json.Unmarshal(data, &p); err != nil {
		return errs.Unknown
	}
	for _, o := range []errs.Outcome{errs.Ran, errs.NotRun} {
		if p.Outcome == o.String() {
			return o
		}
	}
	return errs.Unknown
}

// Look sends a lookup to the next entry VM and returns an error unless the
// answer is the right one.
func (b *Booker) Look(ctx context.Context, item string) error {
	path := lookPath + item
	address := b.addresses[b.turn.Add(1)%uint64(len(b.addresses))]
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+path, http.NoBody)
	if err != nil {
		return errors.Wrap(err, "lab: lookup")
	}
	status, data, err := b.do(r)
	if err != nil {
		return err
	}
	var answer struct {
		Value string `json:"value"`
	}
	if err := json.Unmarshal(data, &answer); err != nil || answer.Value != simsvc.Value(path) {
		return errors.Newf("lab: lookup %s: status %d, %.200s", item, status, data)
	}
	return nil
}

func (b *Booker) do(r *http.Request) (int, []byte, error) {
	r.Header.Set("Authorization", "Bearer "+b.token)
	resp, err := b.client.Do(r)
	if err != nil {
		return 0, nil, errors.Wrap(err, "lab: send")
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(io.LimitReader(resp.Body, bodyMax))
	return resp.StatusCode, data, errors.Wrap(err, "lab: read answer")
}

// Audit compares what callers were told with what ran.
type Audit struct {
	bookings int
	// ranTwice counts the references that ran more than once.
	ranTwice int
	// falseNotRun counts the bookings that were stated not to have run and ran.
	falseNotRun int
	// falseRan counts the bookings that were stated to have run and did not.
	falseRan int
	unknown  int
	refused  int
	lookups  int
	// failed counts the lookups without the right answer.
	failed int
	notes  []string
}

// NewAudit judges bookings whose calls have all ended by how often each
// reference ran.
func NewAudit(bookings []*Booking, ran map[string]int) *Audit {
	a := &Audit{bookings: len(bookings)}
	for _, b := range bookings {
		a.add(b, ran[b.ref])
	}
	return a
}

func (a *Audit) add(b *Booking, ran int) {
	bad := true
	switch {
	case ran > 1:
		a.ranTwice++
	case b.outcome == errs.NotRun && ran > 0:
		a.falseNotRun++
	case b.outcome == errs.Ran && ran == 0:
		a.falseRan++
	default:
		bad = false
	}
	switch b.outcome {
	case errs.Unknown:
		a.unknown++
	case errs.NotRun:
		a.refused++
	}
	if bad && len(a.notes) < notesMax {
		a.notes = append(a.notes, fmt.Sprintf("booking %s: status %d, outcome %s after %d tries, ran %d times", b.ref, b.status, b.outcome, b.tries, ran))
	}
}

// WithLookups adds the lookups that were sent and those that failed.
func (a *Audit) WithLookups(sent, failed int) *Audit {
	a.lookups = sent
	a.failed = failed
	return a
}

// Check returns an error unless each reference ran at most once and every
// stated outcome is true.
func (a *Audit) Check() error {
	if a.ranTwice+a.falseNotRun+a.falseRan > 0 {
		return errors.Newf("bookings: %d ran twice, %d falsely stated as not run, %d falsely stated as run: %v", a.ranTwice, a.falseNotRun, a.falseRan, a.notes)
	}
	return nil
}
