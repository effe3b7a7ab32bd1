package lab

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"clementinelink.example/clementinelink/internal/errs"
	"clementinelink.example/clementinelink/internal/simsvc"
)

const (
	// maxBookingAttempts limits how often a booking is sent with the same key.
	maxBookingAttempts = 5
	// bookingRetryDelay is the time between two attempts.
	bookingRetryDelay = 250 * time.Millisecond
	// bookingTimeout is longer than a booking's deadline, so that the client
	// doesn't give up on a response that is still due.
	bookingTimeout = 2 * bookingDeadline
)

// Booking is a booking that was sent one or more times with the same key.
type Booking struct {
	// ref is the reference in the body. The plain services record it for each
	// call that they run.
	ref string
	// outcome is what the responses state about all attempts together.
	outcome  errs.Outcome
	status   int
	attempts int
	// firstResponseTime is the time from the first attempt to its response.
	firstResponseTime time.Duration
}

// Ref returns the reference in the body.
func (b *Booking) Ref() string { return b.ref }

// Outcome returns what the responses state: Ran, NotRun only if every attempt
// was stated not to have run, and Unknown otherwise.
func (b *Booking) Outcome() errs.Outcome { return b.outcome }

// Status returns the status of the last response, or 0 if it was lost.
func (b *Booking) Status() int { return b.status }

// Attempts returns how often the booking was sent.
func (b *Booking) Attempts() int { return b.attempts }

// FirstResponseTime returns the time from the first attempt to its response.
func (b *Booking) FirstResponseTime() time.Duration { return b.firstResponseTime }

// BookingClient sends bookings and lookups to the entry VMs in turn. It is safe
// for concurrent use.
type BookingClient struct {
	addresses   []string
	token       string
	client      *http.Client
	transport   *http.Transport
	nextAddress atomic.Uint64
}

// NewBookingClient returns a client for entry VM addresses host:port with the
// bearer token of a workspace.
func NewBookingClient(addresses []string, token string) *BookingClient {
	transport := &http.Transport{
		MaxIdleConnsPerHost: 64,
	}
	return &BookingClient{
		addresses: addresses,
		token:     token,
		client: &http.Client{
			Timeout:   bookingTimeout,
			Transport: transport,
		},
		transport: transport,
	}
}

// WithDial replaces the function that connects to entry VMs. Call it before any
// other method.
func (b *BookingClient) WithDial(dial func(ctx context.Context, network, address string) (net.Conn, error)) *BookingClient {
	b.transport.DialContext = dial
	return b
}

// Close closes the idle connections.
func (b *BookingClient) Close() { b.client.CloseIdleConnections() }

// Book sends a booking. While its outcome is unknown or the response is lost,
// it sends the booking again with the same key to the next entry VM.
func (b *BookingClient) Book(ctx context.Context, ref string) *Booking {
	booking := &Booking{ref: ref}
	next := b.nextAddress.Add(1)
	uncertain := false
	for booking.attempts < maxBookingAttempts && ctx.Err() == nil {
		start := time.Now()
		address := b.addresses[next%uint64(len(b.addresses))]
		status, outcome := b.Send(ctx, address, ref, ref)
		if booking.attempts++; booking.attempts == 1 {
			booking.firstResponseTime = time.Since(start)
		}
		booking.status = status
		booking.outcome = outcome
		if outcome == errs.NotRun && uncertain {
			// This states only that the last attempt did not run; an earlier
			// one may have.
			booking.outcome = errs.Unknown
		}
		if outcome != errs.Unknown || isUpstreamStatus(status) {
			return booking
		}
		uncertain = true
		next++
		sleep(ctx, bookingRetryDelay)
	}
	return booking
}

// Send sends a booking once and returns the status and the stated outcome. If
// the response is lost, it returns Unknown, with status 0 if nothing was
// received. An empty key is not sent.
func (b *BookingClient) Send(ctx context.Context, address, key, ref string) (int, errs.Outcome) {
	body, err := json.Marshal(map[string]string{"ref": ref})
	if err != nil {
		return 0, errs.Unknown
	}
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+bookingPath, bytes.NewReader(body))
	if err != nil {
		return 0, errs.Unknown
	}
	// Without GetBody, net/http does not retry the request by itself.
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
	return status, statedOutcome(data)
}

// isUpstreamStatus reports whether a status can only come from an upstream. A
// plain 500 of an upstream doesn't state whether the call ran, and a retry with
// the same key gets the same response.
func isUpstreamStatus(status int) bool { return status == http.StatusInternalServerError }

// statedOutcome returns the outcome stated in a problem document. An upstream's
// own error states none.
func statedOutcome(data []byte) errs.Outcome {
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

// Lookup sends a lookup to the next entry VM and returns an error if the
// response is not the expected one.
func (b *BookingClient) Lookup(ctx context.Context, item string) error {
	path := lookupPath + item
	address := b.addresses[b.nextAddress.Add(1)%uint64(len(b.addresses))]
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+path, http.NoBody)
	if err != nil {
		return errors.Wrap(err, "lab: lookup")
	}
	status, data, err := b.do(r)
	if err != nil {
		return err
	}
	var body struct {
		Value string `json:"value"`
	}
	if err := json.Unmarshal(data, &body); err != nil || body.Value != simsvc.LookupValue(path) {
		return errors.Newf("lab: lookup %s: status %d, %.200s", item, status, data)
	}
	return nil
}

func (b *BookingClient) do(r *http.Request) (int, []byte, error) {
	r.Header.Set("Authorization", "Bearer "+b.token)
	resp, err := b.client.Do(r)
	if err != nil {
		return 0, nil, errors.Wrap(err, "lab: send")
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxBodySize))
	return resp.StatusCode, data, errors.Wrap(err, "lab: read response")
}

// Audit compares the outcomes stated to callers with the calls that ran.
type Audit struct {
	bookings int
	// ranTwice counts the bookings that ran more than once.
	ranTwice int
	// falseNotRun counts the bookings that ran although they were stated not to
	// have run.
	falseNotRun int
	// falseRan counts the bookings that did not run although they were stated
	// to have run.
	falseRan int
	unknown  int
	notRun   int
	lookups  int
	// failedLookups counts the lookups without the expected response.
	failedLookups int
	notes         []string
}

// NewAudit compares the bookings with how often each reference ran. All calls
// must have ended.
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
		a.notRun++
	}
	if bad && len(a.notes) < maxNotes {
		a.notes = append(a.notes, fmt.Sprintf("booking %s: status %d, outcome %s after %d tries, ran %d times", b.ref, b.status, b.outcome, b.attempts, ran))
	}
}

// WithLookups sets the number of lookups sent and failed.
func (a *Audit) WithLookups(sent, failed int) *Audit {
	a.lookups = sent
	a.failedLookups = failed
	return a
}

// Check returns an error unless each booking ran at most once and every stated
// outcome is true.
func (a *Audit) Check() error {
	if a.ranTwice+a.falseNotRun+a.falseRan > 0 {
		return errors.Newf("bookings: %d ran twice, %d falsely stated as not run, %d falsely stated as run: %v", a.ranTwice, a.falseNotRun, a.falseRan, a.notes)
	}
	return nil
}
